package front

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/poison"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/wait"
	"github.com/valyala/fasthttp"
)

// traitOf returns a trait: the hash of texts that two requests may have in common.
func traitOf(texts ...string) uint64 {
	h := xxhash.New()
	for _, text := range texts {
		_, _ = h.WriteString(text + "\x00") // never fails
	}
	return h.Sum64()
}

// holdSuspected waits before attempt n of a request that may have crashed endpoints in earlier
// ones, until that has been judged. Load pattern: the retry would crash the next endpoint before
// the nodes know the cause.
func (f *Front) holdSuspected(traits []uint64, n int) {
	if n > 1 && poison.Of(f.cfg.Daemon.State()).Suspected(traits) {
		wait.For(f.ctx, poison.JudgeTime)
	}
}

// checkQuarantine returns an error if requests with the given traits are kept from endpoints.
// It is called before each attempt.
func (f *Front) checkQuarantine(traits []uint64) *apierr.Error {
	state := f.cfg.Daemon.State()
	left := poison.Of(state).Quarantined(time.Now(), member.Of(state), traits)
	if left <= 0 {
		return nil
	}
	return apierr.NotRun(fasthttp.StatusServiceUnavailable, apierr.CodeQuarantined, "requests like this one crash endpoints").WithRetryAfter(left)
}

// reportLost tells the kernel of a request that had no output before err, if its endpoint has
// crashed. It works in the background.
func (f *Front) reportLost(service string, grant kernel.Grant, traits []uint64, err error) {
	var lost *relay.LostError
	if !errors.As(err, &lost) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return
	}
	f.background(func(ctx context.Context) error {
		if f.cfg.Relay.HasEnded(ctx, grant.Addr) {
			f.cfg.Daemon.Post(ctx, kernel.EndpointCrashed{Endpoint: grant.Endpoint, Service: service, Requests: [][]uint64{traits}, Own: traits[:1]})
		}
		return nil
	})
}

// reportOutput tells the kernel that a request has had output.
func (f *Front) reportOutput(service string, traits []uint64) {
	f.cfg.Daemon.Post(f.ctx, kernel.OutputSeen{Service: service, Traits: traits})
}
