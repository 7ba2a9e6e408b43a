// Package claim lets a call that may not be repeated run at most once, however
// often and through however many nodes its caller sends it.
//
// Before a node hands such a call to an endpoint it creates a claim under the
// call's idempotency key, by compare-and-swap in the key-value service. Only
// the request that made the claim may dispatch the call, and nobody takes a
// claim over: a claim whose holder is gone means that the outcome is unknown.
//
// Invariants:
//   - At most one request holds a claim that is not free.
//   - A claim becomes free only by the request that holds it, which knows that
//     it has not dispatched the call and will not.
//   - A finished claim carries the answer, and repeats of the call get that.
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
	prefix     = "/plantaindeck/claims/"
	retryPause = 50 * time.Millisecond
	maxAnswer  = 256 << 10 // bytes of an answer that a claim keeps
)

// State is how far a claimed call has come.
type State string

// The states of a claim.
const (
	StateHeld    State = "held"    // the holder may dispatch the call at any time
	StateDone    State = "done"    // the call ran, and the answer is kept
	StateUnknown State = "unknown" // the call may have run
	StateFree    State = "free"    // the call has not run
)

// Key names a call.
type Key struct {
	Service   string
	Workspace string
	Key       string // chosen by the caller
}

func (k Key) path() string {
	sum := sha256.Sum256([]byte(k.Key))
	return prefix + k.Service + "/" + k.Workspace + "/" + hex.EncodeToString(sum[:])
}

// Answer is the answer of a finished call.
type Answer struct {
	Status int    `json:"status"`
	Type   string `json:"type"`
	Body   []byte `json:"body"`
	Cut    bool   `json:"cut"` // the body was too large to keep
}

// Record is a claim as it is stored.
type Record struct {
	State  State  `json:"state"`
	Holder string `json:"holder"` // request that holds it
	Hash   string `json:"hash"`   // of the call
	Answer Answer `json:"answer"`
}

// ReusedError says that a key was used before for another call.
type ReusedError struct {
	Key string
}

// Error names the key.
func (e *ReusedError) Error() string {
	return fmt.Sprintf("idempotency key %q was used for another call", e.Key)
}

// HeldError says that another request holds the claim, or that its outcome is
// unknown.
type HeldError struct {
	Holder string
	State  State
}

// Error names the holder.
func (e *HeldError) Error() string {
	if e.State == StateUnknown {
		return fmt.Sprintf("request %s sent the call and its outcome is unknown", e.Holder)
	}
	return fmt.Sprintf("request %s holds the call", e.Holder)
}

// DoneError says that the call has run.
type DoneError struct {
	Answer Answer
}

// Error says that the call has run.
func (e *DoneError) Error() string {
	return fmt.Sprintf("the call ran before with status %d", e.Answer.Status)
}

// Claims makes claims. It may be used by several goroutines.
type Claims struct {
	store store.Store
	lease func() int64
}

// New returns claims over a key-value service. Lease returns the lease that
// new claims are bound to, or 0 for claims that last.
func New(s store.Store, lease func() int64) *Claims {
	return &Claims{store: s, lease: lease}
}

// Ticket is the right to dispatch a call once.
type Ticket struct {
	claims   *Claims
	key      Key
	record   Record
	revision int64 // store revision of the claim; 0 if it was never read
	lease    int64
}

// Hash returns the hash by which calls under one key are compared.
func Hash(method, path string, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s\n", method, path)
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Begin claims a call for a request. Errors are a *DoneError, a *HeldError, a
// *ReusedError, or those of the store; after any of them the call must not be
// dispatched. After an error of the store the claim may exist all the same;
// the ticket is then valid for Abandon only.
func (c *Claims) Begin(ctx context.Context, key Key, hash, request string) (Ticket, error) {
	t := Ticket{claims: c, key: key, record: Record{State: StateHeld, Holder: request, Hash: hash}, lease: c.lease()}
	for {
		err := t.create(ctx)
		var unknown *store.UnknownError
		if !errors.As(err, &unknown) {
			return t, err
		}
		if !wait.For(ctx, retryPause) {
			return t, err
		}
	}
}

// Tries once to create the claim, or to find out who has it.
func (t *Ticket) create(ctx context.Context) error {
	// Most calls are new, so the first try does not read.
	ok, err := t.write(ctx, t.record, t.revision)
	if err != nil || ok {
		return err
	}
	found, revision, err := t.claims.read(ctx, t.key)
	if err != nil {
		return err
	}
	if revision == 0 {
		return &store.UnknownError{Op: "claim", Key: t.key.path(), Err: errors.New("the claim changed meanwhile")}
	}
	t.revision = revision
	switch {
	case found.Holder == t.record.Holder && found.State == StateHeld:
		return nil
	case found.Hash != t.record.Hash:
		return &ReusedError{Key: t.key.Key}
	case found.State == StateFree:
		return &store.UnknownError{Op: "claim", Key: t.key.path(), Err: errors.New("the claim is free again")}
	case found.State == StateDone:
		return &DoneError{Answer: found.Answer}
	}
	return &HeldError{Holder: found.Holder, State: found.State}
}

// Writes a record if the claim is at a store revision.
func (t *Ticket) write(ctx context.Context, r Record, revision int64) (bool, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return false, errors.Wrap(err, "encode claim")
	}
	path := t.key.path()
	conditions := []store.Condition{{Key: path, Revision: revision}}
	return t.claims.store.Commit(ctx, conditions, []store.Write{{Key: path, Value: value, Lease: t.lease}})
}

// Returns a claim and its store revision, which is 0 if it does not exist.
func (c *Claims) read(ctx context.Context, key Key) (Record, int64, error) {
	got, err := c.store.Get(ctx, key.path())
	if err != nil || len(got.Entries) == 0 {
		return Record{}, 0, err
	}
	var r Record
	err = json.Unmarshal(got.Entries[0].Value, &r)
	return r, got.Entries[0].Revision, errors.Wrapf(err, "decode %s", key.path())
}

// Finish stores the answer of the call.
func (t Ticket) Finish(ctx context.Context, a Answer) error {
	if len(a.Body) > maxAnswer {
		a.Body = nil
		a.Cut = true
	}
	r := t.record
	r.State = StateDone
	r.Answer = a
	return t.settle(ctx, r)
}

// Unsure records that the call may have run.
func (t Ticket) Unsure(ctx context.Context) error {
	r := t.record
	r.State = StateUnknown
	return t.settle(ctx, r)
}

// Abandon records that the call has not run and will not, so that a later
// request may claim it.
func (t Ticket) Abandon(ctx context.Context) error {
	r := t.record
	r.State = StateFree
	return t.settle(ctx, r)
}

// Moves the claim that this ticket holds to its next state. A claim that was
// created without an answer, or that may still be created, is found by reading
// back. It repeats until ctx ends.
func (t Ticket) settle(ctx context.Context, r Record) error {
	for {
		found, revision, err := t.claims.read(ctx, t.key)
		switch {
		case err != nil:
		case revision != 0 && found.Holder != t.record.Holder:
			return nil // another request's claim: this one never took effect
		case revision != 0 && found.State == r.State:
			return nil
		default:
			var ok bool
			ok, err = t.write(ctx, r, revision)
			if ok {
				return nil
			}
		}
		if !wait.For(ctx, retryPause) {
			if err == nil {
				err = ctx.Err()
			}
			return errors.Wrapf(err, "settle claim %s", t.key.path())
		}
	}
}
