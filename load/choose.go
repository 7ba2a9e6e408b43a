package load

import (
	"math/rand/v2"
	"sync"

	"github.com/plantaindeck/plantaindeck/client"
)

// Policy is a way to choose an engine for a request.
type Policy string

// Baseline policies, with which a deployment is compared. None of them limits the
// memory that requests take on an engine, or orders waiting requests.
const (
	RoundRobin     Policy = "round-robin"
	FewestInFlight Policy = "fewest"     // the engine with the fewest requests in flight
	TwoChoices     Policy = "two-random" // of two random engines, the one with fewer requests in flight
)

// Chooser chooses an engine for each request by a baseline policy. It may be used
// by several goroutines.
type Chooser struct {
	policy   Policy
	client   *client.Client
	mu       sync.Mutex // guards rand, inFlight and next
	rand     *rand.Rand
	engines  []string       // addresses
	inFlight map[string]int // requests in flight, by address
	next     int            // number of choices made by round robin
}

// NewChooser returns a chooser among engines, which are given by their addresses.
// The seed determines the random choices.
func NewChooser(p Policy, engines []string, seed uint64) *Chooser {
	return &Chooser{
		policy:   p,
		client:   client.New(client.Config{}),
		rand:     rand.New(rand.NewPCG(seed, 3)),
		engines:  engines,
		inFlight: map[string]int{},
	}
}

// acquire chooses an engine, counts a request in flight on it and returns its
// address. The caller must release the address when the request has ended.
func (c *Chooser) acquire() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := c.choose()
	c.inFlight[addr]++
	return addr
}

// choose returns the address of an engine by the policy. c.mu must be held.
func (c *Chooser) choose() string {
	switch c.policy {
	case FewestInFlight:
		best := c.engines[0]
		for _, e := range c.engines {
			if c.inFlight[e] < c.inFlight[best] {
				best = e
			}
		}
		return best
	case TwoChoices:
		a := c.engines[c.rand.IntN(len(c.engines))]
		b := c.engines[c.rand.IntN(len(c.engines))]
		if c.inFlight[b] < c.inFlight[a] {
			return b
		}
		return a
	}
	c.next++
	return c.engines[c.next%len(c.engines)]
}

// release ends a request that acquire counted on addr.
func (c *Chooser) release(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[addr]--
}
