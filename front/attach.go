package front

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/policy"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/plantaindeck/plantaindeck/wait"
	"github.com/valyala/fasthttp"
)

const (
	headerAttach = "X-Reattach"
	headerLast   = "Last-Event-ID"

	attachWindow = 8 * time.Second // a caller that left may come back within it
	attachPoll   = 2 * time.Second // between two looks at a generation that another node relays
	tokenLife    = time.Hour
)

// ticket is what a reattach token says. The caller keeps it, so that any node
// can go on with a stream without state of its own.
type ticket struct {
	Team       string `json:"t"`
	Workspace  string `json:"w"`
	Service    string `json:"s"`
	Endpoint   string `json:"e"`
	Generation string `json:"g"`
	Request    string `json:"r"` // id of the attempt
	Expires    int64  `json:"x"` // Unix seconds
}

// Returns the token of a ticket: its JSON form and a signature, in base64.
func (f *Front) sign(t ticket) (string, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return "", errors.Wrap(err, "encode reattach token")
	}
	enc := base64.RawURLEncoding
	return enc.EncodeToString(data) + "." + enc.EncodeToString(f.mac(data)), nil
}

func (f *Front) mac(data []byte) []byte {
	h := hmac.New(sha256.New, f.cfg.Secret)
	h.Write(data)
	return h.Sum(nil)
}

// Returns the ticket of a token that this deployment signed.
func (f *Front) verify(now time.Time, token string) (ticket, bool) {
	body, sum, ok := strings.Cut(token, ".")
	data, err := base64.RawURLEncoding.DecodeString(body)
	if !ok || err != nil {
		return ticket{}, false
	}
	got, err := base64.RawURLEncoding.DecodeString(sum)
	if err != nil || !hmac.Equal(got, f.mac(data)) {
		return ticket{}, false
	}
	var t ticket
	if err := json.Unmarshal(data, &t); err != nil {
		return ticket{}, false
	}
	return t, now.Unix() < t.Expires
}

func (f *Front) ticketFor(c *chat, a attempt, now time.Time) ticket {
	return ticket{
		Team:       c.who.Team,
		Workspace:  c.who.Workspace,
		Service:    c.service.Name,
		Endpoint:   a.place.Endpoint,
		Generation: a.stream.Generation(),
		Request:    a.request,
		Expires:    now.Add(tokenLife).Unix(),
	}
}

// Serves GET /v1/streams/TOKEN: goes on with a stream after the event that
// Last-Event-ID names.
func (f *Front) serveAttach(ctx *fasthttp.RequestCtx, token string) *apierr.Error {
	if err := allow(ctx, fasthttp.MethodGet); err != nil {
		return err
	}
	who, fail := f.identify(ctx)
	if fail != nil {
		return fail
	}
	t, ok := f.verify(time.Now(), token)
	if !ok || t.Team != who.Team || t.Workspace != who.Workspace {
		return apierr.NotRun(fasthttp.StatusForbidden, apierr.CodeForbidden, "the reattach token is not valid for workspace %q", who.Workspace)
	}
	last, fail := lastIndex(ctx, t)
	if fail != nil {
		return fail
	}
	return f.attach(ctx, t, last)
}

// Returns the index of the last token that the caller has, or -1.
func lastIndex(ctx *fasthttp.RequestCtx, t ticket) (int, *apierr.Error) {
	id := string(ctx.Request.Header.Peek(headerLast))
	if id == "" {
		return -1, nil
	}
	gen, index, err := relay.SplitID(id)
	if err != nil || gen != t.Generation {
		return 0, apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadRequest, "event %q is not one of this stream", id)
	}
	return index, nil
}

func (f *Front) attach(ctx *fasthttp.RequestCtx, t ticket, last int) *apierr.Error {
	svc, addr, ok := f.endpoint(t.Service, t.Endpoint)
	if !ok {
		return apierr.Unknown(fasthttp.StatusBadGateway, apierr.CodeLost, "endpoint %q is no longer in the document", t.Endpoint).WithOutcome(apierr.OutcomeRan)
	}
	place := relay.Place{Addr: addr, Request: t.Request, Generation: t.Generation}
	stream, err := f.cfg.Relay.Resume(place, last)
	if err != nil {
		return apierr.Unknown(fasthttp.StatusBadGateway, apierr.CodeLost, "generation %s cannot be resumed: %v", t.Generation, err).WithOutcome(apierr.OutcomeRan)
	}
	f.cfg.Daemon.Record(trace.Entry{Kind: "reattach", Request: t.Request, Workspace: t.Workspace, Endpoint: t.Endpoint, Detail: "after token " + itoa(last)})
	a := attempt{request: t.Request, place: kernel.Place{Endpoint: t.Endpoint, Addr: addr}, stream: stream}
	c := &chat{id: t.Request, who: policy.Identity{Team: t.Team, Workspace: t.Workspace}, service: svc}
	f.stream(ctx, &body{front: f, chat: c, attempt: a, meter: f.meter(t.Request), attached: true})
	return nil
}

// Returns a service and the address of one of its endpoints, by the document in
// force.
func (f *Front) endpoint(service, name string) (svc *spec.Service, addr string, ok bool) {
	svc, _, ok = f.policy().Service(service)
	if !ok {
		return nil, "", false
	}
	for _, e := range svc.Endpoints {
		if e.Name == name {
			return svc, e.Addr, true
		}
	}
	return nil, "", false
}

// Waits for a caller that left to come back, through this node or another one.
// The place is kept until the generation has ended; a generation that nobody
// reads any more is cancelled.
func (f *Front) await(a attempt, tokens int) {
	place := relay.Place{Addr: a.place.Addr, Request: a.request, Generation: a.stream.Generation()}
	f.background(func(context.Context) error {
		defer func() { f.cfg.Daemon.Ended(kernel.Ended{Request: a.request, Tokens: tokens}) }()
		for period := attachWindow; ; period = attachPoll {
			if !wait.For(f.ctx, period) {
				// This node stops, and the caller may come back through another.
				return nil
			}
			st, err := f.cfg.Relay.State(place)
			if err != nil {
				return errors.Wrapf(err, "look at %s", a.request)
			}
			if st.Over() {
				return nil
			}
			tokens = st.Tokens
			f.cfg.Daemon.Moved(a.request, tokens)
			if st.Readers == 0 {
				_, err := f.cfg.Relay.Cancel(place)
				return errors.Wrapf(err, "cancel %s", a.request)
			}
		}
	})
}
