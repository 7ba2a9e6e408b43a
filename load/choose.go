package load

import (
	"math/rand/v2"
	"sync"

	"github.com/plantaindeck/plantaindeck/client"
)

// Policy is a way to choose an engine, used as a baseline.
type Policy string

// The baselines. None limits memory or orders requests.
const (
	RoundRobin Policy = "round-robin"
	Fewest     Policy = "fewest"     // engine with the fewest outstanding requests
	TwoChoices Policy = "two-random" // the better one of two random engines
)

// Chooser chooses an engine for each request.
type Chooser struct {
	policy  Policy
	client  *client.Client
	mu      sync.Mutex
	rand    *rand.Rand
	engines []string
	running map[string]int
	next    int
}

// NewChooser returns a chooser over the addresses of engines.
func NewChooser(p Policy, engines []string, seed uint64) *Chooser {
	return &Chooser{
		policy:  p,
		client:  client.New(client.Config{}),
		rand:    rand.New(rand.NewPCG(seed, 3)),
		engines: engines,
		running: map[string]int{},
	}
}

// Chooses an engine and counts a request on it.
func (c *Chooser) start() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := c.choose()
	c.running[addr]++
	return addr
}

func (c *Chooser) choose() string {
	switch c.policy {
	case Fewest:
		best := c.engines[0]
		for _, e := range c.engines {
			if c.running[e] < c.running[best] {
				best = e
			}
		}
		return best
	case TwoChoices:
		a := c.engines[c.rand.IntN(len(c.engines))]
		b := c.engines[c.rand.IntN(len(c.engines))]
		if c.running[b] < c.running[a] {
			return b
		}
		return a
	}
	c.next++
	return c.engines[c.next%len(c.engines)]
}

func (c *Chooser) finish(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[addr]--
}
