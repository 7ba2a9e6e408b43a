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
// others may overtake it. A frame that cannot be sent is dropped.
// Config.OnPeerLost tells the sender that a session could not be made or has ended.
//
// OpenStream opens a stream of its own in the session with a node, for frames that
// belong together. It ends with the session.
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
	"github.com/plantaindeck/plantaindeck/intake"
	"github.com/plantaindeck/plantaindeck/socket"
	"github.com/plantaindeck/plantaindeck/wait"
	"github.com/plantaindeck/plantaindeck/wire"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	dialTimeout     = 2 * time.Second
	helloTimeout    = 3 * time.Second  // for the Hello, once the other side has opened the first stream
	writeTimeout    = 5 * time.Second  // for one write to a connection
	idleTimeout     = 60 * time.Second // a session is closed once it has queued no frame and received no small frame for longer
	maxOutboxFrames = 1024             // frames that wait for one peer; more are dropped
	maxFrameBytes   = 2 << 20          // larger frames are rejected by the receiver
	minLargeBytes   = 64 << 10         // frames of at least this size get a stream of their own
	minAcceptDelay  = 5 * time.Millisecond
	maxAcceptDelay  = time.Second // between two tries to accept a connection
)

// Config configures a Transport.
type Config struct {
	Self    *wire.Member // this node; its id is the address to listen on
	Cluster string       // name of the deployment; a Hello with another name is rejected
	TLS     *tls.Config  // nil for plain TCP
	// OnFrame is called with each received frame, by several goroutines.
	OnFrame func(from string, f *wire.Frame)
	// OnStream serves a stream that another node has opened with the given frame. The stream is
	// closed when OnStream returns; ctx ends with the session. It is nil if the node serves none.
	OnStream func(ctx context.Context, from string, first *wire.Frame, s *Stream)
	// OnPeerLost is called when the session on which this node sends to a peer could not
	// be made or has ended.
	OnPeerLost func(peer string)
	// Dial connects to another node. It is nil for TCP.
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	Metrics *metrics.Set // nil for a new set
	// Strangers bounds what accepted connections occupy until their Hello. It is nil for a default.
	Strangers *intake.Ledger
}

// Transport exchanges frames between this node and others.
type Transport struct {
	cfg           Config
	listener      net.Listener
	startTime     time.Time
	ctx           context.Context // ends when the Transport is closed
	stop          context.CancelFunc
	mu            sync.Mutex              // guards sessions, accepted and strangers
	sessions      map[string]*peerSession // sessions to send on, by peer id; an accepted one only if there was no other
	accepted      map[*yamux.Session]bool // sessions that other nodes opened
	strangers     map[uint64]*stranger    // accepted connections without a Hello, by the id in cfg.Strangers
	goroutines    sync.WaitGroup          // the accepting goroutine, and one for each session
	bytesIn       *metrics.Counter
	bytesOut      *metrics.Counter
	framesDropped *metrics.Counter
}

// peerSession is one session with another node, dialled or accepted.
type peerSession struct {
	peer     string
	outbox   chan *wire.Frame
	lastUsed atomic.Int64   // when a frame was last queued or a small one received, nanoseconds since Transport.startTime
	up       chan struct{}  // closed when the session exists or could not be made
	session  *yamux.Session // nil until up is closed, and if the session could not be made
}

func newPeerSession(peer string) *peerSession {
	return &peerSession{peer: peer, outbox: make(chan *wire.Frame, maxOutboxFrames), up: make(chan struct{})}
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
	ln, err := socket.ListenConfig().Listen(ctx, "tcp", cfg.Self.GetId())
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers on %s", cfg.Self.GetId())
	}
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.Strangers == nil {
		cfg.Strangers = defaultStrangers()
	}
	ctx, stop := context.WithCancel(ctx)
	t := &Transport{
		cfg:           cfg,
		listener:      ln,
		startTime:     time.Now(),
		ctx:           ctx,
		stop:          stop,
		sessions:      map[string]*peerSession{},
		accepted:      map[*yamux.Session]bool{},
		strangers:     map[uint64]*stranger{},
		bytesIn:       cfg.Metrics.GetOrCreateCounter(`plantaindeck_peer_bytes_total{direction="in"}`),
		bytesOut:      cfg.Metrics.GetOrCreateCounter(`plantaindeck_peer_bytes_total{direction="out"}`),
		framesDropped: cfg.Metrics.GetOrCreateCounter("plantaindeck_peer_frames_dropped_total"),
	}
	cfg.Metrics.GetOrCreateGauge("plantaindeck_peer_sessions", func() float64 { return float64(t.Sessions()) })
	return t, nil
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return socket.Dialer(dialTimeout).DialContext(ctx, "tcp", addr)
}

