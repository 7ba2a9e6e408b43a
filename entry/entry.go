// Package entry processes requests on the node that received them: it finds
// the route, checks the key, sets the deadline, chooses an endpoint, makes the
// attempts and relays the response.
//
// It depends neither on the caller's protocol nor on that of the endpoints: it
// writes the response to a ResponseWriter, and a Dialect encodes the requests to
// endpoints and interprets their responses. Package place chooses the endpoint.
// Package move decides whether a generation on a leaving engine migrates.
//
// Invariants:
//   - A request whose route does not allow retries is sent again only if it
//     provably has not run, or to continue the same generation.
//   - An error with the outcome "not-run" is returned only if the request was
//     sent to no endpoint, or each endpoint that received it has said that it did
//     not run it.
//   - The caller receives the events of a stream in order, each once and whole.
//   - A stream that its caller may take up again begins at a version that the store's record names,
//     and goes on at that version only: at a process that its engine's record describes.
package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/carry"
	"github.com/plantaindeck/plantaindeck/daemon"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/place"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/retry"
	"github.com/plantaindeck/plantaindeck/table"
	"github.com/plantaindeck/plantaindeck/trace"
)

const (
	unreadyRetryAfter     = 300 * time.Millisecond // a starting node learns the routing table within about this time
	timeoutRetryAfter     = 500 * time.Millisecond // after no endpoint accepted the request before its deadline
	unavailableRetryAfter = 400 * time.Millisecond // after no endpoint was available (jitter is added) or the service was unknown
	restRetrySpread       = 50 * time.Millisecond  // after the first endpoint takes requests again (jitter is added)
	reportInterval        = 20 * time.Millisecond  // shortest time between two reports of local usage to the kernel
)

// Request is one request of a caller.
type Request struct {
	ID                   string
	Method               string
	Host                 string // as sent, perhaps with a port
	Path                 string // selects the route
	URI                  string // path and query as sent
	Header               http.Header
	Body                 []byte
	APIKey               string        // empty if the caller sent none
	CallerTimeout        time.Duration // how long the caller waits for the response; zero if not stated
	PromptTokens         int           // of a generation
	PromptParts          []string      // of a generation: ids of the parts of its prompt, in order
	PartTokens           []int         // tokens of each of the PromptParts; 0 if not stated
	MaxOutputTokens      int           // of a generation
	ExpectedOutputTokens int           // output tokens that the caller expects; zero if not stated
	LastEventID          string        // id of the last event that the caller has received
	ResumedID            string        // ID of the request that brought the caller the first event of the stream; empty if the caller has none
	Arrived              time.Time

	events       int       // of a stream, sent to the caller
	firstEventAt time.Time // when the first of them was sent
	headerFrom   string    // of a stream: id of the endpoint whose header the caller gets; empty if none was sent
}

// describeEnd describes a response that has ended at the time now.
func (req *Request) describeEnd(now time.Time) string {
	text := fmt.Sprintf("the response ended after %s", now.Sub(req.Arrived).Round(time.Millisecond))
	if req.events > 0 {
		text += fmt.Sprintf(" with %d events, the first after %s", req.events, req.firstEventAt.Sub(req.Arrived).Round(time.Millisecond))
	}
	if req.headerFrom != "" {
		text += ", under the header of " + req.headerFrom
	}
	return text
}

// ResponseWriter writes the response to a caller.
type ResponseWriter interface {
	// Start sends the status and header. The length of the body is -1 if it is
	// not known.
	Start(status int, h http.Header, length int64)
	// Write sends a part of the body without buffering it.
	Write(p []byte) error
	// Abort ends the response so that the caller cannot take it for complete.
	Abort()
}

// CacheCopy identifies a copy of a generation's KV cache.
type CacheCopy struct {
	Addr string // of the engine to fetch the copy from
	Name string // the engine's name of the copy
}

// Attempt is one attempt to run a request on an endpoint.
type Attempt struct {
	Request      *Request
	Endpoint     fleet.Endpoint
	Workspace    string        // empty if the request needs no key
	Priority     int           // 0 is the most urgent
	TimeLeft     time.Duration // until the request's deadline
	ContinueFrom *CacheCopy    // copy from which the generation continues; nil for none
	LastEventID  string        // id of the last event that the caller has received
}

