// Package cmds holds the commands of the plantaindeck program. They are thin:
// each checks its settings and calls the package that does the work.
package cmds

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/client"
	"github.com/plantaindeck/plantaindeck/config"
	"github.com/spf13/cobra"
)

// The exit codes of the program.
const (
	ExitRan     = 0 // the request ran and its answer is whole
	ExitFailed  = 1 // the command failed
	ExitUsage   = 2 // the command's words or settings are wrong
	ExitNotRun  = 3 // the request did not run
	ExitUnknown = 4 // the request may have run
	ExitBroken  = 5 // the request ran, but its answer is not whole
)

// usageError is an error in a command's words or settings.
type usageError struct {
	err error
}

// Error returns the cause's text.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.err }

// Root returns the program's command with all its subcommands.
func Root() *cobra.Command {
	root := &cobra.Command{
		Use:           "plantaindeck",
		Short:         "Serving system for generations of unknown length on crowded engines",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			if err := config.FromEnv(cmd.Flags()); err != nil {
				return &usageError{err}
			}
			return nil
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err} })
	root.AddCommand(nodeCommand(), callCommand(), applyCommand(), getCommand(), diffCommand(),
		historyCommand(), statusCommand(), timelineCommand(), hashCommand(), loadCommand(), platformCommand(), explainCommand())
	return root
}

// Main runs the program and returns its exit code.
func Main() int {
	return Report(os.Stderr, Root().Execute())
}

// Report prints an error and returns the exit code that belongs to it.
func Report(w io.Writer, err error) int {
	if err == nil {
		return ExitRan
	}
	fmt.Fprintln(w, "Error:", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	var api *apierr.Error
	if !errors.As(err, &api) {
		return ExitFailed
	}
	switch api.Outcome {
	case apierr.OutcomeNotRun:
		return ExitNotRun
	case apierr.OutcomeUnknown:
		return ExitUnknown
	}
	return ExitBroken
}

// remote is the settings of commands that talk to a deployment.
type remote struct {
	nodes  []string
	centre string
	token  string
}

func (r *remote) bind(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringSliceVar(&r.nodes, "nodes", nil, "addresses of nodes to ask for the address list")
	f.StringVar(&r.centre, "centre", "", "data centre of the caller, whose nodes are preferred")
	f.StringVar(&r.token, "token", "", "workspace key, or operator's key")
}

func (r *remote) client() (*client.Client, error) {
	if len(r.nodes) == 0 {
		return nil, &usageError{errors.New("--nodes: must name at least one node, as IP number and port")}
	}
	return client.New(client.Config{Nodes: r.nodes, Centre: r.centre, Key: r.token}), nil
}

// remoteCommand returns a command that talks to a deployment: run gets a client
// made of the command's settings.
func remoteCommand(cmd *cobra.Command, run func(ctx context.Context, c *client.Client, out io.Writer, args []string) error) *cobra.Command {
	var r remote
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		c, err := r.client()
		if err != nil {
			return err
		}
		return run(cmd.Context(), c, cmd.OutOrStdout(), args)
	}
	r.bind(cmd)
	return cmd
}