// Sessions returns the number of peers with a session to send on, or the number
// of accepted sessions if that is larger.
func (t *Transport) Sessions() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(len(t.sessions), len(t.accepted))
}

// Run starts to accept sessions, until Close is called. The channel that it
// returns then receives nil, or the error that ended accepting earlier.
func (t *Transport) Run() <-chan error {
	done := make(chan error, 1)
	// The accepting goroutine is counted too. Otherwise a session accepted while
	// Close waits could make the WaitGroup grow from zero, which is not allowed.
	t.goroutines.Add(1)
	go func() {
		err := t.acceptConns()
		t.goroutines.Done()
		done <- err
	}()
	return done
}

// Close stops accepting, ends every session and waits for their goroutines.
func (t *Transport) Close() {
	t.stop()
	_ = t.listener.Close()
	t.goroutines.Wait()
}

// acceptConns accepts connections until the Transport is closed.
func (t *Transport) acceptConns() error {
	var delay time.Duration
	for {
		conn, err := t.listener.Accept()
		switch {
		case err != nil && t.ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "accept connection from a peer")
		case err != nil:
			// The process has too many descriptors open, or the connection broke before it was accepted.
			delay = min(max(2*delay, minAcceptDelay), maxAcceptDelay)
			wait.For(t.ctx, delay)
			continue
		}
		delay = 0
		s := t.admit(time.Now(), conn)
		if s == nil {
			// The error is ignored: the connection may be broken already.
			_ = conn.Close()
			continue
		}
		t.goroutines.Add(1)
		go func() {
			defer t.goroutines.Done()
			t.serveConn(s)
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
	// Nodes ping each other anyway, so sessions need no keepalive.
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// closeOnStop closes a session when the Transport is closed, at the same time as the others. The
// function that it returns is called when the session has ended.
func (t *Transport) closeOnStop(session *yamux.Session) func() bool {
	return context.AfterFunc(t.ctx, func() { _ = session.Close() })
}

// serveConn serves a connection that another node opened until it ends.
func (t *Transport) serveConn(s *stranger) {
	defer s.forget()
	var conn net.Conn = s
	if t.cfg.TLS != nil {
		conn = tls.Server(conn, t.cfg.TLS)
	}
	session, err := yamux.Server(countingConn{conn, t}, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer t.closeOnStop(session)()
	t.mu.Lock()
	t.accepted[session] = true
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.accepted, session)
		t.mu.Unlock()
		_ = session.Close()
	}()
	t.serveSession(session, s)
}

// serveSession reads the Hello of an accepted session and then exchanges frames
// on it. The first stream starts with the Hello and carries small frames both
// ways; every other stream carries one large frame.
func (t *Transport) serveSession(session *yamux.Session, s *stranger) {
	first, err := session.AcceptStream()
	if err != nil {
		return
	}
	_ = first.SetReadDeadline(time.Now().Add(helloTimeout))
	r := bufio.NewReader(first)
	from, err := t.readHello(r)
	if err != nil {
		return
	}
	_ = first.SetReadDeadline(time.Time{})
	s.identify()
	ps := newPeerSession(from)
	ps.session = session
	close(ps.up)
	t.runAccepted(session, first, r, ps)
}

// readHello returns the id of the node that opened a session. An error is a
// *HelloError if the node does not belong to this cluster.
func (t *Transport) readHello(r *bufio.Reader) (string, error) {
	f, err := readFrame(r, maxHelloBytes)
	if err != nil {
		return "", err
	}
	h := f.GetHello()
	if h == nil || h.GetCluster() != t.cfg.Cluster {
		return "", &HelloError{Peer: h.GetFrom().GetId(), Cluster: h.GetCluster()}
	}
	return h.GetFrom().GetId(), nil
}

// readFrame reads a frame of at most limit bytes.
func readFrame(r *bufio.Reader, limit int64) (*wire.Frame, error) {
	f := &wire.Frame{}
	err := protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(r, f)
	return f, err
}

// Send queues a frame for a node, and dials the node if there is no session with
// it. It does not block; a frame for a peer whose outbox is full is dropped.
func (t *Transport) Send(to string, f *wire.Frame) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	ps := t.sessionWith(to)
	select {
	case ps.outbox <- f:
	default:
		t.framesDropped.Inc()
	}
}

// sessionWith returns the session to send on to a node, and dials the node if there is
// none. The mutex is held.
func (t *Transport) sessionWith(to string) *peerSession {
	ps, ok := t.sessions[to]
	if !ok {
		ps = newPeerSession(to)
		t.sessions[to] = ps
		t.goroutines.Add(1)
		go func() {
			defer t.goroutines.Done()
			t.runDialled(ps)
		}()
	}
	t.markUsed(ps)
	return ps
}

// markUsed sets the time of the last use of a session to now.
func (t *Transport) markUsed(ps *peerSession) {
	ps.lastUsed.Store(int64(time.Since(t.startTime)))
}

