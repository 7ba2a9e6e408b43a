package fakes

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/spf13/cobra"
)

// fake is the interface of all running fakes.
type fake interface {
	Addr() string
	Kill() error
}

// Root returns the command standin, which has one subcommand for each kind of
// fake and the subcommand demo, which runs the fakes for a set of documents.
func Root() *cobra.Command {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins for the systems around a deployment",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(engineCommand(), serviceCommand(), kvCommand(), weightsCommand(), hostsCommand(), demoCommand())
	return root
}

// serveUntilSignal prints the type and the address of each fake, waits for
// SIGTERM or SIGINT, and kills the fakes.
func serveUntilSignal(out io.Writer, list []fake) error {
	for _, s := range list {
		fmt.Fprintf(out, "%T listens on %s\n", s, s.Addr())
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return killFakes(list)
}

// killFakes kills every fake and returns the first error.
func killFakes(list []fake) error {
	var first error
	for _, s := range list {
		if err := s.Kill(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// serveStarted serves s until a signal. If err, the error of starting s, is not
// nil, it returns err instead.
func serveStarted(cmd *cobra.Command, s fake, err error) error {
	if err != nil {
		return err
	}
	return serveUntilSignal(cmd.OutOrStdout(), []fake{s})
}

func engineCommand() *cobra.Command {
	var cfg EngineConfig
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			e, err := StartEngine(cfg)
			return serveStarted(cmd, e, err)
		},
	}
	f := cmd.Flags()
	f.StringVar(&cfg.Addr, "addr", "127.0.0.1:8000", "address to listen on")
	f.StringVar(&cfg.Name, "name", "engine", "name of the engine, with which its generation ids begin")
	f.IntVar(&cfg.Memory, "memory", 60000, "size of the KV cache in tokens")
	f.IntVar(&cfg.Slots, "slots", 64, "maximum number of sequences in a batch")
	f.BoolVar(&cfg.Fencing, "fencing", true, "reject commands with a stale fencing token")
	f.Float64Var(&cfg.Speed, "speed", 1, "factor by which steps are faster than their modelled cost")
	f.DurationVar(&cfg.Lag, "lag", 500*time.Millisecond, "delay after which load reports and cache events become visible")
	f.StringSliceVar(&cfg.Models, "models", nil, "models loaded at the start; if empty, every model is served until a command loads one")
	f.StringVar(&cfg.WeightsAddr, "weights", "", "address of the weight store")
	f.Uint64Var(&cfg.Seed, "seed", 1, "number that becomes a part of generation ids")
	return cmd
}

func serviceCommand() *cobra.Command {
	var cfg ServiceConfig
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run a plain service that records the calls that it executes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := StartService(cfg)
			return serveStarted(cmd, s, err)
		},
	}
	cmd.Flags().StringVar(&cfg.Addr, "addr", "127.0.0.1:8100", "address to listen on")
	cmd.Flags().DurationVar(&cfg.Delay, "delay", 5*time.Millisecond, "time that the service takes for a call")
	return cmd
}

func kvCommand() *cobra.Command {
	var cfg KVConfig
	cmd := &cobra.Command{
		Use:   "kv",
		Short: "Run a key-value service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			k, err := StartKV(cfg)
			return serveStarted(cmd, k, err)
		},
	}
	addKVFlags(cmd, &cfg)
	cmd.Flags().StringVar(&cfg.Addr, "addr", "127.0.0.1:2379", "address to listen on")
	return cmd
}

// addKVFlags adds the flags for the rate limits of a key-value service.
func addKVFlags(cmd *cobra.Command, cfg *KVConfig) {
	cmd.Flags().IntVar(&cfg.WritesPerSecond, "writes", 500, "maximum writes per second; 0 for no limit")
	cmd.Flags().IntVar(&cfg.ReadsPerSecond, "reads", 2000, "maximum reads per second; 0 for no limit")
}

func weightsCommand() *cobra.Command {
	var cfg WeightsConfig
	cmd := &cobra.Command{
		Use:   "weights",
		Short: "Run a weight store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			w, err := StartWeights(cfg)
			return serveStarted(cmd, w, err)
		},
	}
	cmd.Flags().StringVar(&cfg.Addr, "addr", "127.0.0.1:8200", "address to listen on")
	cmd.Flags().IntVar(&cfg.ModelBytes, "size", 1<<20, "size of each model in bytes")
	cmd.Flags().IntVar(&cfg.BytesPerSecond, "rate", 4<<20, "maximum bytes per second over all readers; 0 for no limit")
	return cmd
}

