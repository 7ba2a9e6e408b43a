package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/client"
	"github.com/plantaindeck/plantaindeck/load"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/spf13/cobra"
)

const (
	progressInterval = 5 * time.Second // between two reports of progress
	demoKeySuffix    = "-demo-key"     // of the workspace keys in the example documents
)

// loadSettings holds the settings of the load command.
type loadSettings struct {
	remoteSettings
	document string
	service  string
	mix      string
	rate     float64
	duration time.Duration
	drain    time.Duration
	seed     uint64
	suffix   string
	keys     []string
	asJSON   bool
}

func loadCommand() *cobra.Command {
	var s loadSettings
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send seeded random requests to a deployment and measure what callers see",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			plan, clients, err := s.makePlan()
			if err != nil {
				return &usageError{err}
			}
			return s.run(cmd.Context(), cmd.OutOrStdout(), cmd.ErrOrStderr(), plan, clients)
		},
	}
	s.addFlags(cmd)
	f := cmd.Flags()
	f.StringVar(&s.document, "document", "examples/omaheke.yaml", "file of the document that names the workspaces and their shares")
	f.StringVar(&s.service, "service", "llm-desk", "model service to send to")
	f.StringVar(&s.mix, "mix", load.Omaheke.Name, "workload: omaheke or kalamata")
	f.Float64Var(&s.rate, "rate", 10, "requests per second")
	f.DurationVar(&s.duration, "duration", 30*time.Second, "time during which requests are sent")
	f.DurationVar(&s.drain, "drain", 30*time.Second, "longest wait for responses in progress after --duration")
	f.Uint64Var(&s.seed, "seed", 1, "seed of the arrivals")
	f.StringVar(&s.suffix, "suffix", demoKeySuffix, "suffix that makes a workspace's name its key, for workspaces without one in --keys")
	f.StringSliceVar(&s.keys, "keys", nil, "keys of the workspaces, in the order of the document")
	f.BoolVar(&s.asJSON, "json", false, "print JSON")
	return cmd
}

// makePlan checks the settings, reads the document and returns the plan of the run
// and a client for each workspace.
func (s *loadSettings) makePlan() (load.Plan, []*client.Client, error) {
	if len(s.nodes) == 0 {
		return load.Plan{}, nil, errors.New("--nodes: must name at least one node, as IP address and port")
	}
	if s.rate <= 0 || s.duration <= 0 {
		return load.Plan{}, nil, errors.New("--rate and --duration: must be more than 0")
	}
	mix, ok := map[string]load.Mix{load.Omaheke.Name: load.Omaheke, load.Kalamata.Name: load.Kalamata}[s.mix]
	if !ok {
		return load.Plan{}, nil, errors.Errorf("--mix: must be omaheke or kalamata, not %q", s.mix)
	}
	text, err := os.ReadFile(s.document)
	if err != nil {
		return load.Plan{}, nil, errors.Wrap(err, "read document")
	}
	doc, err := spec.Parse(text)
	if err != nil {
		return load.Plan{}, nil, err
	}
	plan := load.Plan{Mix: mix, Rate: s.rate, Duration: s.duration, Seed: s.seed}
	var clients []*client.Client
	for i, w := range doc.Workspaces {
		key := w.Name + s.suffix
		if i < len(s.keys) {
			key = s.keys[i]
		}
		plan.WorkspaceWeights = append(plan.WorkspaceWeights, float64(w.Share))
		clients = append(clients, client.New(client.Config{Nodes: s.nodes, Centre: s.centre, Key: key}))
	}
	return plan, clients, nil
}

// run carries out the plan, prints its progress to log and the results to out.
func (s *loadSettings) run(ctx context.Context, out, log io.Writer, plan load.Plan, clients []*client.Client) error {
	lastReport := time.Now()
	run := load.Run{
		Plan:           plan,
		Arrivals:       plan.Arrivals(),
		Target:         load.NodeTarget{Clients: clients, Service: s.service},
		DrainTimeout:   s.drain,
		StallThreshold: load.StallThreshold,
		Progress: func(sent, total int) {
			if time.Since(lastReport) >= progressInterval {
				lastReport = time.Now()
				fmt.Fprintf(log, "%d of %d requests sent\n", sent, total)
			}
		},
	}
	var summaries []load.Summary
	for i, r := range run.Do(ctx) {
		summaries = append(summaries, r.Summary("plantaindeck", plan.Seed, plan.Mix.Kinds[i].Name, plan.Duration.Seconds()))
	}
	if s.asJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(summaries)
	}
	return load.WriteTable(out, summaries)
}
