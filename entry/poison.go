package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/poison"
	"github.com/plantaindeck/plantaindeck/wait"
)

// minSoundEvents is the number of events from one engine that show that it doesn't crash when
// it begins to answer a generation: the first may leave an engine that is about to crash.
const minSoundEvents = 2

// errQuarantined ends the context of a request that must not reach an endpoint any more.
var errQuarantined = errors.New("requests like this one crash endpoints")

// requestHash returns a hash of a request's target, caller and body, which are the same when
// the caller sends the request again.
func requestHash(rr *routedRequest) uint64 {
	h := xxhash.New()
	for _, text := range []string{rr.req.Method, rr.req.Host, rr.req.URI, rr.workspace} {
		_, _ = h.WriteString(text + "\x00") // never fails
	}
	_, _ = h.Write(rr.req.Body)
	return h.Sum64()
}

// describeTraits describes for the log what a request may have in common with others.
func (rr *routedRequest) describeTraits() string {
	text := fmt.Sprintf("hash %016x", rr.hash)
	if len(rr.req.PromptParts) > 0 {
		text += ", parts of the prompt: " + strings.Join(rr.req.PromptParts, ",")
	}
	return text
}

// describeHashes describes the traits of a request with the given parts of its prompt for the log, with
// their hashes, by which the kernel names them.
func describeHashes(parts []string, traits []uint64) string {
	names := []string{"the request itself", "the request with its prompt"}
	for _, part := range parts {
		names = append(names, "part "+part)
	}
	var list []string
	for i, t := range traits {
		list = append(list, fmt.Sprintf("%s %016x", names[i], t))
	}
	return strings.Join(list, ", ")
}

// traitsOf returns what a request may have in common with others that crash endpoints: its
// hash, its whole prompt, and the parts of the prompt but the last, which is its own.
func traitsOf(rr *routedRequest) []uint64 {
	traits := []uint64{rr.hash}
	parts := rr.req.PromptParts
	if len(parts) == 0 {
		return traits
	}
	traits = append(traits, xxhash.Sum64String(fmt.Sprintf("prompt %016x %s", rr.hash, strings.Join(parts, ","))))
	for _, part := range parts[:len(parts)-1] {
		traits = append(traits, xxhash.Sum64String("part "+part))
	}
	return traits
}

// ownTrait returns the trait that a request shares only with its retries: that of the whole prompt
// if it has one, as the bodies of generations may be alike, else its hash.
func (rr *routedRequest) ownTrait() uint64 { return rr.traits[min(1, len(rr.traits)-1)] }

// admit adds a request to those that a quarantine ends, or returns an error if it is
// quarantined already. Every attempt of the request, whatever it continues from, uses the
// context that it returns, which ends when the request is quarantined or the node ends. The caller
// calls the returned function when the request has ended.
func (s *Server) admit(ctx context.Context, rr *routedRequest) (context.Context, func(), *apierr.Error) {
	ctx, abort := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.ended, func() { abort(context.Cause(s.ended)) })
	s.mu.Lock()
	s.withoutOutput[rr] = abort
	s.mu.Unlock()
	end := func() {
		stop()
		s.mu.Lock()
		delete(s.withoutOutput, rr)
		s.mu.Unlock()
		abort(nil)
	}
	if left := s.quarantined(time.Now(), rr); left > 0 {
		end()
		s.metrics.quarantined.Inc()
		return nil, nil, quarantineError(left)
	}
	return ctx, end, nil
}

// quarantined returns how long requests like rr are kept from endpoints.
func (s *Server) quarantined(now time.Time, rr *routedRequest) time.Duration {
	state := s.cfg.Daemon.State()
	return poison.Of(state).Quarantined(now, member.Of(state), rr.traits)
}

// holdSuspected waits before a retry of a request that may have crashed endpoints, until that
// has been judged. Load pattern: the retry would crash the next endpoint before the nodes know
// the cause.
func (s *Server) holdSuspected(ctx context.Context, rr *routedRequest) {
	if poison.Of(s.cfg.Daemon.State()).Suspected(rr.traits) {
		s.record("held", rr.req, "", fmt.Sprintf("requests like it were lost on endpoints that crashed; the retry waits %s", poison.JudgeTime))
		wait.For(ctx, poison.JudgeTime)
	}
}

// quarantineError returns the error for a request that has not run, as requests like it are
// kept from endpoints for the given time.
func quarantineError(left time.Duration) *apierr.Error {
	return apierr.NotRun(http.StatusServiceUnavailable, apierr.CodeQuarantined, "%v", errQuarantined).WithRetryAfter(left)
}

// Quarantine ends the requests that have all of the given traits and no output yet, so that
// those that wait at an endpoint leave it before it crashes.
func (s *Server) Quarantine(traits []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for rr, abort := range s.withoutOutput {
		if containsAll(rr.traits, traits) {
			abort(errQuarantined)
		}
	}
}

// containsAll reports whether list holds all of the traits.
func containsAll(list, traits []uint64) bool {
	return !slices.ContainsFunc(traits, func(t uint64) bool { return !slices.Contains(list, t) })
}

// reportOutput tells the kernel that a request has had output, which shows that requests like
// it crash no endpoints.
func (s *Server) reportOutput(rr *routedRequest) {
	s.mu.Lock()
	_, first := s.withoutOutput[rr]
	delete(s.withoutOutput, rr)
	s.mu.Unlock()
	if first {
		s.cfg.Daemon.Post(context.Background(), kernel.OutputSeen{Service: rr.service.Name, Traits: rr.traits})
	}
}

// isOutput reports whether a whole response of a plain service shows that an endpoint has run the request.
// Failures and rejections do not: an endpoint may send them before it begins, while the same request crashes
// others. Load pattern: a few endpoints fail a share of all requests at once, harmful ones among them.
func isOutput(status int) bool {
	return status >= http.StatusOK && status < http.StatusBadRequest
}

// wasAborted reports whether a quarantine has ended the context of a request.
func wasAborted(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errQuarantined) }

// callerGone reports whether the context of a request ended because its caller has gone.
func callerGone(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !wasAborted(ctx) && !wasStopped(ctx)
}
