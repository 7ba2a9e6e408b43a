package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/plantaindeck/plantaindeck/client"
	"github.com/plantaindeck/plantaindeck/front"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/spf13/cobra"
)

const nodeTimeout = 3 * time.Second

// nodeStatus is one node's status, or why it is not known.
type nodeStatus struct {
	addr   string
	status front.Status
	err    error
}

func (n nodeStatus) revision(team string) uint64 {
	for _, h := range n.status.Documents {
		if h.Team == team {
			return h.Revision
		}
	}
	return 0
}

// Asks every node of the address list for its status.
func allStatus(ctx context.Context, c *client.Client) ([]nodeStatus, error) {
	addrs, err := c.Addresses(time.Now())
	if err != nil {
		return nil, err
	}
	statuses := make([]nodeStatus, len(addrs))
	for i, addr := range addrs {
		statuses[i].addr = addr
		body, err := c.Ask(ctx, addr, "/v1/status", nodeTimeout)
		if err == nil {
			err = json.Unmarshal(body, &statuses[i].status)
		}
		statuses[i].err = err
	}
	return statuses, nil
}

func statusCommand() *cobra.Command {
	return remoteCommand(&cobra.Command{
		Use:   "status",
		Short: "Show the nodes, the documents in force and who is behind",
		Args:  cobra.NoArgs,
	}, func(ctx context.Context, c *client.Client, out io.Writer, _ []string) error {
		statuses, err := allStatus(ctx, c)
		if err != nil {
			return err
		}
		return printStatus(out, statuses)
	})
}

func printStatus(out io.Writer, statuses []nodeStatus) error {
	newest := map[string]uint64{}
	for _, st := range statuses {
		for _, h := range st.status.Documents {
			newest[h.Team] = max(newest[h.Team], h.Revision)
		}
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "FRONT\tNODE\tCENTRE\tREADY\tWAITING\tRUNNING\tDOCUMENTS")
	for _, st := range statuses {
		if st.err != nil {
			fmt.Fprintf(w, "%s\t\t\tno answer: %v\n", st.addr, st.err)
			continue
		}
		s := st.status
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\t%d\t%s\n", st.addr, s.Node, s.Centre, s.Ready, s.Requests[0], s.Requests[1], documents(st, newest))
	}
	return w.Flush()
}

func documents(st nodeStatus, newest map[string]uint64) string {
	text := ""
	for _, h := range st.status.Documents {
		text += fmt.Sprintf("%s=%d ", h.Team, h.Revision)
		if h.Revision < newest[h.Team] {
			text += "(behind) "
		}
	}
	return text
}

func timelineCommand() *cobra.Command {
	var filter timelineFilter
	cmd := remoteCommand(&cobra.Command{
		Use:   "timeline",
		Short: "Print one time line of events over all nodes",
		Args:  cobra.NoArgs,
	}, func(ctx context.Context, c *client.Client, out io.Writer, _ []string) error {
		entries, err := gather(ctx, c)
		if err != nil {
			return err
		}
		return filter.print(out, entries)
	})
	f := cmd.Flags()
	f.StringVar(&filter.request, "request", "", "only events of this request, its attempts included")
	f.StringVar(&filter.workspace, "workspace", "", "only events of this workspace")
	f.StringVar(&filter.endpoint, "endpoint", "", "only events of this endpoint")
	f.BoolVar(&filter.json, "json", false, "print JSON, one event a line")
	return cmd
}

// Reads the event records of every node and merges them.
func gather(ctx context.Context, c *client.Client) ([]trace.Entry, error) {
	addrs, err := c.Addresses(time.Now())
	if err != nil {
		return nil, err
	}
	var lists [][]trace.Entry
	for _, addr := range addrs {
		body, err := c.Ask(ctx, addr, "/v1/timeline", nodeTimeout)
		if err != nil {
			return nil, err
		}
		var entries []trace.Entry
		if err := json.Unmarshal(body, &entries); err != nil {
			return nil, err
		}
		lists = append(lists, entries)
	}
	return trace.Merge(lists...), nil
}

// timelineFilter selects and prints entries.
type timelineFilter struct {
	request   string
	workspace string
	endpoint  string
	json      bool
}

func (f *timelineFilter) wants(e trace.Entry) bool {
	ofRequest := f.request == "" || e.Request == f.request || len(e.Request) > len(f.request) && e.Request[:len(f.request)+1] == f.request+"."
	return ofRequest && (f.workspace == "" || e.Workspace == f.workspace) && (f.endpoint == "" || e.Endpoint == f.endpoint)
}

func (f *timelineFilter) print(out io.Writer, entries []trace.Entry) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	enc := json.NewEncoder(out)
	for _, e := range entries {
		if !f.wants(e) {
			continue
		}
		if f.json {
			if err := enc.Encode(e); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Time.UTC().Format("15:04:05.000000"), e.Process, e.Kind, e.Request, e.Workspace, e.Endpoint, e.Detail)
	}
	return w.Flush()
}
