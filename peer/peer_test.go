package peer

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/wire"
	"google.golang.org/protobuf/encoding/protodelim"
)

const patience = 20 * time.Second

// end is one node of a test.
type end struct {
	*Net
	id   string
	got  chan *wire.Frame
	lost chan string
}

func newEnd(t *testing.T, cluster string) *end {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	e := &end{id: ln.Addr().String(), got: make(chan *wire.Frame, 100), lost: make(chan string, 100)}
	qt.Assert(t, ln.Close(), qt.IsNil)
	e.Net, err = Listen(context.Background(), Config{
		Self:    &wire.Member{Id: e.id},
		Cluster: cluster,
		Deliver: func(_ string, f *wire.Frame) { e.got <- f },
		Lost:    func(id string) { e.lost <- id },
	})
	qt.Assert(t, err, qt.IsNil)
	done := e.Run()
	t.Cleanup(func() {
		e.Close()
		qt.Check(t, <-done, qt.IsNil)
	})
	return e
}

func ping(seq uint64, size int) *wire.Frame {
	text := &wire.Text{Revision: seq, Body: make([]byte, size)}
	return &wire.Frame{Body: &wire.Frame_Text{Text: text}}
}

// Asserts that a frame with a sequence number arrives.
func (e *end) assertGets(t *testing.T, seq uint64) {
	t.Helper()
	select {
	case f := <-e.got:
		qt.Assert(t, f.GetText().GetRevision(), qt.Equals, seq)
	case <-time.After(patience):
		t.Fatal("no frame came")
	}
}

func TestFramesGoBothWays(t *testing.T) {
	a, b := newEnd(t, "c"), newEnd(t, "c")
	for i := range uint64(10) {
		a.Send(b.id, ping(i, 10))
	}
	for i := range uint64(10) {
		b.assertGets(t, i)
	}
	b.Send(a.id, ping(99, 10))
	a.assertGets(t, 99)
	qt.Assert(t, a.Sessions(), qt.Equals, 1, qt.Commentf("the answer must use the same session"))
}

func TestLargeFrameDoesNotBlockSmallOnes(t *testing.T) {
	a, b := newEnd(t, "c"), newEnd(t, "c")
	a.Send(b.id, ping(1, 1<<20))
	b.assertGets(t, 1)
}

func TestLost(t *testing.T) {
	t.Run("nobody listens", func(t *testing.T) {
		a := newEnd(t, "c")
		a.Send("127.0.0.1:1", ping(1, 1))
		assertLost(t, a, "127.0.0.1:1")
	})
	t.Run("another cluster", func(t *testing.T) {
		a, b := newEnd(t, "c"), newEnd(t, "other")
		a.Send(b.id, ping(1, 1))
		assertLost(t, a, b.id)
		qt.Assert(t, len(b.got), qt.Equals, 0)
	})
	t.Run("the other side ends", func(t *testing.T) {
		a, b := newEnd(t, "c"), newEnd(t, "c")
		a.Send(b.id, ping(1, 1))
		b.assertGets(t, 1)
		b.Close()
		assertLost(t, a, b.id)
	})
}

func assertLost(t *testing.T, e *end, id string) {
	t.Helper()
	select {
	case got := <-e.lost:
		qt.Assert(t, got, qt.Equals, id)
	case <-time.After(patience):
		t.Fatal("the loss was not told")
	}
}

// Any bytes from a peer give a frame or an error.
func FuzzReadFrame(f *testing.F) {
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, ping(7, 20)); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := readFrame(bufio.NewReader(bytes.NewReader(data)))
		if err == nil && frame == nil {
			t.Fatal("neither a frame nor an error")
		}
	})
}

// A session that comes while a node closes is no race.
func TestCloseWhileSessionsCome(t *testing.T) {
	for range 200 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		id := ln.Addr().String()
		qt.Assert(t, ln.Close(), qt.IsNil)
		n, err := Listen(context.Background(), Config{Self: &wire.Member{Id: id}, Deliver: func(string, *wire.Frame) {}, Lost: func(string) {}})
		qt.Assert(t, err, qt.IsNil)
		done := n.Run()
		var dialled sync.WaitGroup
		dialled.Go(func() {
			if c, err := net.Dial("tcp", id); err == nil {
				_ = c.Close()
			}
		})
		// The session is on its way when the node closes.
		dialled.Wait()
		n.Close()
		qt.Assert(t, <-done, qt.IsNil)
	}
}
