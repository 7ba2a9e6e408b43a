package carry

import (
	"maps"
	"slices"
	"time"
)

const (
	minLostAddrs   = 2                      // addresses lost without reaching any, from which on a node is isolated
	minPathBackoff = 500 * time.Millisecond // until a path that was lost is tried again; doubles with each failure
	maxPathBackoff = 4 * time.Second
	pathTTL        = time.Minute            // after its next try was due, until a path that nothing has used is forgotten
	maxVerified    = 3                      // addresses that an isolated node tries; endpoints there may have crashed as well
	testInterval   = 500 * time.Millisecond // between two connections that a node tries itself while other nodes reach what it does not
)

// way is how a connection is established.
type way int

const (
	direct   way = iota // by this node, and through others if that takes long or fails
	indirect            // through other nodes only
)

// paths is what a node knows of its own paths to addresses. Load pattern: all paths of a node
// are cut for seconds while those of other nodes are not; the attempts to use them would delay
// each request by a timeout, and the paths are to be used again soon after they are back.
type paths struct {
	byAddr   map[string]path // those that were lost and not reached since
	lost     map[string]bool // addresses that were lost since the node last reached any
	bypassed bool            // another node has reached one of the lost addresses
	testAt   time.Time       // when an isolated node tries a path itself again
	verifyAt time.Time       // until then an isolated node does not verify again that it reaches no endpoint
}

// path is one that was lost.
type path struct {
	failures int
	bypassed bool      // another node has reached the address
	retryAt  time.Time // until then the address is reached through other nodes if they can
}

func newPaths() *paths {
	return &paths{byAddr: map[string]path{}, lost: map[string]bool{}}
}

// isolated reports whether the node has lost several addresses and reached none since.
func (p *paths) isolated() bool { return len(p.lost) >= minLostAddrs }

// cutOff reports whether the cause of that lies with the node, as others reach what it does not.
func (p *paths) cutOff() bool { return p.isolated() && p.bypassed }

// plan returns how to connect to an address. One connection in testInterval tests the paths of
// a node that is cut off.
func (p *paths) plan(now time.Time, addr string) way {
	if p.cutOff() {
		if now.Before(p.testAt) {
			return indirect
		}
		p.testAt = now.Add(testInterval)
		return direct
	}
	lost, known := p.byAddr[addr]
	if !known || !lost.bypassed {
		return direct
	}
	if now.Before(lost.retryAt) {
		return indirect
	}
	lost.retryAt = now.Add(minPathBackoff) // one connection tests the path
	p.byAddr[addr] = lost
	return direct
}

// reached notes that the node has reached an address itself.
func (p *paths) reached(addr string) {
	delete(p.byAddr, addr)
	if p.cutOff() {
		clear(p.byAddr) // what was lost by the cut is back with it
	}
	clear(p.lost)
	p.bypassed, p.testAt, p.verifyAt = false, time.Time{}, time.Time{}
}

// verify returns the first of the addresses that an isolated node has not lost, to which it connects to find
// out whether it is cut off; none if it has done so lately. Load pattern: several endpoints crash one after the
// other under requests that are alike, while the node opens no other connections. Until it reaches an endpoint,
// it cannot tell these crashes from a cut of its own paths.
func (p *paths) verify(now time.Time, addrs []string) []string {
	if !p.isolated() || now.Before(p.verifyAt) {
		return nil
	}
	p.verifyAt = now.Add(testInterval)
	addrs = slices.DeleteFunc(slices.Clone(addrs), func(addr string) bool { return p.lost[addr] })
	return addrs[:min(len(addrs), maxVerified)]
}

// failed notes that the node could not reach an address itself.
func (p *paths) failed(now time.Time, addr string) {
	lost, known := p.byAddr[addr]
	if !known {
		maps.DeleteFunc(p.byAddr, func(_ string, l path) bool { return now.Sub(l.retryAt) > pathTTL })
	}
	lost.retryAt = now.Add(min(minPathBackoff<<lost.failures, maxPathBackoff))
	lost.failures = min(lost.failures+1, 8)
	p.byAddr[addr] = lost
	p.lost[addr] = true
	if p.isolated() && p.testAt.IsZero() {
		p.testAt = now.Add(testInterval)
	}
}

// carried notes that another node has reached an address.
func (p *paths) carried(addr string) {
	lost, known := p.byAddr[addr]
	if !known {
		return
	}
	lost.bypassed = true
	p.byAddr[addr] = lost
	if p.lost[addr] {
		p.bypassed = true
	}
}
