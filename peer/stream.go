package peer

import (
	"bufio"
	"context"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/wire"
	"google.golang.org/protobuf/encoding/protodelim"
)

// Stream carries frames between two nodes, apart from the other frames of their session. One
// goroutine may send while another one receives.
type Stream struct {
	conn *yamux.Stream
	r    *bufio.Reader
	w    *bufio.Writer
}

func newStream(conn *yamux.Stream) *Stream {
	return &Stream{conn: conn, r: bufio.NewReader(conn), w: bufio.NewWriter(conn)}
}

// OpenStream opens a stream to a node, and dials the node if there is no session with it. The
// other node's Config.OnStream gets the stream and its first frame, which is a Carry.
func (t *Transport) OpenStream(ctx context.Context, to string, first *wire.Frame) (*Stream, error) {
	t.mu.Lock()
	if err := t.ctx.Err(); err != nil {
		t.mu.Unlock()
		return nil, err
	}
	ps := t.sessionWith(to)
	t.mu.Unlock()
	select {
	case <-ps.up:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if ps.session == nil {
		return nil, errors.Errorf("no session with node %s", to)
	}
	conn, err := ps.session.OpenStream()
	if err != nil {
		return nil, errors.Wrapf(err, "open a stream to node %s", to)
	}
	s := newStream(conn)
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetWriteDeadline(deadline)
	}
	if err := s.Send(first); err != nil {
		_ = s.Close()
		return nil, errors.Wrapf(err, "send to node %s", to)
	}
	return s, conn.SetWriteDeadline(time.Time{})
}

// Send sends a frame. It blocks while the other node reads too slowly.
func (s *Stream) Send(f *wire.Frame) error {
	if _, err := protodelim.MarshalTo(s.w, f); err != nil {
		return err
	}
	return s.w.Flush()
}

// Receive returns the next frame. The error is io.EOF if the other node has closed the stream
// or the session has ended.
func (s *Stream) Receive() (*wire.Frame, error) { return readFrame(s.r, maxFrameBytes) }

// SetReadDeadline sets the time at which Receive fails; zero for never.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// SetWriteDeadline sets the time at which Send fails; zero for never.
func (s *Stream) SetWriteDeadline(t time.Time) error { return s.conn.SetWriteDeadline(t) }

// Close ends the stream. Frames that were sent are still delivered.
func (s *Stream) Close() error { return s.conn.Close() }
