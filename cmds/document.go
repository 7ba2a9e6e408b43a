package cmds

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/client"
	"github.com/plantaindeck/plantaindeck/editor"
	"github.com/plantaindeck/plantaindeck/front"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/rogpeppe/go-internal/diff"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
)

const (
	documentTimeout     = 15 * time.Second       // of each attempt to read or edit a document
	inForcePollInterval = 100 * time.Millisecond // between two checks whether a revision is in force
)

func applyCommand() *cobra.Command {
	var base int64
	var wait time.Duration
	cmd := remoteCommand(&cobra.Command{
		Use:   "apply FILE",
		Short: "Change a team's document",
		Long: "Validate a document and make it the team's next revision. The edit is accepted only if nobody else\n" +
			"has changed the document since the revision given by --base or, without it, since the command read it.",
		Args: cobra.ExactArgs(1),
	}, func(ctx context.Context, c *client.Client, out io.Writer, args []string) error {
		return apply(ctx, c, out, args[0], base, wait)
	})
	cmd.Flags().Int64Var(&base, "base", -1, "revision that the change is based on; -1 for the latest")
	cmd.Flags().DurationVar(&wait, "wait", 0, "longest wait until the change is in force on every node; 0 does not wait")
	return cmd
}

// apply submits a file as the next revision of its team's document. If wait is
// more than 0, it then waits until the revision is in force on every node.
func apply(ctx context.Context, c *client.Client, out io.Writer, file string, base int64, wait time.Duration) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read document")
	}
	doc, err := spec.Parse(text)
	if err != nil {
		return &usageError{errors.Errorf("document %s is not valid; nothing was changed:\n%v", file, err)}
	}
	if base < 0 {
		latest, err := latestRecord(ctx, c, doc.Team)
		if err != nil {
			return err
		}
		base = int64(latest.Revision)
	}
	body, err := json.Marshal(front.Edit{Base: uint64(base), ID: rand.Text(), Text: string(text)})
	if err != nil {
		return errors.Wrap(err, "encode edit")
	}
	// The edit can be retried because its ID lets a node recognise an edit that
	// was already accepted.
	var record editor.Record
	if err := doJSON(ctx, c, client.Request{
		Method: fasthttp.MethodPut, Path: "/v1/documents/" + doc.Team, Body: body, Idempotent: true, Timeout: documentTimeout,
	}, &record); err != nil {
		return err
	}
	fmt.Fprintf(out, "team %s is at revision %d\n", record.Team, record.Revision)
	if wait > 0 {
		return waitInForce(ctx, c, out, record, wait)
	}
	return nil
}

// latestRecord returns the latest revision of a team's document. For a team
// without a document it returns a record of revision 0.
func latestRecord(ctx context.Context, c *client.Client, team string) (editor.Record, error) {
	var r editor.Record
	err := readJSON(ctx, c, "/v1/documents/"+team, &r)
	var e *apierr.Error
	if errors.As(err, &e) && e.Code == apierr.CodeNotFound {
		return editor.Record{Team: team}, nil
	}
	return r, err
}

// readJSON reads a path of the deployment and decodes the response into v.
func readJSON(ctx context.Context, c *client.Client, path string, v any) error {
	return doJSON(ctx, c, client.Request{Method: fasthttp.MethodGet, Path: path, Idempotent: true, Timeout: documentTimeout}, v)
}

// doJSON sends a request and decodes the response into v.
func doJSON(ctx context.Context, c *client.Client, r client.Request, v any) error {
	resp, err := c.Do(ctx, r)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(resp.Body, v), "decode response of %s", resp.Addr)
}

// notInForceError says that a revision was accepted, but did not come into force
// on some nodes in time.
type notInForceError struct {
	record editor.Record
	nodes  []string // addresses of these nodes
}

// Error returns a message that names the revision and the nodes.
func (e *notInForceError) Error() string {
	return fmt.Sprintf("team %s revision %d is accepted, but not yet in force on %d nodes: %v", e.record.Team, e.record.Revision, len(e.nodes), e.nodes)
}

// waitInForce waits until a revision is in force on every node. It returns a
// *notInForceError if that takes longer than wait.
func waitInForce(ctx context.Context, c *client.Client, out io.Writer, record editor.Record, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for {
		statuses, err := readStatuses(ctx, c)
		if err != nil {
			return err
		}
		behind := nodesBehind(statuses, record)
		if len(behind) == 0 {
			fmt.Fprintf(out, "in force on %d nodes\n", len(statuses))
			return nil
		}
		if !time.Now().Before(deadline) {
			return &notInForceError{record: record, nodes: behind}
		}
		time.Sleep(inForcePollInterval)
	}
}

// nodesBehind returns the addresses of the nodes that have an earlier revision in
// force or whose status could not be read.
func nodesBehind(statuses []nodeStatus, record editor.Record) []string {
	var behind []string
	for _, st := range statuses {
		if st.err != nil || st.revision(record.Team) < record.Revision {
			behind = append(behind, st.addr)
		}
	}
	return behind
}

func getCommand() *cobra.Command {
	return remoteCommand(&cobra.Command{
		Use:   "get TEAM",
		Short: "Print a team's document",
		Args:  cobra.ExactArgs(1),
	}, func(ctx context.Context, c *client.Client, out io.Writer, args []string) error {
		var record editor.Record
		if err := readJSON(ctx, c, "/v1/documents/"+args[0], &record); err != nil {
			return err
		}
		_, err := fmt.Fprint(out, record.Text)
		return err
	})
}

func diffCommand() *cobra.Command {
	return remoteCommand(&cobra.Command{
		Use:   "diff FILE",
		Short: "Show how a file differs from the latest revision of the team's document",
		Args:  cobra.ExactArgs(1),
	}, func(ctx context.Context, c *client.Client, out io.Writer, args []string) error {
		text, err := os.ReadFile(args[0])
		if err != nil {
			return errors.Wrap(err, "read document")
		}
		doc, err := spec.Parse(text)
		if err != nil {
			return &usageError{errors.Errorf("document %s is not valid:\n%v", args[0], err)}
		}
		old, err := latestRecord(ctx, c, doc.Team)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("revision %d", old.Revision)
		_, err = out.Write(diff.Diff(name, []byte(old.Text), args[0], text))
		return err
	})
}

func historyCommand() *cobra.Command {
	return remoteCommand(&cobra.Command{
		Use:   "history TEAM",
		Short: "List the revisions of a team's document",
		Args:  cobra.ExactArgs(1),
	}, func(ctx context.Context, c *client.Client, out io.Writer, args []string) error {
		var records []editor.Record
		if err := readJSON(ctx, c, "/v1/documents/"+args[0]+"/history", &records); err != nil {
			return err
		}
		for _, rec := range records {
			fmt.Fprintf(out, "%d\t%s\t%s\t%d bytes\n", rec.Revision, rec.Time.UTC().Format(time.RFC3339), rec.Author, len(rec.Text))
		}
		return nil
	})
}

func hashCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "hash KEY",
		Short: "Print the hashed form of a key, as documents and settings contain it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), spec.HashKey(args[0]))
			return err
		},
	}
}
