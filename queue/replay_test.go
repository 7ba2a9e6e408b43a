package queue_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/queue"
)

const (
	replayStep    = 20 * time.Millisecond
	replayTime    = 25 * time.Second
	replayNews    = 200 * time.Millisecond // between two messages with waiting requests
	replaySlots   = 24
	replayMemory  = 27_000
	replayGroup   = 8
	draftsPerNode = 0.4 // a second, with which the engines of a node are about full
	checksPerNode = 0.8
)

// replay is a load group whose nodes share engines.
type replay struct {
	now     time.Time
	rand    *rand.Rand
	engines []queue.Room
	ends    map[time.Time][]func()
	waiting [][]queue.Request // by node
	told    [][]queue.Request // what each node last told the others
	good    int               // requests that got room before their latest start
	arrived int
}

// run lets requests arrive at the given multiple of the load that the engines can serve.
func (p *replay) run(nodes int, factor float64) {
	for end := p.now.Add(replayTime); p.now.Before(end); p.now = p.now.Add(replayStep) {
		for _, free := range p.ends[p.now] {
			free()
		}
		delete(p.ends, p.now)
		for node := range nodes {
			p.arrive(node, factor*draftsPerNode, queue.Request{Priority: 2, Objective: 4 * time.Second, Tokens: 3830})
			p.arrive(node, factor*checksPerNode, queue.Request{Priority: 0, Objective: 1500 * time.Millisecond, Tokens: 2562})
			p.place(node)
		}
		if p.now.UnixNano()%int64(replayNews) == 0 {
			for node, list := range p.waiting {
				queue.Sort(p.now, list)
				p.told[node] = append([]queue.Request(nil), list[:min(4, len(list))]...)
				for i := range p.told[node] {
					p.told[node][i].SeenAt = p.now
				}
			}
		}
	}
}

func (p *replay) arrive(node int, rate float64, r queue.Request) {
	if p.rand.Float64() >= rate*replayStep.Seconds() {
		return
	}
	p.arrived++
	r.ID, r.Arrived, r.Start = fmt.Sprint(p.arrived), p.now, p.now.Add(r.Objective*3/4)
	p.waiting[node] = append(p.waiting[node], r)
}

// place gives places to the requests of a node whose turn it is, and rejects those whose
// latest start has passed.
func (p *replay) place(node int) {
	queue.Sort(p.now, p.waiting[node])
	var others []queue.Request
	for i, told := range p.told {
		if i != node {
			others = append(others, told...)
		}
	}
	var still []queue.Request
	for i, r := range p.waiting[node] {
		d := queue.Turn(p.now, r, append(others[:len(others):len(others)], p.waiting[node][i+1:]...), p.engines)
		if at := p.roomFor(r, d); at >= 0 {
			p.start(at, r)
		} else if p.now.Before(r.Start) {
			still = append(still, r)
			others = append(others, r)
		}
	}
	p.waiting[node] = still
}

func (p *replay) roomFor(r queue.Request, d queue.Decision) int {
	best := -1
	for i, e := range p.engines {
		if d.Go && e.Endpoint != d.Reserved && e.Slots > 0 && e.Tokens >= r.Tokens && (best < 0 || e.Tokens > p.engines[best].Tokens) {
			best = i
		}
	}
	return best
}

func (p *replay) start(at int, r queue.Request) {
	p.good++
	p.engines[at].Slots--
	p.engines[at].Tokens -= r.Tokens
	took := time.Second
	if r.Priority > 0 {
		took = 6*time.Second + time.Duration(p.rand.IntN(400))*replayStep
	}
	end := p.now.Add(took)
	p.ends[end] = append(p.ends[end], func() {
		p.engines[at].Slots++
		p.engines[at].Tokens += r.Tokens
	})
}

// TestGoodputUnderOverload guards against a queue that serves fewer requests in time the
// more arrive, and against one that gives engines more than they hold. A deployment has
// one group for each eight nodes; the groups are alike, so that one stands for all.
func TestGoodputUnderOverload(t *testing.T) {
	for _, nodes := range []int{4, 33, 87, 400} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			group := nodes
			if nodes >= 40 {
				group = replayGroup
			} else if nodes > 12 {
				group = nodes / 3
			}
			served := map[float64]int{}
			for _, factor := range []float64{1, 1.7, 2.5} {
				p := &replay{now: now, rand: rand.New(rand.NewPCG(uint64(nodes), 9)), ends: map[time.Time][]func(){}, waiting: make([][]queue.Request, group), told: make([][]queue.Request, group)}
				for i := range (group + 1) / 2 {
					p.engines = append(p.engines, queue.Room{Endpoint: fmt.Sprint(i), Slots: replaySlots, Tokens: replayMemory})
				}
				p.run(group, factor)
				served[factor] = p.good
				t.Logf("%.1f times the load: %d of %d in time", factor, p.good, p.arrived)
				for _, e := range p.engines {
					qt.Check(t, e.Slots >= 0 && e.Tokens >= 0, qt.IsTrue)
				}
			}
			qt.Check(t, served[1.7] >= served[1] && served[2.5] >= served[1], qt.IsTrue)
		})
	}
}
