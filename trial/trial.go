// Package trial compares policies for placing requests on engines. One policy is
// the deployment itself; the others are baselines that send requests directly to
// the engines. Each policy gets the same arrivals, in a run of its own, with real
// nodes and fake engines in one process.
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

// DeploymentPolicy is the policy that sends requests through the deployment. The
// other policies are the baselines of package load.
const DeploymentPolicy load.Policy = "plantaindeck"

const (
	saturationFactor    = 3.0 // load offered for calibration, in multiples of the engines' estimated token rate
	calibrationDuration = 20 * time.Second
	workspaceCount      = 10 // in the documents of the deployments
)

// Config holds the settings of a comparison.
type Config struct {
	Mix        string    // name of the workload
	Policies   []string  // policies to compare
	Loads      []float64 // offered loads, as fractions of the capacity
	Seeds      int       // number of runs for each policy and load, with the seeds 1, 2 and so on
	Duration   time.Duration
	Engines    int     // number of engines
	Nodes      int     // number of nodes
	Memory     int     // KV cache of an engine, tokens
	Slots      int     // largest number of sequences in a batch of an engine
	Speed      float64 // factor by which engines are faster than their modelled costs
	Capacity   float64 // requests per second that the engines can finish; 0 measures it
	KillEngine bool    // whether one engine is killed in the middle of each run
	JSONFile   string  // file to which the rows are written; empty for none
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
	f.StringSliceVar(&cfg.Policies, "policies", []string{string(DeploymentPolicy), string(load.RoundRobin), string(load.FewestInFlight), string(load.TwoChoices)}, "policies to compare")
	f.Float64SliceVar(&cfg.Loads, "loads", []float64{0.95}, "offered loads, as fractions of the engines' capacity")
	f.IntVar(&cfg.Seeds, "seeds", 5, "number of runs for each policy and load")
	f.DurationVar(&cfg.Duration, "duration", 30*time.Second, "time during which requests arrive in a run")
	f.IntVar(&cfg.Engines, "engines", 4, "number of engines")
	f.IntVar(&cfg.Nodes, "nodes", 4, "number of nodes")
	f.IntVar(&cfg.Memory, "memory", 24000, "KV cache of an engine, tokens")
	f.IntVar(&cfg.Slots, "slots", 64, "largest number of sequences in a batch of an engine")
	f.Float64Var(&cfg.Speed, "speed", 2, "factor by which engines are faster than their modelled costs")
	f.Float64Var(&cfg.Capacity, "rate", 0, "requests per second that the engines can finish; 0 measures it")
	f.BoolVar(&cfg.KillEngine, "lose", false, "kill one engine in the middle of each run")
	f.StringVar(&cfg.JSONFile, "json", "", "file to which the figures are written as JSON; empty for none")
	return cmd
}

// mixAndWeights returns the mix of the configured name and the weights that the
// document of the deployment gives to the measures of service quality.
func (cfg Config) mixAndWeights() (load.Mix, spec.Weights, error) {
	switch cfg.Mix {
	case load.Omaheke.Name:
		return load.Omaheke, spec.Weights{Gap: 8, Stall: 3, Preempt: 2}, nil
	case load.Kalamata.Name:
		return load.Kalamata, spec.Weights{Gap: 2, Stall: 8, Preempt: 8}, nil
	}
	return load.Mix{}, spec.Weights{}, errors.Errorf("--mix: must be omaheke or kalamata, not %q", cfg.Mix)
}

// Row contains the figures of one kind of request in one run, and the preemptions
// in that run.
type Row struct {
	load.Summary
	Load      float64 `json:"load"`      // as in Config.Loads
	Preempted int     `json:"preempted"` // by all engines, for all kinds of request
}

// Run carries out the comparison and prints a table of medians to out. It writes
// the rows to the JSON file, if there is one, and reports its progress to log.
func (cfg Config) Run(ctx context.Context, out, log io.Writer) error {
	mix, _, err := cfg.mixAndWeights()
	if err != nil {
		return err
	}
	rate := cfg.Capacity
	if rate == 0 {
		if rate, err = cfg.calibrate(ctx, mix); err != nil {
			return err
		}
		fmt.Fprintf(log, "capacity: %.2f requests per second\n", rate)
	}
	var rows []Row
	for _, fraction := range cfg.Loads {
		for seed := range cfg.Seeds {
			for _, policy := range cfg.Policies {
				plan := cfg.makePlan(mix, rate*fraction, uint64(seed+1), cfg.Duration)
				runRows, err := cfg.runOnce(ctx, load.Policy(policy), plan, cfg.Duration)
				if err != nil {
					return err
				}
				for i := range runRows {
					runRows[i].Load = fraction
				}
				rows = append(rows, runRows...)
				fmt.Fprintf(log, "load %.2f seed %d %s done\n", fraction, seed+1, policy)
			}
		}
	}
	if err := printMedians(out, rows); err != nil {
		return err
	}
	return cfg.writeJSON(rows)
}

