package check_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/check"
	"github.com/plantaindeck/plantaindeck/client"
	"github.com/plantaindeck/plantaindeck/editor"
	"github.com/plantaindeck/plantaindeck/fakes"
	"github.com/plantaindeck/plantaindeck/local"
	"github.com/plantaindeck/plantaindeck/policy"
	"github.com/plantaindeck/plantaindeck/store"
)

const (
	nodeCount           = 3
	callerCount         = 4
	operationsPerCaller = 5
	expectedRunTime     = 30 * time.Second // upper estimate; the calls of a run are cancelled after twice this time
	faultInterval       = 120 * time.Millisecond
)

// run is one concurrent run of a deployment and the histories that it records.
type run struct {
	t             *testing.T
	d             *local.Deployment
	ctx           context.Context
	started       time.Time             // time 0 of the histories
	mu            sync.Mutex            // guards the histories, notRun and foreignTokens
	orders        []porcupine.Operation // of check.Call
	tokens        []porcupine.Operation // of check.Token
	edits         []porcupine.Operation // of check.DocumentAccess
	revisions     []porcupine.Operation // of check.NodeRevision
	notRun        []string              // ids of the requests that were reported as not run
	faultCount    int
	foreignTokens int            // tokens of the response to another request
	incarnations  [nodeCount]int // number of replacements of each node; guarded by nodesMu
	nodesMu       sync.RWMutex   // held for writing while a node is replaced
}

// now returns the time since the start of the run in nanoseconds.
func (r *run) now() int64 { return int64(time.Since(r.started)) }

// record adds an operation that began at start and ends now to a history.
func (r *run) record(list *[]porcupine.Operation, caller int, input any, start int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, porcupine.Operation{ClientId: caller, Input: input, Call: start, Return: r.now()})
}

// TestHistories checks the guarantees of package check while callers, editors and
// injected faults run at the same time.
func TestHistories(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := newRun(t)
			r.drive(seed)
			r.verify()
		})
	}
}

