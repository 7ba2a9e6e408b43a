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

const maxError = 64 << 10 // bytes read of an error's body

// Chat is a chat request.
type Chat struct {
	Service string // service, service/model or service/model:adapter
	Class   string
	Prompt  string
	Limit   int // longest output, tokens; 0 for no limit
	User    string
}

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

// Token is one part of a streamed answer.
type Token struct {
	ID   string // generation and index
	Text string
}

// Returns the HTTP request of a chat request. It may be sent again, since an
// answer that nobody received does no harm.
func (chat Chat) request(stream bool) (Request, error) {
	body, err := json.Marshal(chatBody{
		Model:     chat.Service,
		Messages:  []message{{Role: "user", Content: chat.Prompt}},
		Stream:    stream,
		MaxTokens: chat.Limit,
		Tier:      chat.Class,
		User:      chat.User,
	})
	r := Request{Method: fasthttp.MethodPost, Path: "/v1/chat/completions", Idempotent: true, Body: body}
	return r, errors.Wrap(err, "encode chat request")
}

// Whole sends a chat request and waits for the whole answer, a
// chat.completion.
func (c *Client) Whole(ctx context.Context, chat Chat, timeout time.Duration) (Response, error) {
	r, err := chat.request(false)
	if err != nil {
		return Response{}, err
	}
	r.Timeout = timeout
	return c.Do(ctx, r)
}

// Stream sends a chat request and gives each token to take as it comes, each
// once and in order. If the connection breaks it goes on with the same answer
// through any node. It returns the address of the node that answered last. An error is an *apierr.Error,
// or the one that take returned.
func (c *Client) Stream(ctx context.Context, chat Chat, take func(t Token) error) (string, error) {
	r, err := chat.request(true)
	if err != nil {
		return "", err
	}
	st := &stream{take: take}
	err = c.each(ctx, r, func(addr string) error {
		return c.try(ctx, addr, r, st)
	})
	return st.node, err
}

// stream is how far a streamed answer has come, over several connections.
type stream struct {
	take  func(t Token) error
	node  string // that answered last
	token string // for reattaching; empty before the first answer
	last  string // id of the last event
}

// Sends a request, or goes on with its answer if that has begun.
func (c *Client) try(ctx context.Context, addr string, r Request, st *stream) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	resp := &fasthttp.Response{StreamBody: true}
	defer func() { _ = resp.CloseBodyStream() }()
	if st.last != "" && st.token == "" {
		// The tokens that came belong to an answer that cannot be gone on with.
		return apierr.Unknown(0, apierr.CodeLost, "the answer broke off").WithOutcome(apierr.OutcomeRan)
	}
	if st.token != "" {
		r = Request{Method: fasthttp.MethodGet, Path: "/v1/streams/" + st.token, Last: st.last}
	}
	if err := c.send(ctx, addr, r, resp); err != nil {
		return err
	}
	st.node = addr
	if token := string(resp.Header.Peek("X-Reattach")); token != "" {
		st.token = token
	}
	return readTokens(addr, resp.BodyStream(), func(t Token) error {
		st.last = t.ID
		return st.take(t)
	})
}

// Direct sends a chat request to one given address, once, and gives each token
// to take. The address may be an engine's.
func (c *Client) Direct(ctx context.Context, addr string, chat Chat, take func(t Token) error) error {
	r, err := chat.request(true)
	if err != nil {
		return err
	}
	return c.try(ctx, addr, r, &stream{take: take})
}

// chunk is the part of a chat.completion.chunk that the client reads.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// Reads the events of an answer until it is complete.
func readTokens(addr string, r io.Reader, take func(t Token) error) error {
	for e, err := range sse.Read(r, nil) {
		if err != nil {
			return connectionError(addr, err)
		}
		if e.Type == "error" {
			return eventError([]byte(e.Data))
		}
		if e.Data == "[DONE]" {
			return nil
		}
		var c chunk
		if err := json.Unmarshal([]byte(e.Data), &c); err != nil || len(c.Choices) == 0 {
			return apierr.Unknown(0, apierr.CodeInternal, "node %s sent an event that is no chunk: %q", addr, e.Data)
		}
		if err := take(Token{ID: e.LastEventID, Text: c.Choices[0].Delta.Content}); err != nil {
			return err
		}
	}
	return connectionError(addr, io.ErrUnexpectedEOF)
}

func eventError(data []byte) error {
	e := &apierr.Error{}
	if err := json.Unmarshal(data, e); err != nil {
		return apierr.Unknown(0, apierr.CodeInternal, "error event is not valid: %v", err)
	}
	return e
}

// Reads a bounded part of a body that was not buffered.
func readAll(r io.Reader) []byte {
	data, err := io.ReadAll(io.LimitReader(r, maxError))
	if err != nil {
		return nil
	}
	return data
}
