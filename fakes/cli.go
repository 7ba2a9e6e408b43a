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

// killer is a stand-in that can be ended.
type killer interface {
	Addr() string
	Kill() error
}

// Root returns the command that runs stand-ins.
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

// Runs stand-ins until SIGTERM or SIGINT.
func runAll(out io.Writer, list []killer) error {
	for _, k := range list {
		fmt.Fprintf(out, "%T listens on %s\n", k, k.Addr())
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return killAll(list)
}

func killAll(list []killer) error {
	var first error
	for _, k := range list {
		if err := k.Kill(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func runOne(cmd *cobra.Command, k killer, err error) error {
	if err != nil {
		return err
	}
	return runAll(cmd.OutOrStdout(), []killer{k})
}

func engineCommand() *cobra.Command {
	var cfg EngineConfig
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			e, err := StartEngine(cfg)
			return runOne(cmd, e, err)
		},
	}
	f := cmd.Flags()
	f.StringVar(&cfg.Addr, "addr", "127.0.0.1:8000", "address to listen on")
	f.StringVar(&cfg.Name, "name", "engine", "name, a part of generation ids")
	f.IntVar(&cfg.Memory, "memory", 60000, "KV-cache memory, tokens")
	f.IntVar(&cfg.Slots, "slots", 64, "sequences in one batch")
	f.BoolVar(&cfg.Fencing, "fencing", true, "refuse commands with an old fencing token")
	f.Float64Var(&cfg.Speed, "speed", 1, "how many times faster than the stated costs")
	f.DurationVar(&cfg.Lag, "lag", 500*time.Millisecond, "age of load reports and cache events")
	f.StringSliceVar(&cfg.Models, "models", nil, "models that are loaded at the start; none means any")
	f.StringVar(&cfg.Weights, "weights", "", "address of the weight store")
	f.Uint64Var(&cfg.Seed, "seed", 1, "part of generation ids")
	return cmd
}

func serviceCommand() *cobra.Command {
	var cfg ServiceConfig
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run a plain service that records each execution",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := StartService(cfg)
			return runOne(cmd, s, err)
		},
	}
	cmd.Flags().StringVar(&cfg.Addr, "addr", "127.0.0.1:8100", "address to listen on")
	cmd.Flags().DurationVar(&cfg.Delay, "delay", 5*time.Millisecond, "time to serve a call")
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
			return runOne(cmd, k, err)
		},
	}
	bindKV(cmd, &cfg)
	cmd.Flags().StringVar(&cfg.Addr, "addr", "127.0.0.1:2379", "address to listen on")
	return cmd
}

func bindKV(cmd *cobra.Command, cfg *KVConfig) {
	cmd.Flags().IntVar(&cfg.Writes, "writes", 500, "writes a second; 0 for no limit")
	cmd.Flags().IntVar(&cfg.Reads, "reads", 2000, "reads a second; 0 for no limit")
}

func weightsCommand() *cobra.Command {
	var cfg WeightsConfig
	cmd := &cobra.Command{
		Use:   "weights",
		Short: "Run a weight store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			w, err := StartWeights(cfg)
			return runOne(cmd, w, err)
		},
	}
	cmd.Flags().StringVar(&cfg.Addr, "addr", "127.0.0.1:8200", "address to listen on")
	cmd.Flags().IntVar(&cfg.Size, "size", 1<<20, "bytes of one model")
	cmd.Flags().IntVar(&cfg.Rate, "rate", 4<<20, "bytes a second over all readers; 0 for no limit")
	return cmd
}

func hostsCommand() *cobra.Command {
	var cfg HostsConfig
	var entries []string
	cmd := &cobra.Command{
		Use:   "hosts",
		Short: "Run a list of hosts",
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
			return runOne(cmd, h, err)
		},
	}
	cmd.Flags().StringVar(&cfg.Addr, "addr", "127.0.0.1:8300", "address to listen on")
	cmd.Flags().DurationVar(&cfg.Lag, "lag", 10*time.Second, "age of what the list shows")
	cmd.Flags().StringSliceVar(&entries, "entry", nil, "entry host, as PEER/FRONT/CENTRE")
	return cmd
}

// Reads entry hosts of the form PEER/FRONT/CENTRE.
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

// demoConfig is the settings of the demo command.
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
		Short: "Run every system that the endpoints of the documents and the nodes need",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			list, err := startDemo(cfg, args)
			if err != nil {
				return errors.Wrap(firstError(err, killAll(list)), "start demo")
			}
			return runAll(cmd.OutOrStdout(), list)
		},
	}
	bindKV(cmd, &cfg.kv)
	f := cmd.Flags()
	f.StringVar(&cfg.kv.Addr, "kv", "127.0.10.1:2379", "address of the key-value service")
	f.StringVar(&cfg.weights.Addr, "weights", "127.0.10.2:8200", "address of the weight store")
	f.StringVar(&cfg.hosts.Addr, "hosts", "127.0.10.3:8300", "address of the list of hosts")
	f.DurationVar(&cfg.hosts.Lag, "lag", 10*time.Second, "age of what the list of hosts shows")
	f.StringSliceVar(&cfg.entries, "entry", nil, "entry host, as PEER/FRONT/CENTRE")
	f.Float64Var(&cfg.speed, "speed", 1, "how many times faster engines are than their stated costs")
	cfg.weights.Size = 1 << 20
	cfg.weights.Rate = 4 << 20
	return cmd
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func startDemo(cfg demoConfig, documents []string) (list []killer, err error) {
	add := func(k killer, err error) error {
		if err == nil {
			list = append(list, k)
		}
		return err
	}
	entries, err := parseHosts(cfg.entries)
	if err != nil {
		return nil, err
	}
	hosts, err := StartHosts(cfg.hosts)
	if err := add(hosts, err); err != nil {
		return list, err
	}
	hosts.Set(entries)
	kv, err := StartKV(cfg.kv)
	if err := add(kv, err); err != nil {
		return list, err
	}
	weights, err := StartWeights(cfg.weights)
	if err := add(weights, err); err != nil {
		return list, err
	}
	for _, file := range documents {
		text, err := os.ReadFile(file)
		if err != nil {
			return list, errors.Wrap(err, "read document")
		}
		doc, err := spec.Parse(text)
		if err != nil {
			return list, err
		}
		for i := range doc.Services {
			if err := startEndpoints(cfg, &doc.Services[i], add); err != nil {
				return list, err
			}
		}
	}
	return list, nil
}

// Starts a stand-in for each endpoint of a service.
func startEndpoints(cfg demoConfig, s *spec.Service, add func(k killer, err error) error) error {
	for i, e := range s.Endpoints {
		if s.Kind == spec.KindPlain {
			k, err := StartService(ServiceConfig{Addr: e.Addr, Delay: 5 * time.Millisecond})
			if err := add(k, err); err != nil {
				return err
			}
			continue
		}
		k, err := StartEngine(EngineConfig{
			Addr:    e.Addr,
			Name:    e.Name,
			Memory:  e.Memory,
			Slots:   e.Slots,
			Fencing: e.Fencing,
			Speed:   cfg.speed,
			Lag:     500 * time.Millisecond,
			Weights: cfg.weights.Addr,
			Seed:    uint64(i),
		})
		if err := add(k, err); err != nil {
			return err
		}
	}
	return nil
}
