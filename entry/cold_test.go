package entry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/table"
	"github.com/plantaindeck/plantaindeck/wire"
)

var testBound = table.ColdBound{PerSecond: 4, Excess: 1.5, Slack: 5}

// newColdSim returns a simulation whose service bounds the requests to cold endpoints.
func newColdSim(t *testing.T, nodes int) *limitSim {
	sim := newLimitSim(t, nodes, 24, 2)
	svc := *engineService
	svc.Cold = testBound
	item, err := fleet.TableItem(table.Config{Version: 2, Services: []table.Service{svc}}, fleet.Version{Revision: 5000})
	qt.Assert(t, err, qt.IsNil)
	sim.Step(0, kernel.ItemsLearned{Items: []*wire.Item{item}})
	sim.Run(time.Second)
	return sim
}

// restartCentre makes node 0 learn new records of all endpoints of a data centre, and returns
// their ids.
func (sim *limitSim) restartCentre(t *testing.T, centre string, coldFor time.Duration, revision int64) []string {
	ids, learned := centreRecords(t, fleet.Of(sim.State(0)), centre, coldFor, revision)
	sim.Step(0, learned)
	return ids
}

// centreRecords returns new records of all endpoints of a data centre, with their ids.
func centreRecords(t *testing.T, view *fleet.View, centre string, coldFor time.Duration, revision int64) ([]string, kernel.ItemsLearned) {
	var ids []string
	learned := kernel.ItemsLearned{}
	for _, id := range view.EndpointIDs() {
		e, _ := view.Endpoint(id)
		if e.Centre != centre {
			continue
		}
		e.ColdFor, e.StartMillis = coldFor, 7
		item, err := fleet.EndpointItem(e, fleet.Version{Revision: revision})
		qt.Assert(t, err, qt.IsNil)
		ids, learned.Items = append(ids, id), append(learned.Items, item)
	}
	return ids, learned
}

// assertBoundKept checks the arrivals at an endpoint from the given time on.
func (sim *limitSim) assertBoundKept(t *testing.T, id string, from time.Time) {
	t.Helper()
	allowed := testBound.PerSecond*testBound.Excess + testBound.Slack
	list := sim.arrivals[id]
	for i := range list {
		n := 0
		for j := i; j < len(list) && list[j].at.Sub(list[i].at) < time.Second; j++ {
			n++
		}
		qt.Assert(t, list[i].at.Before(from) || float64(n) <= allowed, qt.IsTrue, qt.Commentf("%s got %d requests in a second while cold", id, n))
	}
}

// TestColdCentreComesBack guards against all nodes filling the empty endpoints of a data centre
// that comes back cold: they get what they can bear, the others the rest.
func TestColdCentreComesBack(t *testing.T) {
	t.Parallel()
	const span = 4 * time.Second
	for _, nodes := range []int{4, 100, 400} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			sim := newColdSim(t, nodes)
			first, _ := fleet.Of(sim.State(0)).Endpoint(fleet.Of(sim.State(0)).EndpointIDs()[0])
			ids := sim.restartCentre(t, first.Centre, time.Minute, 6000)
			sim.Run(coldSpread)
			from := sim.Now()
			sim.run(span)
			for _, id := range ids {
				sim.assertBoundKept(t, id, from)
				got := sim.count(id, from)
				qt.Assert(t, float64(got) <= testBound.PerSecond*span.Seconds()*testBound.Excess, qt.IsTrue)
				qt.Assert(t, nodes < 100 || got > 0, qt.IsTrue, qt.Commentf("%s got nothing", id))
			}
			qt.Assert(t, sim.rejected, qt.Equals, 0)
			qt.Assert(t, fleet.Of(sim.State(nodes-1)).ColdCount(), qt.Equals, len(ids))
			// A record without cold time ends it.
			sim.restartCentre(t, first.Centre, 0, 6001)
			sim.Run(coldSpread)
			qt.Assert(t, fleet.Of(sim.State(nodes-1)).ColdCount(), qt.Equals, 0)
		})
	}
}

const coldSpread = 500 * time.Millisecond // until all nodes have learned of a record

