// Package trial compares ways to place requests on engines: the deployment
// itself and baselines that send to the engines directly, on the same
// arrivals, in turn, over real nodes and stand-in engines in one process.
package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/fakes"
	"github.com/plantaindeck/plantaindeck/load"
	"github.com/plantaindeck/plantaindeck/local"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/spf13/cobra"
)

// System is the policy of the deployment itself, beside the baselines.
const System load.Policy = "plantaindeck"

const (
	saturation    = 3.0 // times the engines' plain token rate, for calibration
	calibrateTime = 20 * time.Second
	spaces        = 10
)

// Config describes a comparison.
type Config struct {
	Mix      string
	Policies []string
	Loads    []float64 // parts of the engines' capacity
	Seeds    int
	Duration time.Duration
	Engines  int
	Nodes    int
	Memory   int
	Slots    int
	Speed    float64
	Rate     float64 // requests a second at full capacity; 0 measures it
	Lose     bool    // an engine dies in the middle of each run
	JSON     string  // file for the numbers
}

// Command returns the command that runs a comparison.
func Command() *cobra.Command {
	var cfg Config
	cmd := &cobra.Command{
		Use:   "compare",
		Short: "Compare the deployment with baselines on the same arrivals",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return cfg.Run(context.Background(), cmd.OutOrStdout(), cmd.ErrOrStderr())
		},
	}
	f := cmd.Flags()
	f.StringVar(&cfg.Mix, "mix", "omaheke", "workload: omaheke or kalamata")
	f.StringSliceVar(&cfg.Policies, "policies", []string{string(System), string(load.RoundRobin), string(load.Fewest), string(load.TwoChoices)}, "what to compare")
	f.Float64SliceVar(&cfg.Loads, "loads", []float64{0.95}, "loads, as parts of the engines' capacity")
	f.IntVar(&cfg.Seeds, "seeds", 5, "runs of each policy and load")
	f.DurationVar(&cfg.Duration, "duration", 30*time.Second, "length of a run")
	f.IntVar(&cfg.Engines, "engines", 4, "number of engines")
	f.IntVar(&cfg.Nodes, "nodes", 4, "number of nodes")
	f.IntVar(&cfg.Memory, "memory", 24000, "KV-cache memory of an engine, tokens")
	f.IntVar(&cfg.Slots, "slots", 64, "sequences in one batch of an engine")
	f.Float64Var(&cfg.Speed, "speed", 2, "how many times faster engines are than their stated costs")
	f.Float64Var(&cfg.Rate, "rate", 0, "requests a second at full capacity; 0 measures it")
	f.BoolVar(&cfg.Lose, "lose", false, "an engine dies in the middle of each run")
	f.StringVar(&cfg.JSON, "json", "", "file for the numbers")
	return cmd
}

func (cfg Config) mix() (load.Mix, spec.Weigh, error) {
	switch cfg.Mix {
	case load.Omaheke.Name:
		return load.Omaheke, spec.Weigh{Gap: 8, Stall: 3, Preempt: 2}, nil
	case load.Kalamata.Name:
		return load.Kalamata, spec.Weigh{Gap: 2, Stall: 8, Preempt: 8}, nil
	}
	return load.Mix{}, spec.Weigh{}, errors.Errorf("--mix: must be omaheke or kalamata, not %q", cfg.Mix)
}

// Line is one kind of request in one run, with what happened at the engines.
type Line struct {
	load.Summary
	Load      float64 `json:"load"`
	Preempted int     `json:"preempted"` // by all engines, for all kinds
}

// Run carries out the comparison and prints its table.
func (cfg Config) Run(ctx context.Context, out, log io.Writer) error {
	mix, _, err := cfg.mix()
	if err != nil {
		return err
	}
	rate := cfg.Rate
	if rate == 0 {
		if rate, err = cfg.calibrate(ctx, mix); err != nil {
			return err
		}
		fmt.Fprintf(log, "capacity: %.2f requests a second\n", rate)
	}
	var lines []Line
	for _, part := range cfg.Loads {
		for seed := range cfg.Seeds {
			for _, p := range cfg.Policies {
				plan := cfg.plan(mix, rate*part, uint64(seed+1), cfg.Duration)
				got, err := cfg.one(ctx, load.Policy(p), plan, cfg.Duration)
				if err != nil {
					return err
				}
				for i := range got {
					got[i].Load = part
				}
				lines = append(lines, got...)
				fmt.Fprintf(log, "load %.2f seed %d %s done\n", part, seed+1, p)
			}
		}
	}
	if err := medians(out, lines); err != nil {
		return err
	}
	return cfg.write(lines)
}

func (cfg Config) write(lines []Line) error {
	if cfg.JSON == "" {
		return nil
	}
	data, err := json.MarshalIndent(lines, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode numbers")
	}
	return errors.Wrap(os.WriteFile(cfg.JSON, data, 0o644), "write numbers")
}

