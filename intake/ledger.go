package intake

import (
	"sync"
	"time"
)

// Ledger holds the costs of a node's connections. It is safe for concurrent use. It closes no connection
// itself: its methods return the ids of those that have to yield.
type Ledger struct {
	limits   Limits
	mu       sync.Mutex
	holders  map[uint64]Holder
	totals   totals
	nextID   uint64
	rejected int64
	yielded  int64
}

// New returns a ledger without connections.
func New(l Limits) *Ledger {
	return &Ledger{limits: l, holders: map[uint64]Holder{}}
}

// Open adds a connection that costs n bytes, unless there is no room for it.
func (l *Ledger) Open(now time.Time, n int64) (id uint64, yield []uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	yield, ok = l.put(now, Holder{ID: l.nextID, Phase: Opened, Bytes: n, Since: now})
	return l.nextID, yield, ok
}

// Set changes the phase and the cost of a connection, unless the cost grows and there is no room for it;
// then it stays as it is. A connection that should yield and has gone on meanwhile no longer does, but
// one that closes still does. The time of the last progress becomes now if the phase changes.
func (l *Ledger) Set(now time.Time, id uint64, p Phase, n int64) (yield []uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.holders[id]
	if !ok {
		return nil, true // closed meanwhile
	}
	next := Holder{ID: id, Phase: p, Bytes: n, Since: now, Yielding: h.Yielding && (p == h.Phase || p == Closing)}
	if p == h.Phase {
		next.Since = h.Since
	}
	return l.put(now, next)
}

// Grow adds n to the cost of a connection, which may be negative, unless there is no room for it.
func (l *Ledger) Grow(now time.Time, id uint64, n int64) (yield []uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.holders[id]
	if !ok {
		return nil, true // closed meanwhile
	}
	h.Bytes += n
	return l.put(now, h)
}

// SetPhase changes the phase of a connection. If it should yield and has gone on meanwhile, it no longer does.
func (l *Ledger) SetPhase(now time.Time, id uint64, p Phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.holders[id]; ok {
		next := Holder{ID: id, Phase: p, Bytes: h.Bytes, Since: now, Yielding: h.Yielding && p == h.Phase}
		l.replace(next)
	}
}

// Yields reports whether a connection has to yield.
func (l *Ledger) Yields(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holders[id].Yielding
}

// Progress notes that a connection has made progress in its phase.
func (l *Ledger) Progress(now time.Time, id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.holders[id]; ok {
		h.Since = now
		l.holders[id] = h
	}
}

// Close removes a connection.
func (l *Ledger) Close(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.holders[id]; ok {
		l.totals.remove(l.limits, h)
		delete(l.holders, id)
	}
}

// put adds or replaces a holder if there is room. The mutex is held.
func (l *Ledger) put(now time.Time, h Holder) (yield []uint64, ok bool) {
	old, exists := l.holders[h.ID]
	if exists && h.Bytes <= old.Bytes {
		l.replace(h)
		return nil, true
	}
	t := l.totals
	if exists {
		t.remove(l.limits, old)
	}
	t.add(l.limits, h)
	if !t.fits(l.limits, h) {
		yield, ok = l.limits.Yield(now, l.list(), h)
		if !ok {
			l.rejected++
			return nil, false
		}
		l.yielded += int64(len(yield))
		for _, id := range yield {
			other := l.holders[id]
			other.Yielding = true
			l.replace(other)
		}
	}
	l.replace(h)
	return yield, true
}

// replace sets a holder without a check. The mutex is held.
func (l *Ledger) replace(h Holder) {
	if old, ok := l.holders[h.ID]; ok {
		l.totals.remove(l.limits, old)
	}
	l.totals.add(l.limits, h)
	l.holders[h.ID] = h
}

// list returns the holders. The mutex is held.
func (l *Ledger) list() []Holder {
	list := make([]Holder, 0, len(l.holders))
	for _, h := range l.holders {
		list = append(list, h)
	}
	return list
}

// Stats are the sums of a ledger.
type Stats struct {
	Bytes    int64 // cost of all connections
	Conns    int   // connections, those that yield included
	Rejected int64 // times that there was no room, since the start
	Yielded  int64 // connections that had to yield, since the start
}

// Stats returns the sums of the ledger.
func (l *Ledger) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Bytes: l.totals.bytes + l.totals.yieldingBytes, Conns: len(l.holders), Rejected: l.rejected, Yielded: l.yielded}
}