// runDialled connects to a peer and exchanges frames with it until the session
// ends.
func (t *Transport) runDialled(ps *peerSession) {
	defer t.removeSession(ps)
	var established sync.Once
	markUp := func() { established.Do(func() { close(ps.up) }) }
	defer markUp()
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	conn, err := t.cfg.Dial(ctx, ps.peer)
	cancel()
	if err != nil {
		return
	}
	if t.cfg.TLS != nil {
		conn = tls.Client(conn, t.cfg.TLS)
	}
	session, err := yamux.Client(countingConn{conn, t}, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer t.closeOnStop(session)()
	defer session.Close()
	stream, err := session.OpenStream()
	if err != nil {
		return
	}
	hello := &wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{From: t.cfg.Self, Cluster: t.cfg.Cluster}}}
	if _, err := protodelim.MarshalTo(stream, hello); err != nil {
		return
	}
	ps.session = session
	markUp()
	t.exchangeFrames(session, stream, bufio.NewReader(stream), ps)
}

// removeSession removes a session that has ended. It reports the peer as lost if
// this node sent on the session and the Transport is not being closed.
func (t *Transport) removeSession(ps *peerSession) {
	t.mu.Lock()
	current := t.sessions[ps.peer] == ps
	if current {
		delete(t.sessions, ps.peer)
	}
	t.mu.Unlock()
	if current && t.ctx.Err() == nil {
		t.cfg.OnPeerLost(ps.peer)
	}
}

// runAccepted exchanges frames on an accepted session until it ends. This node
// also sends on it unless it has another session with that peer.
func (t *Transport) runAccepted(session *yamux.Session, stream *yamux.Stream, r *bufio.Reader, ps *peerSession) {
	t.markUsed(ps)
	t.mu.Lock()
	if _, ok := t.sessions[ps.peer]; !ok {
		t.sessions[ps.peer] = ps
	}
	t.mu.Unlock()
	defer t.removeSession(ps)
	t.exchangeFrames(session, stream, r, ps)
}

// exchangeFrames reads and writes the frames of a session until it breaks or has
// been idle for idleTimeout.
func (t *Transport) exchangeFrames(session *yamux.Session, stream *yamux.Stream, r *bufio.Reader, ps *peerSession) {
	ctx, cancel := context.WithCancel(t.ctx)
	ended := make(chan error, 3)
	go func() { ended <- t.readFrames(stream, r, ps) }()
	go func() { ended <- t.writeFrames(ctx, session, stream, ps) }()
	go func() { ended <- t.acceptStreams(ctx, session, ps) }()
	<-ended
	cancel()
	_ = session.Close()
	<-ended
	<-ended
}

// readFrames delivers the small frames of a session.
func (t *Transport) readFrames(stream io.Closer, r *bufio.Reader, ps *peerSession) error {
	defer stream.Close()
	for {
		f, err := readFrame(r, maxFrameBytes)
		if err != nil {
			return err
		}
		t.markUsed(ps)
		t.cfg.OnFrame(ps.peer, f)
	}
}

// acceptStreams serves the streams that the other node opens in a session besides the first, until
// the session ends.
func (t *Transport) acceptStreams(ctx context.Context, session *yamux.Session, ps *peerSession) error {
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return err
		}
		t.goroutines.Go(func() { t.serveStream(ctx, stream, ps) })
	}
}

// serveStream delivers the large frame that a stream carries, or lets Config.OnStream serve it.
func (t *Transport) serveStream(ctx context.Context, stream *yamux.Stream, ps *peerSession) {
	s := newStream(stream)
	defer s.Close()
	f, err := s.Receive()
	if err != nil {
		return
	}
	if _, ok := f.GetBody().(*wire.Frame_Carry); !ok {
		t.cfg.OnFrame(ps.peer, f)
	} else if t.cfg.OnStream != nil {
		t.cfg.OnStream(ctx, ps.peer, f, s)
	}
}

// writeFrames sends the frames of the outbox, and flushes whenever the outbox is
// empty. It ends with an error once the session has been idle for idleTimeout.
func (t *Transport) writeFrames(ctx context.Context, session *yamux.Session, stream io.Writer, ps *peerSession) error {
	w := bufio.NewWriter(stream)
	idle := time.NewTicker(idleTimeout / 4)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-idle.C:
			if session.NumStreams() <= 1 && now.Sub(t.startTime)-time.Duration(ps.lastUsed.Load()) > idleTimeout {
				return errors.New("session is idle")
			}
		case f := <-ps.outbox:
			if err := t.writeFrame(session, w, f); err != nil {
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
func (t *Transport) writeFrame(session *yamux.Session, w *bufio.Writer, f *wire.Frame) error {
	if proto.Size(f) < minLargeBytes {
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
