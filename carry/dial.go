package carry

import (
	"context"
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	hedgeDelay         = 40 * time.Millisecond  // without a connection after which another way is tried as well; connecting within a region takes a few milliseconds
	answerMargin       = 100 * time.Millisecond // by which a node's answer may take longer than its connecting
	defaultDialTimeout = 2 * time.Second        // if the target states none
	maxAsked           = 6                      // nodes asked for one connection; those that are cut off answer at once
	maxHedges          = 2                      // further ways tried before the earlier ones have failed
	verifyTimeout      = 100 * time.Millisecond // of a connection that shows whether a node is isolated
)

// DialError says why an endpoint could not be reached. Nothing was sent to it.
type DialError struct {
	Direct  error    // of the connection by this node; nil if none was tried
	Answers []string // of other nodes
	Ended   bool     // nothing listens at the address, as nodes that reach others found
	Silent  bool     // the endpoint did not answer, and nobody found anything else
}

// Error lists the causes.
func (e *DialError) Error() string {
	var parts []string
	if e.Direct != nil {
		parts = append(parts, e.Direct.Error())
	}
	parts = append(parts, e.Answers...)
	if len(parts) == 0 {
		return "this node has no path, and no other node can be asked"
	}
	return strings.Join(parts, "; ")
}

// Is reports whether target is ECONNREFUSED and the endpoint has ended.
func (e *DialError) Is(target error) bool { return e.Ended && target == syscall.ECONNREFUSED }

// obstacleError is a node's answer that it does not carry a connection, or that it gave none.
type obstacleError struct {
	node     string
	obstacle wire.Obstacle // NONE if the node did not answer
	detail   string
}

// Error describes the answer.
func (e *obstacleError) Error() string {
	return fmt.Sprintf("node %s: %s", e.node, e.detail)
}

// dialling is one call of Dial. Its fields belong to the goroutine of the call.
type dialling struct {
	carrier  *Carrier
	target   relay.Target
	deadline time.Time // of the request; zero for none
	results  chan dialResult
	pending  int      // connections that are being established
	asked    []string // other nodes
	failure  DialError
	findings findings
}

// dialResult is the end of one way to establish a connection.
type dialResult struct {
	conn net.Conn
	err  error
}

// Dial connects to an endpoint. It implements relay.Config.Dial. If it takes long, or fails,
// other nodes are asked to connect; the connection that is established first is used.
func (c *Carrier) Dial(ctx context.Context, t relay.Target) (net.Conn, error) {
	if t.Timeout == 0 {
		t.Timeout = defaultDialTimeout
	}
	d := &dialling{carrier: c, target: t, results: make(chan dialResult, 1+maxAsked)}
	if deadline, ok := ctx.Deadline(); ok {
		d.deadline = deadline
	}
	return d.run(ctx, time.Now())
}

func (d *dialling) run(ctx context.Context, now time.Time) (net.Conn, error) {
	c := d.carrier
	c.mu.Lock()
	w, cutOff := c.paths.plan(now, d.target.Addr), c.paths.cutOff()
	c.mu.Unlock()
	if w == direct || !d.ask(ctx, now) && !cutOff {
		d.dialDirect(ctx)
	}
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	late := time.NewTimer(2 * (d.target.Timeout + answerMargin))
	defer late.Stop()
	defer d.abandon()
	for hedges := 0; d.pending > 0 && !d.findings.settled(); {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-late.C:
			return nil, d.fail()
		case now := <-hedge.C:
			if hedges++; hedges <= maxHedges {
				d.ask(ctx, now)
			}
		case r := <-d.results:
			d.pending--
			if r.err == nil {
				return r.conn, nil
			}
			d.note(r)
			if !d.findings.settled() && !d.ask(ctx, time.Now()) && d.pending == 0 && d.failure.Direct == nil && !cutOff {
				d.dialDirect(ctx)
			}
		}
	}
	return nil, d.fail()
}

// fail returns the error of a call for which no way has succeeded.
func (d *dialling) fail() error {
	d.failure.Ended, d.failure.Silent = d.findings.ended(), d.findings.silent()
	return &d.failure
}

// abandon closes the connections that are still being established, once they are.
func (d *dialling) abandon() {
	if d.pending == 0 {
		return
	}
	go func() {
		for range d.pending {
			if r := <-d.results; r.err == nil {
				_ = r.conn.Close()
			}
		}
	}()
}

// dialDirect begins to connect by this node. It goes on if another connection is used, as
// its end shows whether the path is sound.
func (d *dialling) dialDirect(ctx context.Context) {
	d.pending++
	c, t := d.carrier, d.target
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.Timeout)
	go func() {
		defer cancel()
		conn, err := c.cfg.Dial(ctx, t)
		c.recordDial(ctx, t.Addr, err)
		d.results <- dialResult{conn: conn, err: err}
	}()
}

// recordDial is recordDirect for a connection to an endpoint that a request or another node asked for. A
// node that a refusal makes isolated first tries other endpoints, since endpoints that have crashed refuse
// connections too.
func (c *Carrier) recordDial(ctx context.Context, addr string, err error) {
	now := time.Now()
	c.recordDirect(now, addr, err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.verifyIsolation(ctx, now)
	}
}

