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
	claimTimeout      = 3 * time.Second  // to claim an idempotency key in the key-value service
	backgroundTimeout = time.Minute      // until the context of a background job ends
	callTimeout       = 30 * time.Second // for the endpoint's response, and for a grant if the class has no deadline
	maxKeyBytes       = 256              // of an idempotency key
	retryAfter        = 2 * time.Second  // that callers are advised to wait before a retry
)

// call is a call to a plain service.
type call struct {
	id         string
	service    *spec.Service
	class      *spec.Class
	identity   policy.Identity
	key        string             // idempotency key; empty for none
	idempotent bool               // according to the service's document
	outgoing   relay.PlainRequest // request to the endpoint
	traits     []uint64           // what it has in common with others that crash endpoints: itself
}

// serveCall serves /v1/services/SERVICE/PATH, where rest is SERVICE/PATH.
func (f *Front) serveCall(ctx *fasthttp.RequestCtx, rest string) *apierr.Error {
	identity, err := f.identify(ctx)
	if err != nil {
		return err
	}
	c, err := f.parseCall(ctx, identity, rest)
	if err != nil {
		return err
	}
	ctx.Response.Header.Set(headerRequestID, c.id)
	f.addRequest()
	f.recordCall(c, "arrive", c.outgoing.Method+" "+c.outgoing.Path)
	resp, err := f.runCall(c)
	if err != nil {
		f.recordCall(c, "failed", err.Error())
		return err.WithRequest(c.id)
	}
	f.countCompleted(c.service.Name)
	f.recordCall(c, "complete", "")
	ctx.SetStatusCode(resp.Status)
	ctx.SetContentType(resp.ContentType)
	ctx.SetBody(resp.Body)
	return nil
}

// recordCall adds an entry on a call to the trace.
func (f *Front) recordCall(c *call, kind, detail string) {
	f.cfg.Daemon.Record(trace.Entry{Kind: kind, Request: c.id, Workspace: c.identity.Workspace, Detail: detail})
}

// parseCall returns the call that a workspace makes to the service and path in
// rest.
func (f *Front) parseCall(ctx *fasthttp.RequestCtx, identity policy.Identity, rest string) (*call, *apierr.Error) {
	name, path, _ := strings.Cut(rest, "/")
	svc, apiErr := f.findService(identity, name, spec.KindPlain)
	if apiErr != nil {
		return nil, apiErr
	}
	path = "/" + path
	method := string(ctx.Method())
	entry, ok := svc.Call(method, path)
	if !ok {
		return nil, unknownCallError(ctx, svc, method, path)
	}
	key := string(ctx.Request.Header.Peek(headerIdempotencyKey))
	if len(key) > maxKeyBytes {
		return nil, apierr.NotRun(fasthttp.StatusBadRequest, apierr.CodeBadRequest, "idempotency key has %d bytes, more than %d", len(key), maxKeyBytes)
	}
	class, _ := svc.Class("")
	c := &call{
		id:         f.cfg.Daemon.NewRequestID(),
		service:    svc,
		class:      class,
		identity:   identity,
		key:        key,
		idempotent: entry.Idempotent,
	}
	if query := ctx.URI().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	c.outgoing = relay.PlainRequest{
		Method:         method,
		Path:           path,
		RequestID:      c.id,
		IdempotencyKey: key,
		ContentType:    string(ctx.Request.Header.ContentType()),
		Body:           append([]byte(nil), ctx.PostBody()...),
	}
	c.traits = []uint64{traitOf("call", identity.Workspace, name, method, path, string(c.outgoing.Body))}
	return c, nil
}

// unknownCallError returns the error for a call that the service does not have:
// method not allowed if the path exists with other methods, otherwise not found.
func unknownCallError(ctx *fasthttp.RequestCtx, svc *spec.Service, method, path string) *apierr.Error {
	var methods []string
	for _, m := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"} {
		if _, ok := svc.Call(m, path); ok {
			methods = append(methods, m)
		}
	}
	if len(methods) > 0 {
		return checkMethod(ctx, methods...)
	}
	return apierr.NotRun(fasthttp.StatusNotFound, apierr.CodeNoCall, "service %q has no call %s %s", svc.Name, method, path)
}

