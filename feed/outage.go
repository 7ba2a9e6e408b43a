package feed

import (
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	minOutage          = 500 * time.Millisecond  // a shorter one expires no record: leases last a second or more, and are renewed several times within it
	outageRemovalDelay = 2200 * time.Millisecond // from the last failure; time for expired records to be written again
)

// outage tells from this node's calls of the store how long removals of endpoints are held back,
// since records may have expired while their writers could not renew them. It is immutable.
//
// Load pattern: the store cuts watches while it serves all other calls. A removal that follows
// at once is no consequence of the cut, and requests must cease to reach that endpoint.
type outage struct {
	cutAt     time.Time // when the first of the calls since the last served one was cut; zero if none was
	unserved  bool      // a call since the last served one failed in another way, so that the store may have served nobody before
	failedAt  time.Time // of the last failed call
	heldUntil time.Time // until which removals are held back
}

// WithFailure returns o after a call has failed at the time now.
func (o outage) WithFailure(now time.Time, err error) outage {
	if !isCut(err) {
		o.unserved = true
	} else if o.cutAt.IsZero() {
		o.cutAt = now
	}
	o.failedAt = now
	return o
}

// WithSuccess returns o after the store has served a call at the time now.
func (o outage) WithSuccess(now time.Time) outage {
	if o.unserved || !o.cutAt.IsZero() && now.Sub(o.cutAt) >= minOutage {
		o.heldUntil = o.failedAt.Add(outageRemovalDelay)
	}
	o.cutAt, o.unserved = time.Time{}, false
	return o
}

// WithRestoration returns o after the store was found restored from a copy, which may lack
// records of endpoints that serve.
func (o outage) WithRestoration(now time.Time) outage {
	o.heldUntil = now.Add(outageRemovalDelay)
	return o
}

// Holds reports whether removals are held back.
func (o outage) Holds(now time.Time) bool {
	return o.unserved || !o.cutAt.IsZero() || now.Before(o.heldUntil)
}

// isCut reports whether the connection of a call ended before the whole response had arrived.
func isCut(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}
