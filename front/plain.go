package front

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/claim"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/policy"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/valyala/fasthttp"
)

const (
	claimTimeout  = 3 * time.Second
	settleTimeout = time.Minute
	callTimeout   = 30 * time.Second
	maxKey        = 256 // bytes of an idempotency key
	retryAfter    = 2 * time.Second
)

// call is a call to a plain service.
type call struct {
	id      string
	service *spec.Service
	class   *spec.Class
	who     policy.Identity
	key     string // idempotency key
	repeat  bool   // the call is idempotent
	relay   relay.Call
}

func (f *Front) serveCall(ctx *fasthttp.RequestCtx, rest string) *apierr.Error {
	who, err := f.identify(ctx)
	if err != nil {
		return err
	}
	c, err := f.readCall(ctx, who, rest)
	if err != nil {
		return err
	}
	ctx.Response.Header.Set(headerRequest, c.id)
	f.fresh()
	f.recordCall(c, "arrive", c.relay.Method+" "+c.relay.Path)
	answer, err := f.runCall(c)
	if err != nil {
		f.recordCall(c, "failed", err.Error())
		return err.WithRequest(c.id)
	}
	f.completed(c.service.Name)
	f.recordCall(c, "complete", "")
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType(answer.ContentType)
	ctx.SetBody(answer.Body)
	return nil
}

func (f *Front) recordCall(c *call, kind, detail string) {
	f.cfg.Daemon.Record(trace.Entry{Kind: kind, Request: c.id, Workspace: c.who.Workspace, Detail: detail})
}

func (f *Front) readCall(ctx *fasthttp.RequestCtx, who policy.Identity, rest string) (*call, *apierr.Error) {
	name, path, _ := strings.Cut(rest, "/")
	svc, fail := f.service(who, name, spec.KindPlain)
	if fail != nil {
		return nil, fail
	}
	path = "/" + path
	method := string(ctx.Method())
	entry, ok := svc.Call(method, path)
	if !ok {
		return nil, noCall(ctx, svc, method, path)
	}
	key := string(ctx.Request.Header.Peek(headerKey))
	if len(key) > maxKey {
		return nil, apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadRequest, "idempotency key has %d bytes, more than %d", len(key), maxKey)
	}
	class, _ := svc.Class("")
	c := &call{
		id:      f.cfg.Daemon.NewRequestID(),
		service: svc,
		class:   class,
		who:     who,
		key:     key,
		repeat:  entry.Idempotent,
	}
	if query := ctx.URI().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	c.relay = relay.Call{
		Method:      method,
		Path:        path,
		Request:     c.id,
		Key:         key,
		ContentType: string(ctx.Request.Header.ContentType()),
		Body:        append([]byte(nil), ctx.PostBody()...),
	}
	return c, nil
}

// Tells a wrong method on a known path from an unknown path.
func noCall(ctx *fasthttp.RequestCtx, svc *spec.Service, method, path string) *apierr.Error {
	var methods []string
	for _, m := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"} {
		if _, ok := svc.Call(m, path); ok {
			methods = append(methods, m)
		}
	}
	if len(methods) > 0 {
		return allow(ctx, methods...)
	}
	return apierr.NotRun(fasthttp.StatusNotFound, apierr.CodeNoCall, "service %q has no call %s %s", svc.Name, method, path)
}

func (f *Front) runCall(c *call) (relay.Answer, *apierr.Error) {
	if c.repeat {
		return f.repeatCall(c)
	}
	if c.key == "" {
		answer, fail := f.callOnce(c, 1, nil)
		return answer, fail
	}
	return f.claimCall(c)
}

// Runs an idempotent call, on another endpoint after a failure.
func (f *Front) repeatCall(c *call) (relay.Answer, *apierr.Error) {
	var avoid []string
	for n := 1; ; n++ {
		answer, fail := f.callOnce(c, n, &avoid)
		if fail == nil || len(avoid) < n || !f.mayRetry(n) {
			return answer, fail
		}
		f.recordCall(c, "retry", fail.Message)
	}
}

