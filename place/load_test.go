package place_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/place"
)

// simEngine prefills prompts in the order of arrival and runs generations until their end.
type simEngine struct {
	factor    float64 // of its step and prefill time
	busyUntil time.Duration
	running   []simRequest
}

type simRequest struct {
	first, end time.Duration
	tokens     int
	prompt     int
}

// simWaiting is a request that has no engine yet.
type simWaiting struct {
	kind, node    int
	arrived, next time.Duration
}

// simKinds are the checks and the drafts.
var simKinds = []struct {
	prompt, output         int
	objective, urgentLimit time.Duration
	maxFill                float64
}{
	{2550, 12, 1500 * time.Millisecond, 0, place.MaxFillUrgent},
	{3080, 750, 4 * time.Second, 750 * time.Millisecond, place.MaxFillNew},
}

func (e *simEngine) at(now time.Duration, id int, timed bool) place.Candidate {
	e.running = slices.DeleteFunc(e.running, func(r simRequest) bool { return r.end <= now })
	c := place.Candidate{ID: fmt.Sprint(id), SameCentre: true, Slots: 24, Memory: 27000, Requests: len(e.running)}
	for _, r := range e.running {
		c.Tokens += r.tokens
		if r.first > now {
			c.PendingPrompt += r.prompt
		}
	}
	if timed {
		c.PrefillRate, c.SlowFactor = 7000/e.factor, e.factor
	}
	return c
}

// inTime simulates 33 nodes that choose among 72 engines of three speeds at a multiple
// of the load of reference deployment A, with knowledge that is 50 ms old but for their own
// choices. It returns the shares of the checks and the drafts whose first event comes within
// the objective.
func inTime(seed uint64, overload float64, timed bool) (checks, drafts float64) {
	const nodes, step, stale = 33, 2 * time.Millisecond, 50 * time.Millisecond
	r := rand.New(rand.NewPCG(9, seed))
	engines := make([]simEngine, 72)
	for i := range engines {
		engines[i].factor = []float64{0.6, 1, 1.6}[i%3]
	}
	var snapshot [][]place.Candidate // of each node
	var waiting []simWaiting
	var ontime, total [2]int
	for now := time.Duration(0); now < 8*time.Second; now += step {
		if now%stale == 0 {
			snapshot = make([][]place.Candidate, nodes)
			for i := range engines {
				c := engines[i].at(now, i, timed)
				for n := range snapshot {
					snapshot[n] = append(snapshot[n], c)
				}
			}
		}
		for kind, rate := range []float64{58 * overload, 30 * overload} {
			if r.Float64() < rate*step.Seconds() {
				total[kind]++
				waiting = append(waiting, simWaiting{kind: kind, node: r.IntN(nodes), arrived: now, next: now})
			}
		}
		// Requests without room are tried again every 30 ms for an eighth of their
		// objective, and then rejected, which counts as late.
		waiting = slices.DeleteFunc(waiting, func(w simWaiting) bool {
			return now-w.arrived > simKinds[w.kind].objective/8
		})
		var left []simWaiting
		for _, w := range waiting {
			if now < w.next {
				left = append(left, w)
				continue
			}
			k := simKinds[w.kind]
			need := place.Need{Tokens: k.prompt + k.output}
			if timed {
				need.Timing = place.Timing{Prompt: k.prompt, TimeLeft: k.objective - (now - w.arrived), UrgentLimit: k.urgentLimit}
			}
			var fitting []place.Candidate
			for _, c := range snapshot[w.node] {
				if place.Fits(need, c, k.maxFill) {
					fitting = append(fitting, c)
				}
			}
			chosen, ok := place.Choose(need, fitting, 3, r)
			if !ok {
				w.next = now + 30*time.Millisecond
				left = append(left, w)
				continue
			}
			var id int
			fmt.Sscan(fitting[chosen].ID, &id)
			e := &engines[id]
			e.busyUntil = max(e.busyUntil, now) + time.Duration(float64(k.prompt)*e.factor/7000*float64(time.Second))
			end := e.busyUntil + time.Duration(float64(k.output)*e.factor*float64(9*time.Millisecond))
			e.running = append(e.running, simRequest{first: e.busyUntil, end: end, tokens: need.Tokens, prompt: k.prompt})
			if e.busyUntil-w.arrived <= k.objective {
				ontime[w.kind]++
			}
			c := &snapshot[w.node][id]
			c.Requests++
			c.Tokens += need.Tokens
			c.PendingPrompt += k.prompt
		}
		waiting = left
	}
	return float64(ontime[0]) / float64(total[0]), float64(ontime[1]) / float64(total[1])
}

// TestExpectedTimesUnderLoad fails if choices by expected times serve fewer checks in time
// than choices by load alone, cost drafts their objective without a shortage, or waste what engines can do.
func TestExpectedTimesUnderLoad(t *testing.T) {
	for _, overload := range []float64{1, 1.5, 2, 2.5} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("load %.1f seed %d", overload, seed), func(t *testing.T) {
				checksBefore, draftsBefore := inTime(seed, overload, false)
				checks, drafts := inTime(seed, overload, true)
				t.Logf("in time: checks %.3f by load, %.3f by expected times; drafts %.3f and %.3f", checksBefore, checks, draftsBefore, drafts)
				qt.Assert(t, checks > checksBefore, qt.IsTrue)
				if overload < 2.5 {
					qt.Assert(t, drafts > draftsBefore-0.01, qt.IsTrue)
				}
				// At 2.5 times the load, the prompts exceed what the engines prefill, and the
				// limit for urgent requests moves the loss from checks to drafts.
				served := func(checks, drafts float64) float64 { return 58*checks + 30*drafts }
				qt.Assert(t, served(checks, drafts) > 0.97*served(checksBefore, draftsBefore), qt.IsTrue)
			})
		}
	}
}
