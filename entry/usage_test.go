package entry

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/place"
	"github.com/plantaindeck/plantaindeck/simnet"
	"github.com/plantaindeck/plantaindeck/table"
	"github.com/plantaindeck/plantaindeck/wire"
)

var engineService = &table.Service{Name: "model", Engine: &table.Engine{Slots: 24, Memory: 34000}}

// startNetwork returns a network whose nodes know engines in three data centres. The last
// engine runs another version than the others.
func startNetwork(t testing.TB, nodes, engines int) *simnet.Network {
	n := simnet.New(simnet.Config{Nodes: nodes, Centres: 3, Seed: 5, MinDelay: time.Millisecond})
	n.Run(20 * time.Second)
	qt.Assert(t, member.Of(n.State(0)).Owners(), qt.HasLen, nodes)
	n.Step(0, learnedItems(t, engines, func(i int) string { return member.Of(n.State(i % 3)).Self().GetCentre() }))
	n.Run(time.Second)
	return n
}

// learnedItems returns the items of a table and of engines, each in the data centre that centre
// returns for its number. The last engine runs another version than the others.
func learnedItems(t testing.TB, engines int, centre func(engine int) string) kernel.ItemsLearned {
	item, err := fleet.TableItem(table.Config{Version: 1, Services: []table.Service{*engineService}}, fleet.Version{Revision: 1})
	qt.Assert(t, err, qt.IsNil)
	learned := kernel.ItemsLearned{Items: []*wire.Item{item}, Complete: true}
	for i := range engines {
		e := fleet.Endpoint{ID: fmt.Sprintf("i-%010x", i), Service: "model", Addr: "10.0.0.1:80", Centre: centre(i), Slots: 24, Version: "v1"}
		if i == engines-1 {
			e.Version = "v2"
		}
		item, err := fleet.EndpointItem(e, fleet.Version{Revision: int64(i + 2)})
		qt.Assert(t, err, qt.IsNil)
		learned.Items = append(learned.Items, item)
	}
	return learned
}

var sizes = []struct{ nodes, engines int }{{4, 12}, {33, 57}, {100, 1000}, {300, 3000}}

func BenchmarkChoose(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d engines", size.engines), func(b *testing.B) {
			n := startNetwork(b, size.nodes, size.engines)
			view := fleet.Of(n.State(0))
			centre := member.Of(n.State(0)).Self().GetCentre()
			s := &Server{cfg: Config{Centre: centre}, usage: newUsageTracker(), rand: rand.New(rand.NewPCG(1, 2))}
			now := time.Now()
			for b.Loop() {
				_, candidates := s.fittingCandidates(now, view, selection{service: engineService, centre: centre, need: place.Need{Tokens: 1000}, maxFill: place.MaxFillNew, timed: true})
				if _, ok := place.Choose(place.Need{Tokens: 1000}, candidates, 3, s.rand); !ok {
					b.Fatal("no engine")
				}
			}
		})
	}
}

func BenchmarkEnginesToProbe(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d nodes %d engines", size.nodes, size.engines), func(b *testing.B) {
			n := startNetwork(b, size.nodes, size.engines)
			for b.Loop() {
				enginesToProbe(fleet.Of(n.State(0)), member.Of(n.State(0)), 1)
			}
		})
	}
}

// TestReservationsDoNotExceedSlots checks that requests that are placed at the same
// time take no more slots than the engines have.
func TestReservationsDoNotExceedSlots(t *testing.T) {
	const engines, requests = 2, 400
	n := startNetwork(t, 4, engines)
	s := &Server{usage: newUsageTracker(), rand: rand.New(rand.NewPCG(1, 2))}
	view, now := fleet.Of(n.State(0)), time.Now()
	sel := selection{service: engineService, need: place.Need{Tokens: 100}, maxFill: place.MaxFillNew, use: usage{requests: 1, tokens: 100}}
	var reserved atomic.Int32
	var callers sync.WaitGroup
	for range requests {
		callers.Go(func() {
			if _, _, ok := s.reserveEndpoint(now, view, sel); ok {
				reserved.Add(1)
			}
		})
	}
	callers.Wait()
	qt.Assert(t, reserved.Load(), qt.Equals, int32(engines*engineService.Engine.Slots))
	for id, st := range s.usage.endpoints {
		qt.Assert(t, st.requests, qt.Equals, engineService.Engine.Slots, qt.Commentf("engine %s", id))
	}
}

// TestRareVersionIsFound checks that a generation that must go on at a version finds the
// only engine that runs it, also among more engines than a choice considers.
func TestRareVersionIsFound(t *testing.T) {
	for _, engines := range []int{2, 300} {
		n := startNetwork(t, 4, engines)
		for i := range 4 {
			s := &Server{usage: newUsageTracker(), rand: rand.New(rand.NewPCG(1, 2))}
			view := fleet.Of(n.State(i))
			version, gone := "v2", "v3"
			e, _, ok := s.reserveEndpoint(time.Now(), view, selection{service: engineService, version: &version})
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, e.Version, qt.Equals, version)
			_, _, ok = s.reserveEndpoint(time.Now(), view, selection{service: engineService, version: &gone})
			qt.Assert(t, ok, qt.IsFalse)
			qt.Assert(t, serves(view, "model", version), qt.IsTrue)
			qt.Assert(t, serves(view, "model", gone), qt.IsFalse)
		}
	}
}
