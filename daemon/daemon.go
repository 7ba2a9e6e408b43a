// Package daemon drives the kernel of a node: it turns input from the network,
// the key-value service and the clock into kernel events, and carries out the
// effects that the kernel returns.
//
// One goroutine, Daemon.Run, steps the kernel. It publishes each state, which is
// immutable, so that other goroutines read documents and members without a lock.
package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/editor"
	"github.com/plantaindeck/plantaindeck/intake"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/peer"
	"github.com/plantaindeck/plantaindeck/policy"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/plantaindeck/plantaindeck/wire"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	// Plug-ins of the kernel, which register themselves when imported.
	_ "github.com/plantaindeck/plantaindeck/admit"
	_ "github.com/plantaindeck/plantaindeck/fleet"
	_ "github.com/plantaindeck/plantaindeck/member"
	_ "github.com/plantaindeck/plantaindeck/origin"
	_ "github.com/plantaindeck/plantaindeck/poison"
	_ "github.com/plantaindeck/plantaindeck/route"
)

const (
	eventQueueSize = 4096            // events that wait for the kernel; senders block when it is full
	unknownEra     = -1              // no era of the store
	storeTimeout   = 5 * time.Second // for reading the changed documents and posting them to the kernel
)

// Config configures a Daemon.
type Config struct {
	Self      *wire.Member // this node, with the incarnation of this start
	Cluster   string       // name of the deployment; sessions with nodes of another one are rejected
	Seed      uint64       // of the kernel's random choices
	TLS       *tls.Config  // for sessions between nodes; nil for plain TCP
	Store     store.Store  // holds the documents; nil if there are none
	HostsAddr string       // address of the platform's list of hosts; empty if the list comes through Post
	// Dial connects to another node. It is nil for TCP.
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	Trace   *trace.Recorder
	Metrics *metrics.Set
	// OnStream serves a stream that another node has opened; see peer.Config. It may be nil.
	OnStream func(ctx context.Context, from string, first *wire.Frame, s *peer.Stream)
	// Strangers is that of peer.Config.
	Strangers *intake.Ledger
	// OnEndpointLeaving is called when the kernel learns that an endpoint is leaving or gone.
	// The time goneAt is zero if it is not known. OnEndpointLeaving may be nil.
	OnEndpointLeaving func(endpoint string, goneAt time.Time)
	// OnQuarantine is called when requests with all of the given traits are quarantined. It
	// may be nil.
	OnQuarantine func(traits []uint64)
	// OnCrash is called when another node has reported the crash of an endpoint's process. It must not block and may
	// be nil.
	OnCrash func(endpoint string, startMillis int64)
	// OnPlacement is called with the messages Place, Placed and Done of other nodes, which do
	// not pass through the kernel: the reply must be exact, so that the usage tracker of the
	// entry package chooses and reserves in one step. It must not block, may be called by
	// several goroutines, and may be nil.
	OnPlacement func(from string, f *wire.Frame)
	// OnSaveQuarantine is called with the quarantines to write to the platform's store. It must
	// not block, and may be nil.
	OnSaveQuarantine func(q kernel.SaveQuarantine)
	// OnSaveOrigin is called with the origins of streams to write to the platform's store. It must
	// not block, and may be nil.
	OnSaveOrigin func(o kernel.SaveOrigin)
}

// Daemon drives the kernel of one node.
type Daemon struct {
	cfg         Config
	documentEra atomic.Int64 // era of the store in which it was last found to hold the documents in force, or unknownEra
	editor      *editor.Editor
	peers       *peer.Transport
	loadHTTP    *fasthttp.Client // for the load of engines
	hostsHTTP   *fasthttp.Client // for the list of hosts
	events      chan kernel.Event
	state       atomic.Pointer[kernel.State]
	requestSeq  atomic.Uint64                      // number of the latest request id
	mu          sync.Mutex                         // guards pending, origins and loadTargets
	pending     map[string]chan decision           // callers of WaitForGrant, by request id
	origins     map[string]chan kernel.OriginFound // callers of FindOrigin, by id of the question
	loadTargets []kernel.LoadTarget                // engines whose load is polled
	background  sync.WaitGroup                     // reads of changed documents and of loads
	closed      chan struct{}                      // closed when Run no longer steps the kernel
	steps       *metrics.Counter
	busySeconds *metrics.FloatCounter
	tickDelay   *metrics.FloatCounter // seconds by which ticks were handled late
}

// decision holds the kernel's grant or rejection of a request.
type decision struct {
	grant  kernel.Grant
	reject *kernel.Reject // nil for a grant
}

