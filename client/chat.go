package client

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fasthttp"
)

const maxErrorBytes = 64 << 10 // read of the body of a streamed error response

// Chat is a chat request to a model service.
type Chat struct {
	Service   string // service, service/model or service/model:adapter
	Class     string // class of the service; empty for its default
	Prompt    string
	MaxTokens int    // maximum length of the output, tokens; 0 for no limit
	User      string // caller within the workspace; may be empty
}

// chatBody is the JSON body of a chat request.
type chatBody struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Tier      string    `json:"service_tier,omitempty"`
	User      string    `json:"user,omitempty"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Token is one token event of a streamed response.
type Token struct {
	ID   string // event id: generation/index
	Text string
}

// newRequest returns the HTTP request for c. It counts as idempotent, since a
// generation whose response nobody receives does no harm.
func (c Chat) newRequest(stream bool) (Request, error) {
	body, err := json.Marshal(chatBody{
		Model:     c.Service,
		Messages:  []message{{Role: "user", Content: c.Prompt}},
		Stream:    stream,
		MaxTokens: c.MaxTokens,
		Tier:      c.Class,
		User:      c.User,
	})
	r := Request{Method: fasthttp.MethodPost, Path: "/v1/chat/completions", Idempotent: true, Body: body}
	return r, errors.Wrap(err, "encode chat request")
}

// Complete sends a chat request and waits for the complete response, whose body
// is a chat.completion. The timeout is that of each attempt.
func (c *Client) Complete(ctx context.Context, chat Chat, timeout time.Duration) (Response, error) {
	r, err := chat.newRequest(false)
	if err != nil {
		return Response{}, err
	}
	r.Timeout = timeout
	return c.Do(ctx, r)
}

// Stream sends a chat request and calls onToken with each token as it arrives,
// once and in order. If the connection breaks, it resumes the same stream through
// any node. It returns the address of the node that responded last. An error is an
// *apierr.Error, ctx's error, or the error that onToken returned.
func (c *Client) Stream(ctx context.Context, chat Chat, onToken func(t Token) error) (string, error) {
	r, err := chat.newRequest(true)
	if err != nil {
		return "", err
	}
	st := &streamState{onToken: onToken}
	err = c.withRetries(ctx, r, func(addr string) error {
		return c.streamOnce(ctx, addr, r, st)
	})
	return st.addr, err
}

// streamState is the progress of a stream over several connections.
type streamState struct {
	onToken       func(t Token) error
	addr          string // of the node that responded last
	reattachToken string // names the stream to any node; empty until a node has sent one
	lastEventID   string // empty before the first token
}

// streamOnce makes one attempt at addr: it sends the request, or resumes the
// stream if a node has already sent a reattach token.
func (c *Client) streamOnce(ctx context.Context, addr string, r Request, st *streamState) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	resp := &fasthttp.Response{StreamBody: true}
	defer func() { _ = resp.CloseBodyStream() }()
	if st.lastEventID != "" && st.reattachToken == "" {
		// The tokens received belong to a stream that came without a reattach token.
		// It cannot be resumed, and tokens of another generation must not follow.
		return apierr.Unknown(0, apierr.CodeLost, "the stream ended early and cannot be resumed").WithOutcome(apierr.OutcomeRan)
	}
	if st.reattachToken != "" {
		r = Request{Method: fasthttp.MethodGet, Path: "/v1/streams/" + st.reattachToken, LastEventID: st.lastEventID}
	}
	if err := c.send(ctx, addr, r, resp); err != nil {
		return err
	}
	st.addr = addr
	if token := string(resp.Header.Peek("X-Reattach")); token != "" {
		st.reattachToken = token
	}
	return readTokens(addr, resp.BodyStream(), func(t Token) error {
		st.lastEventID = t.ID
		return st.onToken(t)
	})
}

// StreamFrom sends a chat request to the given address, without retries, and calls
// onToken with each token. The address may be an engine's.
func (c *Client) StreamFrom(ctx context.Context, addr string, chat Chat, onToken func(t Token) error) error {
	r, err := chat.newRequest(true)
	if err != nil {
		return err
	}
	return c.streamOnce(ctx, addr, r, &streamState{onToken: onToken})
}

// chunk is the part of a chat.completion.chunk that the client reads.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readTokens reads the events of a stream from the node at addr until it is
// complete, and calls onToken with each token.
func readTokens(addr string, r io.Reader, onToken func(t Token) error) error {
	for e, err := range sse.Read(r, nil) {
		if err != nil {
			return connectionError(addr, err)
		}
		if e.Type == "error" {
			return decodeErrorEvent([]byte(e.Data))
		}
		if e.Data == "[DONE]" {
			return nil
		}
		var c chunk
		if err := json.Unmarshal([]byte(e.Data), &c); err != nil || len(c.Choices) == 0 {
			return apierr.Unknown(0, apierr.CodeInternal, "node %s sent an event that is not a valid chunk: %q", addr, e.Data)
		}
		if err := onToken(Token{ID: e.LastEventID, Text: c.Choices[0].Delta.Content}); err != nil {
			return err
		}
	}
	return connectionError(addr, io.ErrUnexpectedEOF)
}

// decodeErrorEvent returns the error that an error event carries.
func decodeErrorEvent(data []byte) error {
	e := &apierr.Error{}
	if err := json.Unmarshal(data, e); err != nil {
		return apierr.Unknown(0, apierr.CodeInternal, "error event is not valid: %v", err)
	}
	return e
}

// readErrorBody reads at most maxErrorBytes of a body that was not buffered. It
// returns nil if the body cannot be read.
func readErrorBody(r io.Reader) []byte {
	data, err := io.ReadAll(io.LimitReader(r, maxErrorBytes))
	if err != nil {
		return nil
	}
	return data
}
