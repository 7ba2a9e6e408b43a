package front

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/valyala/fasthttp"
)

const (
	progressPeriod = 250 * time.Millisecond // between two reports of a stream's progress
	eventStream    = "text/event-stream"
)

func itoa(n int) string {
	return strconv.Itoa(n)
}

func isEOF(err error) bool {
	return errors.Is(err, io.EOF)
}

// meter measures one stream and reports its progress.
type meter struct {
	front    *Front
	request  string
	tokens   int
	last     time.Time
	reported time.Time
}

func (f *Front) meter(request string) *meter {
	return &meter{front: f, request: request}
}

// Notes that a token came at the time now.
func (m *meter) token(now time.Time, index int) {
	m.tokens = index + 1
	m.front.tokens.Inc()
	if !m.last.IsZero() {
		m.front.gaps.Update(now.Sub(m.last).Seconds())
	}
	m.last = now
	if now.Sub(m.reported) >= progressPeriod {
		m.reported = now
		m.front.cfg.Daemon.Moved(m.request, m.tokens)
	}
}

// Streams a generation to the caller.
func (f *Front) answerStream(ctx *fasthttp.RequestCtx, c *chat) *apierr.Error {
	started := time.Now()
	a, fail := f.begin(c, nil)
	if fail != nil {
		return fail
	}
	f.first.Update(time.Since(started).Seconds())
	b := &body{front: f, chat: c, attempt: a, meter: f.meter(a.request)}
	b.take(a.first)
	if a.empty {
		b.finish(kernel.Ended{Request: a.request})
	}
	token, err := f.sign(f.ticketFor(c, a, time.Now()))
	if err != nil {
		return asError(err)
	}
	ctx.Response.Header.Set(headerAttach, token)
	f.stream(ctx, b)
	return nil
}

// Makes b the response.
func (f *Front) stream(ctx *fasthttp.RequestCtx, b *body) {
	ctx.SetContentType(eventStream)
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(b, -1)
}

// body is the streamed answer. The library reads it as fast as the caller
// takes it, so a slow caller holds back the reading from the engine.
type body struct {
	front    *Front
	chat     *chat
	attempt  attempt
	meter    *meter
	buf      bytes.Buffer
	over     bool
	attached bool // the place belongs to the node that began the stream
	closed   sync.Once
}

// Read implements io.Reader. It waits for the next token.
func (b *body) Read(p []byte) (int, error) {
	if b.buf.Len() == 0 {
		if b.over {
			return 0, io.EOF
		}
		b.next()
	}
	return b.buf.Read(p)
}

func (b *body) next() {
	t, err := b.attempt.stream.Next(b.front.ctx)
	switch {
	case err == nil:
		b.take(t)
	case isEOF(err):
		b.finish(kernel.Ended{Request: b.attempt.request, Tokens: b.meter.tokens})
	default:
		b.fail(err)
	}
}

func (b *body) take(t relay.Token) {
	if t.Generation == "" {
		return
	}
	b.meter.token(time.Now(), t.Index)
	writeEvent(&b.buf, t.Generation, t.Index, t.Data)
}

func writeEvent(w io.Writer, generation string, index int, data string) {
	fmt.Fprintf(w, "id: %s/%d\ndata: %s\n\n", generation, index, data)
}

// Ends a complete answer.
func (b *body) finish(e kernel.Ended) {
	b.over = true
	fmt.Fprintf(&b.buf, "data: [DONE]\n\n")
	if !b.attached {
		b.front.cfg.Daemon.Ended(e)
	}
	b.front.completed(b.chat.service.Name)
	b.front.record(b.chat, "complete", "")
}

// Ends an answer whose generation was lost, by an error event. No tokens of
// another generation may follow those that the caller has.
func (b *body) fail(err error) {
	b.over = true
	e := b.front.attemptFailed(b.attempt, err)
	e = e.WithOutcome(apierr.OutcomeRan).WithRequest(b.chat.id)
	b.front.failed(e)
	b.front.record(b.chat, "broken", e.Message)
	data, jsonErr := e.MarshalJSON()
	if jsonErr != nil {
		data = []byte("{}")
	}
	fmt.Fprintf(&b.buf, "event: error\ndata: %s\n\n", data)
}

// Close implements io.Closer. The library calls it when the answer has ended
// or the caller has gone.
func (b *body) Close() error {
	b.closed.Do(func() {
		b.attempt.stream.Close()
		if b.over {
			return
		}
		b.front.record(b.chat, "caller-left", "")
		if !b.attached {
			b.front.await(b.attempt, b.meter.tokens)
		}
	})
	return nil
}

// wholeChunk is the only token event of a whole answer that is streamed.
type wholeChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index int     `json:"index"`
	Delta message `json:"delta"`
}

// Writes a whole answer as an event stream, for a caller that asked for one.
func writeWholeStream(ctx *fasthttp.RequestCtx, c *chat, text string, tokens int) *apierr.Error {
	chunk := wholeChunk{ID: c.id, Object: "chat.completion.chunk", Choices: []chunkChoice{{Delta: message{Role: "assistant", Content: text}}}}
	data, err := json.Marshal(chunk)
	if err != nil {
		return apierr.NotRun(fasthttp.StatusInternalServerError, apierr.CodeInternal, "encode answer: %v", err)
	}
	ctx.SetContentType(eventStream)
	ctx.SetBodyString(fmt.Sprintf("id: %s/%d\ndata: %s\n\ndata: [DONE]\n\n", c.id, tokens-1, data))
	return nil
}
