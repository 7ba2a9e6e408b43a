// Package config holds a node's settings, which come from flags and environment
// variables.
//
// The flag --some-name may also be set by the environment variable
// PLANTAINDECK_SOME_NAME; if both are given, the flag takes precedence. Node.Check
// checks all settings together, and its error names every invalid one.
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

// Node holds the settings of a node. Each address is an IP address and a port.
type Node struct {
	PeerAddr        string        // address for other nodes; also the node's id
	FrontAddr       string        // address for callers
	Centre          string        // data centre of the host
	Cluster         string        // name of the deployment
	KVAddr          string        // address of the key-value service
	HostsAddr       string        // address of the list of hosts
	ReattachSecret  string        // key that signs reattach tokens, equal on every node
	Operators       []string      // operators, as name=sha256:HEX with the SHA-256 sum of the key
	CertFile        string        // file of the node's certificate (PEM); empty for sessions without TLS
	KeyFile         string        // file of the certificate's private key (PEM)
	CAFile          string        // file of the authority that signs the nodes' certificates (PEM)
	AddressTTL      time.Duration // how long callers may use an address list
	MaxBodyBytes    int           // largest request body, bytes
	StallTimeout    time.Duration // longest time without a byte from an endpoint, before or within a response
	ClaimSettle     time.Duration // after a restoration of the key-value service, in which no idempotency key is claimed
	GracePeriod     time.Duration // longest wait for responses in progress when stopping
	MaxTraceEntries int           // trace entries that the node keeps in memory
	MemoryLimitMiB  int           // soft limit of the Go runtime's memory, MiB; 0 for none
	ClientsMiB      int           // memory that callers' connections and requests may take together, MiB; 0 for the default
	Seed            uint64        // seed of random choices; 0 takes one from the clock
}

// Limits of the settings.
const (
	minSecretBytes  = 16
	minBodyBytes    = 1 << 10
	maxBodyBytes    = 64 << 20
	maxTraceEntries = 1 << 20
	maxMemoryMiB    = 1 << 20
)

const defaultClientsMiB = 256

// AddFlags adds a flag for each setting to f, and sets the settings to the defaults.
func (n *Node) AddFlags(f *pflag.FlagSet) {
	f.StringVar(&n.PeerAddr, "peer", "", "address for other nodes, IP address and port; it is also the node's id")
	f.StringVar(&n.FrontAddr, "front", "", "address for callers, IP address and port")
	f.StringVar(&n.Centre, "centre", "", "data centre of this host")
	f.StringVar(&n.Cluster, "cluster", "plantaindeck", "name of the deployment; sessions with nodes of another deployment are rejected")
	f.StringVar(&n.KVAddr, "kv", "", "address of the key-value service, IP address and port")
	f.StringVar(&n.HostsAddr, "hosts", "", "address of the list of hosts, IP address and port")
	f.StringVar(&n.ReattachSecret, "secret", "", "key that signs reattach tokens, at least 16 bytes, equal on every node")
	f.StringSliceVar(&n.Operators, "admin", nil, "operators and the SHA-256 sums of their keys, as name=sha256:HEX")
	f.StringVar(&n.CertFile, "cert", "", "file of the certificate presented to other nodes (PEM); without it sessions between nodes are not encrypted")
	f.StringVar(&n.KeyFile, "key", "", "file of the certificate's private key (PEM)")
	f.StringVar(&n.CAFile, "ca", "", "file of the authority that signs the nodes' certificates (PEM)")
	f.DurationVar(&n.AddressTTL, "ttl", 5*time.Second, "how long callers may use an address list before they ask for a new one")
	f.IntVar(&n.MaxBodyBytes, "body", 4<<20, "largest request body, bytes")
	f.DurationVar(&n.StallTimeout, "stall", 20*time.Second, "longest time without a byte from an endpoint, before or within a response")
	f.DurationVar(&n.ClaimSettle, "claim-settle", 10*time.Second, "time after a restoration of the key-value service from a copy in which calls with an idempotency key are rejected, until all nodes have written their claims again")
	f.DurationVar(&n.GracePeriod, "grace", 10*time.Minute, "longest wait for responses in progress when stopping")
	f.IntVar(&n.MaxTraceEntries, "events", 8192, "trace entries that the node keeps in memory")
	f.IntVar(&n.MemoryLimitMiB, "memory", 28, "soft limit of the memory of the Go runtime, MiB; 0 for none")
	f.IntVar(&n.ClientsMiB, "clients", defaultClientsMiB, "memory that the connections and requests of callers may take together, MiB; it must hold the largest request body twice")
	f.Uint64Var(&n.Seed, "seed", 0, "seed of random choices; 0 takes one from the clock")
}

// SettingError reports one invalid setting.
type SettingError struct {
	Name    string // of the flag, without dashes
	Message string // what is wrong with the value
}

