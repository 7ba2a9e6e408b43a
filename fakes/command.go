package fakes

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// Command is an order to an engine.
type Command struct {
	Kind    string `json:"kind"`  // load, unload or role
	Model   string `json:"model"` // model or model:adapter
	Version string `json:"version"`
	Role    string `json:"role"`
	Token   int64  `json:"token"` // fencing token
}

type appliedCommand struct {
	Command
	At time.Time `json:"at"`
}

type loadedModel struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// EngineState is what an engine has loaded and has been ordered to do.
type EngineState struct {
	Models   []loadedModel    `json:"models"`
	Role     string           `json:"role"`
	Token    int64            `json:"token"`
	Commands []appliedCommand `json:"commands"`
}

// Serves POST /v1/commands and GET /v1/models.
func (e *Engine) serveCommands(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		reply(ctx, fasthttp.StatusOK, e.State())
		return
	}
	var c Command
	if !decode(ctx, &c) {
		return
	}
	if c.Kind == "load" && !e.fetchWeights(c.Model) {
		refuse(ctx, fasthttp.StatusBadGateway, "weight store did not answer")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fencing && c.Token < e.token {
		refuse(ctx, fasthttp.StatusPreconditionFailed, fmt.Sprintf("fencing token %d is older than %d", c.Token, e.token))
		return
	}
	if !e.apply(c) {
		refuse(ctx, fasthttp.StatusBadRequest, fmt.Sprintf("command %q does not exist", c.Kind))
		return
	}
	reply(ctx, fasthttp.StatusOK, struct{}{})
}

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
	e.token = max(e.token, c.Token)
	e.counts.Commands++
	e.applied = append(e.applied, appliedCommand{Command: c, At: time.Now()})
	return true
}

// State returns what the engine has loaded and has been ordered to do.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := EngineState{Role: e.role, Token: e.token, Commands: append([]appliedCommand(nil), e.applied...)}
	for m, version := range e.loaded {
		s.Models = append(s.Models, loadedModel{Model: m, Version: version})
	}
	return s
}

func (e *Engine) fetchWeights(model string) bool {
	if e.cfg.Weights == "" {
		return true
	}
	status, _, err := fasthttp.GetTimeout(nil, "http://"+e.cfg.Weights+"/v1/weights/"+url.PathEscape(model), time.Minute)
	return err == nil && status == fasthttp.StatusOK
}

// WeightsConfig describes a weight store.
type WeightsConfig struct {
	Addr string
	Size int // bytes of one model
	Rate int // bytes a second over all readers; 0 for no limit
}

// Weights is a store of model weights that limits its rate.
type Weights struct {
	*Server
	cfg     WeightsConfig
	limit   *rate.Limiter
	mu      sync.Mutex
	fetches map[string]int
}

// StartWeights starts a weight store.
func StartWeights(cfg WeightsConfig) (*Weights, error) {
	w := &Weights{cfg: cfg, limit: limiter(cfg.Rate), fetches: map[string]int{}}
	var err error
	w.Server, err = start(cfg.Addr, w.serve, nil)
	return w, err
}

// Fetches returns how often each model was read.
func (w *Weights) Fetches() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	copied := map[string]int{}
	for m, n := range w.fetches {
		copied[m] = n
	}
	return copied
}

const weightChunk = 64 << 10 // bytes

func (w *Weights) serve(ctx *fasthttp.RequestCtx) {
	model := string(bytes.TrimPrefix(ctx.Path(), []byte("/v1/weights/")))
	w.mu.Lock()
	w.fetches[model]++
	w.mu.Unlock()
	ctx.SetBodyStream(&weightReader{store: w, left: w.cfg.Size}, w.cfg.Size)
}

// weightReader yields zero bytes at the store's rate.
type weightReader struct {
	store *Weights
	left  int
}

// Read implements io.Reader.
func (r *weightReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), r.left, weightChunk)
	if r.store.limit.Limit() != rate.Inf {
		n = min(n, r.store.limit.Burst())
		time.Sleep(r.store.limit.ReserveN(time.Now(), n).Delay())
	}
	clear(p[:n])
	r.left -= n
	return n, nil
}

// ServiceConfig describes a plain service.
type ServiceConfig struct {
	Addr  string
	Delay time.Duration // time to serve a call
}

// Execution is one run of a call.
type Execution struct {
	Request string `json:"request"` // id that the sender gave
	Key     string `json:"key"`     // idempotency key
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
}

// ServiceFaults is what a plain service does wrong for the time being.
type ServiceFaults struct {
	Drop   int           `json:"drop"`   // calls to run without an answer
	Refuse int           `json:"refuse"` // calls to refuse with 503 unrun
	Delay  time.Duration `json:"delay"`  // more time for each call
}

// Service is a plain service that records each execution.
type Service struct {
	*Server
	cfg    ServiceConfig
	mu     sync.Mutex
	runs   []Execution
	faults ServiceFaults
}

// StartService starts a plain service.
func StartService(cfg ServiceConfig) (*Service, error) {
	s := &Service{cfg: cfg}
	var err error
	s.Server, err = start(cfg.Addr, s.serve, nil)
	return s, err
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Executions returns every call that ran.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.runs...)
}

func (s *Service) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/control/faults":
		var f ServiceFaults
		if decode(ctx, &f) {
			s.SetFaults(f)
			reply(ctx, fasthttp.StatusOK, f)
		}
		return
	case "/control/executions":
		reply(ctx, fasthttp.StatusOK, s.Executions())
		return
	}
	if s.takeFault(func(f *ServiceFaults) *int { return &f.Refuse }) {
		refuse(ctx, fasthttp.StatusServiceUnavailable, "refused")
		return
	}
	drop := s.takeFault(func(f *ServiceFaults) *int { return &f.Drop })
	n := s.run(ctx)
	if drop {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		return
	}
	reply(ctx, fasthttp.StatusOK, confirmation{Confirmed: true, Number: n, Path: string(ctx.Path())})
}

// confirmation is the answer to a call.
type confirmation struct {
	Confirmed bool   `json:"confirmed"`
	Number    int    `json:"number"`
	Path      string `json:"path"`
}

func (s *Service) takeFault(which func(f *ServiceFaults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := which(&s.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// Runs a call and returns its number.
func (s *Service) run(ctx *fasthttp.RequestCtx) int {
	s.mu.Lock()
	delay := s.cfg.Delay + s.faults.Delay
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Execution{
		Request: string(ctx.Request.Header.Peek(HeaderRequestID)),
		Key:     string(ctx.Request.Header.Peek("Idempotency-Key")),
		Method:  string(ctx.Method()),
		Path:    string(ctx.Path()),
		Body:    strconv.Quote(string(ctx.PostBody())),
	})
	return len(s.runs)
}
