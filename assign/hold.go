package assign

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/store"
)

const (
	holdPrefix   = "/plantaindeck/deploy/"
	leaseTime    = 10 * time.Second
	commandTime  = 3 * time.Second // longest flight of a command
	renewPeriod  = 3 * time.Second
	safetyMargin = time.Second // between the last command and the lease's end
)

// Hold is the right of one node to command the engines of one service. It is
// a key in the key-value service that is bound to a lease. The store revision
// at which the key was created is the fencing token: it is higher for each
// later holder.
//
// A Hold is used by one goroutine. Times are of the local monotonic clock.
type Hold struct {
	store   store.Store
	service string
	node    string
	lease   int64
	token   int64
	since   time.Time // when the hold was gained
	until   time.Time // no command may be sent after it; zero without the hold
	renewed time.Time
}

// NewHold returns a hold that is not gained yet.
func NewHold(s store.Store, service, node string) *Hold {
	return &Hold{store: s, service: service, node: node}
}

// Token returns the fencing token.
func (h *Hold) Token() int64 {
	return h.token
}

// Valid reports whether a command may be sent at the time now to an engine. The
// lease must outlast the command's flight. An engine that does not check
// fencing tokens also gets nothing until every command of the former holder
// must have arrived.
func (h *Hold) Valid(now time.Time, checksToken bool) bool {
	if h.until.IsZero() || !now.Before(h.until) {
		return false
	}
	return checksToken || now.Sub(h.since) >= commandTime
}

// Keep gains or renews the hold as needed. Without an answer from the
// key-value service the hold ends by itself.
func (h *Hold) Keep(ctx context.Context, now time.Time) error {
	if h.token == 0 || !h.until.IsZero() && !now.Before(h.until) {
		return h.gain(ctx, now)
	}
	if now.Sub(h.renewed) < renewPeriod {
		return nil
	}
	alive, err := h.store.KeepLease(ctx, h.lease)
	if err != nil {
		return errors.Wrapf(err, "renew hold of %s", h.service)
	}
	if !alive {
		h.drop()
		return nil
	}
	h.extend(now)
	return nil
}

// The lease ran at the latest from now, when the call was sent.
func (h *Hold) extend(now time.Time) {
	h.renewed = now
	h.until = now.Add(leaseTime - commandTime - safetyMargin)
}

func (h *Hold) drop() {
	h.token = 0
	h.until = time.Time{}
}

// Tries to create the key. A key of an earlier try of this node, whose answer
// was lost, is bound to a lease that nobody renews, and lapses.
func (h *Hold) gain(ctx context.Context, now time.Time) error {
	h.drop()
	lease, err := h.store.GrantLease(ctx, int64(leaseTime/time.Second))
	if err != nil {
		return errors.Wrapf(err, "gain hold of %s", h.service)
	}
	key := holdPrefix + h.service
	made, err := h.store.Commit(ctx, []store.Condition{{Key: key}}, []store.Write{{Key: key, Value: []byte(h.node), Lease: lease}})
	if err != nil || !made {
		return errors.Wrapf(err, "gain hold of %s", h.service)
	}
	got, err := h.store.Get(ctx, key)
	if err != nil {
		return errors.Wrapf(err, "read hold of %s", h.service)
	}
	if len(got.Entries) != 1 || string(got.Entries[0].Value) != h.node {
		return nil
	}
	h.lease = lease
	h.token = got.Entries[0].Revision
	h.since = now
	h.extend(now)
	return nil
}