// runCall runs a call. An idempotent call is retried. Any other call is sent to an
// endpoint at most once. If it has an idempotency key, it runs at most once over all
// requests with that key; a later request may send it again if it has not run.
func (f *Front) runCall(c *call) (relay.PlainResponse, *apierr.Error) {
	if c.idempotent {
		return f.retryCall(c)
	}
	if c.key == "" {
		resp, apiErr := f.attemptCall(c, 1, nil)
		return resp, apiErr
	}
	return f.runClaimedCall(c)
}

// retryCall runs an idempotent call. After a failure it retries on an endpoint
// that has not failed. A call that got no grant is not retried.
func (f *Front) retryCall(c *call) (relay.PlainResponse, *apierr.Error) {
	var avoid []string
	for n := 1; ; n++ {
		resp, apiErr := f.attemptCall(c, n, &avoid)
		if apiErr == nil || len(avoid) < n || !f.awaitRetry(n) {
			return resp, apiErr
		}
		f.recordCall(c, "retry", apiErr.Message)
	}
}

// attemptCall makes attempt n of a call: it gets a grant and sends the call to the
// granted endpoint. If avoid is not nil, it names endpoints to avoid, and the
// granted endpoint is appended to it.
func (f *Front) attemptCall(c *call, n int, avoid *[]string) (relay.PlainResponse, *apierr.Error) {
	deadline := time.Now().Add(callTimeout)
	if c.class.Deadline > 0 {
		deadline = time.Now().Add(c.class.Deadline)
	}
	r := kernel.Request{
		ID:        c.id + "." + itoa(n),
		Service:   c.service.Name,
		Workspace: c.identity.Workspace,
		Class:     c.class.Name,
		Deadline:  deadline,
	}
	if avoid != nil {
		r.Avoid = *avoid
	}
	f.holdSuspected(c.traits, n)
	if apiErr := f.checkQuarantine(c.traits); apiErr != nil {
		return relay.PlainResponse{}, apiErr
	}
	grant, err := f.cfg.Daemon.WaitForGrant(f.ctx, r)
	if err != nil {
		return relay.PlainResponse{}, asAPIError(err)
	}
	if avoid != nil {
		*avoid = append(*avoid, grant.Endpoint)
	}
	// The process may have been paused since the endpoint was granted.
	if !time.Now().Before(deadline) {
		f.cfg.Daemon.ReportEnded(kernel.RequestEnded{Request: r.ID})
		return relay.PlainResponse{}, apierr.NotRun(fasthttp.StatusServiceUnavailable, apierr.CodeDeadline, "the deadline passed before the call was sent")
	}
	outgoing := c.outgoing
	outgoing.Addr = grant.Addr
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	resp, err := f.cfg.Relay.Do(ctx, outgoing)
	ended := kernel.RequestEnded{Request: r.ID, Failed: err != nil, Tokens: 1}
	var refused *relay.RefusedError
	if errors.As(err, &refused) {
		ended.Leaving = refused.Leaving
	}
	f.cfg.Daemon.ReportEnded(ended)
	switch {
	case err != nil:
		f.reportLost(c.service.Name, grant, c.traits, err)
	case resp.Status < fasthttp.StatusBadRequest: // an endpoint may reject or fail a call before it begins to run it
		f.reportOutput(c.service.Name, c.traits)
	}
	return resp, callError(grant.Endpoint, err)
}

// callError returns the error for the caller if the relay failed with err. The
// call has not run if it was refused or not sent; otherwise the outcome is
// unknown.
func callError(endpoint string, err error) *apierr.Error {
	if err == nil {
		return nil
	}
	var refused *relay.RefusedError
	var notSent *relay.NotSentError
	if errors.As(err, &refused) || errors.As(err, &notSent) {
		return apierr.NotRun(fasthttp.StatusBadGateway, apierr.CodeUnavailable, "endpoint %s: %v", endpoint, err).WithRetryAfter(retryAfter)
	}
	return apierr.Unknown(fasthttp.StatusBadGateway, apierr.CodeLost, "endpoint %s: %v", endpoint, err)
}