func (cfg Config) plan(mix load.Mix, rate float64, seed uint64, d time.Duration) load.Plan {
	shares := make([]float64, spaces)
	for i := range shares {
		shares[i] = 1
	}
	shares[0], shares[1] = 12, 6 // a few large workspaces
	return load.Plan{Mix: mix, Rate: rate, Duration: d, Workspaces: shares, Seed: seed}
}

// Measures the requests a second that the engines finish when they always have
// work.
func (cfg Config) calibrate(ctx context.Context, mix load.Mix) (float64, error) {
	batch := float64(cfg.Memory) / 1500
	rate := saturation * float64(cfg.Engines) * batch * 25 * cfg.Speed / mix.Tokens()
	got, err := cfg.one(ctx, load.Fewest, cfg.plan(mix, rate, 99, calibrateTime), calibrateTime)
	if err != nil {
		return 0, err
	}
	tokens := 0.0
	for _, l := range got {
		tokens += l.Tokens
	}
	return tokens / mix.Tokens(), nil
}

// Carries out one run of a policy on a deployment of its own.
func (cfg Config) one(ctx context.Context, p load.Policy, plan load.Plan, d time.Duration) ([]Line, error) {
	_, weigh, err := cfg.mix()
	if err != nil {
		return nil, err
	}
	dep, err := local.Start(ctx, local.Config{
		Nodes: cfg.Nodes, Engines: cfg.Engines, Spaces: spaces, Weigh: weigh,
		Engine: fakes.EngineConfig{Memory: cfg.Memory, Slots: cfg.Slots, Speed: cfg.Speed, Lag: 500 * time.Millisecond},
	})
	if err != nil {
		return nil, err
	}
	defer dep.Close()
	run := load.Run{
		Plan: plan, Arrivals: plan.Arrivals(), Target: cfg.target(dep, p, plan.Seed),
		Drain: 0, Limit: time.Duration(float64(load.GapLimit) / cfg.Speed),
	}
	if cfg.Lose {
		lost := time.AfterFunc(d/2, func() { _ = dep.Engines[0].Kill() })
		defer lost.Stop()
	}
	results := run.Do(ctx)
	preempted := 0
	for _, e := range dep.Engines {
		preempted += e.Counts().Preempted
	}
	var lines []Line
	for i, r := range results {
		s := r.Summary(string(p), plan.Seed, plan.Mix.Kinds[i].Name, d.Seconds())
		lines = append(lines, Line{Summary: s, Preempted: preempted})
	}
	return lines, nil
}

func (cfg Config) target(dep *local.Deployment, p load.Policy, seed uint64) load.Target {
	if p == System {
		t := load.Nodes{Service: "llm"}
		for i := range spaces {
			t.Clients = append(t.Clients, dep.Client(fmt.Sprintf("w%d", i+1)))
		}
		return t
	}
	var addrs []string
	for _, e := range dep.Engines {
		addrs = append(addrs, e.Addr())
	}
	return load.Engines{Chooser: load.NewChooser(p, addrs, seed)}
}

// Prints the median over the seeds, with the smallest and the largest value,
// for each load, policy and kind.
func medians(out io.Writer, lines []Line) error {
	type group struct {
		load   float64
		kind   string
		policy string
	}
	var order []group
	groups := map[group][]Line{}
	for _, l := range lines {
		g := group{l.Load, l.Kind, l.Policy}
		if _, ok := groups[g]; !ok {
			order = append(order, g)
		}
		groups[g] = append(groups[g], l)
	}
	columns := []struct {
		name string
		of   func(l Line) float64
	}{
		{"done/s", func(l Line) float64 { return l.PerSec }},
		{"tokens/s", func(l Line) float64 { return l.Tokens }},
		{"first50", func(l Line) float64 { return l.First50 }},
		{"first95", func(l Line) float64 { return l.First95 }},
		{"gap50", func(l Line) float64 { return l.Gap50 }},
		{"gap95", func(l Line) float64 { return l.Gap95 }},
		{"gap99", func(l Line) float64 { return l.Gap99 }},
		{"stall s", func(l Line) float64 { return l.Stall }},
		{"preempted", func(l Line) float64 { return float64(l.Preempted) }},
	}
	fmt.Fprintf(out, "%-5s %-9s %-13s", "load", "kind", "policy")
	for _, c := range columns {
		fmt.Fprintf(out, " %24s", c.name)
	}
	fmt.Fprintln(out)
	for _, g := range order {
		fmt.Fprintf(out, "%-5.2f %-9s %-13s", g.load, g.kind, g.policy)
		for _, c := range columns {
			var values []float64
			for _, l := range groups[g] {
				values = append(values, c.of(l))
			}
			slices.Sort(values)
			fmt.Fprintf(out, " %24s", fmt.Sprintf("%.1f [%.1f %.1f]", values[len(values)/2], values[0], values[len(values)-1]))
		}
		if _, err := fmt.Fprintln(out); err != nil {
			return err
		}
	}
	return nil
}
