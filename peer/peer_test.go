package peer

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/wire"
	"google.golang.org/protobuf/encoding/protodelim"
)

const testTimeout = 20 * time.Second

// testNode is a running Transport with the frames and lost peers that it has reported.
type testNode struct {
	*Transport
	id       string
	received chan *wire.Frame
	lost     chan string // ids of peers
}

func newTestNode(t *testing.T, cluster string) *testNode {
	t.Helper()
	return newDiallingNode(t, cluster, nil)
}

// newDiallingNode is newTestNode for a node that connects to others by dial, nil for TCP.
func newDiallingNode(t *testing.T, cluster string, dial func(context.Context, string) (net.Conn, error)) *testNode {
	t.Helper()
	return newConfiguredNode(t, Config{Cluster: cluster, Dial: dial}, nil)
}

// newConfiguredNode returns a node with a configuration, whose listener wrap replaces unless it is nil.
func newConfiguredNode(t *testing.T, cfg Config, wrap func(net.Listener) net.Listener) *testNode {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	n := &testNode{id: ln.Addr().String(), received: make(chan *wire.Frame, 100), lost: make(chan string, 100)}
	qt.Assert(t, ln.Close(), qt.IsNil)
	cfg.Self = &wire.Member{Id: n.id}
	cfg.OnFrame = func(_ string, f *wire.Frame) { n.received <- f }
	cfg.OnPeerLost = func(id string) { n.lost <- id }
	n.Transport, err = Listen(context.Background(), cfg)
	qt.Assert(t, err, qt.IsNil)
	if wrap != nil {
		n.listener = wrap(n.listener)
	}
	done := n.Run()
	t.Cleanup(func() {
		n.Close()
		qt.Check(t, <-done, qt.IsNil)
	})
	return n
}

// textFrame returns a frame that carries a sequence number and a body of size
// bytes.
func textFrame(seq uint64, size int) *wire.Frame {
	text := &wire.Text{Revision: seq, Body: make([]byte, size)}
	return &wire.Frame{Body: &wire.Frame_Text{Text: text}}
}

// assertReceives fails the test unless the next frame has the sequence number seq.
func (n *testNode) assertReceives(t *testing.T, seq uint64) {
	t.Helper()
	select {
	case f := <-n.received:
		qt.Assert(t, f.GetText().GetRevision(), qt.Equals, seq)
	case <-time.After(testTimeout):
		t.Fatal("no frame arrived")
	}
}

func TestFramesGoBothWays(t *testing.T) {
	a, b := newTestNode(t, "c"), newTestNode(t, "c")
	for i := range uint64(10) {
		a.Send(b.id, textFrame(i, 10))
	}
	for i := range uint64(10) {
		b.assertReceives(t, i)
	}
	b.Send(a.id, textFrame(99, 10))
	a.assertReceives(t, 99)
	qt.Assert(t, a.Sessions(), qt.Equals, 1, qt.Commentf("the reply must use the same session"))
}

// TestLargeFrameArrives sends a frame that has a stream of its own.
func TestLargeFrameArrives(t *testing.T) {
	a, b := newTestNode(t, "c"), newTestNode(t, "c")
	a.Send(b.id, textFrame(1, 1<<20))
	b.assertReceives(t, 1)
}

func TestLost(t *testing.T) {
	t.Run("no listener", func(t *testing.T) {
		a := newTestNode(t, "c")
		a.Send("127.0.0.1:1", textFrame(1, 1))
		assertLost(t, a, "127.0.0.1:1")
	})
	t.Run("another cluster", func(t *testing.T) {
		a, b := newTestNode(t, "c"), newTestNode(t, "other")
		a.Send(b.id, textFrame(1, 1))
		assertLost(t, a, b.id)
		qt.Assert(t, len(b.received), qt.Equals, 0)
	})
	t.Run("peer closes the session", func(t *testing.T) {
		a, b := newTestNode(t, "c"), newTestNode(t, "c")
		a.Send(b.id, textFrame(1, 1))
		b.assertReceives(t, 1)
		b.Close()
		assertLost(t, a, b.id)
	})
}

