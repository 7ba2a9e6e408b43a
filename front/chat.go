package front

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/policy"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/valyala/fasthttp"
)

const (
	defaultDeadline = 30 * time.Second
	prefixBytes     = 256 // of a prompt, whose hash tells which prompts share a cache
	bytesPerToken   = 4   // estimate of a prompt's length
	maxOutput       = 32768
)

// chat is a chat/completions request as the front understands it. Fields that
// it does not know pass through to the engine.
type chat struct {
	id       string
	service  *spec.Service
	class    *spec.Class
	model    string
	who      policy.Identity
	caller   string
	prompt   int // tokens
	prefix   uint64
	limit    int // tokens
	stream   bool
	attempts int // made so far
	fields   map[string]json.RawMessage
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
