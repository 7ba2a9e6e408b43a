package carry

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	maxActive     = 512                    // connections that a node carries for others at once
	maxWait       = 2 * time.Second        // for connecting for another node
	maxFirstPiece = time.Second            // from an answer until the request has arrived; a longer delay means that this node or the other was paused
	maxLife       = 10 * time.Minute       // of a carried connection whose request states no deadline
	endSlack      = time.Second            // by which a carried connection outlasts its request's deadline
	pieceSize     = 16 << 10               // bytes of a response that are read at once
	sendTimeout   = 15 * time.Second       // for one piece of a response; longer than a node waits for a caller that does not read
	answerTimeout = 250 * time.Millisecond // for the answer to another node
)

// Serve carries the connection for which another node has opened a stream, until it ends.
func (c *Carrier) Serve(ctx context.Context, open *wire.Carry, s Stream, rules Rules) {
	if !c.begin() {
		c.answer(s, wire.Obstacle_BUSY, "it is stopping or carries too many connections")
		return
	}
	defer c.end()
	conn, obstacle, detail := c.connect(ctx, time.Now(), open, rules)
	if err := c.answer(s, obstacle, detail); err != nil || obstacle != wire.Obstacle_NONE {
		if conn != nil {
			_ = conn.Close()
		}
		return
	}
	c.served.Inc()
	life := maxLife
	if left := time.Duration(open.GetLeft()) * time.Millisecond; left > 0 {
		life = left + endSlack
	}
	ctx, cancel := context.WithTimeout(ctx, life)
	defer cancel()
	f := &forwarding{rules: rules, endpoint: open.GetEndpoint(), conn: conn, stream: s, answeredAt: sinceBoot()}
	f.run(ctx)
}

// begin counts one more connection for another node, unless there may be none.
func (c *Carrier) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping || c.active >= maxActive {
		return false
	}
	c.active++
	return true
}

func (c *Carrier) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
}

func (c *Carrier) answer(s Stream, o wire.Obstacle, detail string) error {
	if err := s.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	return s.Send(&wire.Frame{Body: &wire.Frame_Carried{Carried: &wire.Carried{Obstacle: o, Detail: detail}}})
}

// connect connects to an endpoint for another node, or returns what prevents it.
func (c *Carrier) connect(ctx context.Context, now time.Time, open *wire.Carry, rules Rules) (net.Conn, wire.Obstacle, string) {
	if obstacle, detail := rules.CarryObstacle(now, open); obstacle != wire.Obstacle_NONE {
		return nil, obstacle, detail
	}
	c.mu.Lock()
	w := c.paths.plan(now, open.GetAddr())
	c.mu.Unlock()
	if w == indirect {
		return nil, wire.Obstacle_ISOLATED, "it does not reach the endpoint itself"
	}
	wait := min(time.Duration(open.GetWait())*time.Millisecond, maxWait)
	t := relay.Target{Addr: open.GetAddr(), Timeout: wait, Endpoint: open.GetEndpoint(), Started: open.GetStarted()}
	conn, err := c.cfg.Dial(ctx, t)
	if err != nil && ctx.Err() != nil {
		return nil, wire.Obstacle_BUSY, "the session with it has ended"
	}
	c.recordDial(ctx, t.Addr, err)
	if err == nil {
		return conn, wire.Obstacle_NONE, ""
	}
	c.mu.Lock()
	isolated := c.paths.isolated()
	c.mu.Unlock()
	switch {
	case isolated:
		return nil, wire.Obstacle_ISOLATED, err.Error()
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, wire.Obstacle_REFUSED, err.Error()
	}
	return nil, wire.Obstacle_UNREACHABLE, err.Error()
}

// forwarding forwards the bytes of one carried connection.
type forwarding struct {
	rules      Rules
	endpoint   string
	conn       net.Conn
	stream     Stream
	answeredAt time.Duration // when the other node was told that the connection exists, since boot
	sending    sync.Mutex

	writing  sync.Mutex // held during a write to conn
	taken    uint64     // bytes that conn took
	writeErr error      // of the first write that failed
}

// run forwards in both directions until the other node closes the stream, which it does at
// the end of the exchange, or ctx ends.
func (f *forwarding) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = f.stream.Close() })
	defer stop()
	responseDone := make(chan struct{})
	go func() {
		defer close(responseDone)
		f.forwardResponse()
	}()
	f.forwardRequest()
	_ = f.conn.Close()
	<-responseDone
}

// forwardRequest forwards what the other node sends, until it closes the stream or the
// connection fails.
func (f *forwarding) forwardRequest() {
	first := true
	for {
		frame, err := f.stream.Receive()
		piece := frame.GetPiece()
		if err != nil || piece == nil {
			return
		}
		if rest := time.Duration(piece.GetRest()) * time.Millisecond; rest > 0 {
			f.rules.RestEndpoint(f.endpoint, rest)
		}
		if len(piece.GetData()) == 0 {
			continue
		}
		if delay := sinceBoot() - f.answeredAt; first && delay > maxFirstPiece {
			f.send(&wire.Piece{Broken: fmt.Sprintf("the request came %s after the connection", delay.Round(time.Millisecond)), Unsent: true})
			return
		}
		first = false
		f.write(piece.GetData())
	}
}

// write writes a part of the request to the endpoint. An error ends nothing, as an endpoint may respond before it
// has read the request, but a response that ends with the connection is then not whole.
func (f *forwarding) write(data []byte) {
	f.writing.Lock()
	defer f.writing.Unlock()
	n, err := f.conn.Write(data)
	f.taken += uint64(n)
	if err != nil && f.writeErr == nil {
		f.writeErr = err
	}
}

// endOfResponse returns the piece that says that the endpoint has closed the connection. The kernel reports a reset
// once, to a write if that comes first; the read after it sees a proper end.
func (f *forwarding) endOfResponse() *wire.Piece {
	_ = f.conn.SetWriteDeadline(time.Now().Add(relay.MaxWriteEnd)) // ends a write that the endpoint does not read
	f.writing.Lock()
	defer f.writing.Unlock()
	if f.writeErr != nil {
		return &wire.Piece{Broken: fmt.Sprintf("the connection closed, and a write of the request failed: %v", f.writeErr)}
	}
	return &wire.Piece{End: true, Taken: f.taken}
}

// forwardResponse forwards what the endpoint sends, and how it ends.
func (f *forwarding) forwardResponse() {
	buf := make([]byte, pieceSize)
	for {
		n, err := f.conn.Read(buf)
		if n > 0 && !f.send(&wire.Piece{Data: buf[:n]}) {
			return
		}
		if err == io.EOF {
			f.send(f.endOfResponse())
			return
		}
		if err != nil {
			f.send(&wire.Piece{Broken: err.Error()})
			return
		}
	}
}

// send sends a piece to the other node and reports whether that succeeded. If it did not, the
// stream ends, as the other node would wait for the rest.
func (f *forwarding) send(p *wire.Piece) bool {
	f.sending.Lock()
	defer f.sending.Unlock()
	err := f.stream.SetWriteDeadline(time.Now().Add(sendTimeout))
	if err == nil {
		err = f.stream.Send(&wire.Frame{Body: &wire.Frame_Piece{Piece: p}})
	}
	if err != nil {
		_ = f.stream.Close()
	}
	return err == nil
}