// Verdict is what the status and header of an endpoint's response say about the
// request.
type Verdict struct {
	NotRun        bool   // the endpoint did not run it and will not
	Unsigned      bool   // the response is not one of an endpoint of the deployment that ran the request
	OtherRequest  bool   // the response belongs to another request
	AddressReused bool   // another server has taken over the endpoint's address
	Leaving       bool   // the endpoint says that it is leaving
	RetryAfter    string // of a refusal: seconds for which the endpoint wants no requests from this node; empty for none
	RateLimit     string // requests a second that the endpoint takes from all nodes together; empty for no limit
	Brittle       string // requests that the endpoint may reject in a second, for want of room, before it falls over; empty if it is not brittle
	Cold          string // milliseconds for which the endpoint stays cold; empty if it does not say
}

// LeaveNotice is an engine's answer to whether it is leaving.
type LeaveNotice struct {
	Leaving bool
	Final   bool      // it will not serve again before it has started again, whatever the store says
	GoneAt  time.Time // when it will be gone; zero if it does not say
	// RateLimit is the number of requests a second that the engine takes from all nodes
	// together; empty if it states no limit.
	RateLimit string
	// Cold is as in Verdict.
	Cold string
	// StartMillis is the start of the process that answered, Unix milliseconds; 0 if it does not say.
	StartMillis int64
}

// Dialect is the protocol of the endpoints.
type Dialect interface {
	// Encode returns the request that is sent to the endpoint of an attempt.
	Encode(a Attempt) relay.Request
	// RequestID returns the id of the request to which a response belongs, by its header; empty if
	// that names none.
	RequestID(h http.Header) string
	// Verdict interprets the status and header of an endpoint's response.
	Verdict(a Attempt, status int, h http.Header) Verdict
	// CallerHeader returns the header for the caller from that of an endpoint's
	// response.
	CallerHeader(h http.Header) http.Header
	// Copy asks the engine at source to copy the KV cache of a request's
	// generation to the engine at target. A final copy stops the generation
	// first. The error is a *relay.RefusedError if the engine refused. If a final
	// copy fails after it has stopped the generation, the CacheCopy identifies
	// the KV cache at source, from which the generation can continue; its Name is
	// empty if there is none.
	Copy(ctx context.Context, source, target, requestID string, final bool) (CacheCopy, error)
	// Leaving asks an engine whether it is leaving and when it will be gone. It is an error if another
	// server has its address.
	Leaving(ctx context.Context, e fleet.Endpoint) (LeaveNotice, error)
	// Drop frees a copy that will not be used.
	Drop(ctx context.Context, c CacheCopy) error
}

// Config describes a server.
type Config struct {
	Daemon     *daemon.Daemon
	Relay      *relay.Client
	Carrier    *carry.Carrier // by which Relay connects to endpoints
	Dialect    Dialect
	Centre     string
	Seed       uint64
	RetryLimit retry.Limit // of the retries at each service
	// FirstStart says that the nodes of the deployment have been started for the first time, so
	// that no former process has used a part of the retry limit.
	FirstStart bool
	BodyMemory int64         // bytes of all responses that are read whole at the same time; 0 for a default
	AddressTTL time.Duration // how long callers may use a list of entry hosts
	// StoredOrigin returns the service and the software version that have begun the stream of a request,
	// given its originKey, and whether the platform's store tells that. nil: it never does.
	StoredOrigin func(ctx context.Context, request string) (service, version string, known bool)
	StoreFailing func() bool // reports whether this node's reads of the store fail at present; nil for never
}

// Server serves the requests of one node.
type Server struct {
	cfg            Config
	mu             sync.Mutex
	rand           *rand.Rand
	usage          *usageTracker
	rooms          roomQueue
	bodies         *bodyMemory
	metrics        *serverMetrics
	retryLimiters  map[string]*retry.Limiter                  // by service
	retryBurstFrom time.Time                                  // from when on they use the burst
	generations    map[*generation]bool                       // those in flight
	placements     *placements                                // in and for other load groups
	crashChecks    map[incarnation]*crashCheck                // those that run
	abandoned      map[incarnation]*abandonedRequests         // requests that endpoints may run though nobody waits for them
	lostTraits     int                                        // of the requests of all crashChecks and abandoned ones
	withoutOutput  map[*routedRequest]context.CancelCauseFunc // requests in flight that have had no output; the function ends the request
	tasks          sync.WaitGroup                             // probes and evacuations in the background
	closed         bool                                       // no more tasks are started
	refusing       bool                                       // no more requests are taken
	ended          context.Context                            // ends with the requests in flight, before the node does
	endAll         context.CancelCauseFunc                    // ends it
	active         int                                        // requests in flight
	lastProbe      time.Time                                  // used by Run only
	stop           stopPlan                                   // of the node
	// unrecordedSince is when a request first found that no endpoint of a service runs a version
	// that the store's record names.
	unrecordedSince map[string]time.Time
}

