package fakes

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// Command changes the loaded models or the role of an engine.
type Command struct {
	Kind         string `json:"kind"`  // load, unload or role
	Model        string `json:"model"` // model or model:adapter
	Version      string `json:"version"`
	Role         string `json:"role"`
	FencingToken int64  `json:"token"`
}

// appliedCommand is a command with the time at which the engine applied it.
type appliedCommand struct {
	Command
	At time.Time `json:"at"`
}

type loadedModel struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// EngineState is the control state of an engine: its loaded models, its role and
// the commands that it has applied.
type EngineState struct {
	Models       []loadedModel    `json:"models"`
	Role         string           `json:"role"`
	FencingToken int64            `json:"token"`    // highest fencing token of an applied command
	Commands     []appliedCommand `json:"commands"` // oldest first
}

// serveCommands returns the control state for a GET and applies a command for any
// other method. It serves both /v1/commands and /v1/models.
func (e *Engine) serveCommands(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		replyJSON(ctx, fasthttp.StatusOK, e.State())
		return
	}
	var c Command
	if !decodeBody(ctx, &c) {
		return
	}
	if c.Kind == "load" && !e.fetchWeights(c.Model) {
		replyError(ctx, fasthttp.StatusBadGateway, "could not fetch the weights from the weight store")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fencing && c.FencingToken < e.fencingToken {
		replyError(ctx, fasthttp.StatusPreconditionFailed, fmt.Sprintf("fencing token %d is older than %d", c.FencingToken, e.fencingToken))
		return
	}
	if !e.apply(c) {
		replyError(ctx, fasthttp.StatusBadRequest, fmt.Sprintf("command %q does not exist", c.Kind))
		return
	}
	replyJSON(ctx, fasthttp.StatusOK, struct{}{})
}

// apply carries out a command and records it. It reports false, and changes
// nothing, if there is no command of this kind. e.mu must be held.
func (e *Engine) apply(c Command) bool {
	switch c.Kind {
	case "load":
		e.loaded[c.Model] = c.Version
	case "unload":
		delete(e.loaded, c.Model)
	case "role":
		e.role = c.Role
	default:
		return false
	}
	e.fencingToken = max(e.fencingToken, c.FencingToken)
	e.counts.Commands++
	e.appliedCommands = append(e.appliedCommands, appliedCommand{Command: c, At: time.Now()})
	return true
}

// State returns the control state.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := EngineState{Role: e.role, FencingToken: e.fencingToken, Commands: append([]appliedCommand(nil), e.appliedCommands...)}
	for m, version := range e.loaded {
		s.Models = append(s.Models, loadedModel{Model: m, Version: version})
	}
	return s
}

// fetchWeights reads the weights of a model and discards them, so that loading
// takes as long as the weight store needs. It reports whether they could be read;
// without a weight store it reports true.
func (e *Engine) fetchWeights(model string) bool {
	if e.cfg.WeightsAddr == "" {
		return true
	}
	status, _, err := fasthttp.GetTimeout(nil, "http://"+e.cfg.WeightsAddr+"/v1/weights/"+url.PathEscape(model), time.Minute)
	return err == nil && status == fasthttp.StatusOK
}

// WeightsConfig configures a weight store.
type WeightsConfig struct {
	Addr           string
	ModelBytes     int // size of each model in bytes
	BytesPerSecond int // limit over all readers; 0 means no limit
}

// Weights is a store of model weights that limits the rate of its responses. It
// serves any model as ModelBytes bytes of value 0.
type Weights struct {
	*Server
	cfg         WeightsConfig
	limiter     *rate.Limiter
	mu          sync.Mutex
	fetchCounts map[string]int // number of fetches by model
}

// StartWeights starts a weight store.
func StartWeights(cfg WeightsConfig) (*Weights, error) {
	w := &Weights{cfg: cfg, limiter: newLimiter(cfg.BytesPerSecond), fetchCounts: map[string]int{}}
	var err error
	w.Server, err = startServer(cfg.Addr, w.serve, nil)
	return w, err
}

// FetchCounts returns the number of fetches by model.
func (w *Weights) FetchCounts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	copied := map[string]int{}
	for m, n := range w.fetchCounts {
		copied[m] = n
	}
	return copied
}

const maxWeightChunk = 64 << 10 // maximum bytes of one read

func (w *Weights) serve(ctx *fasthttp.RequestCtx) {
	model := string(bytes.TrimPrefix(ctx.Path(), []byte("/v1/weights/")))
	w.mu.Lock()
	w.fetchCounts[model]++
	w.mu.Unlock()
	ctx.SetBodyStream(&weightReader{store: w, remaining: w.cfg.ModelBytes}, w.cfg.ModelBytes)
}

