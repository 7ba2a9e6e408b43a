package fakes

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// HeaderLeaving is set on the response of a leaving endpoint that rejects a
// request.
const HeaderLeaving = "X-Leaving"

// HeaderRequestID carries the id that the client gave to a request.
const HeaderRequestID = "X-Request-Id"

// chatRequest is the part of the body of a chat request that the engine uses.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"` // 0 means defaultMaxTokens
	Priority  int           `json:"priority"`   // requests of higher priority are admitted earlier and preempted later
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chunk is one event of a streamed response.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model,omitempty"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index  int     `json:"index"`
	Delta  delta   `json:"delta"`
	Finish *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

// GenerationState is the response to a query for a generation and to its
// cancellation.
type GenerationState struct {
	GenerationID string `json:"generation"`
	RequestID    string `json:"request"`
	State        string `json:"state"`   // waiting, running, done, cancelled or unknown
	Tokens       int    `json:"tokens"`  // output tokens so far
	Readers      int    `json:"readers"` // open streams
}

func (e *Engine) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/v1/chat/completions":
		e.serveChat(ctx)
	case strings.HasPrefix(path, "/v1/generations/"):
		e.serveGeneration(ctx, strings.TrimPrefix(path, "/v1/generations/"))
	case strings.HasPrefix(path, "/v1/requests/"):
		e.serveRequest(ctx, strings.TrimPrefix(path, "/v1/requests/"))
	case path == "/v1/load":
		e.serveLoad(ctx)
	case path == "/v1/cache/events":
		e.serveCacheEvents(ctx)
	case path == "/v1/commands" || path == "/v1/models":
		e.serveCommands(ctx)
	case strings.HasPrefix(path, "/control/"):
		e.serveControl(ctx, strings.TrimPrefix(path, "/control/"))
	default:
		replyError(ctx, fasthttp.StatusNotFound, "unknown path")
	}
}

func (e *Engine) serveChat(ctx *fasthttp.RequestCtx) {
	var req chatRequest
	if !decodeBody(ctx, &req) {
		return
	}
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	g, status, reason := e.startGeneration(req, id, time.Now())
	if g == nil {
		if status == fasthttp.StatusServiceUnavailable {
			ctx.Response.Header.Set(HeaderLeaving, "true")
		}
		replyError(ctx, status, reason)
		return
	}
	crashes, after := e.crashesOn(promptText(req.Messages))
	if crashes && after == 0 {
		crash(ctx, e.Kill)
		return
	}
	if e.takeFault(func(f *EngineFaults) *int { return &f.DropResponses }) {
		e.release(g)
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		return
	}
	r := e.newReader(g, 0, req.Model)
	if crashes {
		r.crashAt = after
	}
	e.stream(ctx, r)
}

// takeFault reports whether to inject a fault now. Its argument returns a pointer
// to the fault's remaining count, which takeFault decrements if it is not zero.
func (e *Engine) takeFault(field func(f *EngineFaults) *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := field(&e.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// crashesOn reports whether the engine crashes when it begins to answer a prompt, and after how many tokens.
func (e *Engine) crashesOn(prompt string) (crashes bool, after int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.CrashOn != "" && strings.Contains(prompt, e.faults.CrashOn), e.faults.CrashAfter
}

// crash kills a fake in place of the response to a request.
func crash(ctx *fasthttp.RequestCtx, kill func() error) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_ = kill() // resets this connection too
		_ = c.Close()
	})
}

// takeStall returns the delay of EngineFaults.Stall and resets it.
func (e *Engine) takeStall() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	stall := e.faults.Stall
	e.faults.Stall = 0
	return stall
}

// startGeneration adds a generation for a request to the waiting ones. If the
// request is rejected, it returns nil, the HTTP status and the reason.
func (e *Engine) startGeneration(req chatRequest, id string, now time.Time) (g *generation, status int, reason string) {
	if e.takeFault(func(f *EngineFaults) *int { return &f.RefuseRequests }) {
		return nil, fasthttp.StatusTooManyRequests, "refused"
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.leaving:
		return nil, fasthttp.StatusServiceUnavailable, "leaving"
	case len(req.Messages) == 0:
		return nil, fasthttp.StatusBadRequest, "messages is empty"
	case e.tombstones[id]:
		return nil, fasthttp.StatusConflict, "request was cancelled"
	case !e.hasModel(req.Model):
		return nil, fasthttp.StatusNotFound, fmt.Sprintf("model %q is not loaded", req.Model)
	}
	prompt := promptText(req.Messages)
	g = &generation{
		id:           e.newID(),
		requestID:    id,
		priority:     req.Priority,
		seq:          e.generationCount,
		promptTokens: countTokens(prompt),
		prefixHash:   xxhash.Sum64String(prompt[:min(len(prompt), maxPrefixBytes)]),
		targetTokens: outputLength(prompt, req.MaxTokens),
		echoText:     echoTextOf(prompt),
		state:        genWaiting,
		readers:      1,
	}
	e.generations[g.id] = g
	if id != "" {
		e.byRequestID[id] = g
	}
	e.waiting = append(e.waiting, g)
	return g, 0, ""
}

