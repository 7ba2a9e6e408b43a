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
	nodes    = 3
	callers  = 4
	rounds   = 5 // operations of each caller
	maxWait  = 30 * time.Second
	faultGap = 120 * time.Millisecond
)

// run is one concurrent run with its history.
type run struct {
	t       *testing.T
	d       *local.Deployment
	ctx     context.Context
	started time.Time
	mu      sync.Mutex // guards what follows
	orders  []porcupine.Operation
	tokens  []porcupine.Operation
	edits   []porcupine.Operation
	force   []porcupine.Operation
	notRun  []string // requests that were said not to have run
	faults  int
	foreign int // tokens that belong to another request
	lives   [nodes]int
	steady  sync.RWMutex // held for writing while a node is replaced
}

func (r *run) now() int64 { return int64(time.Since(r.started)) }

func (r *run) add(list *[]porcupine.Operation, id int, input any, call int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, porcupine.Operation{ClientId: id, Input: input, Call: call, Return: r.now()})
}

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
		Nodes: nodes, Engines: 2, Services: 1, Spaces: 2,
		Engine: fakes.EngineConfig{Memory: 20000, Slots: 32, Speed: 20},
	})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(d.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 2*maxWait)
	t.Cleanup(cancel)
	return &run{t: t, d: d, ctx: ctx, started: time.Now()}
}

// Runs the callers, the editors and the faults until all callers are done.
func (r *run) drive(seed uint64) {
	var work, aside sync.WaitGroup
	done := make(chan struct{})
	for i := range callers {
		work.Go(func() { r.order(i, rand.New(rand.NewPCG(seed, uint64(i)))) })
		work.Go(func() { r.stream(callers+i, rand.New(rand.NewPCG(seed, uint64(50+i)))) })
	}
	for i := range 2 {
		work.Go(func() { r.edit(2*callers+i, rand.New(rand.NewPCG(seed, uint64(90+i)))) })
	}
	aside.Go(func() { r.watch(done) })
	aside.Go(func() { r.spoil(done, rand.New(rand.NewPCG(seed, 100))) })
	work.Wait()
	close(done)
	aside.Wait()
}

func (r *run) order(id int, rnd *rand.Rand) {
	c := r.d.Client("w1")
	for n := range rounds {
		// Half of the keys are used by every caller at about the same time.
		key := fmt.Sprintf("own-%d-%d", id, n)
		if rnd.IntN(2) == 0 {
			key = fmt.Sprint("shared-", n)
		}
		call := r.now()
		resp, err := c.Do(r.ctx, client.Request{Method: "POST", Path: "/v1/services/orders/orders", Key: key, Body: []byte(`{}`), Timeout: 5 * time.Second})
		in := check.Call{Key: key, Outcome: apierr.OutcomeRan}
		var e *apierr.Error
		if errors.As(err, &e) {
			in.Outcome = e.Outcome
			r.noteNotRun(e)
		} else {
			var got struct{ Number int }
			qt.Check(r.t, json.Unmarshal(resp.Body, &got), qt.IsNil)
			in.Number = got.Number
		}
		r.add(&r.orders, id, in, call)
	}
}

func (r *run) noteNotRun(e *apierr.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Outcome == apierr.OutcomeNotRun && e.Request != "" {
		r.notRun = append(r.notRun, e.Request)
	}
}

func (r *run) stream(id int, rnd *rand.Rand) {
	c := r.d.Client("w2")
	for n := range rounds {
		name := fmt.Sprintf("stream-%d-%d", id, n)
		prompt := fmt.Sprintf("[[tokens:%d]] [[echo:%s]]", 1+rnd.IntN(150), name)
		_, err := c.Stream(r.ctx, client.Chat{Service: "llm", Prompt: prompt}, func(tok client.Token) error {
			gen, index, _ := strings.Cut(tok.ID, "/")
			in := check.Token{Stream: name, Generation: gen}
			_, err := fmt.Sscan(index, &in.Index)
			qt.Check(r.t, err, qt.IsNil)
			if strings.TrimSpace(tok.Text) != name {
				r.mu.Lock()
				r.foreign++
				r.mu.Unlock()
			}
			r.add(&r.tokens, id, in, r.now())
			return nil
		})
		var e *apierr.Error
		qt.Check(r.t, err == nil || errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
	}
}

func (r *run) edit(id int, rnd *rand.Rand) {
	ed := editor.New(store.NewClient(store.Config{Addr: r.d.KV.Addr(), Timeout: time.Second}))
	for n := range rounds {
		time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
		call := r.now()
		ctx, cancel := context.WithTimeout(r.ctx, 3*time.Second)
		now, err := ed.Get(ctx, "local")
		if err == nil {
			r.add(&r.edits, id, check.Edit{Read: true, Revision: int(now.Revision), ID: now.Edit}, call)
			call = r.now()
			in := check.Edit{Base: int(now.Revision), ID: fmt.Sprintf("edit-%d-%d", id, n)}
			made, err := ed.Apply(ctx, time.Now(), editor.Edit{Team: "local", Base: now.Revision, ID: in.ID, Text: []byte(r.d.Document)})
			var conflict *editor.ConflictError
			var unknown *store.UnknownError
			in.Revision = int(made.Revision)
			in.Unknown = errors.As(err, &unknown)
			if err == nil || in.Unknown || errors.As(err, &conflict) {
				r.add(&r.edits, id, in, call)
			}
		}
		cancel()
	}
}

// Looks at the revision in force on each node.
func (r *run) watch(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		r.steady.RLock()
		for i, n := range r.d.Nodes {
			if n == nil {
				continue
			}
			call := r.now()
			rev, _ := policy.Of(n.Daemon().State()).Revision("local")
			r.add(&r.force, 50+i, check.Force{Node: fmt.Sprintf("%d.%d", i, r.lives[i]), Revision: int(rev.Number)}, call)
		}
		r.steady.RUnlock()
	}
}

