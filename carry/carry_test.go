package carry

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/plantaindeck/plantaindeck/wire"
)

const maxRecovery = 10 * time.Second // from the end of a cut until all nodes connect themselves again

// memStream is one end of a Stream in memory.
type memStream struct {
	in, out   chan *wire.Frame
	done      chan struct{} // closed when either end is
	closeOnce *sync.Once
}

func newMemStreams() (*memStream, *memStream) {
	a, b, done, once := make(chan *wire.Frame, 64), make(chan *wire.Frame, 64), make(chan struct{}), new(sync.Once)
	return &memStream{a, b, done, once}, &memStream{b, a, done, once}
}

func (s *memStream) Send(f *wire.Frame) error {
	select {
	case <-s.done:
		return io.ErrClosedPipe
	case s.out <- f:
		return nil
	}
}

func (s *memStream) Receive() (*wire.Frame, error) {
	select {
	case f := <-s.in:
		return f, nil
	default:
	}
	select {
	case f := <-s.in:
		return f, nil
	case <-s.done:
		return nil, io.EOF
	}
}

func (s *memStream) SetReadDeadline(time.Time) error  { return nil }
func (s *memStream) SetWriteDeadline(time.Time) error { return nil }
func (s *memStream) Close() error {
	s.closeOnce.Do(func() { close(s.done) })
	return nil
}

// network connects the Carriers of many nodes to endpoints that greet and then close.
type network struct {
	mu        sync.Mutex
	carriers  map[string]*Carrier
	cut       map[string]bool // nodes that reach no endpoint
	hangs     bool            // connections over a cut hang; else they are refused
	down      map[string]bool // addresses where nothing listens
	connected map[string]int  // connections to endpoints, by node
	obstacle  wire.Obstacle   // of all carriers
	rests     []time.Duration // that carriers were told
	received  int             // bytes at all endpoints
}

// stuckStream is a Stream whose other node reads nothing.
type stuckStream struct{ *memStream }

func (stuckStream) Send(*wire.Frame) error { return io.ErrShortWrite }

func newNetwork(nodes int) *network {
	n := &network{carriers: map[string]*Carrier{}, cut: map[string]bool{}, down: map[string]bool{}, connected: map[string]int{}}
	for i := range nodes {
		id := fmt.Sprint("n", i)
		n.carriers[id] = New(Config{
			Dial: func(ctx context.Context, t relay.Target) (net.Conn, error) { return n.dial(ctx, id, t) },
			Open: n.open,
			Nodes: func() []string {
				var ids []string
				for other := range n.carriers {
					if other != id {
						ids = append(ids, other)
					}
				}
				return ids
			},
			Endpoints: func() []string { return []string{"e0", "e1", "e2", "e3"} },
			Record:    func(trace.Entry) {}, Metrics: metrics.NewSet(), Seed: uint64(i),
		})
	}
	return n
}

// CarryObstacle implements Rules.
func (n *network) CarryObstacle(time.Time, *wire.Carry) (wire.Obstacle, string) {
	return n.obstacle, "as the test says"
}

// RestEndpoint implements Rules.
func (n *network) RestEndpoint(_ string, rest time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rests = append(n.rests, rest)
}

func (n *network) open(_ context.Context, node string, first *wire.Frame) (Stream, error) {
	mine, theirs := newMemStreams()
	go func() {
		n.carriers[node].Serve(context.Background(), first.GetCarry(), theirs, n)
		_ = theirs.Close()
	}()
	return mine, nil
}

// dial connects a node to an endpoint, which sends "hello", and ends when it has read a byte.
func (n *network) dial(ctx context.Context, node string, t relay.Target) (net.Conn, error) {
	n.mu.Lock()
	cut, hangs := n.cut[node], n.hangs
	refused := n.down[t.Addr] || cut && !hangs
	if !cut && !refused {
		n.connected[node]++
	}
	n.mu.Unlock()
	switch {
	case refused:
		return nil, syscall.ECONNREFUSED
	case cut:
		ctx, cancel := context.WithTimeout(ctx, t.Timeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	mine, theirs := net.Pipe()
	go func() {
		defer theirs.Close()
		if _, err := theirs.Write([]byte("hello")); err != nil {
			return
		}
		got, _ := io.ReadAtLeast(theirs, make([]byte, 16), 1)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.received += got
	}()
	return mine, nil
}

// setCut cuts off the first nodes, and no others.
func (n *network) setCut(nodes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	for i := range nodes {
		n.cut[fmt.Sprint("n", i)] = true
	}
}

// takeConnected returns the numbers of connections to endpoints, by node, and resets them.
func (n *network) takeConnected() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	taken := n.connected
	n.connected = map[string]int{}
	return taken
}

// dialFrom makes each of the first nodes dial a number of times, four endpoints in turn, and
// returns how many of these attempts failed.
func (n *network) dialFrom(t *testing.T, nodes, times int) int {
	var mu sync.Mutex
	failures := 0
	var callers sync.WaitGroup
	for i := range nodes {
		callers.Go(func() {
			for k := range times {
				conn, err := n.carriers[fmt.Sprint("n", i)].Dial(context.Background(), relay.Target{Addr: fmt.Sprint("e", k%4), Endpoint: "e", Timeout: 100 * time.Millisecond})
				if err != nil {
					mu.Lock()
					failures++
					mu.Unlock()
					continue
				}
				data, err := io.ReadAll(io.LimitReader(conn, 5))
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, string(data), qt.Equals, "hello")
				_ = conn.Close()
			}
		})
	}
	callers.Wait()
	return failures
}