// New returns a daemon that listens at its address for other nodes. It accepts no
// sessions and does not step the kernel until Run is called.
func New(ctx context.Context, cfg Config) (*Daemon, error) {
	d := &Daemon{
		cfg:         cfg,
		loadHTTP:    newPollClient(maxLoadBytes),
		hostsHTTP:   newPollClient(maxHostsBytes),
		events:      make(chan kernel.Event, eventQueueSize),
		pending:     map[string]chan decision{},
		origins:     map[string]chan kernel.OriginFound{},
		closed:      make(chan struct{}),
		steps:       cfg.Metrics.GetOrCreateCounter("plantaindeck_kernel_steps_total"),
		busySeconds: cfg.Metrics.GetOrCreateFloatCounter("plantaindeck_kernel_busy_seconds_total"),
		tickDelay:   cfg.Metrics.GetOrCreateFloatCounter("plantaindeck_tick_delay_seconds_total"),
	}
	if cfg.Store != nil {
		d.editor = editor.New(cfg.Store)
	}
	initial := kernel.New(kernel.Config{Self: cfg.Self, Seed: cfg.Seed})
	d.state.Store(&initial)
	var err error
	d.peers, err = peer.Listen(ctx, peer.Config{
		Self:    cfg.Self,
		Cluster: cfg.Cluster,
		TLS:     cfg.TLS,
		Dial:    cfg.Dial,
		Metrics: cfg.Metrics, Strangers: cfg.Strangers,
		OnFrame: func(from string, f *wire.Frame) {
			cfg.Trace.Observe(f.GetLogical())
			if isPlacement(f) {
				if cfg.OnPlacement != nil {
					cfg.OnPlacement(from, f)
				}
				return
			}
			d.post(ctx, kernel.FrameReceived{From: from, Frame: f})
		},
		OnPeerLost: func(id string) { d.post(ctx, kernel.PeerLost{Peer: id}) },
		OnStream:   cfg.OnStream,
	})
	return d, err
}

// State returns the latest state of the kernel.
func (d *Daemon) State() kernel.State {
	return *d.state.Load()
}

// Editor returns the editor of documents, or nil if the daemon has no store.
func (d *Daemon) Editor() *editor.Editor {
	return d.editor
}

// Trace returns the recorder of the node's trace.
func (d *Daemon) Trace() *trace.Recorder {
	return d.cfg.Trace
}

// Metrics returns the node's metrics.
func (d *Daemon) Metrics() *metrics.Set {
	return d.cfg.Metrics
}

// NewRequestID returns an id that is unique within the deployment: it contains
// the node's id and incarnation.
func (d *Daemon) NewRequestID() string {
	return fmt.Sprintf("%s-%x-%d", d.cfg.Self.GetId(), d.cfg.Self.GetIncarnation(), d.requestSeq.Add(1))
}

// Post queues an event for the kernel. It blocks while the queue is full, and
// drops the event when ctx ends or Run has ended.
func (d *Daemon) Post(ctx context.Context, e kernel.Event) {
	d.post(ctx, e)
}

func (d *Daemon) post(ctx context.Context, e kernel.Event) {
	select {
	case d.events <- e:
	case <-ctx.Done():
	case <-d.closed:
	}
}

// Run steps the kernel with ticks and queued events until ctx ends. It then
// closes the sessions with other nodes and waits for its goroutines.
func (d *Daemon) Run(ctx context.Context) error {
	acceptDone := d.peers.Run()
	var hostsDone <-chan error
	if d.cfg.HostsAddr != "" {
		hostsDone = d.pollHosts(ctx)
	}
	loadsDone := d.pollLoads(ctx)
	ticker := time.NewTicker(kernel.TickInterval)
	defer ticker.Stop()
	start := time.Now()
	previous := readClocks(start, start)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case now := <-ticker.C:
			current := readClocks(start, time.Now())
			if kind, detail := clockIncident(previous, current); kind != "" {
				d.Record(trace.Entry{Kind: kind, Detail: detail})
			}
			previous = current
			d.tickDelay.Add(time.Since(now).Seconds())
			d.step(ctx, now, kernel.Tick{})
		case e := <-d.events:
			d.step(ctx, time.Now(), e)
		}
	}
	close(d.closed)
	d.peers.Close()
	d.background.Wait()
	for _, done := range []<-chan error{hostsDone, loadsDone, acceptDone} {
		if done == nil {
			continue
		}
		if err := <-done; err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) step(ctx context.Context, now time.Time, e kernel.Event) {
	started := time.Now()
	next, effects := d.state.Load().Step(now, e)
	d.state.Store(&next)
	d.steps.Inc()
	d.busySeconds.Add(time.Since(started).Seconds())
	for _, f := range effects {
		d.perform(ctx, now, f)
	}
}

