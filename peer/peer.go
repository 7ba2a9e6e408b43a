// Package peer carries messages between nodes, as protobuf frames over yamux
// sessions on TCP.
//
// A node dials another one when it first sends to it, and either side may then
// send on the session. Idle sessions are closed, so that a node of a large
// deployment keeps only those with its neighbours and with the nodes that it
// exchanges requests with.
//
// Each frame is delivered at most once. Small frames of a session arrive in the
// order in which they were sent; a large frame has a stream of its own, and
// others may overtake it. A frame that cannot be sent is dropped. The sender
// learns by Config.OnPeerLost that a session could not be made or has ended.
package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/wire"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	dialTimeout     = 2 * time.Second
	helloTimeout    = 3 * time.Second  // for the Hello, once the other side has opened the first stream
	writeTimeout    = 5 * time.Second  // for one write to a connection
	idleTimeout     = 60 * time.Second // a session without a frame for longer is closed
	maxOutboxFrames = 1024             // frames that wait for one peer; more are dropped
	maxFrameBytes   = 2 << 20          // larger frames are rejected by the receiver
	minBulkBytes    = 64 << 10         // frames of at least this size get a stream of their own
)

// Config configures a Transport.
type Config struct {
	Self    *wire.Member // this node; its id is the address to listen on
	Cluster string       // name that the node that opens a session must give
	TLS     *tls.Config  // nil for plain TCP
	// OnFrame is called with each received frame, by several goroutines.
	OnFrame func(from string, f *wire.Frame)
	// OnPeerLost is called when the session on which this node sends to a peer could not
	// be made or has ended.
	OnPeerLost func(peer string)
	// Dial connects to another node. It is nil for TCP.
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	Metrics *metrics.Set // nil for a set of its own
}

// Transport exchanges frames between this node and others.
type Transport struct {
	cfg           Config
	listener      net.Listener
	startTime     time.Time
	ctx           context.Context // ends when the Transport is closed
	stop          context.CancelFunc
	mu            sync.Mutex              // guards sessions and accepted
	sessions      map[string]*peerSession // to send on, by peer; dialled, or accepted if none was dialled before
	accepted      map[*yamux.Session]bool // sessions that other nodes opened
	goroutines    sync.WaitGroup          // those that accept, and one for each session
	bytesIn       *metrics.Counter
	bytesOut      *metrics.Counter
	framesDropped *metrics.Counter
}

// peerSession is one session with another node, dialled or accepted.
type peerSession struct {
	peer     string
	outbox   chan *wire.Frame
	lastUsed atomic.Int64 // when a frame was last queued or received, nanoseconds since Transport.startTime
}

// HelloError reports that the first frame of a session is not a Hello, or that it
// names another cluster.
type HelloError struct {
	Peer    string // empty if the frame is not a Hello
	Cluster string // empty if the frame is not a Hello
}

// Error names the peer and its cluster.
func (e *HelloError) Error() string {
	return "peer " + e.Peer + " belongs to cluster " + e.Cluster
}

// Listen opens the address that other nodes connect to. Sessions are accepted
// after Run, until ctx ends or Close is called.
func Listen(ctx context.Context, cfg Config) (*Transport, error) {
	ln, err := net.Listen("tcp", cfg.Self.GetId())
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers on %s", cfg.Self.GetId())
	}
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	ctx, stop := context.WithCancel(ctx)
	n := &Transport{
		cfg:           cfg,
		listener:      ln,
		startTime:     time.Now(),
		ctx:           ctx,
		stop:          stop,
		sessions:      map[string]*peerSession{},
		accepted:      map[*yamux.Session]bool{},
		bytesIn:       cfg.Metrics.GetOrCreateCounter(`plantaindeck_peer_bytes_total{direction="in"}`),
		bytesOut:      cfg.Metrics.GetOrCreateCounter(`plantaindeck_peer_bytes_total{direction="out"}`),
		framesDropped: cfg.Metrics.GetOrCreateCounter("plantaindeck_peer_frames_dropped_total"),
	}
	cfg.Metrics.GetOrCreateGauge("plantaindeck_peer_sessions", func() float64 { return float64(n.Sessions()) })
	return n, nil
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// Sessions returns the number of peers with a session to send on, or the number
// of accepted sessions if that is larger.
func (n *Transport) Sessions() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(len(n.sessions), len(n.accepted))
}

