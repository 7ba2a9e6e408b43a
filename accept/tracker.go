// Package accept tracks the connections of a node's HTTP servers: it ends those that take too long for
// a request, and bounds what all of them occupy.
//
// Model. A Tracker wraps the listeners of http.Servers and follows each connection through its phases. It rejects
// a header over the limit in force while it arrives, and reads bodies within the memory that an intake.Ledger has
// for them; the Ledger decides which connections yield to others.
//
// Invariants:
//   - A request that http.Server has read gets an answer; time limits and yielding end only the wait for bytes,
//     but for requests whose client does not read or has sent more.
//   - A rejected request has not run, and its client can read the answer: what it still sends is discarded
//     for a moment, as closing a connection with unread bytes resets it.
//
// Load pattern: see package intake.
package accept

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/plantaindeck/plantaindeck/intake"
	"github.com/plantaindeck/plantaindeck/table"
	"github.com/plantaindeck/plantaindeck/wait"
)

const closePollInterval = 5 * time.Millisecond // between checks whether all connections are closed

// Tracker tracks the connections to a node's HTTP servers. It ends those that do not send a
// complete header, or that send no further request, within the limits in force. It replaces the
// timeouts of http.Server, which cannot change while the server runs, and http.Server.Shutdown, which
// closes connections from which a request has been read.
//
// The memory and the number of the connections are bounded by an intake.Ledger. A connection that
// it does not admit is closed, and one that has to yield ends as if its time limit had passed.
//
// Tracker never closes an admitted connection itself, since it cannot know whether http.Server is about to handle
// bytes that it has read. It sets a read deadline in the past instead, so that a Read returns either
// bytes, and the request goes on, or an error, and http.Server closes the connection.
type Tracker struct {
	limits   func() table.Limits       // returns the limits in force
	record   func(kind, detail string) // adds a line to the node's log
	ledger   *intake.Ledger            // is called with mu held or not
	mu       sync.Mutex
	conns    map[*Conn]bool
	byID     map[uint64]*Conn // by the id in the ledger
	draining bool             // the node stops: connections end after their response
	closing  bool             // the node closes its servers: connections are not kept open to discard bytes
}

// connPhase is what a connection waits for.
type connPhase int

// Phases of a connection.
const (
	phaseNew     connPhase = iota // no byte has been received
	phaseHeader                   // a part of a request has been received, and http.Server has not parsed its header
	phaseBody                     // the header of a request has been parsed, and its body is being read
	phaseBusy                     // a request is served
	phaseIdle                     // no byte has been received since the last response
	phaseClosing                  // the last response has been written, and what still arrives is discarded
)

// intakePhase returns the phase as the ledger distinguishes it.
func (p connPhase) intakePhase() intake.Phase {
	switch p {
	case phaseNew:
		return intake.Opened
	case phaseHeader, phaseBody:
		return intake.Receiving
	case phaseIdle:
		return intake.Idle
	case phaseClosing:
		return intake.Closing
	}
	return intake.Serving
}

// waiting reports whether no byte of a request has been received that has not been answered.
func (p connPhase) waiting() bool { return p == phaseNew || p == phaseIdle }

// Config describes a Tracker.
type Config struct {
	Limits func() table.Limits       // returns the limits in force
	Ledger *intake.Ledger            // of the memory and the number of connections
	Record func(kind, detail string) // adds a line to the node's log
}

// New returns a tracker without connections.
func New(cfg Config) *Tracker {
	return &Tracker{limits: cfg.Limits, ledger: cfg.Ledger, record: cfg.Record, conns: map[*Conn]bool{}, byID: map[uint64]*Conn{}}
}

// connKey is the key of a request's *Conn in its context.
type connKey struct{}

// ConnContext is the ConnContext hook of an http.Server whose listener Listen has returned.
func (ct *Tracker) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Of returns the connection of a request, or nil if it is not tracked. The methods that a handler calls
// accept nil, as nothing bounds such a connection.
func Of(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// admit returns a tracked connection for conn, or nil if there is no room for it.
func (ct *Tracker) admit(now time.Time, conn net.Conn) *Conn {
	id, yield, ok := ct.ledger.Open(now, intake.ConnCost)
	ct.yield(now, yield)
	if !ok {
		return nil
	}
	c := &Conn{Conn: conn, tracker: ct, id: id}
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.byID[id] = c
	return c
}

// yield ends connections in favour of others.
func (ct *Tracker) yield(now time.Time, ids []uint64) {
	if len(ids) == 0 {
		return
	}
	ct.mu.Lock()
	defer ct.mu.Unlock()
	for _, id := range ids {
		// A connection that has gone on meanwhile no longer yields.
		if c := ct.byID[id]; c != nil && ct.ledger.Yields(id) {
			c.yield(now)
		}
	}
}

// Listen returns a listener that accepts the connections of ln and tracks them.
func (ct *Tracker) Listen(ln net.Listener) net.Listener {
	return &listener{Listener: ln, tracker: ct}
}

// StateChanged handles a change of a connection's state. It is the ConnState hook
// of an http.Server whose listener Listen has returned.
func (ct *Tracker) StateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	now := time.Now()
	ct.mu.Lock()
	defer ct.mu.Unlock()
	switch state {
	case http.StateNew:
		ct.conns[c] = true
		ct.enter(now, c, phaseNew)
	case http.StateActive:
		ct.enter(now, c, phaseBusy)
	case http.StateIdle:
		if c.largeBuffer {
			c.largeBuffer = false
			c.setReadBuffer(intake.ReceiveBuffer)
		}
		c.noteIdle()
		ct.enter(now, c, phaseIdle)
		if ct.draining {
			c.expire(now)
		}
	case http.StateClosed, http.StateHijacked:
		delete(ct.conns, c)
		delete(ct.byID, c.id)
		ct.ledger.Close(c.id)
		c.timer.Stop()
	}
}

