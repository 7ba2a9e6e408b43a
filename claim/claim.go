// Package claim makes a call that is not idempotent run at most once, however
// often its caller retries it and through however many nodes.
//
// Before a node sends such a call to an endpoint it creates a claim under the
// call's idempotency key, by compare-and-swap in the key-value service. Only
// the request that holds the claim may send the call, and no other request
// takes the claim over: if the holder is gone, the outcome of the call is
// unknown.
//
// Invariants:
//   - At most one request holds a claim that is not free.
//   - Only the request that holds a claim frees it, and only if it has not sent
//     the call and will not.
//   - A claim in StateDone contains the response, which retries of the call
//     receive.
//
// A key-value service that is restored from a copy may have lost claims. The nodes that
// made them write them again from memory, and no node creates a claim before they have
// had the time to. A claim that is lost together with the node that made it is gone.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/wait"
)

const (
	keyPrefix        = "/plantaindeck/claims/"
	retryBackoff     = 50 * time.Millisecond
	maxResponseBytes = 256 << 10 // size of the body of a stored response
)

// State is the state of a claim.
type State string

// The states of a claim.
const (
	StateHeld    State = "held"    // the holder may send the call at any time
	StateDone    State = "done"    // the call ran, and its response is stored
	StateUnknown State = "unknown" // the call may have run
	StateFree    State = "free"    // the call has not run; another request may hold the claim next
)

// Key identifies a call.
type Key struct {
	Service   string
	Workspace string
	Key       string // idempotency key, chosen by the caller
}

// storeKey returns the key of the claim in the key-value service.
func (k Key) storeKey() string {
	sum := sha256.Sum256([]byte(k.Key))
	return keyPrefix + k.Service + "/" + k.Workspace + "/" + hex.EncodeToString(sum[:])
}

// Response is the response to a call that ran.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"type"`
	Body        []byte `json:"body"`
	BodyOmitted bool   `json:"cut"` // the body was too large to store
}

// Record is a claim as the key-value service stores it.
type Record struct {
	State    State    `json:"state"`
	Holder   string   `json:"holder"` // id of the request that holds the claim
	Hash     string   `json:"hash"`   // hash of the call, as returned by Hash
	Response Response `json:"answer"`
}

// ReusedError says that an idempotency key was used for another call before.
type ReusedError struct {
	Key string
}

// Error names the key.
func (e *ReusedError) Error() string {
	return fmt.Sprintf("idempotency key %q was used for another call", e.Key)
}

// HeldError says that another request holds the claim, or held it and left the
// outcome of the call unknown.
type HeldError struct {
	Holder string
	State  State
}

// Error names the request that holds or held the claim.
func (e *HeldError) Error() string {
	if e.State == StateUnknown {
		return fmt.Sprintf("request %s sent the call and its outcome is unknown", e.Holder)
	}
	return fmt.Sprintf("request %s holds the claim of the call and may still send it", e.Holder)
}

// DoneError says that the call has run, and contains its response.
type DoneError struct {
	Response Response
}

// Error gives the status of the response.
func (e *DoneError) Error() string {
	return fmt.Sprintf("the call ran before with status %d", e.Response.Status)
}

// Config describes Claims.
type Config struct {
	Store        store.Store
	CurrentLease func() int64  // returns the lease that new claims are bound to, or 0 for claims that do not expire
	Settle       time.Duration // after a restoration of the service, in which no claim is created
}

// Claims creates claims. It may be used by several goroutines.
type Claims struct {
	cfg    Config
	memory memory
}

// New returns claims over a key-value service.
func New(cfg Config) *Claims {
	return &Claims{cfg: cfg, memory: memory{claims: map[string]remembered{}}}
}

// Claim is the right of one request, the holder, to send a call once.
type Claim struct {
	claims   *Claims
	key      Key
	record   Record
	revision int64 // store revision of the claim when it was last read; 0 if it was never read
	lease    int64 // lease that the claim is bound to; 0 for none
}

