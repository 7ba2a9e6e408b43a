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
	maxAttempts = 4
	retryPause  = 50 * time.Millisecond // before the second attempt; doubles
)

// attempt is a generation that has made its first token.
type attempt struct {
	request string // id of the attempt
	place   kernel.Place
	stream  *relay.Stream
	first   relay.Token
	empty   bool // the generation ended without a token
}

// Gets a generation to its first token. A generation may be repeated, so an
// attempt that fails before that is followed by another one elsewhere.
func (f *Front) begin(c *chat, avoid []string) (attempt, *apierr.Error) {
	body, err := c.body()
	if err != nil {
		return attempt{}, apierr.NotRun(fasthttp.StatusInternalServerError, apierr.CodeInternal, "encode request: %v", err)
	}
	deadline := c.deadline(time.Now())
	for n := 1; ; n++ {
		a, fail := f.try(c, body, deadline, avoid)
		if fail == nil {
			return a, nil
		}
		if a.place.Endpoint == "" || !f.mayRetry(n) {
			return attempt{}, fail.WithRequest(c.id)
		}
		f.record(c, "retry", fail.Message)
		avoid = append(avoid, a.place.Endpoint)
	}
}

// Makes one attempt, under an id that no other one has. The attempt's place is
// set if one was granted.
func (f *Front) try(c *chat, body []byte, deadline time.Time, avoid []string) (attempt, *apierr.Error) {
	c.attempts++
	a := attempt{request: c.id + "." + itoa(c.attempts)}
	place, err := f.cfg.Daemon.Place(f.ctx, kernel.Request{
		ID:        a.request,
		Service:   c.service.Name,
		Workspace: c.who.Workspace,
		Caller:    c.caller,
		Class:     c.class.Name,
		Model:     c.model,
		Prompt:    c.prompt,
		Limit:     c.limit,
		Prefix:    c.prefix,
		Deadline:  deadline,
		Avoid:     avoid,
	})
	if err != nil {
		return a, asError(err)
	}
	a.place = place
	a.stream, err = f.cfg.Relay.Open(relay.Place{Addr: place.Addr, Request: a.request}, body)
	if err == nil {
		a.first, err = a.stream.Next(f.ctx)
		if err == nil {
			return a, nil
		}
		a.stream.Close()
		if isEOF(err) {
			a.empty = true
			return a, nil
		}
	}
	return a, f.attemptFailed(a, err)
}

func asError(err error) *apierr.Error {
	var e *apierr.Error
	if errors.As(err, &e) {
		return e
	}
	return apierr.Unknown(fasthttp.StatusInternalServerError, apierr.CodeInternal, "%v", err)
}

// Gives the place of a failed attempt back, and ends the generation that may
// still run.
func (f *Front) attemptFailed(a attempt, err error) *apierr.Error {
	ended := kernel.Ended{Request: a.request, Failed: true}
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
		f.cancel(a)
	}
	f.cfg.Daemon.Ended(ended)
	e := apierr.NotRun(fasthttp.StatusBadGateway, apierr.CodeLost, "endpoint %s: %v", a.place.Endpoint, err)
	return e.WithOutcome(outcome)
}

// Cancels an attempt at its engine, in the background.
func (f *Front) cancel(a attempt) {
	place := relay.Place{Addr: a.place.Addr, Request: a.request}
	if a.stream != nil {
		place.Generation = a.stream.Generation()
	}
	f.background(func(context.Context) error {
		_, err := f.cfg.Relay.Cancel(place)
		return errors.Wrapf(err, "cancel %s", a.request)
	})
}

// Counts a fresh request for the retry budget.
func (f *Front) fresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget = f.budget.WithFresh()
}

// Reports whether attempt n may be followed by another one, after a pause with
// jitter.
func (f *Front) mayRetry(n int) bool {
	if n >= maxAttempts {
		return false
	}
	f.mu.Lock()
	var ok bool
	f.budget, ok = f.budget.WithRetry()
	pause := retry.Jitter(f.rand, retryPause<<(n-1))
	f.mu.Unlock()
	return ok && wait.For(f.ctx, pause)
}
