package assign

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/store"
)

const (
	lockPrefix      = "/plantaindeck/deploy/"
	leaseTTL        = 10 * time.Second
	maxCommandDelay = 3 * time.Second // longest time from sending a command to its arrival
	renewInterval   = 3 * time.Second
	safetyMargin    = time.Second // from the arrival of the last command to the lease's end
)

// Lock lets one node at a time command the engines of a service. It is a key
// in the key-value service that is bound to a lease. The store revision at
// which the key was created is the fencing token: it is higher for each later
// holder.
//
// A Lock is used by one goroutine. Times are of the local monotonic clock.
type Lock struct {
	store      store.Store
	service    string
	node       string
	lease      int64
	era        int64     // of the store, in which the lock was acquired
	restoredAt time.Time // when a later era was noticed; zero for never
	token      int64     // fencing token; zero until the lock is acquired
	acquiredAt time.Time
	validUntil time.Time // no command may be sent from then on; zero until the lock is acquired
	renewedAt  time.Time
}

// NewLock returns a lock that the node has not acquired yet.
func NewLock(s store.Store, service, node string) *Lock {
	return &Lock{store: s, service: service, node: node}
}

// Token returns the fencing token, which may be used only while the lock is
// valid.
func (l *Lock) Token() int64 {
	return l.token
}

// Valid reports whether a command may be sent to an engine at the time now. The
// lease must last until the command has arrived, and the store must not have been
// restored since the lock was acquired. An engine that does not check fencing tokens
// gets no command until those of the former holder of the lock must have arrived; if
// the store was restored, the former holder may rely on its lease for as long as that
// would have lasted.
func (l *Lock) Valid(now time.Time, checksToken bool) bool {
	if l.validUntil.IsZero() || !now.Before(l.validUntil) || l.store.Era() != l.era {
		return false
	}
	return checksToken || now.Sub(l.acquiredAt) >= maxCommandDelay && (l.restoredAt.IsZero() || now.Sub(l.restoredAt) >= leaseTTL)
}

// AcquireOrRenew acquires the lock, or renews its lease when that is due. The
// lock expires by itself if the key-value service does not respond.
func (l *Lock) AcquireOrRenew(ctx context.Context, now time.Time) error {
	if era := l.store.Era(); l.era != era {
		l.era, l.restoredAt = era, now
		l.reset()
	}
	if l.token == 0 || !l.validUntil.IsZero() && !now.Before(l.validUntil) {
		return l.acquire(ctx, now)
	}
	if now.Sub(l.renewedAt) < renewInterval {
		return nil
	}
	alive, err := l.store.RenewLease(ctx, l.lease)
	if err != nil {
		return errors.Wrapf(err, "renew lock of %s", l.service)
	}
	if !alive || l.store.Era() != l.era {
		l.reset()
		return nil
	}
	l.extend(now)
	return nil
}

// extend records that the lease was granted or renewed by a call that began at
// the time now. The key-value service counts the TTL from a later time, so the
// lease does not expire before validUntil assumes.
func (l *Lock) extend(now time.Time) {
	l.renewedAt = now
	l.validUntil = now.Add(leaseTTL - maxCommandDelay - safetyMargin)
}

func (l *Lock) reset() {
	l.token = 0
	l.validUntil = time.Time{}
}

// acquire tries to create the key, and leaves the lock unset if another node
// holds the lock. If an earlier attempt of this node created the key and the
// response was lost, nobody renews that attempt's lease, so the key is removed
// when it expires.
func (l *Lock) acquire(ctx context.Context, now time.Time) error {
	l.reset()
	lease, err := l.store.GrantLease(ctx, int64(leaseTTL/time.Second))
	if err != nil {
		return errors.Wrapf(err, "acquire lock of %s", l.service)
	}
	key := lockPrefix + l.service
	created, err := l.store.Commit(ctx, []store.Condition{{Key: key}}, []store.Write{{Key: key, Value: []byte(l.node), Lease: lease}})
	if err != nil || !created {
		return errors.Wrapf(err, "acquire lock of %s", l.service)
	}
	got, err := l.store.Get(ctx, key)
	if err != nil {
		return errors.Wrapf(err, "read lock of %s", l.service)
	}
	if len(got.Entries) != 1 || string(got.Entries[0].Value) != l.node || got.Era != l.era {
		return nil
	}
	l.lease = lease
	l.token = got.Entries[0].Revision
	l.acquiredAt = now
	l.extend(now)
	return nil
}