// hasModel reports whether the engine serves a model. An engine without any loaded
// model serves every model.
func (e *Engine) hasModel(model string) bool {
	_, ok := e.loaded[model]
	return ok || len(e.loaded) == 0
}

const (
	maxPrefixBytes   = 256   // length of the start of a prompt that identifies its cached prefix
	bytesPerToken    = 4     // of a prompt
	defaultMaxTokens = 16384 // maximum number of output tokens of a request without max_tokens
)

// promptText returns the contents of all messages, concatenated.
func promptText(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

func countTokens(prompt string) int {
	return max(1, len(prompt)/bytesPerToken)
}

// These patterns let a test set, in the prompt, the number of output tokens and a
// word that becomes the text of each token. By that word the test recognises the
// response.
var (
	lengthPattern = regexp.MustCompile(`\[\[tokens:(\d+)\]\]`)
	echoPattern   = regexp.MustCompile(`\[\[echo:([a-z0-9-]+)\]\]`)
)

// echoTextOf returns the text that the prompt sets for each token, or an empty
// string.
func echoTextOf(prompt string) string {
	if m := echoPattern.FindStringSubmatch(prompt); m != nil {
		return m[1] + " "
	}
	return ""
}

// outputLength returns the number of output tokens, at most maxTokens. The prompt
// can set it; otherwise it follows from a hash of the prompt, so that a client
// cannot know it in advance.
func outputLength(prompt string, maxTokens int) int {
	if maxTokens == 0 {
		maxTokens = defaultMaxTokens
	}
	if m := lengthPattern.FindStringSubmatch(prompt); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil {
			return max(1, min(n, maxTokens))
		}
	}
	return min(12+int(xxhash.Sum64String(prompt)%40), maxTokens)
}

// release records that a stream of g was closed.
func (e *Engine) release(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.readers--
	g.idleSince = time.Now()
}

// stream responds with one server-sent event for each token that r returns.
func (e *Engine) stream(ctx *fasthttp.RequestCtx, r *tokenReader) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("X-Generation", r.gen.id)
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(r, -1)
}

// newReader returns the reader of a response with the tokens of g, beginning with the one at index from.
func (e *Engine) newReader(g *generation, from int, model string) *tokenReader {
	cutAt := -1
	if e.takeFault(func(f *EngineFaults) *int { return &f.CutStreams }) {
		e.mu.Lock()
		cutAt = e.faults.CutAfterTokens
		e.mu.Unlock()
	}
	return &tokenReader{engine: e, gen: g, sent: from, cutAt: cutAt, crashAt: -1, model: model}
}

const crashDelay = 20 * time.Millisecond // until the tokens that precede a crash have been sent

// errCut ends a stream without the final event: a fault cuts the stream, its
// generation was cancelled, or the engine was killed.
var errCut = errors.New("stream was cut")

// tokenReader is the body of a streamed response.
type tokenReader struct {
	engine    *Engine
	gen       *generation
	sent      int // index of the next token
	cutAt     int // index of the token before which the stream breaks; negative for never
	crashAt   int // index of the token before which the engine crashes; negative for never
	model     string
	buf       bytes.Buffer // events to be read
	err       error        // returned once buf is empty; nil while more events follow
	closeOnce sync.Once
}

// Read implements io.Reader. It blocks until a token is available or the stream ends.
func (r *tokenReader) Read(p []byte) (int, error) {
	if r.buf.Len() == 0 && r.err == nil {
		r.fill()
	}
	if r.buf.Len() == 0 {
		return 0, r.err
	}
	return r.buf.Read(p)
}

// Close implements io.Closer. fasthttp calls it when the stream ends.
func (r *tokenReader) Close() error {
	r.closeOnce.Do(func() { r.engine.release(r.gen) })
	return nil
}

// fill waits for tokens and writes their events to r.buf, and sets r.err if the
// stream ends after them.
func (r *tokenReader) fill() {
	time.Sleep(r.engine.takeStall())
	available, state := r.engine.awaitTokens(r.gen, r.sent)
	for ; r.sent < available; r.sent++ {
		if r.sent == r.crashAt && r.buf.Len() == 0 {
			time.Sleep(crashDelay)
			_ = r.engine.Kill()
		}
		if r.sent == r.crashAt && r.buf.Len() > 0 {
			return
		}
		if r.sent == r.cutAt || r.sent == r.crashAt {
			r.err = errCut
			return
		}
		writeEvent(&r.buf, r.gen, r.sent, r.model)
	}
	switch {
	case state == genDone:
		fmt.Fprintf(&r.buf, "id: %s/%d\ndata: [DONE]\n\n", r.gen.id, r.sent)
		r.err = io.EOF
	case state != genWaiting && state != genRunning:
		r.err = errCut
	}
}

// awaitTokens waits until g has more output tokens than sent, has ended, or the
// engine was killed. It returns the number of output tokens and the state, which
// is empty if the engine was killed.
func (e *Engine) awaitTokens(g *generation, sent int) (available int, state genState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for g.outputTokens == sent && g.state != genDone && g.state != genCancelled && !e.killed {
		e.cond.Wait()
	}
	if e.killed {
		return sent, ""
	}
	return g.outputTokens, g.state
}