func (d *Daemon) perform(ctx context.Context, now time.Time, f kernel.Effect) {
	switch f := f.(type) {
	case kernel.Send:
		d.send(now, f)
	case kernel.Grant:
		d.resolve(f.Request, decision{grant: f})
	case kernel.Reject:
		d.resolve(f.Request, decision{reject: &f})
	case kernel.ReadDocuments:
		d.readDocuments(ctx, f.Cursor)
	case kernel.AdoptDocument:
		klog.InfoS("Document revision is in force", "team", f.Document.Team, "revision", f.Document.Number)
	case kernel.WatchLoad:
		d.mu.Lock()
		d.loadTargets = f.Endpoints
		d.mu.Unlock()
		d.background.Go(func() { d.readAllLoads(ctx) })
	case kernel.Record:
		d.cfg.Trace.Add(now, trace.Entry{
			Kind: f.Kind, Request: f.Request, Workspace: f.Workspace, Endpoint: f.Endpoint, Detail: f.Detail,
		})
	case kernel.OriginFound:
		d.mu.Lock()
		if ch, ok := d.origins[f.Ask]; ok {
			ch <- f
			delete(d.origins, f.Ask)
		}
		d.mu.Unlock()
	case kernel.NotifyLeaving:
		if d.cfg.OnEndpointLeaving != nil {
			d.cfg.OnEndpointLeaving(f.Endpoint, f.GoneAt)
		}
	case kernel.NotifyQuarantine:
		if d.cfg.OnQuarantine != nil {
			d.cfg.OnQuarantine(f.Traits)
		}
	case kernel.NotifyCrash:
		if d.cfg.OnCrash != nil {
			d.cfg.OnCrash(f.Endpoint, f.StartMillis)
		}
	case kernel.SaveQuarantine:
		if d.cfg.OnSaveQuarantine != nil {
			d.cfg.OnSaveQuarantine(f)
		}
	case kernel.SaveOrigin:
		if d.cfg.OnSaveOrigin != nil {
			d.cfg.OnSaveOrigin(f)
		}
	case kernel.Raise:
		// Step handles these itself and never returns them.
	}
}

// send sends a copy of a frame, stamped with the current logical time. It copies
// because the same frame may be queued for several nodes.
func (d *Daemon) send(now time.Time, s kernel.Send) {
	f := &wire.Frame{Body: s.Frame.GetBody(), Logical: d.cfg.Trace.NextLogical(now)}
	d.peers.Send(s.To, f)
}

// isPlacement reports whether a frame holds a message about placement in another load group.
func isPlacement(f *wire.Frame) bool {
	switch f.GetBody().(type) {
	case *wire.Frame_Place, *wire.Frame_Placed, *wire.Frame_Done:
		return true
	}
	return false
}

// SendTo sends a message to another node. It does not block, and drops the message if it cannot
// be delivered.
func (d *Daemon) SendTo(node string, f *wire.Frame) {
	d.send(time.Now(), kernel.Send{To: node, Frame: f})
}

// resolve passes the kernel's decision to the WaitForGrant call that waits for it, if
// one still does.
func (d *Daemon) resolve(requestID string, v decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ch, ok := d.pending[requestID]; ok {
		ch <- v
		delete(d.pending, requestID)
	}
}

// WaitForGrant asks the kernel for an endpoint and waits for its decision. An error
// is an *apierr.Error, and means that the request has not run.
func (d *Daemon) WaitForGrant(ctx context.Context, r kernel.Request) (kernel.Grant, error) {
	ch := make(chan decision, 1)
	d.mu.Lock()
	d.pending[r.ID] = ch
	d.mu.Unlock()
	d.post(ctx, kernel.RequestArrived{Request: r})
	select {
	case v := <-ch:
		if v.reject != nil {
			return kernel.Grant{}, rejectionError(r, v.reject)
		}
		return v.grant, nil
	case <-ctx.Done():
		d.mu.Lock()
		delete(d.pending, r.ID)
		d.mu.Unlock()
		// ctx has ended, but the kernel must still drop the request.
		d.post(context.WithoutCancel(ctx), kernel.RequestAbandoned{Request: r.ID})
		return kernel.Grant{}, abandonedError(r)
	case <-d.closed:
		return kernel.Grant{}, abandonedError(r)
	}
}