// verifyIsolation connects to endpoints that an isolated node has not lost, until it reaches one.
func (c *Carrier) verifyIsolation(ctx context.Context, now time.Time) {
	if c.cfg.Endpoints == nil {
		return
	}
	addrs := c.cfg.Endpoints()
	c.mu.Lock()
	c.rand.Shuffle(len(addrs), func(i, k int) { addrs[i], addrs[k] = addrs[k], addrs[i] })
	addrs = c.paths.verify(now, addrs)
	c.mu.Unlock()
	for _, addr := range addrs {
		conn, err := c.cfg.Dial(ctx, relay.Target{Addr: addr, Timeout: verifyTimeout, Started: true})
		if ctx.Err() != nil {
			return
		}
		c.recordDirect(time.Now(), addr, err)
		if err == nil {
			_ = conn.Close()
			return
		}
	}
}

// ask begins to connect through another node. It reports false if there is none to ask.
func (d *dialling) ask(ctx context.Context, now time.Time) bool {
	c := d.carrier
	if len(d.asked) >= maxAsked {
		return false
	}
	ids := c.cfg.Nodes()
	c.mu.Lock()
	node, ok := c.nodes.choose(now, ids, d.asked, c.rand)
	if ok {
		c.nodes.add(node, 1)
	}
	c.mu.Unlock()
	if !ok {
		return false
	}
	d.pending++
	d.asked = append(d.asked, node)
	t, deadline := d.target, d.deadline
	go func() {
		conn, err := c.dialThrough(ctx, node, t, deadline)
		d.results <- dialResult{conn: conn, err: err}
	}()
	return true
}

// note evaluates a way that has failed.
func (d *dialling) note(r dialResult) {
	var answer *obstacleError
	if errors.As(r.err, &answer) {
		d.failure.Answers = append(d.failure.Answers, answer.Error())
		d.findings = d.findings.withAnswer(answer.obstacle)
		return
	}
	d.failure.Direct = r.err
	d.carrier.mu.Lock()
	defer d.carrier.mu.Unlock()
	var netErr net.Error
	timedOut := errors.Is(r.err, context.DeadlineExceeded) || errors.As(r.err, &netErr) && netErr.Timeout()
	d.findings = d.findings.withDirect(errors.Is(r.err, syscall.ECONNREFUSED), timedOut, d.carrier.paths.isolated())
}

// dialThrough asks a node to connect to an endpoint.
func (c *Carrier) dialThrough(ctx context.Context, node string, t relay.Target, deadline time.Time) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, t.Timeout+answerMargin)
	defer cancel()
	stream, answer, err := c.openThrough(ctx, node, t, deadline)
	if err != nil {
		c.forget(node)
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.loseNode(node)
		}
		return nil, &obstacleError{node: node, detail: fmt.Sprintf("no answer: %v", err)}
	}
	c.mu.Lock()
	c.nodes.answered(time.Now(), node, answer.GetObstacle())
	if answer.GetObstacle() == wire.Obstacle_NONE {
		c.paths.carried(t.Addr)
	}
	c.mu.Unlock()
	if answer.GetObstacle() != wire.Obstacle_NONE {
		c.forget(node)
		c.failed.Inc()
		return nil, &obstacleError{node: node, obstacle: answer.GetObstacle(), detail: answer.GetDetail()}
	}
	c.through.Inc()
	c.cfg.Record(trace.Entry{Kind: "carried", Request: t.Request, Endpoint: t.Endpoint, Routine: true, Detail: fmt.Sprintf("node %s connects this node to %s", node, t.Addr)})
	return &carriedConn{carrier: c, node: node, addr: t.Addr, stream: stream}, nil
}

// openThrough opens a stream to a node and returns its answer. The stream is closed when ctx
// ends before the answer.
func (c *Carrier) openThrough(ctx context.Context, node string, t relay.Target, deadline time.Time) (Stream, *wire.Carried, error) {
	now := time.Now()
	open := &wire.Carry{Endpoint: t.Endpoint, Addr: t.Addr, Wait: uint32(t.Timeout.Milliseconds()), Started: t.Started}
	if !deadline.IsZero() {
		open.Left = uint32(max(deadline.Sub(now), 0).Milliseconds())
	}
	stream, err := c.cfg.Open(ctx, node, &wire.Frame{Body: &wire.Frame_Carry{Carry: open}})
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	f, err := stream.Receive()
	if stopped := stop(); err == nil && (!stopped || f.GetCarried() == nil) {
		err = errors.New("it came too late or was not understood")
	}
	if err != nil || f.GetCarried().GetObstacle() != wire.Obstacle_NONE {
		_ = stream.Close()
	}
	return stream, f.GetCarried(), err
}

// forget ends the account of a connection that a node was asked for.
func (c *Carrier) forget(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes.add(node, -1)
}

// loseNode notes that a node did not answer or that the way to it broke.
func (c *Carrier) loseNode(node string) {
	c.failed.Inc()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes.silent(time.Now(), node)
}
