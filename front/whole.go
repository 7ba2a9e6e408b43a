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

// completion is a chat.completion, the response to a chat request without streaming.
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

// text returns the text of the chunk's first choice.
func (d chunkData) text() string {
	if len(d.Choices) == 0 {
		return ""
	}
	return d.Choices[0].Delta.Content
}

// respondWhole runs a generation and responds when it is complete. Since the caller
// has received nothing before that, a generation that is lost is replaced by a new
// one on another endpoint.
func (f *Front) respondWhole(ctx *fasthttp.RequestCtx, c *chatRequest) *apierr.Error {
	started := time.Now()
	var avoid []string
	for n := 1; ; n++ {
		a, apiErr := f.startGeneration(c, avoid)
		if apiErr != nil {
			return apiErr
		}
		if n == 1 {
			f.firstTokenTime.Update(time.Since(started).Seconds())
		}
		text, tokens, err := f.collectText(c, &a)
		if err == nil {
			f.cfg.Daemon.ReportEnded(kernel.RequestEnded{Request: a.id, Tokens: tokens})
			f.countCompleted(c.service.Name)
			f.recordChat(c, "complete", "")
			return f.writeWhole(ctx, c, text, tokens)
		}
		apiErr = f.releaseFailed(a, err)
		if !f.awaitRetry(n) {
			return apiErr.WithRequest(c.id)
		}
		f.recordChat(c, "restart", apiErr.Message)
		avoid = append(avoid, a.grant.Endpoint)
	}
}

// collectText reads the tokens of a generation to its end and returns their text
// and number.
func (f *Front) collectText(c *chatRequest, a *attempt) (string, int, error) {
	defer a.stream.Close()
	if a.empty {
		return "", 0, nil
	}
	var text strings.Builder
	meter := f.newMeter(a.id)
	for t := a.firstToken; ; {
		var d chunkData
		if err := json.Unmarshal([]byte(t.Data), &d); err != nil {
			return "", 0, errors.Wrapf(err, "decode token %d of %s", t.Index, t.Generation)
		}
		text.WriteString(d.text())
		meter.addToken(time.Now(), t.Index)
		var err error
		t, err = f.nextToken(c, a)
		if isEOF(err) {
			return text.String(), meter.tokens, nil
		}
		if err != nil {
			return "", 0, err
		}
	}
}

// writeWhole writes the whole text of a generation, as a chat.completion or, if the
// caller asked for a stream, as an event stream.
func (f *Front) writeWhole(ctx *fasthttp.RequestCtx, c *chatRequest, text string, tokens int) *apierr.Error {
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
