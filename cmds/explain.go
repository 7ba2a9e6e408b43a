package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/spf13/cobra"
)

func explainCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Show the timeline of one request from the logs of several processes",
		Long: "Show the trace entries of one request in order, and the one that decided its outcome, from the log files\n" +
			"of several processes or from standard input. The clocks of the hosts may differ.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lists, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			return printExplanation(cmd.OutOrStdout(), trace.Explain(args[0], lists...), asJSON)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// readLogs reads the entries of each log file, or those of in if no paths are
// given.
func readLogs(in io.Reader, paths []string) ([][]trace.Entry, error) {
	if len(paths) == 0 {
		list, err := trace.ReadLines(in)
		return [][]trace.Entry{list}, errors.Wrap(err, "read standard input")
	}
	var lists [][]trace.Entry
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "read log")
		}
		list, err := trace.ReadLines(f)
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return nil, errors.Wrapf(err, "read log %s", path)
		}
		lists = append(lists, list)
	}
	return lists, nil
}

// printExplanation prints the timeline of one request and the entry that decided
// its outcome. Times are seconds since the first entry, by the logical clock.
func printExplanation(out io.Writer, timeline trace.Timeline, asJSON bool) error {
	if len(timeline.Entries) == 0 {
		return errors.Errorf("no log entry names request %q", timeline.Request)
	}
	if asJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(timeline)
	}
	start := timeline.Entries[0].Logical
	for _, e := range timeline.Entries {
		fmt.Fprintf(out, "%9.3f s  %-20s %-14s %-14s %s\n", float64(e.Logical-start)/1e6, e.Process, e.Kind, e.Endpoint, e.Detail)
	}
	if timeline.DecidedBy == nil {
		fmt.Fprintln(out, "not settled in these logs")
		return nil
	}
	fmt.Fprintf(out, "settled by: %s at %s: %s\n", timeline.DecidedBy.Kind, timeline.DecidedBy.Process, timeline.DecidedBy.Detail)
	return nil
}