func hostsCommand() *cobra.Command {
	var cfg HostsConfig
	var entries []string
	cmd := &cobra.Command{
		Use:   "hosts",
		Short: "Run the platform's list of hosts",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := parseHosts(entries)
			if err != nil {
				return err
			}
			h, err := StartHosts(cfg)
			if err == nil {
				h.Set(list)
			}
			return serveStarted(cmd, h, err)
		},
	}
	cmd.Flags().StringVar(&cfg.Addr, "addr", "127.0.0.1:8300", "address to listen on")
	cmd.Flags().DurationVar(&cfg.Lag, "lag", 10*time.Second, "delay after which a change of the list becomes visible")
	cmd.Flags().StringSliceVar(&entries, "entry", nil, "entry host, as PEER/FRONT/CENTRE")
	return cmd
}

// parseHosts parses entry hosts of the form PEER/FRONT/CENTRE.
func parseHosts(entries []string) ([]Host, error) {
	var list []Host
	for _, e := range entries {
		parts := strings.Split(e, "/")
		if len(parts) != 3 {
			return nil, errors.Errorf("--entry: must have the form PEER/FRONT/CENTRE, not %q", e)
		}
		ip, _, _ := strings.Cut(parts[0], ":")
		list = append(list, Host{IP: ip, Peer: parts[0], Front: parts[1], Centre: parts[2], State: "live"})
	}
	return list, nil
}

// demoConfig holds the settings of the demo command.
type demoConfig struct {
	kv      KVConfig
	weights WeightsConfig
	hosts   HostsConfig
	entries []string
	speed   float64
}

func demoCommand() *cobra.Command {
	var cfg demoConfig
	cmd := &cobra.Command{
		Use:   "demo DOCUMENT...",
		Short: "Run the endpoints that the documents declare and the systems that nodes need",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			running, err := startDemo(cfg, args)
			if err != nil {
				return errors.Wrap(firstError(err, killFakes(running)), "start demo")
			}
			return serveUntilSignal(cmd.OutOrStdout(), running)
		},
	}
	addKVFlags(cmd, &cfg.kv)
	f := cmd.Flags()
	f.StringVar(&cfg.kv.Addr, "kv", "127.0.10.1:2379", "address of the key-value service")
	f.StringVar(&cfg.weights.Addr, "weights", "127.0.10.2:8200", "address of the weight store")
	f.StringVar(&cfg.hosts.Addr, "hosts", "127.0.10.3:8300", "address of the list of hosts")
	f.DurationVar(&cfg.hosts.Lag, "lag", 10*time.Second, "delay after which a change of the list of hosts becomes visible")
	f.StringSliceVar(&cfg.entries, "entry", nil, "entry host, as PEER/FRONT/CENTRE")
	f.Float64Var(&cfg.speed, "speed", 1, "factor by which engines are faster than their modelled cost")
	cfg.weights.ModelBytes = 1 << 20
	cfg.weights.BytesPerSecond = 4 << 20
	return cmd
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// startDemo starts the list of hosts, the key-value service, the weight store
// and the endpoints that the documents declare. With an error it also returns the
// fakes that are already running, which the caller must kill.
func startDemo(cfg demoConfig, documents []string) (running []fake, err error) {
	add := func(s fake, err error) error {
		if err == nil {
			running = append(running, s)
		}
		return err
	}
	entries, err := parseHosts(cfg.entries)
	if err != nil {
		return nil, err
	}
	hosts, err := StartHosts(cfg.hosts)
	if err := add(hosts, err); err != nil {
		return running, err
	}
	hosts.Set(entries)
	kv, err := StartKV(cfg.kv)
	if err := add(kv, err); err != nil {
		return running, err
	}
	weights, err := StartWeights(cfg.weights)
	if err := add(weights, err); err != nil {
		return running, err
	}
	for _, file := range documents {
		text, err := os.ReadFile(file)
		if err != nil {
			return running, errors.Wrap(err, "read document")
		}
		doc, err := spec.Parse(text)
		if err != nil {
			return running, err
		}
		for i := range doc.Services {
			if err := startEndpoints(cfg, &doc.Services[i], add); err != nil {
				return running, err
			}
		}
	}
	return running, nil
}

// startEndpoints starts a fake for each endpoint of a service and passes it,
// or the error of starting it, to add.
func startEndpoints(cfg demoConfig, service *spec.Service, add func(s fake, err error) error) error {
	for i, e := range service.Endpoints {
		if service.Kind == spec.KindPlain {
			s, err := StartService(ServiceConfig{Addr: e.Addr, Delay: 5 * time.Millisecond})
			if err := add(s, err); err != nil {
				return err
			}
			continue
		}
		s, err := StartEngine(EngineConfig{
			Addr:        e.Addr,
			Name:        e.Name,
			Memory:      e.Memory,
			Slots:       e.Slots,
			Fencing:     e.Fencing,
			Speed:       cfg.speed,
			Lag:         500 * time.Millisecond,
			WeightsAddr: cfg.weights.Addr,
			Seed:        uint64(i),
		})
		if err := add(s, err); err != nil {
			return err
		}
	}
	return nil
}
