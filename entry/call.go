package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/wait"
)

const (
	plainConnectTimeout = 150 * time.Millisecond // connecting within a region takes a few milliseconds
	maxPlainBody        = 8 << 20                // bytes of a response that is read whole
	maxRefusals         = 4                      // refusals of a request to a plain service after which it fails
)

// bufferedResponse is an endpoint's response, read whole.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// servePlain serves a request to a plain service. It reads the whole response
// before it sends any of it to the caller, so that it can retry the request
// after an incomplete response where the route allows that.
func (s *Server) servePlain(ctx context.Context, rr *routedRequest, out ResponseWriter) *apierr.Error {
	var last *bufferedResponse
	var cause error
	attempts, refusals := 0, 0
	for ctx.Err() == nil {
		if !s.maySend(time.Now(), rr, 0) {
			cause = &StoppingError{}
			break
		}
		e, c, ok := s.reserveEndpoint(time.Now(), s.view(), selection{service: rr.service, centre: s.cfg.Centre, avoid: rr.tried, use: usage{requests: 1}})
		if !ok {
			rest := s.restOfAll(time.Now(), s.view(), rr.service.Name, nil)
			if rest > 0 && rest <= brittleCheck && time.Since(rr.req.Arrived) < rr.slotWait() && wait.For(ctx, rest) {
				continue
			}
			if rest > 0 && !rr.mayHaveRun {
				return s.restError(rr, rest)
			}
			if s.awaitSilent(ctx, rr, cause) {
				continue
			}
			break
		}
		if attempts+refusals > 0 && !s.allowRetry(rr) {
			s.addUsage(e.ID, usage{requests: -1})
			break
		}
		s.recordPlacement(rr, e, c, 0)
		rr.tried = append(rr.tried, e.ID)
		r, err := s.callEndpoint(ctx, rr, e)
		if err == nil {
			defer s.bodies.release(r.body)
		}
		if err == nil && (r.status < http.StatusInternalServerError || !rr.route.Retryable()) {
			writeResponse(out, r)
			return nil
		}
		cause = err
		if err != nil {
			s.record("attempt-failed", rr.req, e.ID, err.Error())
			s.checkCrash(ctx, rr, e, err)
		}
		var refused *relay.RefusedError
		var notSent *relay.NotSentError
		switch {
		case errors.As(err, &notSent):
			continue
		case errors.As(err, &refused):
			if refusals++; refusals >= maxRefusals {
				return s.finalError(ctx, rr, cause)
			}
			continue
		case err == nil:
			last = r
		}
		rr.mayHaveRun = true
		if attempts++; !rr.route.Retryable() || attempts >= rr.route.MaxAttempts {
			break
		}
		s.record("retry", rr.req, e.ID, fmt.Sprintf("retrying an idempotent request that failed: %s", describeFailure(r, err)))
		s.holdSuspected(ctx, rr)
	}
	if last != nil {
		writeResponse(out, last)
		return nil
	}
	return s.finalError(ctx, rr, cause)
}

// describeFailure describes the error or the status of a failed attempt.
func describeFailure(r *bufferedResponse, err error) string {
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("status %d", r.status)
}

func writeResponse(out ResponseWriter, r *bufferedResponse) {
	out.Start(r.status, r.header, int64(len(r.body)))
	if err := out.Write(r.body); err != nil {
		out.Abort()
	}
}

// UnsignedError says that a response came from a program that is no endpoint of the deployment,
// such as one that another writer has listed in the store, so that it is unknown what became of
// the request.
type UnsignedError struct {
	Status int // of the response
}

// Error implements error.
func (e *UnsignedError) Error() string {
	return fmt.Sprintf("the response with status %d is not one of an endpoint of the deployment", e.Status)
}

// callEndpoint sends the request to the endpoint that was reserved for it, reads
// the whole response and ends the reservation. The caller releases the memory of the body.
func (s *Server) callEndpoint(ctx context.Context, rr *routedRequest, e fleet.Endpoint) (*bufferedResponse, error) {
	defer s.addUsage(e.ID, usage{requests: -1})
	a := s.newAttempt(rr, e)
	resp, err := s.sendAttempt(ctx, a, plainConnectTimeout)
	if err != nil {
		s.recordFailure(ctx, e, err)
		return nil, err
	}
	defer resp.Close()
	body, err := s.readWhole(ctx, e, resp)
	if err != nil {
		err = &relay.LostError{Addr: e.Addr, Err: err}
		s.recordFailure(ctx, e, err)
		return nil, err
	}
	s.recordOutcome(e.ID, resp.Status < http.StatusInternalServerError)
	if isOutput(resp.Status) {
		s.reportOutput(rr)
	}
	return &bufferedResponse{status: resp.Status, header: s.cfg.Dialect.CallerHeader(resp.Header), body: body}, nil
}

