// Package config holds a node's settings, which come from flags and
// environment variables.
//
// Each flag --some-name may also be given as the environment variable
// PLANTAINDECK_SOME_NAME; a flag goes before the variable. All settings are
// checked together, and one error names every bad one.
package config

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/spf13/pflag"
)

const envPrefix = "PLANTAINDECK_"

// Node is a node's settings.
type Node struct {
	Peer    string   // address for other nodes
	Front   string   // address for callers
	Centre  string   // data centre
	Cluster string   // name of the deployment
	KV      string   // address of the key-value service
	Hosts   string   // address of the list of hosts
	Secret  string   // key of reattach tokens, equal on every node
	Admin   []string // SHA-256 sums of operators' keys
	Cert    string   // files of the node's certificate, its key and the
	Key     string   // authority of the other nodes' certificates
	CA      string
	TTL     time.Duration // how long callers may keep an address list
	Body    int           // largest request body, bytes
	Stall   time.Duration // longest silence of an endpoint within an answer
	Grace   time.Duration // longest wait for streams to end when stopping
	Events  int           // entries of the event record
	Memory  int           // memory that the garbage collector aims to stay within, MB
	Seed    uint64        // seed of random choices; 0 takes one from the clock
}

// Bounds of the settings.
const (
	minSecret = 16 // bytes
	minBody   = 1 << 10
	maxBody   = 64 << 20
	maxEvents = 1 << 20
	maxMemory = 1 << 20 // MB
)

// Flags binds the settings to flags with their defaults.
func (n *Node) Flags(f *pflag.FlagSet) {
	f.StringVar(&n.Peer, "peer", "", "address for other nodes, IP number and port; it is also the node's id")
	f.StringVar(&n.Front, "front", "", "address for callers, IP number and port")
	f.StringVar(&n.Centre, "centre", "", "data centre of this host")
	f.StringVar(&n.Cluster, "cluster", "plantaindeck", "name of the deployment; nodes of another name are turned away")
	f.StringVar(&n.KV, "kv", "", "address of the key-value service, IP number and port")
	f.StringVar(&n.Hosts, "hosts", "", "address of the list of hosts, IP number and port")
	f.StringVar(&n.Secret, "secret", "", "key that signs reattach tokens, at least 16 bytes, equal on every node")
	f.StringSliceVar(&n.Admin, "admin", nil, "SHA-256 sums of operators' keys, as name=sha256:HEX")
	f.StringVar(&n.Cert, "cert", "", "file of the certificate shown to other nodes (PEM); without it nodes talk in clear")
	f.StringVar(&n.Key, "key", "", "file of the certificate's private key (PEM)")
	f.StringVar(&n.CA, "ca", "", "file of the authority that signs the nodes' certificates (PEM)")
	f.DurationVar(&n.TTL, "ttl", 5*time.Second, "how long callers may keep an address list")
	f.IntVar(&n.Body, "body", 4<<20, "largest request body, bytes")
	f.DurationVar(&n.Stall, "stall", 20*time.Second, "longest silence of an endpoint within an answer")
	f.DurationVar(&n.Grace, "grace", 10*time.Minute, "longest wait for running answers when stopping")
	f.IntVar(&n.Events, "events", 8192, "entries that the event record keeps")
	f.IntVar(&n.Memory, "memory", 28, "memory that the garbage collector aims to stay within, MB; 0 for no aim")
	f.Uint64Var(&n.Seed, "seed", 0, "seed of random choices; 0 takes one from the clock")
}

// SettingError is one bad setting.
type SettingError struct {
	Name    string
	Message string
}

// Error names the setting.
func (e *SettingError) Error() string {
	return fmt.Sprintf("--%s: %s", e.Name, e.Message)
}

// Error holds every bad setting.
type Error struct {
	Settings []SettingError
}

// Error lists the bad settings, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Settings))
	for i := range e.Settings {
		lines[i] = e.Settings[i].Error()
	}
	return "bad settings:\n  " + strings.Join(lines, "\n  ")
}

// FromEnv sets each flag that was not given from its environment variable.
func FromEnv(f *pflag.FlagSet) error {
	bad := &Error{}
	f.VisitAll(func(flag *pflag.Flag) {
		value, ok := os.LookupEnv(EnvName(flag.Name))
		if flag.Changed || !ok {
			return
		}
		if err := f.Set(flag.Name, value); err != nil {
			bad.add(flag.Name, "environment variable %s: %v", EnvName(flag.Name), err)
		}
	})
	return bad.orNil()
}

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func (e *Error) add(name, format string, args ...any) {
	e.Settings = append(e.Settings, SettingError{Name: name, Message: fmt.Sprintf(format, args...)})
}

func (e *Error) orNil() error {
	if len(e.Settings) == 0 {
		return nil
	}
	return e
}

var (
	centreForm = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	adminForm  = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}=sha256:[0-9a-f]{64}$`)
)

// Check reports every bad setting in one *Error.
func (n *Node) Check() error {
	bad := &Error{}
	bad.addr("peer", n.Peer)
	bad.addr("front", n.Front)
	bad.addr("kv", n.KV)
	bad.addr("hosts", n.Hosts)
	if !centreForm.MatchString(n.Centre) {
		bad.add("centre", "must be lower-case letters, digits, dots and hyphens, not %q", n.Centre)
	}
	if n.Cluster == "" {
		bad.add("cluster", "must not be empty")
	}
	if len(n.Secret) < minSecret {
		bad.add("secret", "must have at least %d bytes, not %d", minSecret, len(n.Secret))
	}
	for _, a := range n.Admin {
		if !adminForm.MatchString(a) {
			bad.add("admin", "must have the form name=sha256:HEX, not %q", a)
		}
	}
	n.checkFiles(bad)
	n.checkNumbers(bad)
	return bad.orNil()
}

func (n *Node) checkFiles(bad *Error) {
	files := []struct{ name, path string }{{"cert", n.Cert}, {"key", n.Key}, {"ca", n.CA}}
	given := n.Cert != "" || n.Key != "" || n.CA != ""
	for _, f := range files {
		if given && f.path == "" {
			bad.add(f.name, "must be given when another of cert, key and ca is")
			continue
		}
		if f.path == "" {
			continue
		}
		if _, err := os.Stat(f.path); err != nil {
			bad.add(f.name, "cannot be read: %v", err)
		}
	}
}

func (n *Node) checkNumbers(bad *Error) {
	if n.TTL < time.Second || n.TTL > time.Hour {
		bad.add("ttl", "must lie between 1s and 1h, not %s", n.TTL)
	}
	if n.Body < minBody || n.Body > maxBody {
		bad.add("body", "must lie between %d and %d, not %d", minBody, maxBody, n.Body)
	}
	if n.Stall < time.Second || n.Stall > time.Hour {
		bad.add("stall", "must lie between 1s and 1h, not %s", n.Stall)
	}
	if n.Grace < 0 || n.Grace > 24*time.Hour {
		bad.add("grace", "must lie between 0s and 24h, not %s", n.Grace)
	}
	if n.Memory < 0 || n.Memory > maxMemory {
		bad.add("memory", "must lie between 0 and %d, not %d", maxMemory, n.Memory)
	}
	if n.Events < 1 || n.Events > maxEvents {
		bad.add("events", "must lie between 1 and %d, not %d", maxEvents, n.Events)
	}
}

func (e *Error) addr(name, value string) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		e.add(name, "must be an IP number and port such as 10.0.0.1:7000, not %q", value)
		return
	}
	if addr.Port() == 0 {
		e.add(name, "must have a port other than 0")
	}
}
