package front

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/retry"
	"github.com/plantaindeck/plantaindeck/wait"
	"github.com/valyala/fasthttp"
)

const (
	maxAttempts    = 4                     // of one retry loop; the loop of respondWhole contains that of startGeneration
	initialBackoff = 50 * time.Millisecond // before the second attempt; doubles with each further one
)

// attempt is one attempt to run a generation on an engine. A request may take
// several, each under an id of its own.
type attempt struct {
	id         string       // request id and number of the attempt, joined by a dot
	grant      kernel.Grant // zero until granted
	stream     *relay.Stream
	firstToken relay.Token
	empty      bool // the generation completed without a token
	tokens     int  // received, up to minSoundTokens
	sound      bool // its engine has answered it for longer than one that crashes as it begins to, or this node does not know what its request is
}

// minSoundTokens is the number of tokens from one engine that show that it doesn't crash when it begins to
// answer a request: the first may leave an engine that is about to crash.
const minSoundTokens = 2

// nextToken returns the next token of an attempt. Until the attempt is known to be sound, it tells the kernel
// that it is, or of the crash of its engine.
func (f *Front) nextToken(c *chatRequest, a *attempt) (relay.Token, error) {
	t, err := a.stream.Next(f.ctx)
	if a.sound {
		return t, err
	}
	if err == nil {
		a.tokens++
	}
	switch {
	case err == nil && a.tokens < minSoundTokens:
	case isEOF(err) && a.tokens == 0: // an engine may end a stream before it begins to run the request
	case err == nil || isEOF(err):
		a.sound = true
		f.reportOutput(c.service.Name, c.traits)
	default:
		f.reportLost(c.service.Name, a.grant, c.traits, err)
	}
	return t, err
}

// startGeneration makes attempts until a generation has produced its first token
// or completed without one. Until then nothing has been sent to the caller, so a
// failed attempt is retried on an endpoint that is not in avoid and has not failed.
func (f *Front) startGeneration(c *chatRequest, avoid []string) (attempt, *apierr.Error) {
	body, err := c.engineBody()
	if err != nil {
		return attempt{}, apierr.NotRun(fasthttp.StatusInternalServerError, apierr.CodeInternal, "encode request: %v", err)
	}
	deadline := c.deadline(time.Now())
	for n := 1; ; n++ {
		a, apiErr := f.makeAttempt(c, body, deadline, avoid)
		if apiErr == nil {
			return a, nil
		}
		if a.grant.Endpoint == "" || !f.awaitRetry(n) {
			return attempt{}, apiErr.WithRequest(c.id)
		}
		f.recordChat(c, "retry", apiErr.Message)
		avoid = append(avoid, a.grant.Endpoint)
	}
}

// makeAttempt makes one attempt, under a new id, and waits for its first token.
// The attempt's grant is set, also after an error, if an endpoint was granted.
func (f *Front) makeAttempt(c *chatRequest, body []byte, deadline time.Time, avoid []string) (attempt, *apierr.Error) {
	c.attempts++
	a := attempt{id: c.id + "." + itoa(c.attempts)}
	f.holdSuspected(c.traits, c.attempts)
	if apiErr := f.checkQuarantine(c.traits); apiErr != nil {
		return a, apiErr
	}
	grant, err := f.cfg.Daemon.WaitForGrant(f.ctx, kernel.Request{
		ID:              a.id,
		Service:         c.service.Name,
		Workspace:       c.identity.Workspace,
		Caller:          c.caller,
		Class:           c.class.Name,
		Model:           c.model,
		PromptTokens:    c.promptTokens,
		MaxOutputTokens: c.maxTokens,
		PrefixHash:      c.prefixHash,
		Deadline:        deadline,
		Avoid:           avoid,
	})
	if err != nil {
		return a, asAPIError(err)
	}
	a.grant = grant
	a.stream, err = f.cfg.Relay.Open(relay.Location{Addr: grant.Addr, RequestID: a.id}, body)
	if err == nil {
		a.firstToken, err = f.nextToken(c, &a)
		if err == nil {
			return a, nil
		}
		a.stream.Close()
		if isEOF(err) {
			a.empty = true
			return a, nil
		}
	} else {
		f.reportLost(c.service.Name, grant, c.traits, err)
	}
	return a, f.releaseFailed(a, err)
}

// asAPIError returns err as an *apierr.Error. One of another type is an internal
// error with an unknown outcome.
func asAPIError(err error) *apierr.Error {
	var e *apierr.Error
	if errors.As(err, &e) {
		return e
	}
	return apierr.Unknown(fasthttp.StatusInternalServerError, apierr.CodeInternal, "%v", err)
}

// releaseFailed releases the grant of an attempt that failed with err and returns
// the error for the caller. A generation that may still run is cancelled. A
// refusal with status 400 to 428, except 404, is not counted as a failure of the
// endpoint.
func (f *Front) releaseFailed(a attempt, err error) *apierr.Error {
	ended := kernel.RequestEnded{Request: a.id, Failed: true}
	outcome := apierr.OutcomeNotRun
	var refused *relay.RefusedError
	var notSent *relay.NotSentError
	switch {
	case errors.As(err, &refused):
		ended.Leaving = refused.Leaving
		if refused.Status >= fasthttp.StatusBadRequest && refused.Status < fasthttp.StatusTooManyRequests && refused.Status != fasthttp.StatusNotFound {
			ended.Failed = false
		}
	case errors.As(err, &notSent):
	default:
		outcome = apierr.OutcomeUnknown
		f.cancelAttempt(a)
	}
	f.cfg.Daemon.ReportEnded(ended)
	e := apierr.NotRun(fasthttp.StatusBadGateway, apierr.CodeLost, "endpoint %s: %v", a.grant.Endpoint, err)
	return e.WithOutcome(outcome)
}

// cancelAttempt cancels an attempt on its engine, in the background.
func (f *Front) cancelAttempt(a attempt) {
	loc := relay.Location{Addr: a.grant.Addr, RequestID: a.id}
	if a.stream != nil {
		loc.Generation = a.stream.Generation()
	}
	f.background(func(context.Context) error {
		_, err := f.cfg.Relay.Cancel(loc)
		return errors.Wrapf(err, "cancel attempt %s", a.id)
	})
}

// addRequest counts a new request for the retry budget.
func (f *Front) addRequest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryBudget = f.retryBudget.WithRequest()
}

// awaitRetry reports whether attempt n may be followed by another one. If so, it
// has waited for the backoff, with jitter. Retries are limited by maxAttempts and
// the retry budget, and end when the front shuts down.
func (f *Front) awaitRetry(n int) bool {
	if n >= maxAttempts {
		return false
	}
	f.mu.Lock()
	var ok bool
	f.retryBudget, ok = f.retryBudget.WithRetry()
	backoff := retry.Jitter(f.rand, initialBackoff<<(n-1))
	f.mu.Unlock()
	return ok && wait.For(f.ctx, backoff)
}
