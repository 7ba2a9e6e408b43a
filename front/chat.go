package front

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/policy"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/valyala/fasthttp"
)

const (
	defaultDeadline = 30 * time.Second
	maxAttempts     = 4
	prefixBytes     = 256 // of a prompt, whose hash tells which prompts share a cache
	bytesPerToken   = 4   // estimate of a prompt's length
	maxOutput       = 32768
)

// chat is a chat/completions request as the front understands it. Fields that
// it does not know pass through to the engine.
type chat struct {
	id          string
	service     *spec.Service
	serviceName string
	class       *spec.Class
	model       string
	who         policy.Identity
	caller      string
	prompt      int // tokens
	prefix      uint64
	limit       int // tokens
	stream      bool
	fields      map[string]json.RawMessage
}

// chatFields is the part of the body that the front reads.
type chatFields struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Tier      string `json:"service_tier"` // the class
	User      string `json:"user"`         // who sent it, within the workspace
	Messages  []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

func (f *Front) serveChat(ctx *fasthttp.RequestCtx) *apierr.Error {
	if err := allow(ctx, fasthttp.MethodPost); err != nil {
		return err
	}
	who, err := f.identify(ctx)
	if err != nil {
		return err
	}
	c, err := f.readChat(ctx, who)
	if err != nil {
		return err
	}
	ctx.Response.Header.Set(headerRequest, c.id)
	f.fresh()
	f.record(c, "arrive", "")
	if c.stream && !c.class.Whole {
		return f.answerStream(ctx, c)
	}
	return f.answerWhole(ctx, c)
}

func (f *Front) record(c *chat, kind, detail string) {
	f.cfg.Daemon.Record(trace.Entry{Kind: kind, Request: c.id, Workspace: c.who.Workspace, Detail: detail})
}

func (f *Front) readChat(ctx *fasthttp.RequestCtx, who policy.Identity) (*chat, *apierr.Error) {
	var in chatFields
	c := &chat{id: f.cfg.Daemon.NewRequestID(), who: who}
	body := ctx.PostBody()
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, badBody(err)
	}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, badBody(err)
	}
	if len(in.Messages) == 0 {
		return nil, apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadRequest, "field messages is empty")
	}
	if in.MaxTokens < 0 {
		return nil, apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadRequest, "field max_tokens must not be %d", in.MaxTokens)
	}
	name, model, _ := strings.Cut(in.Model, "/")
	svc, fail := f.service(who, name, spec.KindModel)
	if fail != nil {
		return nil, fail
	}
	c.service = svc
	c.serviceName = name
	if fail := c.pick(model, in.Tier); fail != nil {
		return nil, fail
	}
	c.caller = in.User
	c.stream = in.Stream
	c.limit = in.MaxTokens
	if c.limit == 0 {
		c.limit = maxOutput
	}
	c.measure(in)
	return c, nil
}

func badBody(err error) *apierr.Error {
	return apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadRequest, "body is not a valid chat request: %v", err)
}

// Finds the model and the class that the request names.
func (c *chat) pick(model, tier string) *apierr.Error {
	base, adapter, _ := strings.Cut(model, ":")
	m, ok := c.service.Model(base)
	if !ok {
		return apierr.NotRun(fasthttp.StatusNotFound, apierr.CodeNotFound, "model %q does not exist in service %q", base, c.service.Name)
	}
	c.model = m.Name
	if adapter != "" {
		c.model += ":" + adapter
		if !contains(m.Adapters, adapter) {
			return apierr.NotRun(fasthttp.StatusNotFound, apierr.CodeNotFound, "adapter %q does not exist in model %q", adapter, m.Name)
		}
	}
	class, ok := c.service.Class(tier)
	if !ok {
		return apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadRequest, "class %q does not exist in service %q", tier, c.service.Name)
	}
	c.class = class
	return nil
}

func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}

// Estimates the prompt's length and hashes its start.
func (c *chat) measure(in chatFields) {
	size := 0
	start := make([]byte, 0, prefixBytes)
	for _, m := range in.Messages {
		size += len(m.Content)
		room := prefixBytes - len(start)
		start = append(start, m.Content[:min(room, len(m.Content))]...)
	}
	c.prompt = max(1, size/bytesPerToken)
	c.prefix = xxhash.Sum64(start)
}

// Returns the body for the engine.
func (c *chat) body() ([]byte, error) {
	c.fields["model"] = quote(c.model)
	c.fields["stream"] = json.RawMessage("true")
	priority, err := json.Marshal(c.class.Priority)
	if err != nil {
		return nil, err
	}
	c.fields["priority"] = priority
	return json.Marshal(c.fields)
}

func quote(s string) json.RawMessage {
	data, err := json.Marshal(s)
	if err != nil {
		return json.RawMessage(`""`)
	}
	return data
}

func (c *chat) deadline(now time.Time) time.Time {
	if c.class.Deadline > 0 {
		return now.Add(c.class.Deadline)
	}
	return now.Add(defaultDeadline)
}

// attempt is a generation that has made its first token.
type attempt struct {
	request string // id of the attempt
	place   kernel.Place
	stream  *relay.Stream
	first   relay.Token
	empty   bool // the generation ended without a token
}

// Gets a generation to its first token. A generation may be repeated, so an
// attempt that fails before that is followed by another one elsewhere.
func (f *Front) begin(c *chat, avoid []string) (attempt, *apierr.Error) {
	body, err := c.body()
	if err != nil {
		return attempt{}, apierr.NotRun(fasthttp.StatusInternalServerError, apierr.CodeInternal, "encode request: %v", err)
	}
	deadline := c.deadline(time.Now())
	for n := 1; ; n++ {
		a, fail := f.try(c, body, n, deadline, avoid)
		if fail == nil {
			return a, nil
		}
		if a.place.Endpoint == "" || !f.mayRetry(n) {
			return attempt{}, fail.WithRequest(c.id)
		}
		f.record(c, "retry", fail.Message)
		avoid = append(avoid, a.place.Endpoint)
	}
}