// FindOrigin asks the nodes which software began a stream, given the id of the request
// that brought the first event. It reports that as not known if ctx ends before.
func (d *Daemon) FindOrigin(ctx context.Context, request string) kernel.OriginFound {
	ask := d.NewRequestID()
	ch := make(chan kernel.OriginFound, 1)
	d.mu.Lock()
	d.origins[ask] = ch
	d.mu.Unlock()
	d.post(ctx, kernel.OriginAsked{Ask: ask, Request: request})
	select {
	case f := <-ch:
		return f
	case <-ctx.Done():
	case <-d.closed:
	}
	d.mu.Lock()
	delete(d.origins, ask)
	d.mu.Unlock()
	return kernel.OriginFound{Ask: ask}
}

// abandonedError returns the error for a request whose context ended, or whose node
// stopped, before the kernel decided on it.
func abandonedError(r kernel.Request) error {
	return apierr.NotRun(fasthttp.StatusServiceUnavailable, apierr.CodeUnavailable, "the request was abandoned before an endpoint was granted").WithRequest(r.ID)
}

func rejectionError(r kernel.Request, reject *kernel.Reject) error {
	var e *apierr.Error
	switch reject.Reason {
	case kernel.ReasonNoService:
		e = apierr.NotRun(fasthttp.StatusNotFound, apierr.CodeNoService, "service %q does not exist", r.Service)
	case kernel.ReasonDeadline:
		e = apierr.NotRun(fasthttp.StatusServiceUnavailable, apierr.CodeDeadline, "no endpoint of %q became free in time", r.Service)
	case kernel.ReasonOverload:
		e = apierr.NotRun(fasthttp.StatusTooManyRequests, apierr.CodeOverload, "service %q is overloaded", r.Service)
	default:
		e = apierr.NotRun(fasthttp.StatusServiceUnavailable, apierr.CodeUnavailable, "service %q has no endpoint", r.Service)
	}
	if reject.RetryAfter > 0 {
		e = e.WithRetryAfter(reject.RetryAfter)
	}
	return e.WithRequest(r.ID)
}

// ReportProgress reports to the kernel how many output tokens a granted request has
// produced so far.
func (d *Daemon) ReportProgress(request string, tokens int) {
	d.post(context.Background(), kernel.RequestProgressed{Request: request, Tokens: tokens})
}

// ReportEnded reports to the kernel that a granted request has left its endpoint.
func (d *Daemon) ReportEnded(e kernel.RequestEnded) {
	d.post(context.Background(), e)
}

// OpenStream opens a stream to another node, which serves it by its Config.OnStream.
func (d *Daemon) OpenStream(ctx context.Context, node string, first *wire.Frame) (*peer.Stream, error) {
	return d.peers.OpenStream(ctx, node, first)
}

// AnnounceLeaving tells the kernel to announce that the node is leaving. The daemon
// goes on serving until the context of Run ends.
func (d *Daemon) AnnounceLeaving(ctx context.Context) {
	d.post(ctx, kernel.Stopping{})
}

// Record adds an entry to the node's trace at the current time.
func (d *Daemon) Record(e trace.Entry) {
	d.cfg.Trace.Add(time.Now(), e)
}

// readDocuments reads the documents that changed after the store revision cursor and
// posts them to the kernel. It returns at once and works in the background.
func (d *Daemon) readDocuments(ctx context.Context, cursor int64) {
	if d.editor == nil {
		return
	}
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		revisions, next, skipped, err := d.editor.Changed(ctx, cursor)
		if err != nil {
			klog.V(1).InfoS("Failed to read changed documents from the key-value service; the kernel will ask again", "err", err)
			d.post(ctx, kernel.ReadDocumentsEnded{Failed: true})
			return
		}
		for _, team := range skipped {
			klog.ErrorS(errors.New("document cannot be decoded"), "Skipping a stored document", "team", team)
		}
		for _, r := range revisions {
			d.post(ctx, kernel.DocumentRead{Document: r})
		}
		if era := d.cfg.Store.Era(); d.documentEra.Swap(era) != era {
			d.restoreDocuments(ctx)
		}
		d.post(ctx, kernel.ReadDocumentsEnded{Cursor: next})
	}()
}

// restoreDocuments writes the documents in force again if the store lacks them. It has
// been restored from a copy that may be older than they are.
func (d *Daemon) restoreDocuments(ctx context.Context) {
	for _, r := range policy.Of(d.State()).Revisions() {
		klog.InfoS("The key-value service was restored; checking that it holds the document in force", "team", r.Team, "revision", r.Number)
		if err := d.editor.Restore(ctx, time.Now(), r); err != nil {
			klog.ErrorS(err, "Failed to write the document in force again", "team", r.Team, "revision", r.Number)
			d.documentEra.Store(unknownEra) // try again after the next read
		}
	}
}