// Error returns the flag and the message.
func (e *SettingError) Error() string {
	return fmt.Sprintf("--%s: %s", e.Name, e.Message)
}

// Error reports all invalid settings.
type Error struct {
	Settings []SettingError
}

// Error lists the invalid settings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Settings))
	for i := range e.Settings {
		lines[i] = e.Settings[i].Error()
	}
	return "invalid settings:\n  " + strings.Join(lines, "\n  ")
}

// SetFlagsFromEnv sets each flag that was not given on the command line from its
// environment variable, if that exists. It reports all variables with an invalid
// value in one *Error.
func SetFlagsFromEnv(f *pflag.FlagSet) error {
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

// EnvName returns the name of the environment variable for a flag.
func EnvName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func (e *Error) add(name, format string, args ...any) {
	e.Settings = append(e.Settings, SettingError{Name: name, Message: fmt.Sprintf(format, args...)})
}

// orNil returns e, or a nil error if e has no settings.
func (e *Error) orNil() error {
	if len(e.Settings) == 0 {
		return nil
	}
	return e
}

var (
	centrePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	operatorPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}=sha256:[0-9a-f]{64}$`)
)

// Check reports all invalid settings in one *Error.
func (n *Node) Check() error {
	bad := &Error{}
	bad.checkAddr("peer", n.PeerAddr)
	bad.checkAddr("front", n.FrontAddr)
	bad.checkAddr("kv", n.KVAddr)
	bad.checkAddr("hosts", n.HostsAddr)
	if !centrePattern.MatchString(n.Centre) {
		bad.add("centre", "must be at most 63 lower-case letters, digits, dots and hyphens that begin with a letter or digit, not %q", n.Centre)
	}
	if n.Cluster == "" {
		bad.add("cluster", "must not be empty")
	}
	if len(n.ReattachSecret) < minSecretBytes {
		bad.add("secret", "must have at least %d bytes, not %d", minSecretBytes, len(n.ReattachSecret))
	}
	for _, operator := range n.Operators {
		if !operatorPattern.MatchString(operator) {
			bad.add("admin", "must have the form name=sha256:HEX, not %q", operator)
		}
	}
	n.checkFiles(bad)
	n.checkRanges(bad)
	return bad.orNil()
}

// checkFiles checks that cert, key and ca are given together or not at all, and
// that the files exist.
func (n *Node) checkFiles(bad *Error) {
	files := []struct{ name, path string }{{"cert", n.CertFile}, {"key", n.KeyFile}, {"ca", n.CAFile}}
	tlsWanted := n.CertFile != "" || n.KeyFile != "" || n.CAFile != ""
	for _, f := range files {
		if tlsWanted && f.path == "" {
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

func (n *Node) checkRanges(bad *Error) {
	if n.AddressTTL < time.Second || n.AddressTTL > time.Hour {
		bad.add("ttl", "must lie between 1s and 1h, not %s", n.AddressTTL)
	}
	if n.MaxBodyBytes < minBodyBytes || n.MaxBodyBytes > maxBodyBytes {
		bad.add("body", "must lie between %d and %d, not %d", minBodyBytes, maxBodyBytes, n.MaxBodyBytes)
	}
	if n.ClientsMiB == 0 {
		n.ClientsMiB = defaultClientsMiB
	}
	if n.ClientsMiB > maxMemoryMiB || n.ClientsMiB<<20 <= 2*n.MaxBodyBytes {
		bad.add("clients", "must be more than twice --body and at most %d MiB, not %d MiB", maxMemoryMiB, n.ClientsMiB)
	}
	if n.StallTimeout < time.Second || n.StallTimeout > time.Hour {
		bad.add("stall", "must lie between 1s and 1h, not %s", n.StallTimeout)
	}
	if n.ClaimSettle < time.Second || n.ClaimSettle > time.Hour {
		bad.add("claim-settle", "must lie between 1s and 1h, not %s", n.ClaimSettle)
	}
	if n.GracePeriod < 0 || n.GracePeriod > 24*time.Hour {
		bad.add("grace", "must lie between 0s and 24h, not %s", n.GracePeriod)
	}
	if n.MemoryLimitMiB < 0 || n.MemoryLimitMiB > maxMemoryMiB {
		bad.add("memory", "must lie between 0 and %d, not %d", maxMemoryMiB, n.MemoryLimitMiB)
	}
	if n.MaxTraceEntries < 1 || n.MaxTraceEntries > maxTraceEntries {
		bad.add("events", "must lie between 1 and %d, not %d", maxTraceEntries, n.MaxTraceEntries)
	}
}

// checkAddr adds an error unless value is an IP address and a port.
func (e *Error) checkAddr(name, value string) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		e.add(name, "must be an IP address and port such as 10.0.0.1:7000, not %q", value)
		return
	}
	if addr.Port() == 0 {
		e.add(name, "must have a port other than 0")
	}
}
