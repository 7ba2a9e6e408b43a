package claim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/wait"
	"k8s.io/klog/v2"
)

const (
	memoryTime   = 30 * time.Second       // for which a node remembers a claim that it made; longer than a copy of the service is old
	eraCheckTime = 2 * time.Second        // between two looks at the era of the service while this node remembers claims
	rewriteWait  = 100 * time.Millisecond // between two looks at whether the service was restored
	eraKey       = keyPrefix + "era"      // read to learn the era; holds nothing
	rewriteTime  = 9 * time.Second        // longest time for writing all claims again; less than the settling time of a deployment
)

// SettlingError says that no claim may be created yet, since the key-value service was
// restored from a copy and may lack claims.
type SettlingError struct {
	Left     time.Duration
	MayExist bool // the claim was created before that was known, and must be abandoned
}

// Error gives the time that is left.
func (e *SettlingError) Error() string {
	return fmt.Sprintf("the key-value service was restored from a copy; idempotency keys can be claimed again in %s", e.Left.Round(time.Millisecond))
}

// memory holds the claims that this node has made, and when the service was last
// restored.
type memory struct {
	mu         sync.Mutex
	claims     map[string]remembered // by key of the claim
	era        int64                 // of the service, as last noticed
	restoredAt time.Time             // when that era was noticed; zero in the first one
	rewriting  bool                  // the claims have not been written again since then
}

// remembered is a claim as this node last wrote it.
type remembered struct {
	record Record
	at     time.Time
}

// put remembers a claim and forgets old ones.
func (m *memory) put(now time.Time, storeKey string, r Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claims[storeKey] = remembered{record: r, at: now}
	for key, c := range m.claims {
		if now.Sub(c.at) > memoryTime {
			delete(m.claims, key)
		}
	}
}

// observe records the era of the service, and returns when it was last restored.
func (m *memory) observe(now time.Time, era int64) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if era > m.era {
		m.era, m.restoredAt, m.rewriting = era, now, true
	}
	return m.restoredAt
}

// takeLost returns the claims to write again after a restoration, once for each.
func (m *memory) takeLost(now time.Time) map[string]Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	lost := map[string]Record{}
	if !m.rewriting {
		return lost
	}
	m.rewriting = false
	for key, c := range m.claims {
		if now.Sub(c.at) <= memoryTime {
			lost[key] = c.record
		}
	}
	return lost
}

func (m *memory) empty() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.claims) == 0
}

// checkSettled returns a *SettlingError if the service was restored less than the
// settling time ago. The parameter created says whether the claim was created.
func (c *Claims) checkSettled(now time.Time, created bool) error {
	restoredAt := c.memory.observe(now, c.cfg.Store.Era())
	if left := c.cfg.Settle - now.Sub(restoredAt); !restoredAt.IsZero() && left > 0 {
		return &SettlingError{Left: left, MayExist: created}
	}
	return nil
}

// Run writes this node's claims again after each restoration of the service, until ctx
// ends.
func (c *Claims) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		lookedAt := time.Now()
		for wait.For(ctx, rewriteWait) {
			now := time.Now()
			if now.Sub(lookedAt) >= eraCheckTime && !c.memory.empty() {
				lookedAt = now
				if _, err := c.cfg.Store.Get(ctx, eraKey); err != nil {
					klog.V(1).InfoS("Failed to read the era of the key-value service; retrying", "err", err)
				}
			}
			c.memory.observe(now, c.cfg.Store.Era())
			c.rewriteAll(ctx, c.memory.takeLost(now))
		}
		done <- nil
	}()
	return done
}

// rewriteAll makes the service hold claims as this node last wrote them, and retries
// those that fail until rewriteTime is over.
func (c *Claims) rewriteAll(ctx context.Context, lost map[string]Record) {
	ctx, cancel := context.WithTimeout(ctx, rewriteTime)
	defer cancel()
	for len(lost) > 0 {
		var lastErr error
		for key, r := range lost {
			if err := c.rewrite(ctx, key, r); err != nil {
				lastErr = errors.Wrapf(err, "claim %s of request %s", key, r.Holder)
				continue
			}
			delete(lost, key)
		}
		if len(lost) > 0 && !wait.For(ctx, retryBackoff) {
			klog.ErrorS(lastErr, "Failed to write claims again after a restoration of the key-value service", "claims", len(lost))
			return
		}
	}
}

// rewrite tries to make the service hold a claim as this node last wrote it. It replaces
// the claim of another request that found none after the restoration and gave it up, as
// Begin does; while another request holds one, it returns a *HeldError.
func (c *Claims) rewrite(ctx context.Context, storeKey string, r Record) error {
	found, revision, err := c.read(ctx, storeKey)
	switch {
	case err != nil:
		return err
	case r.State == StateFree && (revision == 0 || found.Holder != r.Holder):
		return nil
	case revision != 0 && found.Holder != r.Holder && found.State != StateFree:
		return &HeldError{Holder: found.Holder, State: found.State}
	case revision != 0 && found.Holder == r.Holder && found.State == r.State:
		return nil
	}
	ok, err := c.compareAndSwap(ctx, storeKey, r, revision, c.cfg.CurrentLease())
	if err == nil && !ok {
		return &store.UnknownError{Op: "rewrite", Key: storeKey, Err: errors.New("the claim has changed since it was read")}
	}
	return err
}