// Brings about faults, two at a time.
func (r *run) spoil(done <-chan struct{}, rnd *rand.Rand) {
	for {
		select {
		case <-done:
			r.d.KV.SetFaults(fakes.KVFaults{})
			return
		case <-time.After(faultGap):
		}
		for range 2 {
			r.spoilOnce(rnd)
			r.faults++
		}
	}
}

func (r *run) spoilOnce(rnd *rand.Rand) {
	switch rnd.IntN(8) {
	case 0:
		r.d.KV.SetFaults(fakes.KVFaults{Down: true})
	case 1:
		r.d.KV.SetFaults(fakes.KVFaults{LoseResponses: 2})
	case 2:
		r.d.KV.SetFaults(fakes.KVFaults{Delay: 50 * time.Millisecond})
	case 3:
		r.d.KV.SetFaults(fakes.KVFaults{})
	case 4:
		r.d.Services[0].SetFaults(fakes.ServiceFaults{Drop: rnd.IntN(2), Refuse: rnd.IntN(2), Delay: time.Duration(rnd.IntN(20)) * time.Millisecond})
	case 5:
		r.d.Engines[rnd.IntN(2)].SetFaults(fakes.EngineFaults{Cut: 2, CutAt: rnd.IntN(40), DropResponses: rnd.IntN(2), Pause: 50 * time.Millisecond})
	case 6:
		r.d.CutCallers(rnd.IntN(nodes))
	case 7:
		r.replace(rnd.IntN(nodes))
	}
}

// Kills a node and starts another in its place.
func (r *run) replace(i int) {
	r.steady.Lock()
	defer r.steady.Unlock()
	qt.Check(r.t, r.d.KillNode(i), qt.IsNil)
	r.lives[i]++
	qt.Check(r.t, r.d.StartNode(i), qt.IsNil)
}

func (r *run) verify() {
	executed := map[string]int{}
	for _, e := range r.d.Services[0].Executions() {
		executed[e.IdempotencyKey]++
		for _, id := range r.notRun {
			ran := e.RequestID == id
			qt.Check(r.t, ran, qt.IsFalse, qt.Commentf("request %s ran, but was said not to", id))
		}
	}
	for key, n := range executed {
		qt.Check(r.t, n, qt.Equals, 1, qt.Commentf("executions under key %s", key))
	}
	qt.Check(r.t, r.foreign, qt.Equals, 0, qt.Commentf("tokens of another request"))
	qt.Check(r.t, check.History("at most once", check.Once(), r.orders), qt.IsNil)
	qt.Check(r.t, check.History("tokens once and in order", check.Tokens(), r.tokens), qt.IsNil)
	qt.Check(r.t, check.History("a document never reverts", check.Document(), withFirst(r.edits)), qt.IsNil)
	qt.Check(r.t, check.History("a node never goes back", check.InForce(), r.force), qt.IsNil)
	r.t.Logf("%d orders (%v), %d executions, %d tokens, %d edits and readings, %d looks, %d faults", len(r.orders), outcomes(r.orders), len(executed), len(r.tokens), len(r.edits), len(r.force), r.faults)
}

// The first revision was made before the run.
func withFirst(edits []porcupine.Operation) []porcupine.Operation {
	for _, op := range edits {
		if in := op.Input.(check.Edit); in.Read && in.Revision == 1 {
			first := porcupine.Operation{Input: check.Edit{Base: 0, Revision: 1, ID: in.ID}, Call: -2, Return: -1}
			return append([]porcupine.Operation{first}, edits...)
		}
	}
	return append([]porcupine.Operation{{Input: check.Edit{Base: 0, Revision: 1, ID: "first"}, Call: -2, Return: -1}}, edits...)
}

func outcomes(orders []porcupine.Operation) map[apierr.Outcome]int {
	count := map[apierr.Outcome]int{}
	for _, op := range orders {
		count[op.Input.(check.Call).Outcome]++
	}
	return count
}