// New returns a server.
func New(cfg Config) *Server {
	s := &Server{
		cfg:           cfg,
		rand:          rand.New(rand.NewPCG(cfg.Seed, 7)),
		usage:         newUsageTracker(),
		bodies:        newBodyMemory(cfg.BodyMemory),
		retryLimiters: map[string]*retry.Limiter{},
		generations:   map[*generation]bool{},
		placements:    newPlacements(cfg.Daemon.SendTo),
		crashChecks:   map[incarnation]*crashCheck{},
		abandoned:     map[incarnation]*abandonedRequests{},
		withoutOutput: map[*routedRequest]context.CancelCauseFunc{},

		unrecordedSince: map[string]time.Time{},
	}
	s.ended, s.endAll = context.WithCancelCause(context.Background())
	s.retryBurstFrom = time.Now()
	if !cfg.FirstStart {
		s.retryBurstFrom = s.retryBurstFrom.Add(cfg.RetryLimit.Window)
	}
	s.metrics = newServerMetrics(cfg.Daemon.Metrics(), s)
	return s
}

// Run reports local usage to the kernel and asks engines whether they are
// leaving, until ctx ends.
func (s *Server) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		t := time.NewTicker(reportInterval)
		defer t.Stop()
		var known *fleet.View
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case now := <-t.C:
				if view := s.view(); view != known {
					known = view
					s.rooms.wake(now, "")
				}
				s.probeEngines(ctx, now)
				s.expirePlacements(now)
				if event, changed := s.usageReport(now); changed {
					s.cfg.Daemon.Post(ctx, event)
				}
			}
		}
		s.mu.Lock()
		s.closed = true
		s.mu.Unlock()
		s.tasks.Wait()
		done <- nil
	}()
	return done
}

// Active returns the number of requests in flight.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

func (s *Server) view() *fleet.View {
	return fleet.Of(s.cfg.Daemon.State())
}

// Serve processes a request until its response has ended. If it returns an
// error, nothing has been sent to the caller, and the error is the response.
func (s *Server) Serve(ctx context.Context, req *Request, out ResponseWriter) *apierr.Error {
	if !s.begin() {
		return s.stoppingError().WithRequest(req.ID)
	}
	defer func() {
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
	}()
	err := s.serve(ctx, req, out)
	if err == nil {
		s.cfg.Daemon.Record(trace.Entry{Kind: "ended", Request: req.ID, Routine: true, Detail: req.describeEnd(time.Now())})
		return nil
	}
	err = err.WithRequest(req.ID)
	s.record("failed", req, "", fmt.Sprintf("status %d after %s: %v", err.Status, time.Since(req.Arrived).Round(time.Millisecond), err))
	return err
}

// Check returns the error of a request that will be rejected whatever its body holds, or nil.
func (s *Server) Check(now time.Time, req *Request) *apierr.Error {
	view := s.view()
	err := s.checkReady(view)
	if err == nil {
		_, err = s.routeRequest(now, view, req)
	}
	if err == nil {
		return nil
	}
	return err.WithRequest(req.ID)
}

// checkReady returns an error if the node has no routing table.
func (s *Server) checkReady(view *fleet.View) *apierr.Error {
	if view.Ready() {
		return nil
	}
	return apierr.NotRun(http.StatusServiceUnavailable, apierr.CodeUnavailable, "this node has not learned the routing table yet").WithRetryAfter(unreadyRetryAfter)
}

// recordPlacement records which endpoint a request is sent to, and the load and
// failures by which it was chosen. First is the expected time to the first event, 0 if unknown.
func (s *Server) recordPlacement(rr *routedRequest, e fleet.Endpoint, c place.Candidate, first time.Duration) {
	detail := fmt.Sprintf(
		"attempt %d on route %s (table version %d), %s until the deadline; the endpoint runs version %s and has %d of %d slots and %d of %d tokens in use, %d prompt tokens waiting, failure rate %.2f",
		len(rr.tried)+1, rr.route.Name, rr.tableVersion, time.Until(rr.deadline).Round(time.Millisecond), e.Version, c.Requests, c.Slots, c.Tokens, c.Memory, c.PendingPrompt, c.FailureRate)
	detail += describeSpeed(c, first) + "; " + rr.describeTraits()
	s.cfg.Daemon.Record(trace.Entry{Kind: "place", Request: rr.req.ID, Workspace: rr.workspace, Endpoint: c.ID, Routine: true, Detail: detail})
}

