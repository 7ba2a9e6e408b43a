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
	resumeTries = 5
	resumePause = 50 * time.Millisecond // before the second try; doubles
	askTimeout  = 2 * time.Second
	doneMark    = "[DONE]"
)

// Token is one event of a generation.
type Token struct {
	Generation string
	Index      int
	Data       string // the event's data, a chat.completion.chunk
}

// GapError says that a generation's next token is missing.
type GapError struct {
	Generation string
	Want       int
	Got        int
}

// Error names the missing index.
func (e *GapError) Error() string {
	return fmt.Sprintf("generation %s went on at token %d, not %d", e.Generation, e.Got, e.Want)
}

// Place is where a generation runs.
type Place struct {
	Addr       string
	Request    string // id of this attempt
	Generation string // empty until the endpoint has named it
}

// Stream is one generation's tokens. It is used by one goroutine at a time.
type Stream struct {
	client *Client
	place  Place
	next   int // index of the next token
	resp   *fasthttp.Response
	events func() (sse.Event, error, bool)
	stop   func()
	err    error
}

// Open sends a chat/completions request to an engine. It returns once the
// engine has taken or refused it.
func (c *Client) Open(place Place, body []byte) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + place.Addr + "/v1/chat/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("X-Request-Id", place.Request)
	req.SetBody(body)
	s := &Stream{client: c, place: place}
	if err := s.connect(req); err != nil {
		return nil, err
	}
	return s, nil
}

// Resume goes on with a generation after the token that was seen last; -1
// means from the start.
func (c *Client) Resume(place Place, last int) (*Stream, error) {
	s := &Stream{client: c, place: place, next: last + 1}
	if err := s.reconnect(); err != nil {
		return nil, err
	}
	return s, nil
}

// Generation returns the id of the generation.
func (s *Stream) Generation() string {
	return s.place.Generation
}

// Sends a request whose answer is the stream.
func (s *Stream) connect(req *fasthttp.Request) error {
	resp := &fasthttp.Response{StreamBody: true}
	if err := s.client.host(s.place.Addr).Do(req, resp); err != nil {
		return sendError(s.place.Addr, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		err := refused(s.place.Addr, resp)
		_ = resp.CloseBodyStream()
		return err
	}
	if gen := string(resp.Header.Peek("X-Generation")); gen != "" {
		s.place.Generation = gen
	}
	s.resp = resp
	next, stop := iter.Pull2(sse.Read(resp.BodyStream(), &sse.ReadConfig{MaxEventSize: maxAnswer}))
	s.events = func() (sse.Event, error, bool) { return next() }
	s.stop = stop
	return nil
}

func (s *Stream) reconnect() error {
	s.disconnect(io.ErrUnexpectedEOF)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + s.place.Addr + "/v1/generations/" + s.place.Generation)
	if s.next > 0 {
		req.Header.Set("Last-Event-ID", fmt.Sprintf("%s/%d", s.place.Generation, s.next-1))
	}
	return s.connect(req)
}

func (s *Stream) disconnect(cause error) {
	if s.resp == nil {
		return
	}
	if body, ok := s.resp.BodyStream().(fasthttp.ReadCloserWithError); ok {
		_ = body.CloseWithError(cause)
	}
	s.stop()
	s.resp = nil
}

// Next returns the next token. It returns io.EOF after the last one of a
// complete generation, and a *LostError or *GapError when the generation
// cannot be continued.
func (s *Stream) Next(ctx context.Context) (Token, error) {
	if s.err != nil {
		return Token{}, s.err
	}
	// An endpoint may take each reconnection and still send nothing more, as for
	// a generation that was cancelled.
	for try := 1; ; try++ {
		t, err := s.read()
		if err == nil {
			s.next++
			return t, nil
		}
		if try > resumeTries {
			s.err = &LostError{Addr: s.place.Addr, Err: err}
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

// Reads events until one is the next token. io.EOF means a complete end.
func (s *Stream) read() (Token, error) {
	for {
		e, err, ok := s.events()
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
		case gen != s.place.Generation:
			return Token{}, &GapError{Generation: gen, Want: s.next, Got: index}
		case index < s.next:
			continue
		case index > s.next:
			return Token{}, &GapError{Generation: gen, Want: s.next, Got: index}
		case e.Data == doneMark:
			return Token{}, io.EOF
		}
		return Token{Generation: gen, Index: index, Data: e.Data}, nil
	}
}

// SplitID splits an event id into generation and index.
func SplitID(id string) (string, int, error) {
	gen, text, ok := strings.Cut(id, "/")
	if !ok {
		return "", 0, errors.Errorf("event id %q has no index", id)
	}
	index, err := strconv.Atoi(text)
	if err != nil || index < 0 {
		return "", 0, errors.Errorf("event id %q has no index", id)
	}
	return gen, index, nil
}

// Connects to the same generation again after a broken link.
func (s *Stream) resume(ctx context.Context, cause error) error {
	if s.place.Generation == "" {
		s.disconnect(cause)
		return &LostError{Addr: s.place.Addr, Err: cause}
	}
	pause := resumePause
	for range resumeTries {
		err := s.reconnect()
		if err == nil {
			return nil
		}
		var refused *RefusedError
		if errors.As(err, &refused) && refused.Status == fasthttp.StatusNotFound {
			return &LostError{Addr: s.place.Addr, Err: err}
		}
		if !wait.For(ctx, pause) {
			return &LostError{Addr: s.place.Addr, Err: ctx.Err()}
		}
		pause *= 2
	}
	return &LostError{Addr: s.place.Addr, Err: cause}
}

// Close ends the reading. The engine goes on until the generation is resumed,
// cancelled or has had no reader for a time.
func (s *Stream) Close() {
	s.disconnect(io.ErrClosedPipe)
}

// State is an engine's answer about a generation or a request.
type State struct {
	Generation string `json:"generation"`
	State      string `json:"state"` // waiting, running, done, cancelled or unknown
	Tokens     int    `json:"tokens"`
	Readers    int    `json:"readers"` // connections that read it
}

// Over reports whether no more tokens follow.
func (s State) Over() bool {
	return s.State != "waiting" && s.State != "running"
}

// State asks an engine about a request.
func (c *Client) State(place Place) (State, error) {
	return c.ask(place.Addr, fasthttp.MethodGet, "/v1/requests/"+place.Request)
}

// Cancel ends a request on an engine, even one that has not come yet. The
// state says how far it had come.
func (c *Client) Cancel(place Place) (State, error) {
	if place.Generation != "" {
		return c.ask(place.Addr, fasthttp.MethodDelete, "/v1/generations/"+place.Generation)
	}
	return c.ask(place.Addr, fasthttp.MethodDelete, "/v1/requests/"+place.Request)
}

func (c *Client) ask(addr, method, path string) (State, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	if err := c.host(addr).DoTimeout(req, resp, askTimeout); err != nil {
		return State{}, sendError(addr, err)
	}
	var st State
	if err := json.Unmarshal(resp.Body(), &st); err != nil {
		return State{}, errors.Wrapf(err, "decode the answer of %s", addr)
	}
	return st, nil
}
