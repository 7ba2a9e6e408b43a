package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/wait"
	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fasthttp"
)

const (
	maxResumeAttempts = 5                     // resumptions per token, and connection attempts per resumption
	minResumeBackoff  = 50 * time.Millisecond // after the first failed connection attempt; doubles
	stateTimeout      = 2 * time.Second
	doneData          = "[DONE]" // data of the event that ends a complete generation
)

// Token is one token event of a generation.
type Token struct {
	Generation string
	Index      int
	Data       string // of the event, a chat.completion.chunk
}

// GapError says that a stream continued with a token that is not the next one of
// the generation.
type GapError struct {
	Generation string
	Want       int
	Got        int
}

// Error describes the expected and the received index.
func (e *GapError) Error() string {
	return fmt.Sprintf("generation %s continued at token %d, expected token %d", e.Generation, e.Got, e.Want)
}

// Location identifies a generation and the engine that runs it.
type Location struct {
	Addr       string
	RequestID  string // id of the attempt, which the engine gets as the request id
	Generation string // empty until known from the engine's response
}

// Stream reads the tokens of one generation. It must not be used by several
// goroutines at once.
type Stream struct {
	client     *Client
	location   Location
	nextIndex  int // index of the next token
	response   *fasthttp.Response
	nextEvent  func() (sse.Event, error, bool)
	stopEvents func()
	err        error
}

// Open sends a chat/completions request to an engine. It returns once the
// engine has accepted or refused it.
func (c *Client) Open(location Location, body []byte) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + location.Addr + "/v1/chat/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("X-Request-Id", location.RequestID)
	req.SetBody(body)
	s := &Stream{client: c, location: location}
	if err := s.connect(req); err != nil {
		return nil, err
	}
	return s, nil
}

// Resume continues a generation after the token with the index last, or from the
// start if last is -1.
func (c *Client) Resume(location Location, last int) (*Stream, error) {
	s := &Stream{client: c, location: location, nextIndex: last + 1}
	if err := s.reconnect(); err != nil {
		return nil, err
	}
	return s, nil
}

// Generation returns the id of the generation.
func (s *Stream) Generation() string {
	return s.location.Generation
}

// connect sends a request whose response is the stream.
func (s *Stream) connect(req *fasthttp.Request) error {
	req.SetConnectionClose()
	resp := &fasthttp.Response{StreamBody: true}
	if err := s.client.hostClient(s.location.Addr).Do(req, resp); err != nil {
		return classifyError(s.location.Addr, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		body, _ := readStream(resp) // the status decides; the body is for logs
		return newRefusedError(s.location.Addr, resp, body)
	}
	if gen := string(resp.Header.Peek("X-Generation")); gen != "" {
		s.location.Generation = gen
	}
	s.response = resp
	next, stop := iter.Pull2(sse.Read(resp.BodyStream(), &sse.ReadConfig{MaxEventSize: maxResponseSize}))
	s.nextEvent = func() (sse.Event, error, bool) { return next() }
	s.stopEvents = stop
	return nil
}

func (s *Stream) reconnect() error {
	s.disconnect(io.ErrUnexpectedEOF)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + s.location.Addr + "/v1/generations/" + s.location.Generation)
	if s.nextIndex > 0 {
		req.Header.Set("Last-Event-ID", fmt.Sprintf("%s/%d", s.location.Generation, s.nextIndex-1))
	}
	return s.connect(req)
}

func (s *Stream) disconnect(cause error) {
	if s.response == nil {
		return
	}
	if body, ok := s.response.BodyStream().(fasthttp.ReadCloserWithError); ok {
		_ = body.CloseWithError(cause)
	}
	s.stopEvents()
	s.response = nil
}

// Next returns the next token, after a reconnection if needed. It returns io.EOF
// after the last token of a complete generation, and a *LostError, which may
// wrap a *GapError, when the generation cannot be continued.
func (s *Stream) Next(ctx context.Context) (Token, error) {
	if s.err != nil {
		return Token{}, s.err
	}
	// The loop is bounded, as an engine may accept each reconnection without ever
	// sending another token, for example if the generation was cancelled.
	for attempt := 1; ; attempt++ {
		t, err := s.readToken()
		if err == nil {
			s.nextIndex++
			return t, nil
		}
		if attempt > maxResumeAttempts {
			s.err = &LostError{Addr: s.location.Addr, Err: err}
			s.disconnect(err)
			return Token{}, s.err
		}
		if errors.Is(err, io.EOF) {
			s.disconnect(nil)
			s.err = io.EOF
			return Token{}, io.EOF
		}
		if err := s.resume(ctx, err); err != nil {
			s.err = err
			return Token{}, err
		}
	}
}

