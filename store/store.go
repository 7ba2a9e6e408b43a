// Package store is the interface to the platform's key-value service, and a
// client of the etcd v3 API.
//
// Client speaks the JSON form of the API over HTTP: range, transaction and lease
// calls. A transaction whose response is lost may have taken effect, which the
// client reports as an *UnknownError. The caller finds out by reading what it
// wrote, which must therefore contain an id of its own.
//
// The cluster id in the header of each response plays the part of the era: a cluster
// that is restored from a snapshot has a new one. The service must be restored with
// bumped revisions (etcdutl snapshot restore --bump-revision --mark-compacted), so that
// no revision is given out twice: a condition that was computed before then fails, and
// fencing tokens do not fall.
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
	Deleted  bool  // the key was deleted; only set by Watcher.Watch
}

// Range is the result of a read or a watch.
type Range struct {
	Entries  []Entry
	Revision int64 // store revision of the result; of its oldest part if it was read in several
	Newest   int64 // store revision of its newest part; 0 if it was read at once
	Era      int64 // era that the revisions belong to
}

// Condition holds while the last change of a key has the given store revision.
// Zero means that the key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write is one change of a transaction.
type Write struct {
	Key    string
	Value  []byte
	Lease  int64 // the key is removed when the lease expires; zero for none
	Delete bool  // delete the key; Value and Lease are ignored
}

// Store is a key-value service. All methods may be used by several goroutines.
type Store interface {
	// Get reads one key. The result has no entry if the key does not exist.
	Get(ctx context.Context, key string) (Range, error)
	// List reads the keys with a prefix that changed after a store revision.
	List(ctx context.Context, prefix string, after int64) (Range, error)
	// Commit makes all the writes in one transaction if every condition holds,
	// and reports whether it did.
	Commit(ctx context.Context, conditions []Condition, writes []Write) (bool, error)
	// GrantLease creates a lease that expires after a number of seconds.
	GrantLease(ctx context.Context, seconds int64) (int64, error)
	// RenewLease renews a lease. It reports false if the lease has expired.
	RenewLease(ctx context.Context, lease int64) (bool, error)
	// Era returns the highest era that any response has stated, or 0. A service that is
	// restored from a copy begins another era: what was written after the copy was made
	// is gone, leases included.
	Era() int64
}

// Watcher is a key-value service that reports changes. It may give out the same
// revisions and lease ids again in another era, where those of an earlier one mean
// nothing.
type Watcher interface {
	Store
	// Watch waits for changes of keys with a prefix after a store revision. It
	// returns them as soon as there is one, or none when the wait is over. The
	// next Watch starts at the revision of the result. A *CompactedError means
	// that the service no longer has the changes, so that List must be called.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Range, error)
	// ListStale is List of all keys with a prefix, except that the result, or parts
	// of it, may be seconds old. The service limits the rate of such reads less, or
	// not at all.
	ListStale(ctx context.Context, prefix string) (Range, error)
}

// CompactedError says that the service no longer has the changes after a
// revision.
type CompactedError struct {
	After int64
}

// Error names the revision.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: the changes after revision %d are no longer kept", e.After)
}

// EraError says that a result does not belong to the era that was expected: the
// service was restored from a copy in the meantime, or the response is older than the
// last restoration.
type EraError struct {
	Want int64
	Got  int64
}

// Error names the eras.
func (e *EraError) Error() string {
	return fmt.Sprintf("store: the response is of era %d, not %d", e.Got, e.Want)
}

// UnavailableError says that a read has failed, or that a write had no effect
// because the service could not be reached or rejected it.
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