// Run starts to accept sessions, until Close is called. The channel that it
// returns then receives nil, or the error that ended accepting earlier.
func (n *Transport) Run() <-chan error {
	done := make(chan error, 1)
	// The accepting goroutine is counted too: a WaitGroup must not grow from zero
	// while Close waits for it, which a session accepted at that time would do.
	n.goroutines.Add(1)
	go func() {
		err := n.acceptConns()
		n.goroutines.Done()
		done <- err
	}()
	return done
}

// Close stops accepting, ends every session and waits for their goroutines.
func (n *Transport) Close() {
	n.stop()
	_ = n.listener.Close()
	n.mu.Lock()
	for s := range n.accepted {
		_ = s.Close()
	}
	n.mu.Unlock()
	n.goroutines.Wait()
}

func (n *Transport) acceptConns() error {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			if n.ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept connection from a peer")
		}
		n.goroutines.Add(1)
		go func() {
			defer n.goroutines.Done()
			n.serveConn(conn)
		}()
	}
}

// countingConn adds the bytes that it reads and writes to the metrics.
type countingConn struct {
	net.Conn
	transport *Transport
}

// Read implements io.Reader.
func (c countingConn) Read(p []byte) (int, error) {
	read, err := c.Conn.Read(p)
	c.transport.bytesIn.Add(read)
	return read, err
}

// Write implements io.Writer.
func (c countingConn) Write(p []byte) (int, error) {
	written, err := c.Conn.Write(p)
	c.transport.bytesOut.Add(written)
	return written, err
}

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	// Nodes probe each other anyway, so sessions need no keepalive.
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// serveConn serves a connection that another node opened until it ends.
func (n *Transport) serveConn(conn net.Conn) {
	if n.cfg.TLS != nil {
		conn = tls.Server(conn, n.cfg.TLS)
	}
	session, err := yamux.Server(countingConn{conn, n}, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	n.mu.Lock()
	n.accepted[session] = true
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.accepted, session)
		n.mu.Unlock()
		_ = session.Close()
	}()
	if n.ctx.Err() != nil {
		return
	}
	n.serveSession(session)
}

// serveSession reads the Hello of an accepted session and then exchanges frames
// on it. The first stream starts with the Hello and carries small frames both
// ways; every other stream carries one large frame.
func (n *Transport) serveSession(session *yamux.Session) {
	first, err := session.AcceptStreamWithContext(n.ctx)
	if err != nil {
		return
	}
	_ = first.SetReadDeadline(time.Now().Add(helloTimeout))
	r := bufio.NewReader(first)
	from, err := n.readHello(r)
	if err != nil {
		return
	}
	_ = first.SetReadDeadline(time.Time{})
	n.runAccepted(session, first, r, &peerSession{peer: from, outbox: make(chan *wire.Frame, maxOutboxFrames)})
}

// readHello returns the id of the node that opened a session. An error is a
// *HelloError if the node does not belong to this cluster.
func (n *Transport) readHello(r *bufio.Reader) (string, error) {
	f, err := readFrame(r)
	if err != nil {
		return "", err
	}
	h := f.GetHello()
	if h == nil || h.GetCluster() != n.cfg.Cluster {
		return "", &HelloError{Peer: h.GetFrom().GetId(), Cluster: h.GetCluster()}
	}
	return h.GetFrom().GetId(), nil
}

func readFrame(r *bufio.Reader) (*wire.Frame, error) {
	f := &wire.Frame{}
	err := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}.UnmarshalFrom(r, f)
	return f, err
}

// Send queues a frame for a node, and dials the node if there is no session with
// it. It does not block; a frame for a peer whose outbox is full is dropped.
func (n *Transport) Send(to string, f *wire.Frame) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return
	}
	ps, ok := n.sessions[to]
	if !ok {
		ps = &peerSession{peer: to, outbox: make(chan *wire.Frame, maxOutboxFrames)}
		n.sessions[to] = ps
		n.goroutines.Add(1)
		go func() {
			defer n.goroutines.Done()
			n.runDialled(ps)
		}()
	}
	n.markUsed(ps)
	select {
	case ps.outbox <- f:
	default:
		n.framesDropped.Inc()
	}
}

// markUsed sets the time of the last use of a session to now.
func (n *Transport) markUsed(ps *peerSession) {
	ps.lastUsed.Store(int64(time.Since(n.startTime)))
}

