package feed

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/plantaindeck/plantaindeck/wait"
	"github.com/plantaindeck/plantaindeck/wire"
	"google.golang.org/protobuf/proto"
)

const (
	quarantinePrefix  = "plantaindeck/quarantines/" // before a hash of the traits
	saveCheckInterval = 200 * time.Millisecond      // between checks of whether there is something to save
	maxSaved          = 32                          // writes of one transaction
)

// saver holds the quarantines that are to be written to the store.
type saver struct {
	mu      sync.Mutex
	pending map[string]store.Write // by key
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
	f.saver.mu.Lock()
	defer f.saver.mu.Unlock()
	f.saver.pending[w.Key] = w
}

func quarantineKey(traits []uint64) string {
	return quarantinePrefix + fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprint(traits)))
}

// SaveAll writes to the store what Save has been given, until ctx ends.
func (f *Feed) SaveAll(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		backoff := saveCheckInterval
		for wait.For(ctx, backoff) {
			if err := f.savePending(ctx); err != nil {
				f.cfg.Daemon.Record(trace.Entry{Kind: "save-failed", Detail: err.Error()})
				backoff = min(2*backoff, maxRetryBackoff)
				continue
			}
			backoff = saveCheckInterval
		}
		done <- nil
	}()
	return done
}

// savePending writes at most maxSaved quarantines.
func (f *Feed) savePending(ctx context.Context) error {
	f.saver.mu.Lock()
	var writes []store.Write
	for key, w := range f.saver.pending {
		if len(writes) == maxSaved {
			break
		}
		writes = append(writes, w)
		delete(f.saver.pending, key)
	}
	f.saver.mu.Unlock()
	if len(writes) == 0 {
		return nil
	}
	_, err := f.cfg.Store.Commit(ctx, nil, writes)
	if err == nil {
		return nil
	}
	f.saver.mu.Lock()
	defer f.saver.mu.Unlock()
	for _, w := range writes {
		if _, newer := f.saver.pending[w.Key]; !newer {
			f.saver.pending[w.Key] = w
		}
	}
	return err
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
		f.cfg.Daemon.Record(trace.Entry{Kind: "entry-unreadable", Detail: e.Key + ": " + err.Error()})
		return nil, true
	}
	return q, true
}
