package poison_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/poison"
)

// mixedLoad is a load of requests that run without output for a while, on endpoints that crash
// under some of them and for other causes.
type mixedLoad struct {
	net       *network
	rand      *rand.Rand
	endpoints [12][]mixedRequest // waiting requests of each endpoint
	downUntil [12]time.Duration
	starts    [12]int64
	crashes   int // under harmful requests
	since     int // harmful requests sent since the fifth of them, later than contactTime
	limitAt   time.Duration
}

// mixedRequest is a request without output.
type mixedRequest struct {
	node   int
	traits []uint64
	begins time.Duration // when it has output, or crashes its endpoint
}

const (
	contactTime = 3 * time.Second // from the fifth crash until no more harmful requests may be sent
	mixedStep   = 20 * time.Millisecond
)

// send sends a request to a random endpoint that is up, unless its node rejects it.
func (l *mixedLoad) send(traits []uint64) {
	node, e := l.rand.IntN(l.net.nodes), l.rand.IntN(len(l.endpoints))
	if l.downUntil[e] > l.net.Elapsed() || l.net.isQuarantined(node, traits) {
		return
	}
	if slices.Contains(traits, bad) && l.limitAt > 0 && l.net.Elapsed() > l.limitAt {
		l.since++
	}
	wait := time.Duration(50+l.rand.IntN(900)) * time.Millisecond
	l.endpoints[e] = append(l.endpoints[e], mixedRequest{node: node, traits: traits, begins: l.net.Elapsed() + wait})
}

// crash ends an endpoint: the nodes of the requests there report it.
func (l *mixedLoad) crash(e int) {
	byNode := map[int][][]uint64{}
	for _, r := range l.endpoints[e] {
		byNode[r.node] = append(byNode[r.node], r.traits)
	}
	l.starts[e]++
	for node := range l.net.nodes {
		if len(byNode[node]) > 0 {
			l.net.Step(node, kernel.EndpointCrashed{Endpoint: fmt.Sprint("i-", e), Service: "model", StartMillis: l.starts[e], Requests: byNode[node]})
		}
	}
	l.endpoints[e] = nil
	l.downUntil[e] = l.net.Elapsed() + 2*time.Second
}

// advance lets the requests begin whose time has come.
func (l *mixedLoad) advance() {
	for e := range l.endpoints {
		var waiting []mixedRequest
		for _, r := range l.endpoints[e] {
			switch {
			case r.begins > l.net.Elapsed():
				waiting = append(waiting, r)
			case !slices.Contains(r.traits, bad):
				l.net.Step(r.node, kernel.OutputSeen{Service: "model", Traits: r.traits})
			case !l.net.isQuarantined(r.node, r.traits): // else the quarantine has ended it
				if l.crashes++; l.crashes == 5 {
					l.limitAt = l.net.Elapsed() + contactTime
				}
				l.crash(e)
				waiting = nil
			}
			if l.downUntil[e] > l.net.Elapsed() {
				break
			}
		}
		l.endpoints[e] = waiting
	}
}

// TestHarmfulTraitAmongOtherCrashes replays requests with a harmful trait among sound ones that
// share their other traits, while endpoints also crash for other causes. The harmful ones must
// stop in the time that the users state, and hardly any sound trait may be quarantined.
func TestHarmfulTraitAmongOtherCrashes(t *testing.T) {
	const (
		runs        = 12
		warmUp      = 10 * time.Second
		span        = 40 * time.Second
		soundTraits = 150
	)
	for _, load := range []struct {
		name         string
		harmful      float64 // a second
		otherCrashes float64 // a second
	}{
		{"harmful requests alone", 3, 0},
		{"few harmful requests", 0.4, 0.1},
		{"many other crashes", 2, 1},
		{"other crashes only", 0, 1.5},
	} {
		t.Run(load.name, func(t *testing.T) {
			wrong, stopped := 0, 0
			for seed := range uint64(runs) {
				l := &mixedLoad{net: newNetwork(t, 4), rand: rand.New(rand.NewPCG(seed, 17))}
				begin := l.net.Elapsed()
				for l.net.Elapsed() < begin+warmUp+span {
					session := other + uint64(l.rand.IntN(soundTraits))
					if l.rand.Float64() < 10*mixedStep.Seconds() {
						l.send([]uint64{popular + uint64(l.rand.IntN(2)), session})
					}
					if l.net.Elapsed() > begin+warmUp {
						if l.rand.Float64() < load.harmful*mixedStep.Seconds() {
							l.send([]uint64{popular + uint64(l.rand.IntN(2)), bad})
						}
						if l.rand.Float64() < load.otherCrashes*mixedStep.Seconds() {
							l.crash(l.rand.IntN(len(l.endpoints)))
						}
					}
					l.net.Run(mixedStep)
					l.advance()
				}
				qt.Assert(t, l.since <= 3, qt.IsTrue, qt.Commentf("seed %d: %d harmful requests were sent later than %s after the fifth crash", seed, l.since, contactTime))
				if l.crashes > 0 && l.net.quarantined(bad) == l.net.nodes {
					stopped++
				}
				qt.Assert(t, l.net.quarantined(popular, rare), qt.Equals, 0)
				for s := range uint64(soundTraits) {
					if l.net.quarantined(other+s) > 0 {
						wrong++
					}
				}
			}
			t.Logf("stopped in %d of %d runs; %d of %d sound traits were quarantined", stopped, runs, wrong, runs*soundTraits)
			qt.Assert(t, wrong*100 <= runs*soundTraits, qt.IsTrue, qt.Commentf("%d of %d sound traits were quarantined", wrong, runs*soundTraits))
		})
	}
}

// isQuarantined reports whether requests with the traits are quarantined at a node.
func (n *network) isQuarantined(node int, traits []uint64) bool {
	return poison.Of(n.State(node)).Quarantined(n.Now(), member.Of(n.State(node)), traits) > 0
}
