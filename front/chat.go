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
	defaultDeadline  = 30 * time.Second // for a grant, if the class has no deadline
	maxPrefixBytes   = 256              // of the prompt that are hashed; prompts with equal hashes may share a KV cache
	bytesPerToken    = 4                // to estimate the length of a prompt
	defaultMaxTokens = 32768            // assumed for a request without max_tokens
)

// chatRequest is a chat/completions request. Fields of its body that the front
// does not know are passed on to the engine.
type chatRequest struct {
	id           string
	service      *spec.Service
	class        *spec.Class
	model        string // model or model:adapter
	identity     policy.Identity
	caller       string                     // within the workspace; may be empty
	promptTokens int                        // estimated length of the prompt
	prefixHash   uint64                     // of the first maxPrefixBytes of the prompt
	maxTokens    int                        // limit of the output tokens, stated when asking for a grant
	stream       bool                       // the caller wants an event stream
	attempts     int                        // made so far
	traits       []uint64                   // what it may have in common with others that crash engines: itself, and the messages of its prompt but the last
	fields       map[string]json.RawMessage // of the body
}

// chatFields are the fields of a chat request's body that the front reads.
type chatFields struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Tier      string `json:"service_tier"` // name of the class
	User      string `json:"user"`         // caller within the workspace
	Messages  []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

func (f *Front) serveChat(ctx *fasthttp.RequestCtx) *apierr.Error {
	if err := checkMethod(ctx, fasthttp.MethodPost); err != nil {
		return err
	}
	identity, err := f.identify(ctx)
	if err != nil {
		return err
	}
	c, err := f.parseChat(ctx, identity)
	if err != nil {
		return err
	}
	ctx.Response.Header.Set(headerRequestID, c.id)
	f.addRequest()
	f.recordChat(c, "arrive", "")
	if c.stream && !c.class.Whole {
		return f.respondStream(ctx, c)
	}
	return f.respondWhole(ctx, c)
}

// recordChat adds an entry on a chat request to the trace.
func (f *Front) recordChat(c *chatRequest, kind, detail string) {
	f.cfg.Daemon.Record(trace.Entry{Kind: kind, Request: c.id, Workspace: c.identity.Workspace, Detail: detail})
}

// parseChat returns the chat request of a workspace after checking its body.
func (f *Front) parseChat(ctx *fasthttp.RequestCtx, identity policy.Identity) (*chatRequest, *apierr.Error) {
	var in chatFields
	c := &chatRequest{id: f.cfg.Daemon.NewRequestID(), identity: identity}
	body := ctx.PostBody()
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, badBodyError(err)
	}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, badBodyError(err)
	}
	if len(in.Messages) == 0 {
		return nil, apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadRequest, "field messages is empty")
	}
	if in.MaxTokens < 0 {
		return nil, apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadRequest, "field max_tokens is %d, but must not be negative", in.MaxTokens)
	}
	name, model, _ := strings.Cut(in.Model, "/")
	svc, apiErr := f.findService(identity, name, spec.KindModel)
	if apiErr != nil {
		return nil, apiErr
	}
	c.service = svc
	if apiErr := c.resolveModel(model, in.Tier); apiErr != nil {
		return nil, apiErr
	}
	c.caller = in.User
	c.stream = in.Stream
	c.maxTokens = in.MaxTokens
	if c.maxTokens == 0 {
		c.maxTokens = defaultMaxTokens
	}
	c.measurePrompt(in)
	c.traits = []uint64{traitOf("request", identity.Workspace, string(body))}
	for _, m := range in.Messages[:len(in.Messages)-1] {
		c.traits = append(c.traits, traitOf("message", string(m.Content)))
	}
	return c, nil
}

func badBodyError(err error) *apierr.Error {
	return apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadRequest, "body is not a valid chat request: %v", err)
}

// resolveModel sets the model and the class that the request names.
func (c *chatRequest) resolveModel(model, className string) *apierr.Error {
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
	class, ok := c.service.Class(className)
	if !ok {
		return apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadRequest, "class %q does not exist in service %q", className, c.service.Name)
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

// measurePrompt estimates the length of the prompt and hashes its prefix.
func (c *chatRequest) measurePrompt(in chatFields) {
	size := 0
	prefix := make([]byte, 0, maxPrefixBytes)
	for _, m := range in.Messages {
		size += len(m.Content)
		room := maxPrefixBytes - len(prefix)
		prefix = append(prefix, m.Content[:min(room, len(m.Content))]...)
	}
	c.promptTokens = max(1, size/bytesPerToken)
	c.prefixHash = xxhash.Sum64(prefix)
}

// engineBody returns the body that is sent to the engine: that of the caller with
// the engine's name of the model, streaming turned on, and the priority of the
// class.
func (c *chatRequest) engineBody() ([]byte, error) {
	c.fields["model"] = quoteJSON(c.model)
	c.fields["stream"] = json.RawMessage("true")
	priority, err := json.Marshal(c.class.Priority)
	if err != nil {
		return nil, err
	}
	c.fields["priority"] = priority
	return json.Marshal(c.fields)
}

// quoteJSON returns s as a JSON string.
func quoteJSON(s string) json.RawMessage {
	data, err := json.Marshal(s)
	if err != nil {
		return json.RawMessage(`""`)
	}
	return data
}

// deadline returns the latest time at which a grant is still useful.
func (c *chatRequest) deadline(now time.Time) time.Time {
	if c.class.Deadline > 0 {
		return now.Add(c.class.Deadline)
	}
	return now.Add(defaultDeadline)
}