func (s *Server) serve(ctx context.Context, req *Request, out ResponseWriter) *apierr.Error {
	view := s.view()
	if err := s.checkReady(view); err != nil {
		return err
	}
	rr, fail := s.routeRequest(time.Now(), view, req)
	if fail != nil {
		return fail
	}
	ctx, cancel := context.WithDeadline(ctx, rr.deadline)
	defer cancel()
	ctx, end, fail := s.admit(ctx, rr)
	if fail != nil {
		return fail
	}
	defer end()
	s.retryLimiter(rr.service.Name).AddRequest(req.Arrived)
	if rr.route.Kind == table.KindStream {
		fail = s.serveStream(ctx, rr, out)
	} else {
		fail = s.servePlain(ctx, rr, out)
	}
	s.metrics.recordEnd(rr.route.Kind, fail, time.Since(req.Arrived))
	return fail
}

func (s *Server) retryLimiter(service string) *retry.Limiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.retryLimiters[service]
	if !ok {
		l = retry.NewLimiter(time.Now(), s.retryBurstFrom, s.cfg.RetryLimit)
		s.retryLimiters[service] = l
		s.metrics.addRetriesLeft(service, func() float64 { return l.Available(time.Now(), s.retryShare(service)) })
	}
	return l
}

// retryShare returns the share of the retry budget of a service that this node uses
// together with its load group.
func (s *Server) retryShare(service string) retry.Share {
	state := s.cfg.Daemon.State()
	m := member.Of(state)
	group, unknown, pooled := fleet.Of(state).GroupRetries(time.Now(), s.cfg.RetryLimit.Window, service, m.Self().GetId())
	return retry.Share{Nodes: m.Len(), Group: group, Unknown: unknown, Pooled: pooled}
}

// allowRetry reports whether the retry budget, which all nodes share, allows one
// more attempt, and counts the retry if so.
func (s *Server) allowRetry(rr *routedRequest) bool {
	if !s.retryLimiter(rr.service.Name).Allow(time.Now(), s.retryShare(rr.service.Name)) {
		s.metrics.retriesDenied.Inc()
		s.record("repeat-denied", rr.req, "", "the retry budget is exhausted")
		return false
	}
	s.metrics.retries.Inc()
	return true
}

// addJitter returns a random time from d to twice d, so that the callers of
// requests that were shed together do not all retry at the same time.
func (s *Server) addJitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d + time.Duration(s.rand.Int64N(int64(d)))
}

func (s *Server) recordEndpoint(kind, endpoint, detail string) {
	s.cfg.Daemon.Record(trace.Entry{Kind: kind, Endpoint: endpoint, Detail: detail})
}

func (s *Server) record(kind string, req *Request, endpoint, detail string) {
	s.cfg.Daemon.Record(trace.Entry{Kind: kind, Request: req.ID, Endpoint: endpoint, Detail: detail})
}

// restError returns the error for a request that has not run while every endpoint wants
// no requests, the first of them for the given time.
func (s *Server) restError(rr *routedRequest, rest time.Duration) *apierr.Error {
	return apierr.NotRun(http.StatusServiceUnavailable, apierr.CodeUnavailable, "no endpoint of %q takes requests %s", rr.service.Name, describeRest(rest)).WithRetryAfter(retryAfterRest(rest) + s.addJitter(restRetrySpread))
}

// finalError returns the error for a request to which no endpoint gave a
// response that can be passed on.
func (s *Server) finalError(ctx context.Context, rr *routedRequest, cause error) *apierr.Error {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case !rr.mayHaveRun && (wasStopped(ctx) || isStopping(cause)):
		return s.stoppingError()
	case wasStopped(ctx):
		return apierr.Unknown(http.StatusBadGateway, apierr.CodeLost, "this node has stopped before the response arrived")
	case !rr.mayHaveRun && wasAborted(ctx):
		return quarantineError(max(s.quarantined(time.Now(), rr), 0))
	case wasAborted(ctx):
		return apierr.Unknown(http.StatusBadGateway, apierr.CodeQuarantined, "%v", errQuarantined)
	case !rr.mayHaveRun && expired:
		return apierr.NotRun(http.StatusServiceUnavailable, apierr.CodeDeadline, "no endpoint of %q accepted the request in time", rr.service.Name).WithRetryAfter(timeoutRetryAfter)
	case !rr.mayHaveRun:
		return apierr.NotRun(http.StatusServiceUnavailable, apierr.CodeUnavailable, "no endpoint of %q accepted the request: %v", rr.service.Name, cause).WithRetryAfter(s.addJitter(unavailableRetryAfter))
	case expired:
		return apierr.Unknown(http.StatusGatewayTimeout, apierr.CodeDeadline, "the response did not arrive in time")
	}
	return apierr.Unknown(http.StatusBadGateway, apierr.CodeLost, "the response was lost: %v", cause)
}