// runClaimedCall runs a call that is not idempotent after claiming its idempotency
// key.
func (f *Front) runClaimedCall(c *call) (relay.PlainResponse, *apierr.Error) {
	key := claim.Key{Service: c.service.Name, Workspace: c.identity.Workspace, Key: c.key}
	hash := claim.Hash(c.outgoing.Method, c.outgoing.Path, c.outgoing.Body)
	ctx, cancel := context.WithTimeout(f.ctx, claimTimeout)
	defer cancel()
	cl, err := f.cfg.Claims.Begin(ctx, key, hash, c.id)
	if err != nil {
		return f.handleClaimError(c, cl, err)
	}
	f.recordCall(c, "claim", "")
	resp, apiErr := f.attemptCall(c, 1, nil)
	f.settleClaim(c, cl, resp, apiErr)
	return resp, apiErr
}

// handleClaimError returns the response to a call whose claim failed with err: the
// stored response if the call has run before, otherwise an error.
func (f *Front) handleClaimError(c *call, cl claim.Claim, err error) (relay.PlainResponse, *apierr.Error) {
	var done *claim.DoneError
	var held *claim.HeldError
	var reused *claim.ReusedError
	switch {
	case errors.As(err, &done):
		f.recordCall(c, "replay", "")
		return relay.PlainResponse{Status: done.Response.Status, ContentType: done.Response.ContentType, Body: done.Response.Body}, nil
	case errors.As(err, &held):
		if held.State == claim.StateUnknown {
			return relay.PlainResponse{}, apierr.Unknown(fasthttp.StatusConflict, apierr.CodeLost, "%v", err)
		}
		return relay.PlainResponse{}, apierr.Unknown(fasthttp.StatusConflict, apierr.CodeInProgress, "%v", err).WithRetryAfter(retryAfter)
	case errors.As(err, &reused):
		return relay.PlainResponse{}, apierr.NotRun(fasthttp.StatusUnprocessableEntity, apierr.CodeKeyReused, "%v", err)
	}
	after := retryAfter
	var settling *claim.SettlingError
	if errors.As(err, &settling) {
		after = max(after, settling.Left)
	}
	if settling == nil || settling.MayExist {
		// The claim may exist although the key-value service reported an error.
		f.background(func(ctx context.Context) error { return cl.Abandon(ctx) })
	}
	return relay.PlainResponse{}, apierr.NotRun(fasthttp.StatusServiceUnavailable, apierr.CodeUnavailable,
		"the idempotency key of the call cannot be claimed now: %v", err).WithRetryAfter(after)
}

// settleClaim records the outcome of a claimed call in the key-value service, in the
// background. The caller does not wait for it. If it fails, the claim stays held and
// later requests with the key get an unknown outcome, which is correct but less
// precise.
func (f *Front) settleClaim(c *call, cl claim.Claim, resp relay.PlainResponse, apiErr *apierr.Error) {
	f.background(func(ctx context.Context) error {
		switch {
		case apiErr == nil:
			return cl.Finish(ctx, claim.Response{Status: resp.Status, ContentType: resp.ContentType, Body: resp.Body})
		case apiErr.Outcome == apierr.OutcomeNotRun:
			return cl.Abandon(ctx)
		}
		return cl.MarkUnknown(ctx)
	})
}

// background runs a job in a goroutine. The job's context ends after
// backgroundTimeout and not with a shutdown of the front, which waits for the job.
// An error is recorded in the trace.
func (f *Front) background(job func(ctx context.Context) error) {
	f.backgroundJobs.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(f.ctx), backgroundTimeout)
		defer cancel()
		if err := job(ctx); err != nil {
			f.cfg.Daemon.Record(trace.Entry{Kind: "background-failed", Detail: err.Error()})
		}
	})
}
