package assign_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/assign"
	"github.com/plantaindeck/plantaindeck/fakes"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/policy"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/wire"

	_ "github.com/plantaindeck/plantaindeck/member"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestNextCommand(t *testing.T) {
	v := func(model, version string) assign.ModelVersion {
		return assign.ModelVersion{Model: model, Version: version}
	}
	tests := []struct {
		name           string
		wanted, loaded []assign.ModelVersion
		kind, model    string
	}{
		{"all loaded", []assign.ModelVersion{v("m", "1")}, []assign.ModelVersion{v("m", "1")}, "", ""},
		{"missing", []assign.ModelVersion{v("m", "1")}, nil, "load", "m"},
		{"old version", []assign.ModelVersion{v("m", "2")}, []assign.ModelVersion{v("m", "1")}, "load", "m"},
		{"load before unload", []assign.ModelVersion{v("n", "1")}, []assign.ModelVersion{v("m", "1")}, "load", "n"},
		{"no longer wanted", []assign.ModelVersion{v("n", "1")}, []assign.ModelVersion{v("m", "1"), v("n", "1")}, "unload", "m"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, _ := assign.NextCommand(test.wanted, test.loaded)
			qt.Assert(t, c.Kind, qt.Equals, test.kind)
			qt.Assert(t, c.Model, qt.Equals, test.model)
		})
	}
}

// rig is a key-value service, an engine, and the reconcilers of two nodes whose
// clocks the test sets.
type rig struct {
	kv     *fakes.KV
	engine *fakes.Engine
	clocks [2]time.Time
	nodes  [2]*assign.Reconciler
	store  *store.Client
}

func newRig(t *testing.T, fencing bool) *rig {
	t.Helper()
	r := &rig{clocks: [2]time.Time{start, start}}
	var err error
	r.kv, err = fakes.StartKV(fakes.KVConfig{Addr: "127.0.0.1:0"})
	qt.Assert(t, err, qt.IsNil)
	r.engine, err = fakes.StartEngine(fakes.EngineConfig{Addr: "127.0.0.1:0", Name: "e", Memory: 100, Slots: 1, Fencing: fencing})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = r.kv.Kill(); _ = r.engine.Kill() })
	r.store = store.NewClient(store.Config{Addr: r.kv.Addr(), Timeout: time.Second})
	for i := range r.nodes {
		r.nodes[i] = assign.New(assign.Config{
			Store: r.store,
			State: r.state([]string{"a", "b"}[i], fencing),
			Now:   func() time.Time { return r.clocks[i] },
		})
	}
	return r
}

// state returns a function that returns the state of a node that knows no other
// node.
func (r *rig) state(id string, fencing bool) func() kernel.State {
	doc := &spec.Document{Team: "t", Services: []spec.Service{{
		Name: "llm", Kind: spec.KindModel,
		Models:    []spec.Model{{Name: "m", Version: "1", Adapters: []string{"x", "y", "z"}}},
		Endpoints: []spec.Endpoint{{Name: "e", Addr: r.engine.Addr(), Fencing: fencing}},
	}}}
	s := kernel.New(kernel.Config{Self: &wire.Member{Id: id, Incarnation: 1}})
	s, _ = s.Step(start, kernel.DocumentRead{Document: kernel.Revision{Team: "t", Number: 1, Doc: doc}})
	_ = policy.Of(s)
	return func() kernel.State { return s }
}

// pass advances the clocks of both nodes.
func (r *rig) pass(d time.Duration) {
	for i := range r.clocks {
		r.clocks[i] = r.clocks[i].Add(d)
	}
}

// lapse removes the lock's key, as the key-value service does when the lease
// expires.
func (r *rig) lapse(t *testing.T) {
	t.Helper()
	_, err := r.store.Commit(context.Background(), nil, []store.Write{{Key: "/plantaindeck/deploy/llm", Delete: true}})
	qt.Assert(t, err, qt.IsNil)
}

func TestEngineLoadsWantedModels(t *testing.T) {
	r := newRig(t, true)
	for range 5 {
		r.nodes[0].Reconcile(context.Background())
		r.pass(time.Second)
	}
	qt.Assert(t, len(r.engine.State().Models), qt.Equals, 4)
	qt.Assert(t, r.engine.Counts().Commands, qt.Equals, 4)
	r.nodes[0].Reconcile(context.Background())
	qt.Assert(t, r.engine.Counts().Commands, qt.Equals, 4, qt.Commentf("everything wanted is loaded"))
}

func TestOutageStopsCommands(t *testing.T) {
	r := newRig(t, true)
	r.nodes[0].Reconcile(context.Background())
	qt.Assert(t, r.engine.Counts().Commands, qt.Equals, 1)
	r.kv.SetFaults(fakes.KVFaults{Down: true})
	r.pass(10 * time.Second)
	r.nodes[0].Reconcile(context.Background())
	qt.Assert(t, r.engine.Counts().Commands, qt.Equals, 1)
}

// TestPausedLockHolder guards against commands of a node that was paused while it
// held the lock: its lease expires, another node acquires the lock and sends
// commands, and the first node resumes.
func TestPausedLockHolder(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		name := map[bool]string{true: "engine checks tokens", false: "engine ignores tokens"}[fencing]
		t.Run(name, func(t *testing.T) {
			r := newRig(t, fencing)
			r.nodes[0].Reconcile(context.Background())
			r.pass(4 * time.Second)
			r.nodes[0].Reconcile(context.Background())
			before := r.engine.Counts().Commands
			firstToken := r.engine.State().FencingToken
			qt.Assert(t, before > 0, qt.IsTrue)

			// Node a is paused: its clock advances, but it does nothing.
			r.pass(20 * time.Second)
			r.lapse(t)
			r.nodes[1].Reconcile(context.Background())
			if !fencing {
				qt.Assert(t, r.engine.Counts().Commands, qt.Equals, before, qt.Commentf("commands of the former holder may still be in flight"))
			}
			r.pass(4 * time.Second)
			r.nodes[1].Reconcile(context.Background())
			after := r.engine.Counts().Commands
			qt.Assert(t, after > before, qt.IsTrue)
			qt.Assert(t, r.engine.State().FencingToken > firstToken, qt.IsTrue)

			r.nodes[0].Reconcile(context.Background())
			qt.Assert(t, r.engine.Counts().Commands, qt.Equals, after, qt.Commentf("the former holder must not send commands when it resumes"))
		})
	}
}
