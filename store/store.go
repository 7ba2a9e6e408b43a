// Package store is the interface to the platform's key-value service.
//
// A Client speaks the JSON form of the published etcd v3 API over HTTP: range,
// transaction and lease calls. A transaction whose answer is lost may have
// taken effect, which the client reports as an *UnknownError; the caller
// settles it by reading back what it wrote under an id of its own.
package store

import (
	"context"
	"fmt"
	"time"
)

// Entry is a key with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64 // store revision of the last change
	Deleted  bool  // the key is gone; only from a Watcher
}

// Range is the result of a reading.
type Range struct {
	Entries  []Entry
	Revision int64 // store revision at the time of the reading
}

// Condition holds while a key's last change has a given store revision; zero
// means that the key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write is one change of a transaction.
type Write struct {
	Key    string
	Value  []byte
	Lease  int64 // zero for a key that lasts
	Delete bool
}

// Store is a key-value service. All methods may be used by several goroutines.
type Store interface {
	// Get reads one key. Entries is empty when it does not exist.
	Get(ctx context.Context, key string) (Range, error)
	// List reads the keys with a prefix that changed after a store revision.
	List(ctx context.Context, prefix string, after int64) (Range, error)
	// Commit makes all the writes if every condition holds, and reports
	// whether it did.
	Commit(ctx context.Context, conditions []Condition, writes []Write) (bool, error)
	// GrantLease creates a lease that lapses after some seconds.
	GrantLease(ctx context.Context, seconds int64) (int64, error)
	// KeepLease renews a lease. It reports false when the lease has lapsed.
	KeepLease(ctx context.Context, lease int64) (bool, error)
}

// Watcher is a key-value service that tells of changes.
type Watcher interface {
	Store
	// Watch returns the changes of keys with a prefix after a store revision as
	// soon as there is one, or none after a wait. The next Watch goes on from
	// the revision of the result. A *HistoryError means that the changes are no
	// longer kept, so that List must be called.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Range, error)
	// EndLease ends a lease, and removes the keys that depend on it.
	EndLease(ctx context.Context, lease int64) error
}

// HistoryError says that the service no longer keeps the changes after a
// revision.
type HistoryError struct {
	After int64
}

// Error names the revision.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("store: the changes after revision %d are no longer kept", e.After)
}

// UnavailableError says that a call had no effect because the service could
// not be reached or refused it.
type UnavailableError struct {
	Op  string
	Key string
	Err error
}

// Error describes the call and its cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store: %s %q: service unavailable: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}

// UnknownError says that a write may or may not have taken effect.
type UnknownError struct {
	Op  string
	Key string
	Err error
}

// Error describes the call and its cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("store: %s %q: effect unknown: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error {
	return e.Err
}