func newRun(t *testing.T) *run {
	d, err := local.Start(context.Background(), local.Config{
		Nodes: nodeCount, Engines: 2, Services: 1, Workspaces: 2,
		Engine: fakes.EngineConfig{Memory: 20000, Slots: 32, Speed: 20},
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(d.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 2*expectedRunTime)
	t.Cleanup(cancel)
	return &run{t: t, d: d, ctx: ctx, started: time.Now()}
}

// drive runs callers and editors, and observes revisions and injects faults until
// they are done.
func (r *run) drive(seed uint64) {
	var callers, background sync.WaitGroup
	done := make(chan struct{})
	for i := range callerCount {
		callers.Go(func() { r.sendOrders(i, rand.New(rand.NewPCG(seed, uint64(i)))) })
		callers.Go(func() { r.readStreams(callerCount+i, rand.New(rand.NewPCG(seed, uint64(50+i)))) })
	}
	for i := range 2 {
		callers.Go(func() { r.editDocument(2*callerCount+i, rand.New(rand.NewPCG(seed, uint64(90+i)))) })
	}
	background.Go(func() { r.observeRevisions(done) })
	background.Go(func() { r.injectFaults(done, rand.New(rand.NewPCG(seed, 100))) })
	callers.Wait()
	close(done)
	background.Wait()
}

// sendOrders sends calls that must be executed at most once.
func (r *run) sendOrders(caller int, rnd *rand.Rand) {
	c := r.d.Client("w1")
	for n := range operationsPerCaller {
		// Half of the calls use a key that all callers share, so that calls with
		// equal keys overlap.
		key := fmt.Sprintf("own-%d-%d", caller, n)
		if rnd.IntN(2) == 0 {
			key = fmt.Sprint("shared-", n)
		}
		start := r.now()
		resp, err := c.Do(r.ctx, client.Request{Method: "POST", Path: "/v1/services/orders/orders", IdempotencyKey: key, Body: []byte(`{}`), Timeout: 5 * time.Second})
		op := check.Call{IdempotencyKey: key, Outcome: apierr.OutcomeRan}
		var e *apierr.Error
		if errors.As(err, &e) {
			op.Outcome = e.Outcome
			r.recordNotRun(e)
		} else {
			var got struct{ Number int }
			qt.Check(r.t, json.Unmarshal(resp.Body, &got), qt.IsNil)
			op.Execution = got.Number
		}
		r.record(&r.orders, caller, op, start)
	}
}

// recordNotRun records the request of an error that reports it as not run.
func (r *run) recordNotRun(e *apierr.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Outcome == apierr.OutcomeNotRun && e.Request != "" {
		r.notRun = append(r.notRun, e.Request)
	}
}

// readStreams reads streamed responses. The prompt of each sets the word that is
// the text of its tokens, by which tokens of another request are recognised.
func (r *run) readStreams(caller int, rnd *rand.Rand) {
	c := r.d.Client("w2")
	for n := range operationsPerCaller {
		name := fmt.Sprintf("stream-%d-%d", caller, n)
		prompt := fmt.Sprintf("[[tokens:%d]] [[echo:%s]]", 1+rnd.IntN(150), name)
		_, err := c.Stream(r.ctx, client.Chat{Service: "llm", Prompt: prompt}, func(tok client.Token) error {
			gen, index, _ := strings.Cut(tok.ID, "/")
			op := check.Token{Stream: name, Generation: gen}
			_, err := fmt.Sscan(index, &op.Index)
			qt.Check(r.t, err, qt.IsNil)
			if strings.TrimSpace(tok.Text) != name {
				r.mu.Lock()
				r.foreignTokens++
				r.mu.Unlock()
			}
			r.record(&r.tokens, caller, op, r.now())
			return nil
		})
		var e *apierr.Error
		qt.Check(r.t, err == nil || errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
	}
}

// editDocument reads the document and then edits the revision that it has read.
func (r *run) editDocument(caller int, rnd *rand.Rand) {
	ed := editor.New(store.NewClient(store.Config{Addr: r.d.KV.Addr(), Timeout: time.Second}))
	for n := range operationsPerCaller {
		time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
		start := r.now()
		ctx, cancel := context.WithTimeout(r.ctx, 3*time.Second)
		current, err := ed.Get(ctx, "local")
		if err == nil {
			r.record(&r.edits, caller, check.DocumentAccess{Read: true, Revision: int(current.Revision), EditID: current.Edit}, start)
			start = r.now()
			op := check.DocumentAccess{BaseRevision: int(current.Revision), EditID: fmt.Sprintf("edit-%d-%d", caller, n)}
			applied, err := ed.Apply(ctx, time.Now(), editor.Edit{Team: "local", Base: current.Revision, ID: op.EditID, Text: []byte(r.d.Document)})
			var conflict *editor.ConflictError
			var unknown *store.UnknownError
			op.Revision = int(applied.Revision)
			op.ResponseLost = errors.As(err, &unknown)
			if err == nil || op.ResponseLost || errors.As(err, &conflict) {
				r.record(&r.edits, caller, op, start)
			}
		}
		cancel()
	}
}

// observeRevisions reads the revision in force on each node until done is closed.
func (r *run) observeRevisions(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		r.nodesMu.RLock()
		for i, n := range r.d.Nodes {
			if n == nil {
				continue
			}
			start := r.now()
			rev, _ := policy.Of(n.Daemon().State()).Revision("local")
			r.record(&r.revisions, 50+i, check.NodeRevision{Node: fmt.Sprintf("%d.%d", i, r.incarnations[i]), Revision: int(rev.Number)}, start)
		}
		r.nodesMu.RUnlock()
	}
}

// injectFaults injects two faults every faultInterval until done is closed. It then
// ends the faults of the key-value service.
func (r *run) injectFaults(done <-chan struct{}, rnd *rand.Rand) {
	for {
		select {
		case <-done:
			r.d.KV.SetFaults(fakes.KVFaults{})
			return
		case <-time.After(faultInterval):
		}
		for range 2 {
			r.injectFault(rnd)
			r.faultCount++
		}
	}
}

// injectFault injects a random fault, or ends the faults of the key-value service.
func (r *run) injectFault(rnd *rand.Rand) {
	switch rnd.IntN(8) {
	case 0:
		r.d.KV.SetFaults(fakes.KVFaults{Down: true})
	case 1:
		r.d.KV.SetFaults(fakes.KVFaults{DropResponses: 2})
	case 2:
		r.d.KV.SetFaults(fakes.KVFaults{Delay: 50 * time.Millisecond})
	case 3:
		r.d.KV.SetFaults(fakes.KVFaults{})
	case 4:
		r.d.Services[0].SetFaults(fakes.ServiceFaults{DropResponses: rnd.IntN(2), RefuseRequests: rnd.IntN(2), Delay: time.Duration(rnd.IntN(20)) * time.Millisecond})
	case 5:
		r.d.Engines[rnd.IntN(2)].SetFaults(fakes.EngineFaults{CutStreams: 2, CutAfterTokens: rnd.IntN(40), DropResponses: rnd.IntN(2), Pause: 50 * time.Millisecond})
	case 6:
		r.d.DropCallerConns(rnd.IntN(nodeCount))
	case 7:
		r.replaceNode(rnd.IntN(nodeCount))
	}
}

// replaceNode kills a node and starts another in its place.
func (r *run) replaceNode(i int) {
	r.nodesMu.Lock()
	defer r.nodesMu.Unlock()
	qt.Check(r.t, r.d.KillNode(i), qt.IsNil)
	r.incarnations[i]++
	qt.Check(r.t, r.d.StartNode(i), qt.IsNil)
}

// verify checks the histories and the executions that the plain service recorded.
func (r *run) verify() {
	executed := map[string]int{}
	for _, e := range r.d.Services[0].Executions() {
		executed[e.IdempotencyKey]++
		for _, id := range r.notRun {
			ran := e.RequestID == id
			qt.Check(r.t, ran, qt.IsFalse, qt.Commentf("request %s was executed, but reported as not run", id))
		}
	}
	for key, n := range executed {
		qt.Check(r.t, n, qt.Equals, 1, qt.Commentf("executions under key %s", key))
	}
	qt.Check(r.t, r.foreignTokens, qt.Equals, 0, qt.Commentf("tokens of another request"))
	qt.Check(r.t, check.History("at most once", check.AtMostOnce(), r.orders), qt.IsNil)
	qt.Check(r.t, check.History("tokens once and in order", check.TokenStream(), r.tokens), qt.IsNil)
	qt.Check(r.t, check.History("a document never reverts", check.Document(), withInitialRevision(r.edits)), qt.IsNil)
	qt.Check(r.t, check.History("a node's revision never decreases", check.MonotonicRevision(), r.revisions), qt.IsNil)
	r.t.Logf("%d orders (%v), %d executed keys, %d tokens, %d edits and reads, %d observed revisions, %d faults", len(r.orders), countOutcomes(r.orders), len(executed), len(r.tokens), len(r.edits), len(r.revisions), r.faultCount)
}

// withInitialRevision puts the edit that made the first revision in front of a
// history, since it took place before the run. Its id is that of the first read of
// revision 1.
func withInitialRevision(edits []porcupine.Operation) []porcupine.Operation {
	for _, op := range edits {
		if access := op.Input.(check.DocumentAccess); access.Read && access.Revision == 1 {
			first := porcupine.Operation{Input: check.DocumentAccess{BaseRevision: 0, Revision: 1, EditID: access.EditID}, Call: -2, Return: -1}
			return append([]porcupine.Operation{first}, edits...)
		}
	}
	return append([]porcupine.Operation{{Input: check.DocumentAccess{BaseRevision: 0, Revision: 1, EditID: "first"}, Call: -2, Return: -1}}, edits...)
}

// countOutcomes returns the number of calls by outcome.
func countOutcomes(orders []porcupine.Operation) map[apierr.Outcome]int {
	counts := map[apierr.Outcome]int{}
	for _, op := range orders {
		counts[op.Input.(check.Call).Outcome]++
	}
	return counts
}
