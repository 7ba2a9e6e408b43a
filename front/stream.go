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
	progressInterval = 250 * time.Millisecond // minimum time between two progress reports of a stream
	eventStreamType  = "text/event-stream"
)

func itoa(n int) string {
	return strconv.Itoa(n)
}

func isEOF(err error) bool {
	return errors.Is(err, io.EOF)
}

// streamMeter records the metrics of one generation's tokens and reports the
// progress to the kernel.
type streamMeter struct {
	front        *Front
	attemptID    string
	tokens       int // produced so far, those before a reattachment included
	lastTokenAt  time.Time
	lastReportAt time.Time
}

func (f *Front) newMeter(attemptID string) *streamMeter {
	return &streamMeter{front: f, attemptID: attemptID}
}

// addToken records that the token at index arrived at the time now.
func (m *streamMeter) addToken(now time.Time, index int) {
	m.tokens = index + 1
	m.front.tokensTotal.Inc()
	if !m.lastTokenAt.IsZero() {
		m.front.tokenGap.Update(now.Sub(m.lastTokenAt).Seconds())
	}
	m.lastTokenAt = now
	if now.Sub(m.lastReportAt) >= progressInterval {
		m.lastReportAt = now
		m.front.cfg.Daemon.ReportProgress(m.attemptID, m.tokens)
	}
}

// respondStream starts a generation and responds with the stream of its tokens.
func (f *Front) respondStream(ctx *fasthttp.RequestCtx, c *chatRequest) *apierr.Error {
	started := time.Now()
	a, apiErr := f.startGeneration(c, nil)
	if apiErr != nil {
		return apiErr
	}
	f.firstTokenTime.Update(time.Since(started).Seconds())
	b := &streamBody{front: f, chat: c, attempt: a, meter: f.newMeter(a.id)}
	b.addToken(a.firstToken)
	if a.empty {
		b.endComplete(kernel.RequestEnded{Request: a.id})
	}
	token, err := f.sign(f.newReattachPayload(c, a, time.Now()))
	if err != nil {
		return asAPIError(err)
	}
	ctx.Response.Header.Set(headerReattach, token)
	f.setStreamBody(ctx, b)
	return nil
}

// setStreamBody makes the event stream b the body of the response.
func (f *Front) setStreamBody(ctx *fasthttp.RequestCtx, b *streamBody) {
	ctx.SetContentType(eventStreamType)
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(b, -1)
}

// streamBody is the body of a streamed response. fasthttp reads it at the speed at
// which the caller receives it, so a slow caller exerts backpressure on the
// reads from the engine.
type streamBody struct {
	front      *Front
	chat       *chatRequest
	attempt    attempt
	meter      *streamMeter
	buf        bytes.Buffer
	done       bool // the last event is in buf or was read
	reattached bool // the grant is held by the node that started the generation
	closeOnce  sync.Once
}

// Read implements io.Reader. It waits for the next token if none is buffered.
func (b *streamBody) Read(p []byte) (int, error) {
	if b.buf.Len() == 0 {
		if b.done {
			return 0, io.EOF
		}
		b.readNext()
	}
	return b.buf.Read(p)
}

// readNext waits for the next token, the end or the failure of the generation, and
// writes its event to the buffer.
func (b *streamBody) readNext() {
	t, err := b.front.nextToken(b.chat, &b.attempt)
	switch {
	case err == nil:
		b.addToken(t)
	case isEOF(err):
		b.endComplete(kernel.RequestEnded{Request: b.attempt.id, Tokens: b.meter.tokens})
	default:
		b.endWithError(err)
	}
}

// addToken writes the event of a token to the buffer. It ignores the zero token,
// which is the firstToken of an attempt whose generation completed without tokens.
func (b *streamBody) addToken(t relay.Token) {
	if t.Generation == "" {
		return
	}
	b.meter.addToken(time.Now(), t.Index)
	writeTokenEvent(&b.buf, t.Generation, t.Index, t.Data)
}

func writeTokenEvent(w io.Writer, generation string, index int, data string) {
	fmt.Fprintf(w, "id: %s/%d\ndata: %s\n\n", generation, index, data)
}

// endComplete ends the stream of a complete generation. It releases the grant
// unless the caller has reattached: the grant is then released by the node that
// started the generation.
func (b *streamBody) endComplete(e kernel.RequestEnded) {
	b.done = true
	fmt.Fprintf(&b.buf, "data: [DONE]\n\n")
	if !b.reattached {
		b.front.cfg.Daemon.ReportEnded(e)
	}
	b.front.countCompleted(b.chat.service.Name)
	b.front.recordChat(b.chat, "complete", "")
}

// endWithError ends the stream of a lost generation with an error event. There is
// no retry: tokens of another generation must not follow those that the caller has
// received.
func (b *streamBody) endWithError(err error) {
	b.done = true
	e := b.front.releaseFailed(b.attempt, err)
	e = e.WithOutcome(apierr.OutcomeRan).WithRequest(b.chat.id)
	b.front.countError(e)
	b.front.recordChat(b.chat, "broken", e.Message)
	data, jsonErr := e.MarshalJSON()
	if jsonErr != nil {
		data = []byte("{}")
	}
	fmt.Fprintf(&b.buf, "event: error\ndata: %s\n\n", data)
}

// Close implements io.Closer. fasthttp calls it when the response has ended or the
// caller has disconnected.
func (b *streamBody) Close() error {
	b.closeOnce.Do(func() {
		b.attempt.stream.Close()
		if b.done {
			return
		}
		b.front.recordChat(b.chat, "caller-left", "")
		if !b.reattached {
			b.front.awaitReattach(b.attempt, b.meter.tokens)
		}
	})
	return nil
}

// wholeChunk is a chat.completion.chunk that holds the whole text of a generation,
// for an event stream with a single token event.
type wholeChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index int     `json:"index"`
	Delta message `json:"delta"`
}

// writeWholeStream writes the whole text of a generation as an event stream, for a
// caller that asked for one.
func writeWholeStream(ctx *fasthttp.RequestCtx, c *chatRequest, text string, tokens int) *apierr.Error {
	chunk := wholeChunk{ID: c.id, Object: "chat.completion.chunk", Choices: []chunkChoice{{Delta: message{Role: "assistant", Content: text}}}}
	data, err := json.Marshal(chunk)
	if err != nil {
		return apierr.NotRun(fasthttp.StatusInternalServerError, apierr.CodeInternal, "encode response: %v", err)
	}
	ctx.SetContentType(eventStreamType)
	ctx.SetBodyString(fmt.Sprintf("id: %s/%d\ndata: %s\n\ndata: [DONE]\n\n", c.id, tokens-1, data))
	return nil
}
