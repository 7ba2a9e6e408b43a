package front

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/valyala/fasthttp"
)

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