// weightReader is the body of a weight store's response. It yields bytes of value 0
// at the store's rate.
type weightReader struct {
	store     *Weights
	remaining int // bytes
}

// Read implements io.Reader.
func (r *weightReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.remaining, maxWeightChunk)
	if r.store.limiter.Limit() != rate.Inf {
		n = min(n, r.store.limiter.Burst())
		time.Sleep(r.store.limiter.ReserveN(time.Now(), n).Delay())
	}
	clear(p[:n])
	r.remaining -= n
	return n, nil
}

// ServiceConfig configures a plain service.
type ServiceConfig struct {
	Addr  string
	Delay time.Duration // time that each call takes
}

// Execution records one execution of a call.
type Execution struct {
	RequestID      string `json:"request"` // from the X-Request-Id header
	IdempotencyKey string `json:"key"`     // from the Idempotency-Key header
	Method         string `json:"method"`
	Path           string `json:"path"`
	Body           string `json:"body"` // as a quoted Go string
}

// ServiceFaults are the faults that a plain service injects.
type ServiceFaults struct {
	DropResponses  int           `json:"drop"`   // number of calls to execute without a response
	RefuseRequests int           `json:"refuse"` // number of calls to reject with 503, without executing them
	FailRequests   int           `json:"fail"`   // number of calls to fail with 500, without executing them
	Delay          time.Duration `json:"delay"`  // additional time that each call takes
	CrashOn        string        `json:"crash"`  // the service crashes when it begins to run a call whose body contains this; empty for none
}

// Service is a plain service that records the calls that it executes.
type Service struct {
	*Server
	cfg        ServiceConfig
	mu         sync.Mutex
	executions []Execution
	faults     ServiceFaults
}

// StartService starts a plain service.
func StartService(cfg ServiceConfig) (*Service, error) {
	s := &Service{cfg: cfg}
	var err error
	s.Server, err = startServer(cfg.Addr, s.serve, nil)
	return s, err
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns the executed calls in the order in which they ended.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// serve handles the control paths, and executes a request for any other path as a
// call.
func (s *Service) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/control/faults":
		var f ServiceFaults
		if decodeBody(ctx, &f) {
			s.SetFaults(f)
			replyJSON(ctx, fasthttp.StatusOK, f)
		}
		return
	case "/control/executions":
		replyJSON(ctx, fasthttp.StatusOK, s.Executions())
		return
	}
	if s.takeFault(func(f *ServiceFaults) *int { return &f.RefuseRequests }) {
		replyError(ctx, fasthttp.StatusServiceUnavailable, "refused")
		return
	}
	if s.takeFault(func(f *ServiceFaults) *int { return &f.FailRequests }) {
		replyError(ctx, fasthttp.StatusInternalServerError, "failed")
		return
	}
	if s.crashesOn(string(ctx.PostBody())) {
		crash(ctx, s.Kill)
		return
	}
	dropResponse := s.takeFault(func(f *ServiceFaults) *int { return &f.DropResponses })
	n := s.execute(ctx)
	if dropResponse {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		return
	}
	replyJSON(ctx, fasthttp.StatusOK, confirmation{Confirmed: true, Number: n, Path: string(ctx.Path())})
}

// confirmation is the response to an executed call.
type confirmation struct {
	Confirmed bool   `json:"confirmed"`
	Number    int    `json:"number"` // of the execution, from 1
	Path      string `json:"path"`
}

// crashesOn reports whether the service crashes when it begins to run a call.
func (s *Service) crashesOn(body string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.CrashOn != "" && strings.Contains(body, s.faults.CrashOn)
}

// takeFault reports whether to inject a fault now. Its argument returns a pointer
// to the fault's remaining count, which takeFault decrements if it is not zero.
func (s *Service) takeFault(field func(f *ServiceFaults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := field(&s.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// execute waits as long as the call takes, records the call, and returns the
// number of calls executed so far.
func (s *Service) execute(ctx *fasthttp.RequestCtx) int {
	s.mu.Lock()
	delay := s.cfg.Delay + s.faults.Delay
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions = append(s.executions, Execution{
		RequestID:      string(ctx.Request.Header.Peek(HeaderRequestID)),
		IdempotencyKey: string(ctx.Request.Header.Peek("Idempotency-Key")),
		Method:         string(ctx.Method()),
		Path:           string(ctx.Path()),
		Body:           strconv.Quote(string(ctx.PostBody())),
	})
	return len(s.executions)
}