// writeEvent writes the event of one token.
func writeEvent(w io.Writer, g *generation, index int, model string) {
	id, text := g.id, g.echoText
	if text == "" {
		text = tokenText(id, index)
	}
	c := chunk{ID: id, Object: "chat.completion.chunk", Model: model, Choices: []choice{{Delta: delta{Content: text}}}}
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(w, "id: %s/%d\ndata: %s\n\n", id, index, data)
}

var tokenWords = strings.Fields("order bundle van return paper shelf count tray kataifi butter flour cream report stock dawn counter")

// tokenText returns the text of a token. It depends only on the id of the
// generation and the index.
func tokenText(id string, index int) string {
	h := xxhash.Sum64String(id) + uint64(index)*2654435761
	return tokenWords[h%uint64(len(tokenWords))] + " "
}

// serveGeneration resumes the stream of a generation for a GET and cancels the
// generation for a DELETE.
func (e *Engine) serveGeneration(ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	g, ok := e.generations[id]
	if ok && ctx.IsGet() {
		g.readers++
	}
	e.mu.Unlock()
	if !ok {
		replyJSON(ctx, fasthttp.StatusNotFound, GenerationState{GenerationID: id, State: "unknown"})
		return
	}
	switch {
	case ctx.IsDelete():
		replyJSON(ctx, fasthttp.StatusOK, e.cancel(g))
	case ctx.IsGet():
		e.stream(ctx, e.newReader(g, resumeIndex(ctx), ""))
	default:
		replyError(ctx, fasthttp.StatusMethodNotAllowed, "use GET or DELETE")
	}
}

// resumeIndex returns the index of the first token that a reader has not received,
// according to the header Last-Event-ID, or 0 if that is missing or invalid.
func resumeIndex(ctx *fasthttp.RequestCtx) int {
	last := string(ctx.Request.Header.Peek("Last-Event-ID"))
	_, index, ok := strings.Cut(last, "/")
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(index)
	if err != nil {
		return 0
	}
	return n + 1
}

// cancel cancels g if it has not ended, and returns its state.
func (e *Engine) cancel(g *generation) GenerationState {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.state == genWaiting || g.state == genRunning {
		e.end(g, genCancelled, time.Now())
		e.cond.Broadcast()
	}
	return g.snapshot()
}

func (g *generation) snapshot() GenerationState {
	return GenerationState{GenerationID: g.id, RequestID: g.requestID, State: string(g.state), Tokens: g.outputTokens, Readers: g.readers}
}

// serveRequest cancels the generation of a request for a DELETE and returns its
// state for any other method. A request that is cancelled before it arrives is
// rejected when it does.
func (e *Engine) serveRequest(ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	g, ok := e.byRequestID[id]
	if !ok && ctx.IsDelete() {
		e.tombstones[id] = true
	}
	e.mu.Unlock()
	switch {
	case !ok:
		replyJSON(ctx, fasthttp.StatusOK, GenerationState{RequestID: id, State: "unknown"})
	case ctx.IsDelete():
		replyJSON(ctx, fasthttp.StatusOK, e.cancel(g))
	default:
		e.mu.Lock()
		defer e.mu.Unlock()
		replyJSON(ctx, fasthttp.StatusOK, g.snapshot())
	}
}

// serveLoad returns the load as it was EngineConfig.Lag ago.
func (e *Engine) serveLoad(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.reports) == 0 {
		replyJSON(ctx, fasthttp.StatusOK, loadReport{Memory: e.cfg.Memory})
		return
	}
	replyJSON(ctx, fasthttp.StatusOK, e.reports[0])
}

// serveCacheEvents lists the cache events that are at least EngineConfig.Lag old
// and have a higher sequence number than the query argument "after".
func (e *Engine) serveCacheEvents(ctx *fasthttp.RequestCtx) {
	after := ctx.QueryArgs().GetUintOrZero("after")
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []cacheEvent{}
	for _, c := range e.cacheEvents {
		if c.Seq > after && time.Since(c.at) >= e.cfg.Lag {
			list = append(list, c)
		}
	}
	replyJSON(ctx, fasthttp.StatusOK, list)
}

// serveControl sets faults, marks the engine as leaving, returns its counts, or kills
// it.
func (e *Engine) serveControl(ctx *fasthttp.RequestCtx, action string) {
	switch action {
	case "faults":
		var f EngineFaults
		if decodeBody(ctx, &f) {
			e.SetFaults(f)
			replyJSON(ctx, fasthttp.StatusOK, f)
		}
	case "reclaim":
		e.AnnounceLeaving()
		replyJSON(ctx, fasthttp.StatusOK, struct{}{})
	case "counts":
		replyJSON(ctx, fasthttp.StatusOK, e.Counts())
	case "die":
		replyJSON(ctx, fasthttp.StatusOK, struct{}{})
		// The hijack handler runs after the response has been written.
		ctx.Hijack(func(net.Conn) { _ = e.Kill() })
	default:
		replyError(ctx, fasthttp.StatusNotFound, "unknown control path")
	}
}