// TestCutOfManyNodes replays cuts of one node, most of a data centre, all of it and nearly all
// nodes: the connections of the nodes behind the cut are spread over those in touch, and none
// of these goes through another one again. It runs in the time of synctest, as a busy machine
// would otherwise let timeouts of 40 and 100 ms pass in which nothing was late.
func TestCutOfManyNodes(t *testing.T) {
	for _, test := range []struct {
		nodes, cut int
		hangs      bool
	}{{4, 1, false}, {4, 3, true}, {100, 1, true}, {100, 32, false}, {100, 33, true}, {100, 66, false}} {
		t.Run(fmt.Sprintf("%d of %d hangs %t", test.cut, test.nodes, test.hangs), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { assertCutSurvived(t, test.nodes, test.cut, test.hangs) })
		})
	}
}

// assertCutSurvived cuts off the first nodes, and checks who carries their connections, and that
// they connect themselves once the cut has ended.
func assertCutSurvived(t *testing.T, nodes, cut int, hangs bool) {
	n := newNetwork(nodes)
	n.hangs = hangs
	n.setCut(cut)
	n.dialFrom(t, cut, 10)
	n.takeConnected()
	const times = 30
	failures := n.dialFrom(t, cut, times)
	t.Logf("%d of %d failed", failures, cut*times)
	qt.Assert(t, failures <= 10+cut*times/50, qt.IsTrue, qt.Commentf("%d of %d failed", failures, cut*times))
	total, most := 0, 0
	for node, count := range n.takeConnected() {
		qt.Assert(t, n.cut[node], qt.IsFalse)
		total, most = total+count, max(most, count)
	}
	fair := total/(nodes-cut) + 1
	qt.Assert(t, most <= 3*fair+10, qt.IsTrue, qt.Commentf("one node carried %d connections, on average they carry %d", most, fair))
	n.setCut(0)
	for usesOthers, end := true, time.Now().Add(maxRecovery); usesOthers; time.Sleep(testInterval / 10) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("nodes are cut off %s after the cut has ended", maxRecovery))
		n.dialFrom(t, cut, 1)
		usesOthers = false
		for i := range cut {
			c := n.carriers[fmt.Sprint("n", i)]
			c.mu.Lock()
			usesOthers = usesOthers || c.paths.cutOff()
			c.mu.Unlock()
		}
	}
	synctest.Wait()
}

// TestNoNodeInTouch checks that connections fail at once, without a further attempt, while all
// nodes are known to be cut off, and that an endpoint then does not count as ended.
func TestNoNodeInTouch(t *testing.T) {
	n := newNetwork(4)
	n.setCut(4)
	n.dialFrom(t, 4, 8)
	for i := range 4 {
		_, err := n.carriers[fmt.Sprint("n", i)].Dial(context.Background(), relay.Target{Addr: "e0", Timeout: 100 * time.Millisecond})
		qt.Assert(t, err, qt.ErrorAs, new(*DialError))
		qt.Assert(t, err, qt.Not(qt.ErrorIs), syscall.ECONNREFUSED)
	}
}

// TestEndedEndpoint checks that an endpoint counts as ended if nothing listens there for nodes
// that reach others, and not while this node alone is cut off.
func TestEndedEndpoint(t *testing.T) {
	n := newNetwork(3)
	n.dialFrom(t, 3, 4)
	n.down["e0"] = true
	_, err := n.carriers["n0"].Dial(context.Background(), relay.Target{Addr: "e0"})
	qt.Assert(t, err, qt.ErrorIs, syscall.ECONNREFUSED)
	n.setCut(1)
	conn, err := n.carriers["n0"].Dial(context.Background(), relay.Target{Addr: "e1"})
	qt.Assert(t, err, qt.IsNil)
	_ = conn.Close()
}

// TestEndpointsEndInTurn guards against endpoints that no node takes for ended, because all nodes count as
// cut off once two endpoints have ended and no other connection was opened since.
func TestEndpointsEndInTurn(t *testing.T) {
	for _, nodes := range []int{1, 2, 4, 27} {
		n := newNetwork(nodes)
		for _, addr := range []string{"e0", "e1", "e2"} {
			n.down[addr] = true
			for range 3 { // as often as relay.Client.HasEnded tries
				for id, c := range n.carriers {
					_, err := c.Dial(context.Background(), relay.Target{Addr: addr})
					qt.Assert(t, err, qt.ErrorIs, syscall.ECONNREFUSED, qt.Commentf("%s at %s", addr, id))
				}
			}
		}
		for _, c := range n.carriers {
			qt.Assert(t, c.paths.isolated(), qt.IsFalse)
		}
		n.takeConnected()
		n.setCut(nodes)
		n.dialFrom(t, nodes, 4)
		_, err := n.carriers["n0"].Dial(context.Background(), relay.Target{Addr: "e3"})
		qt.Assert(t, err, qt.Not(qt.ErrorIs), syscall.ECONNREFUSED)
	}
}