// Makes one attempt. The attempt's place is set if one was granted.
func (f *Front) try(c *chat, body []byte, n int, deadline time.Time, avoid []string) (attempt, *apierr.Error) {
	a := attempt{request: c.id + "." + itoa(n)}
	place, err := f.cfg.Daemon.Place(f.ctx, kernel.Request{
		ID:        a.request,
		Service:   c.service.Name,
		Workspace: c.who.Workspace,
		Caller:    c.caller,
		Class:     c.class.Name,
		Model:     c.model,
		Prompt:    c.prompt,
		Limit:     c.limit,
		Prefix:    c.prefix,
		Deadline:  deadline,
		Avoid:     avoid,
	})
	if err != nil {
		return a, asError(err)
	}
	a.place = place
	a.stream, err = f.cfg.Relay.Open(relay.Place{Addr: place.Addr, Request: a.request}, body)
	if err == nil {
		a.first, err = a.stream.Next(f.ctx)
		if err == nil {
			return a, nil
		}
		a.stream.Close()
		if isEOF(err) {
			a.empty = true
			return a, nil
		}
	}
	return a, f.attemptFailed(a, err)
}

func asError(err error) *apierr.Error {
	var e *apierr.Error
	if errors.As(err, &e) {
		return e
	}
	return apierr.Unknown(fasthttp.StatusInternalServerError, apierr.CodeInternal, "%v", err)
}

// Gives the place of a failed attempt back, and ends the generation that may
// still run.
func (f *Front) attemptFailed(a attempt, err error) *apierr.Error {
	ended := kernel.Ended{Request: a.request, Failed: true}
	outcome := apierr.OutcomeNotRun
	var refused *relay.RefusedError
	var notSent *relay.NotSentError
	switch {
	case errors.As(err, &refused):
		ended.Leaving = refused.Leaving
		if refused.Status >= fasthttp.StatusBadRequest && refused.Status < fasthttp.StatusTooManyRequests && refused.Status != fasthttp.StatusNotFound {
			ended.Failed = false
		}
	case errors.As(err, &notSent):
	default:
		outcome = apierr.OutcomeUnknown
		f.cancel(a)
	}
	f.cfg.Daemon.Ended(ended)
	e := apierr.NotRun(fasthttp.StatusBadGateway, apierr.CodeLost, "endpoint %s: %v", a.place.Endpoint, err)
	return e.WithOutcome(outcome)
}

// Cancels an attempt at its engine, in the background.
func (f *Front) cancel(a attempt) {
	place := relay.Place{Addr: a.place.Addr, Request: a.request}
	if a.stream != nil {
		place.Generation = a.stream.Generation()
	}
	f.background(func(context.Context) error {
		_, err := f.cfg.Relay.Cancel(place)
		return errors.Wrapf(err, "cancel %s", a.request)
	})
}

// completion is a whole chat.completion.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index   int     `json:"index"`
	Message message `json:"message"`
	Finish  string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	Completion int `json:"completion_tokens"`
}

// chunkData is the part of a chat.completion.chunk that the front reads.
type chunkData struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (d chunkData) text() string {
	if len(d.Choices) == 0 {
		return ""
	}
	return d.Choices[0].Delta.Content
}

// Holds the reply back until it is complete. A generation that is lost on the
// way is replaced by a new one, of which the caller notices nothing.
func (f *Front) answerWhole(ctx *fasthttp.RequestCtx, c *chat) *apierr.Error {
	started := time.Now()
	var avoid []string
	for n := 1; ; n++ {
		a, fail := f.begin(c, avoid)
		if fail != nil {
			return fail
		}
		if n == 1 {
			f.first.Update(time.Since(started).Seconds())
		}
		text, tokens, err := f.collect(a)
		if err == nil {
			f.cfg.Daemon.Ended(kernel.Ended{Request: a.request, Tokens: tokens})
			f.completed(c.service.Name)
			f.record(c, "complete", "")
			return f.writeWhole(ctx, c, text, tokens)
		}
		fail = f.attemptFailed(a, err)
		if !f.mayRetry(n) {
			return fail.WithRequest(c.id)
		}
		f.record(c, "restart", fail.Message)
		avoid = append(avoid, a.place.Endpoint)
	}
}

// Reads a generation to its end.
func (f *Front) collect(a attempt) (string, int, error) {
	defer a.stream.Close()
	if a.empty {
		return "", 0, nil
	}
	var text strings.Builder
	meter := f.meter(a.request)
	for t := a.first; ; {
		var d chunkData
		if err := json.Unmarshal([]byte(t.Data), &d); err != nil {
			return "", 0, errors.Wrapf(err, "decode token %d of %s", t.Index, t.Generation)
		}
		text.WriteString(d.text())
		meter.token(time.Now(), t.Index)
		var err error
		t, err = a.stream.Next(f.ctx)
		if isEOF(err) {
			return text.String(), meter.tokens, nil
		}
		if err != nil {
			return "", 0, err
		}
	}
}

func (f *Front) writeWhole(ctx *fasthttp.RequestCtx, c *chat, text string, tokens int) *apierr.Error {
	whole := completion{
		ID:     c.id,
		Object: "chat.completion",
		Model:  c.service.Name + "/" + c.model,
		Choices: []completionChoice{{
			Message: message{Role: "assistant", Content: text},
			Finish:  "stop",
		}},
		Usage: usage{Completion: tokens},
	}
	if !c.stream {
		return writeJSON(ctx, whole)
	}
	return writeWholeStream(ctx, c, text, tokens)
}