// readToken reads events until one is the next token. It returns io.EOF at the
// end of a complete generation.
func (s *Stream) readToken() (Token, error) {
	for {
		e, err, ok := s.nextEvent()
		if !ok {
			return Token{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Token{}, err
		}
		gen, index, err := SplitID(e.LastEventID)
		if err != nil {
			return Token{}, err
		}
		switch {
		case gen != s.location.Generation:
			return Token{}, &GapError{Generation: gen, Want: s.nextIndex, Got: index}
		case index < s.nextIndex:
			continue
		case index > s.nextIndex:
			return Token{}, &GapError{Generation: gen, Want: s.nextIndex, Got: index}
		case e.Data == doneData:
			return Token{}, io.EOF
		}
		return Token{Generation: gen, Index: index, Data: e.Data}, nil
	}
}

// SplitID splits an event id into the generation and the index.
func SplitID(id string) (string, int, error) {
	gen, text, ok := strings.Cut(id, "/")
	if !ok {
		return "", 0, errors.Errorf("event id %q has no valid index", id)
	}
	index, err := strconv.Atoi(text)
	if err != nil || index < 0 {
		return "", 0, errors.Errorf("event id %q has no valid index", id)
	}
	return gen, index, nil
}

// resume reconnects to the same generation after its stream broke. The error is
// a *LostError.
func (s *Stream) resume(ctx context.Context, cause error) error {
	if s.location.Generation == "" {
		s.disconnect(cause)
		return &LostError{Addr: s.location.Addr, Err: cause}
	}
	backoff := minResumeBackoff
	for range maxResumeAttempts {
		err := s.reconnect()
		if err == nil {
			return nil
		}
		var refused *RefusedError
		if errors.As(err, &refused) && refused.Status == fasthttp.StatusNotFound {
			return &LostError{Addr: s.location.Addr, Err: err}
		}
		if !wait.For(ctx, backoff) {
			return &LostError{Addr: s.location.Addr, Err: ctx.Err()}
		}
		backoff *= 2
	}
	return &LostError{Addr: s.location.Addr, Err: cause}
}

// Close stops reading. The engine continues the generation, which can be
// resumed, until it is cancelled or has had no reader for some time.
func (s *Stream) Close() {
	s.disconnect(io.ErrClosedPipe)
}

// State is what an engine reports about a generation.
type State struct {
	Generation string `json:"generation"`
	State      string `json:"state"` // waiting, running, done, cancelled or unknown
	Tokens     int    `json:"tokens"`
	Readers    int    `json:"readers"` // connections that read the generation
}

// Over reports whether the generation has ended, so that no more tokens follow.
func (s State) Over() bool {
	return s.State != "waiting" && s.State != "running"
}

// State asks an engine for the state of a request.
func (c *Client) State(location Location) (State, error) {
	return c.requestState(location.Addr, fasthttp.MethodGet, "/v1/requests/"+location.RequestID)
}

// Cancel cancels a generation or, if its id is not known yet, a request, even one
// that has not reached the engine. The returned State says how far the generation
// had come.
func (c *Client) Cancel(location Location) (State, error) {
	if location.Generation != "" {
		return c.requestState(location.Addr, fasthttp.MethodDelete, "/v1/generations/"+location.Generation)
	}
	return c.requestState(location.Addr, fasthttp.MethodDelete, "/v1/requests/"+location.RequestID)
}

func (c *Client) requestState(addr, method, path string) (State, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	req.SetConnectionClose()
	if err := c.hostClient(addr).DoTimeout(req, resp, stateTimeout); err != nil {
		return State{}, classifyError(addr, err)
	}
	var st State
	if err := json.Unmarshal(resp.Body(), &st); err != nil {
		return State{}, errors.Wrapf(err, "decode the response of %s", addr)
	}
	return st, nil
}