// carried returns a connection of n0, which is cut off, through n1.
func (n *network) carried(t *testing.T) net.Conn {
	n.setCut(1)
	conn, err := n.carriers["n0"].Dial(context.Background(), relay.Target{Addr: "e0", Endpoint: "e"})
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadFull(conn, make([]byte, 5))
	qt.Assert(t, err, qt.IsNil)
	return conn
}

// TestCarriedConnection checks how a carried connection ends, and what its carrier does.
func TestCarriedConnection(t *testing.T) {
	t.Run("endpoint closes", func(t *testing.T) {
		conn := newNetwork(2).carried(t)
		_, err := conn.Write([]byte("x"))
		qt.Assert(t, err, qt.IsNil)
		_, err = conn.Read(make([]byte, 1))
		qt.Assert(t, err, qt.Equals, io.EOF)
	})
	t.Run("carrier is lost", func(t *testing.T) {
		conn := newNetwork(2).carried(t)
		_ = conn.(*carriedConn).stream.Close()
		_, err := conn.Read(make([]byte, 1))
		var lost *relay.CarrierError
		qt.Assert(t, err, qt.ErrorAs, &lost)
		qt.Assert(t, lost.Unsent, qt.IsFalse)
	})
	t.Run("rest", func(t *testing.T) {
		n := newNetwork(2)
		conn := n.carried(t)
		conn.(*carriedConn).ReportRest(3 * time.Second)
		_ = conn.Close()
		for n.carriers["n1"].Active() > 0 {
			time.Sleep(time.Millisecond)
		}
		qt.Assert(t, n.rests, qt.DeepEquals, []time.Duration{3 * time.Second})
	})
	t.Run("paused on the way", func(t *testing.T) {
		n := newNetwork(2)
		mine, theirs := newMemStreams()
		conn, err := n.dial(context.Background(), "n1", relay.Target{Addr: "e0"})
		qt.Assert(t, err, qt.IsNil)
		f := &forwarding{rules: n, conn: conn, stream: theirs, answeredAt: sinceBoot() - 2*maxFirstPiece}
		c := &carriedConn{carrier: n.carriers["n0"], node: "n1", stream: mine}
		done := make(chan struct{})
		go func() {
			f.run(context.Background())
			close(done)
		}()
		_, err = io.ReadFull(c, make([]byte, 5))
		qt.Assert(t, err, qt.IsNil)
		_, err = c.Write([]byte("request"))
		qt.Assert(t, err, qt.IsNil)
		_, err = c.Read(make([]byte, 1))
		var lost *relay.CarrierError
		qt.Assert(t, err, qt.ErrorAs, &lost)
		qt.Assert(t, lost.Unsent, qt.IsTrue)
		_ = c.Close()
		<-done
		n.mu.Lock()
		defer n.mu.Unlock()
		qt.Assert(t, n.received, qt.Equals, 0)
	})
	t.Run("long request", func(t *testing.T) {
		mine, theirs := newMemStreams()
		c := &carriedConn{carrier: newNetwork(1).carriers["n0"], stream: mine}
		n, err := c.Write(make([]byte, 5*pieceSize+1))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, 5*pieceSize+1)
		for sum := 0; sum < n; {
			f, err := theirs.Receive()
			qt.Assert(t, err, qt.IsNil)
			size := len(f.GetPiece().GetData())
			qt.Assert(t, size > 0 && size <= pieceSize, qt.IsTrue, qt.Commentf("a piece has %d bytes", size))
			sum += size
		}
	})
	t.Run("other node reads nothing", func(t *testing.T) {
		n := newNetwork(2)
		_, theirs := newMemStreams()
		conn, err := n.dial(context.Background(), "n1", relay.Target{Addr: "e0"})
		qt.Assert(t, err, qt.IsNil)
		f := &forwarding{rules: n, conn: conn, stream: stuckStream{theirs}, answeredAt: sinceBoot()}
		f.run(context.Background()) // ends
	})
	t.Run("stopping", func(t *testing.T) {
		n := newNetwork(2)
		n.setCut(1)
		n.carriers["n1"].Drain()
		_, err := n.carriers["n0"].Dial(context.Background(), relay.Target{Addr: "e0"})
		qt.Assert(t, err, qt.ErrorMatches, ".*stopping.*")
		qt.Assert(t, n.connected, qt.HasLen, 0)
	})
	t.Run("leaving endpoint", func(t *testing.T) {
		n := newNetwork(4)
		n.setCut(1)
		n.obstacle = wire.Obstacle_ENDING
		_, err := n.carriers["n0"].Dial(context.Background(), relay.Target{Addr: "e0"})
		qt.Assert(t, err, qt.ErrorAs, new(*DialError))
		qt.Assert(t, n.connected, qt.HasLen, 0)
	})
}