// Gets a place and sends the call there, once. The endpoint is added to avoid
// if it was given the call or refused it.
func (f *Front) callOnce(c *call, n int, avoid *[]string) (relay.Answer, *apierr.Error) {
	deadline := time.Now().Add(callTimeout)
	if c.class.Deadline > 0 {
		deadline = time.Now().Add(c.class.Deadline)
	}
	r := kernel.Request{
		ID:        c.id + "." + itoa(n),
		Service:   c.service.Name,
		Workspace: c.who.Workspace,
		Class:     c.class.Name,
		Deadline:  deadline,
	}
	if avoid != nil {
		r.Avoid = *avoid
	}
	place, err := f.cfg.Daemon.Place(f.ctx, r)
	if err != nil {
		return relay.Answer{}, asError(err)
	}
	if avoid != nil {
		*avoid = append(*avoid, place.Endpoint)
	}
	// The process may have been paused since the place was granted.
	if !time.Now().Before(deadline) {
		f.cfg.Daemon.Ended(kernel.Ended{Request: r.ID})
		return relay.Answer{}, apierr.NotRun(fasthttp.StatusServiceUnavailable, apierr.CodeDeadline, "the deadline passed before the call was sent")
	}
	out := c.relay
	out.Addr = place.Addr
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	answer, err := f.cfg.Relay.Do(ctx, out)
	ended := kernel.Ended{Request: r.ID, Failed: err != nil, Tokens: 1}
	var refused *relay.RefusedError
	if errors.As(err, &refused) {
		ended.Leaving = refused.Leaving
	}
	f.cfg.Daemon.Ended(ended)
	return answer, callError(place.Endpoint, err)
}

func callError(endpoint string, err error) *apierr.Error {
	if err == nil {
		return nil
	}
	var refused *relay.RefusedError
	var notSent *relay.NotSentError
	if errors.As(err, &refused) || errors.As(err, &notSent) {
		return apierr.NotRun(fasthttp.StatusBadGateway, apierr.CodeUnavailable, "endpoint %s: %v", endpoint, err).WithRetry(retryAfter)
	}
	return apierr.Unknown(fasthttp.StatusBadGateway, apierr.CodeLost, "endpoint %s: %v", endpoint, err)
}

// Runs a call that may not be repeated under its idempotency key.
func (f *Front) claimCall(c *call) (relay.Answer, *apierr.Error) {
	key := claim.Key{Service: c.service.Name, Workspace: c.who.Workspace, Key: c.key}
	hash := claim.Hash(c.relay.Method, c.relay.Path, c.relay.Body)
	ctx, cancel := context.WithTimeout(f.ctx, claimTimeout)
	defer cancel()
	ticket, err := f.cfg.Claims.Begin(ctx, key, hash, c.id)
	if err != nil {
		return f.claimFailed(c, ticket, err)
	}
	f.recordCall(c, "claim", "")
	answer, fail := f.callOnce(c, 1, nil)
	f.settle(c, ticket, answer, fail)
	return answer, fail
}

func (f *Front) claimFailed(c *call, ticket claim.Ticket, err error) (relay.Answer, *apierr.Error) {
	var done *claim.DoneError
	var held *claim.HeldError
	var reused *claim.ReusedError
	switch {
	case errors.As(err, &done):
		f.recordCall(c, "replay", "")
		return relay.Answer{Status: done.Answer.Status, ContentType: done.Answer.Type, Body: done.Answer.Body}, nil
	case errors.As(err, &held):
		if held.State == claim.StateUnknown {
			return relay.Answer{}, apierr.Unknown(fasthttp.StatusConflict, apierr.CodeLost, "%v", err)
		}
		return relay.Answer{}, apierr.Unknown(fasthttp.StatusConflict, apierr.CodeInProgress, "%v", err).WithRetry(retryAfter)
	case errors.As(err, &reused):
		return relay.Answer{}, apierr.NotRun(fasthttp.StatusUnprocessableEntity, apierr.CodeKeyReused, "%v", err)
	}
	// The claim may exist although its answer was lost.
	f.background(func(ctx context.Context) error { return ticket.Abandon(ctx) })
	return relay.Answer{}, apierr.NotRun(fasthttp.StatusServiceUnavailable, apierr.CodeUnavailable,
		"the call cannot be claimed now: %v", err).WithRetry(retryAfter)
}

// Records the outcome of a claimed call. The caller does not wait for it: a
// claim that stays held means an unknown outcome, which is true but less
// helpful.
func (f *Front) settle(c *call, t claim.Ticket, a relay.Answer, fail *apierr.Error) {
	f.background(func(ctx context.Context) error {
		switch {
		case fail == nil:
			return t.Finish(ctx, claim.Answer{Status: a.Status, Type: a.ContentType, Body: a.Body})
		case fail.Outcome == apierr.OutcomeNotRun:
			return t.Abandon(ctx)
		}
		return t.Unsure(ctx)
	})
}

// Runs a job for at most settleTimeout, also while the front shuts down.
func (f *Front) background(job func(ctx context.Context) error) {
	f.jobs.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(f.ctx), settleTimeout)
		defer cancel()
		if err := job(ctx); err != nil {
			f.cfg.Daemon.Record(trace.Entry{Kind: "background-failed", Detail: err.Error()})
		}
	})
}