// Hash returns a hash of a call, which tells a retry of the call from another
// call under the same idempotency key.
func Hash(method, path string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s\n", method, path)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Begin claims a call for a request. The error is a *DoneError, a *HeldError, a
// *ReusedError, a *SettlingError, or one of package store; after any of them the call
// must not be sent. After an error of package store the claim may exist nevertheless;
// the returned Claim must then be used for Abandon only.
func (c *Claims) Begin(ctx context.Context, key Key, hash, request string) (Claim, error) {
	cl := Claim{claims: c, key: key, record: Record{State: StateHeld, Holder: request, Hash: hash}, lease: c.cfg.CurrentLease()}
	if err := c.checkSettled(time.Now(), false); err != nil {
		return cl, err
	}
	for {
		err := cl.create(ctx)
		if err == nil {
			// The response may have shown that the service was restored.
			err = c.checkSettled(time.Now(), true)
		}
		if err == nil {
			c.memory.put(time.Now(), key.storeKey(), cl.record)
		}
		var unknown *store.UnknownError
		if !errors.As(err, &unknown) {
			return cl, err
		}
		if !wait.For(ctx, retryBackoff) {
			return cl, err
		}
	}
}

// create tries once to create the claim. If another request created it before,
// the error gives the state of the claim. A *store.UnknownError means that
// create must be called again.
func (cl *Claim) create(ctx context.Context) error {
	// Most calls are new, so the claim is not read before the first attempt.
	ok, err := cl.compareAndSwap(ctx, cl.record, cl.revision)
	if err != nil || ok {
		return err
	}
	found, revision, err := cl.claims.read(ctx, cl.key.storeKey())
	if err != nil {
		return err
	}
	if revision == 0 {
		return &store.UnknownError{Op: "claim", Key: cl.key.storeKey(), Err: errors.New("the claim was removed between write and read")}
	}
	cl.revision = revision
	switch {
	case found.Holder == cl.record.Holder && found.State == StateHeld:
		return nil
	case found.Hash != cl.record.Hash:
		return &ReusedError{Key: cl.key.Key}
	case found.State == StateFree:
		return &store.UnknownError{Op: "claim", Key: cl.key.storeKey(), Err: errors.New("the claim has become free")}
	case found.State == StateDone:
		return &DoneError{Response: found.Response}
	}
	return &HeldError{Holder: found.Holder, State: found.State}
}

// compareAndSwap writes r if the claim is at the given store revision, and
// reports whether it did. A revision of 0 means that the claim does not exist.
func (cl *Claim) compareAndSwap(ctx context.Context, r Record, revision int64) (bool, error) {
	return cl.claims.compareAndSwap(ctx, cl.key.storeKey(), r, revision, cl.lease)
}

// compareAndSwap writes a record bound to a lease if the claim is at the given store
// revision, and reports whether it did.
func (c *Claims) compareAndSwap(ctx context.Context, storeKey string, r Record, revision, lease int64) (bool, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return false, errors.Wrap(err, "encode claim")
	}
	conditions := []store.Condition{{Key: storeKey, Revision: revision}}
	return c.cfg.Store.Commit(ctx, conditions, []store.Write{{Key: storeKey, Value: value, Lease: lease}})
}

// read returns a claim and its store revision, which is 0 if it does not exist.
func (c *Claims) read(ctx context.Context, storeKey string) (Record, int64, error) {
	got, err := c.cfg.Store.Get(ctx, storeKey)
	if err != nil || len(got.Entries) == 0 {
		return Record{}, 0, err
	}
	var r Record
	err = json.Unmarshal(got.Entries[0].Value, &r)
	return r, got.Entries[0].Revision, errors.Wrapf(err, "decode %s", storeKey)
}

// Finish records that the call has run, and stores its response.
func (cl Claim) Finish(ctx context.Context, resp Response) error {
	if len(resp.Body) > maxResponseBytes {
		resp.Body = nil
		resp.BodyOmitted = true
	}
	r := cl.record
	r.State = StateDone
	r.Response = resp
	return cl.transition(ctx, r)
}

// MarkUnknown records that the call may have run.
func (cl Claim) MarkUnknown(ctx context.Context) error {
	r := cl.record
	r.State = StateUnknown
	return cl.transition(ctx, r)
}

// Abandon records that the call has not run and will not, so that a later
// request may claim it.
func (cl Claim) Abandon(ctx context.Context) error {
	r := cl.record
	r.State = StateFree
	return cl.transition(ctx, r)
}

// transition changes the claim to r, and retries until ctx ends. It reads the
// claim first, since a write whose response was lost may have created or changed
// it, or may do so later.
func (cl Claim) transition(ctx context.Context, r Record) error {
	cl.claims.memory.put(time.Now(), cl.key.storeKey(), r)
	for {
		found, revision, err := cl.claims.read(ctx, cl.key.storeKey())
		switch {
		case err != nil:
		case revision != 0 && found.Holder != cl.record.Holder:
			return nil // another request holds the claim: cl was never created or has been freed
		case revision != 0 && found.State == r.State:
			return nil
		default:
			var ok bool
			ok, err = cl.compareAndSwap(ctx, r, revision)
			if ok {
				return nil
			}
		}
		if !wait.For(ctx, retryBackoff) {
			if err == nil {
				err = ctx.Err()
			}
			return errors.Wrapf(err, "change the state of claim %s", cl.key.storeKey())
		}
	}
}
