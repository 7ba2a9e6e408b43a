package front_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/editor"
	"github.com/plantaindeck/plantaindeck/local"
	"github.com/plantaindeck/plantaindeck/node"
	"github.com/plantaindeck/plantaindeck/policy"
	"github.com/plantaindeck/plantaindeck/store"
)

// TestOrderRunsOnceAfterRestoration checks that an order whose claim is lost when the
// key-value service is restored from a copy does not run again under its key: the node
// that claimed it writes the claim again, and until then orders with a key are rejected
// as not run by every node.
func TestOrderRunsOnceAfterRestoration(t *testing.T) {
	d := startDeployment(t, local.Config{Nodes: 2, Services: 1})
	older := d.KV.Copy()
	order := func(key string) request {
		return request{"POST", "/v1/services/orders/orders", "w1-key", `{"n":1}`, map[string]string{"Idempotency-Key": key}}
	}
	status, first, _ := doRequest(t, d.FrontAddr(0), order("lost"))
	qt.Assert(t, status, qt.Equals, 200)
	retryUntilSuccess(t, d, 0, order("lost")) // its response is stored
	for range 2 {
		d.KV.Restore(older)
		// The first request at node 1 creates its claim before the node learns of the
		// restoration.
		for _, key := range []string{"new", "lost", "lost"} {
			status, body, header := doRequest(t, d.FrontAddr(1), order(key))
			assertError(t, status, body, 503, apierr.CodeUnavailable)
			qt.Assert(t, string(header.Peek("Retry-After")), qt.Not(qt.Equals), "")
		}
	}
	qt.Assert(t, orderExecutions(d), qt.Equals, 1)
	time.Sleep(d.Settings(1).ClaimSettle)
	for node := range 2 {
		retryUntilSuccess(t, d, node, order("lost"))
		status, again, _ := doRequest(t, d.FrontAddr(node), order("lost"))
		qt.Assert(t, status, qt.Equals, 200)
		qt.Assert(t, string(again), qt.Equals, string(first))
	}
	qt.Assert(t, orderExecutions(d), qt.Equals, 1)
	retryUntilSuccess(t, d, 1, order("new"))
	qt.Assert(t, orderExecutions(d), qt.Equals, 2)
}

// TestDocumentAfterRestoration checks that the nodes write the document in force again
// after the key-value service has been restored from a copy without it, and that an edit
// accepted before they have done that comes into force as well.
func TestDocumentAfterRestoration(t *testing.T) {
	for _, editFirst := range []bool{false, true} {
		t.Run(fmt.Sprintf("edit in between %v", editFirst), func(t *testing.T) {
			d := startDeployment(t, local.Config{Nodes: 2, Services: 1})
			ctx := context.Background()
			ed := editor.New(store.NewClient(store.Config{Addr: d.KV.Addr(), Timeout: time.Second}))
			edit := func(base uint64, id string) editor.Edit {
				return editor.Edit{Team: "local", Base: base, ID: id, Text: []byte(d.Document)}
			}
			inForce := func(n *node.Node) string {
				rev, _ := policy.Of(n.Daemon().State()).Revision("local")
				return fmt.Sprint(rev.Number, " ", rev.EditID)
			}
			awaitInForce := func(want string) {
				qt.Assert(t, d.Wait(func(n *node.Node) bool { return inForce(n) == want }), qt.IsNil)
			}
			older := d.KV.Copy()
			_, err := ed.Apply(ctx, time.Now(), edit(1, "second"))
			qt.Assert(t, err, qt.IsNil)
			awaitInForce("2 second")
			d.KV.Restore(older)
			last := uint64(2)
			if editFirst {
				// If the nodes have written the lost revision before, the edit is late: it gets
				// a conflict, and the store is restored once more.
				_, err := ed.Apply(ctx, time.Now(), edit(1, "other"))
				var conflict *editor.ConflictError
				for errors.As(err, &conflict) {
					d.KV.Restore(older)
					_, err = ed.Apply(ctx, time.Now(), edit(1, "other"))
				}
				qt.Assert(t, err, qt.IsNil)
				awaitInForce("3 other")
				last = 3
			}
			// The nodes write the lost revision again soon.
			for {
				if r, err := ed.Get(ctx, "local"); err == nil && r.Revision == last {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			_, err = ed.Apply(ctx, time.Now(), edit(last, "later"))
			qt.Assert(t, err, qt.IsNil)
			awaitInForce(fmt.Sprint(last+1, " later"))
		})
	}
}
