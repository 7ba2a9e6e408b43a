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

const nodeRequestTimeout = 3 * time.Second // of one request for a node's status or trace entries

// nodeStatus is the status of one node, or the error of reading it.
type nodeStatus struct {
	addr   string
	status front.Status
	err    error
}

// revision returns the revision of a team's document that is in force on the node,
// or 0 for none.
func (n nodeStatus) revision(team string) uint64 {
	for _, doc := range n.status.Documents {
		if doc.Team == team {
			return doc.Revision
		}
	}
	return 0
}

// readStatuses reads the status of every node of the address list.
func readStatuses(ctx context.Context, c *client.Client) ([]nodeStatus, error) {
	addrs, err := c.Addresses(time.Now())
	if err != nil {
		return nil, err
	}
	statuses := make([]nodeStatus, len(addrs))
	for i, addr := range addrs {
		statuses[i].addr = addr
		body, err := c.Get(ctx, addr, "/v1/status", nodeRequestTimeout)
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
		Short: "Show the nodes, the document revisions in force and the nodes that are behind",
		Args:  cobra.NoArgs,
	}, func(ctx context.Context, c *client.Client, out io.Writer, _ []string) error {
		statuses, err := readStatuses(ctx, c)
		if err != nil {
			return err
		}
		return printStatus(out, statuses)
	})
}

// printStatus prints a table of nodes. A document is marked as behind if another
// node has a later revision in force.
func printStatus(out io.Writer, statuses []nodeStatus) error {
	newest := map[string]uint64{}
	for _, st := range statuses {
		for _, doc := range st.status.Documents {
			newest[doc.Team] = max(newest[doc.Team], doc.Revision)
		}
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "FRONT\tNODE\tCENTRE\tREADY\tWAITING\tRUNNING\tDOCUMENTS")
	for _, st := range statuses {
		if st.err != nil {
			fmt.Fprintf(w, "%s\t\t\tno response: %v\n", st.addr, st.err)
			continue
		}
		s := st.status
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\t%d\t%s\n", st.addr, s.Node, s.Centre, s.Ready, s.Requests[0], s.Requests[1], formatRevisions(st, newest))
	}
	return w.Flush()
}

// formatRevisions returns the revisions in force on a node and marks those that
// are older than in newest, which holds the highest revision of each team that is
// in force on any node.
func formatRevisions(st nodeStatus, newest map[string]uint64) string {
	text := ""
	for _, doc := range st.status.Documents {
		text += fmt.Sprintf("%s=%d ", doc.Team, doc.Revision)
		if doc.Revision < newest[doc.Team] {
			text += "(behind) "
		}
	}
	return text
}

func timelineCommand() *cobra.Command {
	var filter timelineFilter
	cmd := remoteCommand(&cobra.Command{
		Use:   "timeline",
		Short: "Print the trace entries of all nodes in one timeline",
		Args:  cobra.NoArgs,
	}, func(ctx context.Context, c *client.Client, out io.Writer, _ []string) error {
		entries, err := readTimeline(ctx, c)
		if err != nil {
			return err
		}
		return filter.print(out, entries)
	})
	f := cmd.Flags()
	f.StringVar(&filter.request, "request", "", "only entries of this request and its attempts")
	f.StringVar(&filter.workspace, "workspace", "", "only entries of this workspace")
	f.StringVar(&filter.endpoint, "endpoint", "", "only entries of this endpoint")
	f.BoolVar(&filter.asJSON, "json", false, "print JSON, one entry per line")
	return cmd
}

// readTimeline reads the trace entries of every node and merges them. It fails if
// those of a node cannot be read.
func readTimeline(ctx context.Context, c *client.Client) ([]trace.Entry, error) {
	addrs, err := c.Addresses(time.Now())
	if err != nil {
		return nil, err
	}
	var lists [][]trace.Entry
	for _, addr := range addrs {
		body, err := c.Get(ctx, addr, "/v1/timeline", nodeRequestTimeout)
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

// timelineFilter holds the settings of the timeline command. An empty field selects
// all entries.
type timelineFilter struct {
	request   string
	workspace string
	endpoint  string
	asJSON    bool
}

// matches reports whether an entry is selected. The ID of an attempt is that of its
// request, a dot and a number.
func (f *timelineFilter) matches(e trace.Entry) bool {
	sameRequest := f.request == "" || e.Request == f.request || len(e.Request) > len(f.request) && e.Request[:len(f.request)+1] == f.request+"."
	return sameRequest && (f.workspace == "" || e.Workspace == f.workspace) && (f.endpoint == "" || e.Endpoint == f.endpoint)
}

func (f *timelineFilter) print(out io.Writer, entries []trace.Entry) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	enc := json.NewEncoder(out)
	for _, e := range entries {
		if !f.matches(e) {
			continue
		}
		if f.asJSON {
			if err := enc.Encode(e); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Time.UTC().Format("15:04:05.000000"), e.Process, e.Kind, e.Request, e.Workspace, e.Endpoint, e.Detail)
	}
	return w.Flush()
}
