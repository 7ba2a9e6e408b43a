// Package cmds contains the commands of the plantaindeck program. Each command
// checks its settings, calls the package that does the work and prints the result.
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

// Exit codes of the program.
const (
	ExitRan     = 0 // the command succeeded; its request, if any, ran and the response is complete
	ExitFailed  = 1 // the command failed
	ExitUsage   = 2 // the command's arguments or settings are invalid
	ExitNotRun  = 3 // the request did not run
	ExitUnknown = 4 // the request may have run
	ExitBroken  = 5 // the request ran, but failed or its response is incomplete
)

// usageError is an error in the arguments or settings of a command.
type usageError struct {
	err error
}

// Error returns the message of the cause.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.err }

// Root returns the root command of the program with all its subcommands.
func Root() *cobra.Command {
	root := &cobra.Command{
		Use:           "plantaindeck",
		Short:         "Serving system for generations of unknown length on heavily loaded engines",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			if err := config.SetFlagsFromEnv(cmd.Flags()); err != nil {
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

// Report prints err, if it is not nil, and returns the exit code for it. For the
// error of a request the exit code tells the outcome of that request.
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

// remoteSettings holds the settings of commands that send requests to a
// deployment.
type remoteSettings struct {
	nodes  []string // addresses of nodes to get the address list from
	centre string   // data centre whose nodes are preferred; may be empty
	token  string   // workspace key or operator's key
}

func (r *remoteSettings) addFlags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringSliceVar(&r.nodes, "nodes", nil, "addresses of nodes to get the address list from")
	f.StringVar(&r.centre, "centre", "", "data centre of the caller, whose nodes are preferred")
	f.StringVar(&r.token, "token", "", "workspace key or operator's key")
}

func (r *remoteSettings) newClient() (*client.Client, error) {
	if len(r.nodes) == 0 {
		return nil, &usageError{errors.New("--nodes: must name at least one node, as IP address and port")}
	}
	return client.New(client.Config{Nodes: r.nodes, Centre: r.centre, Key: r.token}), nil
}

// remoteCommand adds the flags of remoteSettings to cmd and makes it call run with
// a client for these settings. It returns cmd.
func remoteCommand(cmd *cobra.Command, run func(ctx context.Context, c *client.Client, out io.Writer, args []string) error) *cobra.Command {
	var r remoteSettings
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		c, err := r.newClient()
		if err != nil {
			return err
		}
		return run(cmd.Context(), c, cmd.OutOrStdout(), args)
	}
	r.addFlags(cmd)
	return cmd
}
