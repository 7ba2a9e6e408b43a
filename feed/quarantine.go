package feed

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/plantaindeck/plantaindeck/wait"
	"github.com/plantaindeck/plantaindeck/wire"
	"google.golang.org/protobuf/proto"
)

const (
	quarantinePrefix = "plantaindeck/quarantines/" // before a hash of the traits
	maxSaved         = 32                          // writes of one transaction
)

// saver holds the quarantines that are to be written to the store.
type saver struct {
	changed chan struct{} // holds a value if pending has changed
	mu      sync.Mutex
	pending map[string]store.Write // by key
}

func newSaver() *saver {
	return &saver{changed: make(chan struct{}, 1), pending: map[string]store.Write{}}
}

// add adds writes. If replace is false, they are older than those that are pending.
func (s *saver) add(replace bool, writes ...store.Write) {
	s.mu.Lock()
	for _, w := range writes {
		if _, pending := s.pending[w.Key]; replace || !pending {
			s.pending[w.Key] = w
		}
	}
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// take removes at most maxSaved writes and returns them.
func (s *saver) take() []store.Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	var writes []store.Write
	for key, w := range s.pending {
		if len(writes) == maxSaved {
			break
		}
		writes = append(writes, w)
		delete(s.pending, key)
	}
	return writes
}

// Save writes a quarantine to the store, or removes it, as soon as the store takes it. It
// returns at once.
func (f *Feed) Save(q kernel.SaveQuarantine) {
	w := store.Write{Key: quarantineKey(q.Traits), Delete: q.Quarantine == nil}
	if !w.Delete {
		value, err := proto.Marshal(q.Quarantine)
		if err != nil {
			f.cfg.Daemon.Record(trace.Entry{Kind: "save-failed", Detail: err.Error()})
			return
		}
		w.Value = value
	}
	f.saver.add(true, w)
}

func quarantineKey(traits []uint64) string {
	return quarantinePrefix + fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprint(traits)))
}

// SaveAll writes to the store what Save has been given, until ctx ends.
func (f *Feed) SaveAll(ctx context.Context) <-chan error {
	return f.saveUntil(ctx, f.saver.changed, nil, f.savePending)
}

// saveUntil calls save when one of the channels has a value, until ctx ends. If save fails, it
// is called again after a backoff.
func (f *Feed) saveUntil(ctx context.Context, changed <-chan struct{}, due <-chan time.Time, save func(ctx context.Context) error) <-chan error {
	done := make(chan error, 1)
	go func() {
		backoff := minRetryBackoff
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
				continue
			case <-changed:
			case <-due:
			}
			err := save(ctx)
			for ; err != nil && ctx.Err() == nil; err = save(ctx) {
				f.cfg.Daemon.Record(trace.Entry{Kind: "save-failed", Detail: err.Error()})
				wait.For(ctx, backoff)
				backoff = min(2*backoff, maxRetryBackoff)
			}
			backoff = minRetryBackoff
		}
		done <- nil
	}()
	return done
}

// savePending makes all pending writes. Those that fail stay pending.
func (f *Feed) savePending(ctx context.Context) error {
	for writes := f.saver.take(); len(writes) > 0; writes = f.saver.take() {
		if _, err := f.cfg.Store.Commit(ctx, nil, writes); err != nil {
			f.saver.add(false, writes...)
			return err
		}
	}
	return nil
}

// decodeQuarantine returns the quarantine of an entry of the store, or nil if the entry holds
// none. It reports whether the key is one of quarantines.
func (f *Feed) decodeQuarantine(e store.Entry) (*wire.Quarantine, bool) {
	if !strings.HasPrefix(e.Key, quarantinePrefix) {
		return nil, false
	}
	if e.Deleted {
		return nil, true
	}
	q := &wire.Quarantine{}
	if err := proto.Unmarshal(e.Value, q); err != nil {
		f.reject(e.Key, "", errors.Wrap(err, e.Key))
		return nil, true
	}
	return q, true
}