// enter begins a phase of a connection. The mutex is held.
func (ct *Tracker) enter(now time.Time, c *Conn, p connPhase) {
	c.phase, c.since = p, now
	if p.waiting() {
		c.unread = false
		ct.ledger.Set(now, c.id, p.intakePhase(), intake.ConnCost) // does not grow
	} else {
		ct.ledger.SetPhase(now, c.id, p.intakePhase())
	}
	if c.expired {
		c.expired = false
		// The error is ignored: the connection is broken, which the next Read returns.
		_ = c.SetReadDeadline(time.Time{})
	}
	c.limit = ct.limitOf(p)
	switch {
	case p == phaseBusy || p == phaseBody || p == phaseClosing:
		c.timer.Stop()
	case c.timer == nil:
		c.timer = time.AfterFunc(c.limit, func() { ct.checkExpired(time.Now(), c) })
	default:
		c.timer.Reset(c.limit)
	}
}

// limitOf returns the longest time that a connection may take for a phase by the limits in force.
func (ct *Tracker) limitOf(p connPhase) time.Duration {
	if p == phaseIdle {
		return ct.limits().IdleTimeout
	}
	return ct.limits().HeaderTimeout
}

// checkExpired ends the wait of a connection whose phase has taken too long at the time now. The limit
// is the longer one of those at the beginning of the phase and now: callers that know the new
// configuration keep connections for the time that it allows, and the others for the time before.
func (ct *Tracker) checkExpired(now time.Time, c *Conn) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if c.phase == phaseBusy || c.phase == phaseBody || c.phase == phaseClosing || !ct.conns[c] {
		return
	}
	if rest := c.since.Add(max(c.limit, ct.limitOf(c.phase))).Sub(now); rest > 0 {
		c.timer.Reset(rest)
		return
	}
	c.expire(now)
}

// Open returns the number of open connections.
func (ct *Tracker) Open() int {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return len(ct.conns)
}

// Busy returns the number of connections with a request, or a part of one, whose response has
// not been sent completely.
func (ct *Tracker) Busy() int {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	n := 0
	for c := range ct.conns {
		if !c.phase.waiting() && c.phase != phaseClosing {
			n++
		}
	}
	return n
}

// Drain ends the connections that wait for a further request, at the time now and whenever one has had
// its response.
func (ct *Tracker) Drain(now time.Time) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.draining = true
	for c := range ct.conns {
		if c.phase == phaseIdle {
			c.expire(now)
		}
	}
}

// End ends all connections that wait for a request, and waits until those with a request have had
// their response, or ctx ends.
func (ct *Tracker) End(ctx context.Context) {
	ct.Drain(time.Now())
	ct.mu.Lock()
	ct.closing = true
	for c := range ct.conns {
		if c.phase == phaseClosing {
			c.stopLinger(time.Now())
		}
	}
	ct.mu.Unlock()
	for ct.Open() > 0 && ctx.Err() == nil {
		ct.mu.Lock()
		for c := range ct.conns {
			if c.phase == phaseNew { // accepted at the last moment
				c.expire(time.Now())
			}
		}
		ct.mu.Unlock()
		wait.For(ctx, closePollInterval)
	}
}

// listener accepts connections that a Tracker tracks.
type listener struct {
	net.Listener
	tracker *Tracker
	once    sync.Once
	err     error // of the first Close
}

// Accept implements net.Listener.
func (ln *listener) Accept() (net.Conn, error) {
	for {
		conn, err := ln.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := ln.tracker.admit(time.Now(), conn); c != nil {
			return c, nil
		}
		// The error is ignored: the connection may be broken already.
		_ = conn.Close()
	}
}

// Close implements net.Listener. Only the first call has an effect, as http.Server closes its listener
// again.
func (ln *listener) Close() error {
	ln.once.Do(func() { ln.err = ln.Listener.Close() })
	return ln.err
}