// runDialled connects to a peer and exchanges frames with it until the session
// ends.
func (n *Transport) runDialled(ps *peerSession) {
	defer n.removeSession(ps)
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	conn, err := n.cfg.Dial(ctx, ps.peer)
	cancel()
	if err != nil {
		return
	}
	if n.cfg.TLS != nil {
		conn = tls.Client(conn, n.cfg.TLS)
	}
	session, err := yamux.Client(countingConn{conn, n}, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer session.Close()
	stream, err := session.OpenStream()
	if err != nil {
		return
	}
	hello := &wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{From: n.cfg.Self, Cluster: n.cfg.Cluster}}}
	if _, err := protodelim.MarshalTo(stream, hello); err != nil {
		return
	}
	n.exchangeFrames(session, stream, bufio.NewReader(stream), ps)
}

// removeSession removes a session that has ended. It reports the peer as lost if
// this node used the session to send and is not closing itself.
func (n *Transport) removeSession(ps *peerSession) {
	n.mu.Lock()
	current := n.sessions[ps.peer] == ps
	if current {
		delete(n.sessions, ps.peer)
	}
	n.mu.Unlock()
	if current && n.ctx.Err() == nil {
		n.cfg.OnPeerLost(ps.peer)
	}
}

// runAccepted exchanges frames on an accepted session until it ends. This node
// also sends on it unless it has another session with that peer.
func (n *Transport) runAccepted(session *yamux.Session, stream *yamux.Stream, r *bufio.Reader, ps *peerSession) {
	n.markUsed(ps)
	n.mu.Lock()
	if _, ok := n.sessions[ps.peer]; !ok {
		n.sessions[ps.peer] = ps
	}
	n.mu.Unlock()
	defer n.removeSession(ps)
	n.exchangeFrames(session, stream, r, ps)
}

// exchangeFrames reads and writes the frames of a session until it breaks or has
// been idle for idleTimeout.
func (n *Transport) exchangeFrames(session *yamux.Session, stream *yamux.Stream, r *bufio.Reader, ps *peerSession) {
	ctx, cancel := context.WithCancel(n.ctx)
	ended := make(chan error, 3)
	go func() { ended <- n.readFrames(stream, r, ps) }()
	go func() { ended <- n.writeFrames(ctx, session, stream, ps) }()
	go func() { ended <- n.readBulkFrames(ctx, session, ps) }()
	<-ended
	cancel()
	_ = session.Close()
	<-ended
	<-ended
}

// readFrames delivers the small frames of a session.
func (n *Transport) readFrames(stream io.Closer, r *bufio.Reader, ps *peerSession) error {
	defer stream.Close()
	for {
		f, err := readFrame(r)
		if err != nil {
			return err
		}
		n.markUsed(ps)
		n.cfg.OnFrame(ps.peer, f)
	}
}

// readBulkFrames delivers the large frames of a session, each of which has a
// stream of its own.
func (n *Transport) readBulkFrames(ctx context.Context, session *yamux.Session, ps *peerSession) error {
	for {
		stream, err := session.AcceptStreamWithContext(ctx)
		if err != nil {
			return err
		}
		f, err := readFrame(bufio.NewReader(stream))
		if err == nil {
			n.cfg.OnFrame(ps.peer, f)
		}
		_ = stream.Close()
	}
}

// writeFrames sends the frames of the outbox, and flushes whenever the outbox is
// empty. It ends with an error once the session has been idle for idleTimeout.
func (n *Transport) writeFrames(ctx context.Context, session *yamux.Session, stream io.Writer, ps *peerSession) error {
	w := bufio.NewWriter(stream)
	idle := time.NewTicker(idleTimeout / 4)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-idle.C:
			if now.Sub(n.startTime)-time.Duration(ps.lastUsed.Load()) > idleTimeout {
				return errors.New("session is idle")
			}
		case f := <-ps.outbox:
			if err := n.writeFrame(session, w, f); err != nil {
				return err
			}
			if len(ps.outbox) > 0 {
				continue
			}
			if err := w.Flush(); err != nil {
				return err
			}
		}
	}
}

// writeFrame writes a small frame to w and a large one to a stream of its own.
func (n *Transport) writeFrame(session *yamux.Session, w *bufio.Writer, f *wire.Frame) error {
	if proto.Size(f) < minBulkBytes {
		_, err := protodelim.MarshalTo(w, f)
		return err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return err
	}
	defer stream.Close()
	_, err = protodelim.MarshalTo(stream, f)
	return err
}