// TestColdAgain guards against nodes that do not learn what an endpoint has told another one.
func TestColdAgain(t *testing.T) {
	sim := newColdSim(t, 24)
	id := fleet.Of(sim.State(0)).EndpointIDs()[0]
	e, _ := fleet.Of(sim.State(0)).Endpoint(id)
	sim.run(time.Second)
	sim.Step(5, kernel.ColdReported{Endpoint: id, Left: 3 * time.Second, SentAt: sim.Now()})
	told := sim.Now()
	sim.Run(100 * time.Millisecond)
	for i := range 24 {
		qt.Assert(t, fleet.Of(sim.State(i)).IsCold(sim.Now(), e), qt.IsTrue, qt.Commentf("node %d", i))
	}
	sim.run(2 * time.Second)
	sim.assertBoundKept(t, id, told)
	sim.Run(time.Second)
	_, limited := fleet.Of(sim.State(0)).RateShare(id)
	qt.Assert(t, limited, qt.IsFalse)
}

// TestColdPaths guards against a path that does not count against the share of a cold endpoint.
func TestColdPaths(t *testing.T) {
	sim := newColdSim(t, 4)
	view := fleet.Of(sim.State(0))
	e, _ := view.Endpoint(view.EndpointIDs()[0])
	sim.restartCentre(t, e.Centre, time.Minute, 6000)
	sim.Run(coldSpread)
	view, now := fleet.Of(sim.State(0)), sim.Now()
	for path, call := range map[string]func(s *Server) bool{
		"continuations, drops and crash checks": func(s *Server) bool { return s.usage.takeCall(now, view, e.ID) },
		"copies":                                func(s *Server) bool { return s.usage.takeCopyCall(now, view, e.ID) },
		"first attempts, retries and migration targets": func(s *Server) bool {
			if s.usage.closedFor(now, view, e) > 0 {
				return false
			}
			return s.usage.takeCall(now, view, e.ID)
		},
	} {
		t.Run(path, func(t *testing.T) {
			s, taken := newSimServer(0), 0
			for range 20 {
				if call(s) {
					taken++
				}
			}
			share, limited := view.RateShare(e.ID)
			qt.Assert(t, limited, qt.IsTrue)
			qt.Assert(t, taken, qt.Equals, share.Burst)
		})
	}
	t.Run("a node that has just started", func(t *testing.T) {
		_, learned := centreRecords(t, view, e.Centre, time.Minute, 6002)
		svc := *engineService
		svc.Cold = testBound
		item, err := fleet.TableItem(table.Config{Version: 2, Services: []table.Service{svc}}, fleet.Version{Revision: 5000})
		qt.Assert(t, err, qt.IsNil)
		sim.restart(0)
		sim.Step(0, kernel.ItemsLearned{Items: append(learned.Items, item), Complete: true})
		own, limited := fleet.Of(sim.State(0)).RateShare(e.ID)
		qt.Assert(t, limited, qt.IsTrue)
		qt.Assert(t, own, qt.Equals, fleet.RateShare{})
	})
}

// TestParseColdTime guards against statements that are taken for others than they are.
func TestParseColdTime(t *testing.T) {
	for text, want := range map[string]time.Duration{"0": 0, "1500": 1500 * time.Millisecond, "1e30": maxColdTime} {
		got, err := parseColdTime(text)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, want)
	}
	for _, text := range []string{"soon", "-5", "NaN"} {
		_, err := parseColdTime(text)
		qt.Assert(t, err, qt.ErrorAs, new(*ColdTimeError), qt.Commentf("%s", text))
	}
}

// TestColdWhileCutOff guards against nodes that take each other for dead while they are cut off
// from each other, and so divide the same rate twice.
func TestColdWhileCutOff(t *testing.T) {
	const nodes = 24
	sim := newColdSim(t, nodes)
	first, _ := fleet.Of(sim.State(0)).Endpoint(fleet.Of(sim.State(0)).EndpointIDs()[0])
	ids := sim.restartCentre(t, first.Centre, 10*time.Minute, 6000)
	sim.Run(coldSpread)
	for name, lost := range map[string]func(from, to int) bool{
		"half of each data centre": func(from, to int) bool { return from < nodes/2 != (to < nodes/2) },
		"data centres":             func(from, to int) bool { return from%3 != to%3 },
	} {
		t.Run(name, func(t *testing.T) {
			sim.Partition(lost)
			sim.Run(30 * time.Second)
			for _, id := range ids {
				var rate float64
				for i := range nodes {
					share, _ := fleet.Of(sim.State(i)).RateShare(id)
					rate += share.Rate
				}
				qt.Assert(t, rate > 0 && rate < 1.001*testBound.PerSecond, qt.IsTrue, qt.Commentf("%s gets %g a second", id, rate))
			}
			sim.Partition(nil)
			sim.Run(memberTimeout)
		})
	}
}