func assertLost(t *testing.T, n *testNode, id string) {
	t.Helper()
	select {
	case got := <-n.lost:
		qt.Assert(t, got, qt.Equals, id)
	case <-time.After(testTimeout):
		t.Fatal("the lost peer was not reported")
	}
}

// FuzzReadFrame checks that readFrame returns a frame or an error for any bytes.
func FuzzReadFrame(f *testing.F) {
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, textFrame(7, 20)); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := readFrame(bufio.NewReader(bytes.NewReader(data)), maxFrameBytes)
		if err == nil && frame == nil {
			t.Fatal("neither a frame nor an error")
		}
	})
}

// TestCloseDuringIncomingSession checks that a session that is accepted while
// Close waits for the goroutines neither causes a data race nor blocks Close.
func TestCloseDuringIncomingSession(t *testing.T) {
	for range 200 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		id := ln.Addr().String()
		qt.Assert(t, ln.Close(), qt.IsNil)
		n, err := Listen(context.Background(), Config{Self: &wire.Member{Id: id}, OnFrame: func(string, *wire.Frame) {}, OnPeerLost: func(string) {}})
		qt.Assert(t, err, qt.IsNil)
		done := n.Run()
		var dialled sync.WaitGroup
		dialled.Go(func() {
			if c, err := net.Dial("tcp", id); err == nil {
				_ = c.Close()
			}
		})
		// The connection is made but may not be accepted yet when the node closes.
		dialled.Wait()
		n.Close()
		qt.Assert(t, <-done, qt.IsNil)
	}
}

// heldConn is a connection whose Close waits until closing is released.
type heldConn struct {
	net.Conn
	closing chan<- struct{} // receives a value when Close is called
	release <-chan struct{}
}

// Close implements net.Conn.
func (c heldConn) Close() error {
	c.closing <- struct{}{}
	<-c.release
	return c.Conn.Close()
}

// TestReadersLoopWhileSessionsEnd guards against readers of a session that run without waiting from
// its shutdown until its connection has closed: the other goroutines of the node stand still.
func TestReadersLoopWhileSessionsEnd(t *testing.T) {
	const sessions, hold = 16, time.Second
	closing, release := make(chan struct{}, 2*sessions), make(chan struct{})
	node := newDiallingNode(t, "c", func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dialTCP(ctx, addr)
		return heldConn{conn, closing, release}, err
	})
	for range sessions {
		peer := newTestNode(t, "c")
		node.Send(peer.id, textFrame(1, 1))
		peer.assertReceives(t, 1)
	}
	closed := make(chan struct{})
	go func() {
		node.Close()
		close(closed)
	}()
	for range sessions {
		<-closing
	}
	before := processorTime(t)
	time.Sleep(hold)
	used := processorTime(t) - before
	close(release)
	<-closed
	qt.Assert(t, used < hold/4, qt.IsTrue, qt.Commentf("%s of processor time in %s", used, hold))
}

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var r syscall.Rusage
	qt.Assert(t, syscall.Getrusage(syscall.RUSAGE_SELF, &r), qt.IsNil)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// failingListener is a listener whose first Accepts fail, as those of a process with too many descriptors do.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

// Accept implements net.Listener.
func (ln *failingListener) Accept() (net.Conn, error) {
	if ln.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return ln.Listener.Accept()
}

// TestAcceptErrorPasses guards against a node that accepts no other node any more, once it has had too many
// descriptors open for a moment.
func TestAcceptErrorPasses(t *testing.T) {
	failing := &failingListener{}
	failing.failures.Store(3)
	a := newTestNode(t, "c")
	b := newConfiguredNode(t, Config{Cluster: "c"}, func(ln net.Listener) net.Listener {
		failing.Listener = ln
		return failing
	})
	a.Send(b.id, textFrame(1, 1))
	b.assertReceives(t, 1)
}