// writeJSON writes the rows to the JSON file, if there is one.
func (cfg Config) writeJSON(rows []Row) error {
	if cfg.JSONFile == "" {
		return nil
	}
	data, err := json.MarshalIndent(rows, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode figures")
	}
	return errors.Wrap(os.WriteFile(cfg.JSONFile, data, 0o644), "write figures")
}

// makePlan returns a plan at a rate in requests per second. Two workspaces send
// most of the requests.
func (cfg Config) makePlan(mix load.Mix, rate float64, seed uint64, d time.Duration) load.Plan {
	weights := make([]float64, workspaceCount)
	for i := range weights {
		weights[i] = 1
	}
	weights[0], weights[1] = 12, 6
	return load.Plan{Mix: mix, Rate: rate, Duration: d, WorkspaceWeights: weights, Seed: seed}
}

// calibrate measures the capacity: the requests per second that the engines finish
// when they are saturated. The rate offered for that is estimated: a sequence takes
// up about 1500 tokens of memory, and decodes about 25 tokens per second at speed 1.
func (cfg Config) calibrate(ctx context.Context, mix load.Mix) (float64, error) {
	batch := float64(cfg.Memory) / 1500
	rate := saturationFactor * float64(cfg.Engines) * batch * 25 * cfg.Speed / mix.MeanOutputTokens()
	rows, err := cfg.runOnce(ctx, load.FewestInFlight, cfg.makePlan(mix, rate, 99, calibrationDuration), calibrationDuration)
	if err != nil {
		return 0, err
	}
	tokens := 0.0
	for _, row := range rows {
		tokens += row.TokensPerSecond
	}
	return tokens / mix.MeanOutputTokens(), nil
}

// runOnce carries out one run of a policy on a new deployment and returns a row for
// each kind of request.
func (cfg Config) runOnce(ctx context.Context, policy load.Policy, plan load.Plan, duration time.Duration) ([]Row, error) {
	_, weights, err := cfg.mixAndWeights()
	if err != nil {
		return nil, err
	}
	dep, err := local.Start(ctx, local.Config{
		Nodes: cfg.Nodes, Engines: cfg.Engines, Workspaces: workspaceCount, Weigh: weights,
		Engine: fakes.EngineConfig{Memory: cfg.Memory, Slots: cfg.Slots, Speed: cfg.Speed, Lag: 500 * time.Millisecond},
	})
	if err != nil {
		return nil, err
	}
	defer dep.Close()
	run := load.Run{
		Plan: plan, Arrivals: plan.Arrivals(), Target: cfg.target(dep, policy, plan.Seed),
		DrainTimeout: 0, StallThreshold: time.Duration(float64(load.StallThreshold) / cfg.Speed),
	}
	if cfg.KillEngine {
		kill := time.AfterFunc(duration/2, func() { _ = dep.Engines[0].Kill() })
		defer kill.Stop()
	}
	results := run.Do(ctx)
	preempted := 0
	for _, e := range dep.Engines {
		preempted += e.Counts().Preempted
	}
	var rows []Row
	for i, result := range results {
		s := result.Summary(string(policy), plan.Seed, plan.Mix.Kinds[i].Name, duration.Seconds())
		rows = append(rows, Row{Summary: s, Preempted: preempted})
	}
	return rows, nil
}

// target returns where a policy sends its requests.
func (cfg Config) target(dep *local.Deployment, policy load.Policy, seed uint64) load.Target {
	if policy == DeploymentPolicy {
		nodes := load.NodeTarget{Service: "llm"}
		for i := range workspaceCount {
			nodes.Clients = append(nodes.Clients, dep.Client(fmt.Sprintf("w%d", i+1)))
		}
		return nodes
	}
	var addrs []string
	for _, e := range dep.Engines {
		addrs = append(addrs, e.Addr())
	}
	return load.EngineTarget{Chooser: load.NewChooser(policy, addrs, seed)}
}

// printMedians prints a table with the median, smallest and largest value over the
// seeds, for each load, kind of request and policy.
func printMedians(out io.Writer, rows []Row) error {
	type group struct {
		load   float64
		kind   string
		policy string
	}
	var order []group
	groups := map[group][]Row{}
	for _, row := range rows {
		g := group{row.Load, row.Kind, row.Policy}
		if _, ok := groups[g]; !ok {
			order = append(order, g)
		}
		groups[g] = append(groups[g], row)
	}
	columns := []struct {
		name  string
		value func(row Row) float64
	}{
		{"done/s", func(row Row) float64 { return row.CompletePerSecond }},
		{"tokens/s", func(row Row) float64 { return row.TokensPerSecond }},
		{"first50", func(row Row) float64 { return row.First50 }},
		{"first95", func(row Row) float64 { return row.First95 }},
		{"gap50", func(row Row) float64 { return row.Gap50 }},
		{"gap95", func(row Row) float64 { return row.Gap95 }},
		{"gap99", func(row Row) float64 { return row.Gap99 }},
		{"stall s", func(row Row) float64 { return row.StallSeconds }},
		{"preempted", func(row Row) float64 { return float64(row.Preempted) }},
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
			for _, row := range groups[g] {
				values = append(values, c.value(row))
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