// recordFailure counts a failure of an endpoint, unless the attempt failed
// because the caller ended the request. Load pattern: a server that goes down and up by
// turns resets its connections while its record still lists it, and each request that
// may run only once is lost on it, at each node anew.
func (s *Server) recordFailure(ctx context.Context, e fleet.Endpoint, err error) {
	var carrier *relay.CarrierError
	var evacuated *EvacuatedError
	if errors.Is(ctx.Err(), context.Canceled) || errors.As(err, &carrier) || errors.As(err, &evacuated) || isStopping(err) {
		return // it says nothing about the endpoint
	}
	s.recordOutcome(e.ID, false)
	var notSent *relay.NotSentError
	var lost *relay.LostError
	if errors.As(err, &notSent) || errors.As(err, &lost) && lost.BeforeResponse && !errors.Is(lost, context.DeadlineExceeded) {
		s.recordUnreachable(e.ID, err)
	}
}

func (s *Server) newAttempt(rr *routedRequest, e fleet.Endpoint) Attempt {
	return Attempt{
		Request:     rr.req,
		Endpoint:    e,
		Workspace:   rr.workspace,
		Priority:    rr.priority,
		TimeLeft:    time.Until(rr.deadline),
		LastEventID: rr.req.LastEventID,
	}
}

// sendAttempt sends an attempt and returns the endpoint's response. It returns
// an error if the response says that the endpoint did not run the request, or
// belongs to another request.
func (s *Server) sendAttempt(ctx context.Context, a Attempt, connectTimeout time.Duration) (*relay.Response, error) {
	if e := a.Endpoint; a.ContinueFrom == nil && s.view().IsEvacuated(e) {
		return nil, &relay.NotSentError{Addr: e.Addr, Err: &EvacuatedError{Endpoint: e.ID, Centre: e.Centre}}
	}
	if p := s.stopPlan(); p.stopping() && !time.Now().Before(p.deadline) {
		return nil, &relay.NotSentError{Addr: a.Endpoint.Addr, Err: &StoppingError{Ended: true}}
	}
	req := s.cfg.Dialect.Encode(a)
	req.ConnectTimeout, req.Endpoint, req.RequestID = connectTimeout, a.Endpoint.ID, a.Request.ID
	req.Started = a.ContinueFrom != nil
	sentAt := time.Now()
	resp, err := s.cfg.Relay.Exchange(ctx, req)
	if err != nil {
		return nil, err
	}
	if err := s.checkResponse(time.Now(), a, sentAt, resp); err != nil {
		resp.Close()
		return nil, err
	}
	return resp, nil
}

// checkResponse returns an error if the response is not one of an endpoint of the deployment,
// belongs to another request or says that the endpoint did not run this one, which was sent at
// sentAt. It heeds what the endpoint says about requests to come. All attempts end here before any
// part of a response can reach a caller: those of plain services and of streams, continuations and
// migrated generations, and those over connections that other nodes carry.
func (s *Server) checkResponse(now time.Time, a Attempt, sentAt time.Time, resp *relay.Response) error {
	v := s.cfg.Dialect.Verdict(a, resp.Status, resp.Header)
	if v.Unsigned {
		s.metrics.unsigned.Inc()
		return &relay.LostError{Addr: a.Endpoint.Addr, Err: &UnsignedError{Status: resp.Status}}
	}
	if !v.AddressReused {
		if rest := s.heedNotice(now, a.Endpoint, notice{leaving: v.Leaving, retryAfter: v.RetryAfter}); rest > 0 {
			resp.ReportRest(rest)
		}
	}
	// Refusals and failures may come from a part of the endpoint that knows no limit, so
	// they do not lift one.
	ran := !v.NotRun && resp.Status < http.StatusInternalServerError
	if !v.AddressReused && !v.OtherRequest && (v.RateLimit != "" || ran) {
		s.heedRateLimit(a.Endpoint, v.RateLimit, sentAt)
	}
	if !v.AddressReused && !v.OtherRequest {
		s.heedCold(now, a.Endpoint, v.Cold, sentAt)
		s.heedBrittle(now, a.Endpoint, v, sentAt)
	}
	switch {
	case v.OtherRequest:
		return &relay.LostError{Addr: a.Endpoint.Addr, Err: errors.New("the response belongs to another request")}
	case v.NotRun:
		return &relay.RefusedError{Addr: a.Endpoint.Addr, Status: resp.Status, Leaving: v.Leaving}
	}
	return nil
}
