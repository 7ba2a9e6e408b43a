package feed

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/table"
	"github.com/plantaindeck/plantaindeck/wire"
)

// memoryStore holds what is written to it, and reports no changes.
type memoryStore struct {
	store.Watcher
	entries  map[string]store.Entry
	lists    atomic.Int32 // number of lists so far, without stale ones
	failures int32        // number of these that fail, the first ones
	onList   func()       // called before the first of them; may be nil
}

func (s *memoryStore) Era() int64                                       { return 0 }
func (s *memoryStore) GrantLease(context.Context, int64) (int64, error) { return 1, nil }

// ListStale implements store.Watcher.
func (s *memoryStore) ListStale(context.Context, string) (store.Range, error) {
	return store.Range{Entries: slices.Collect(maps.Values(s.entries)), Revision: 5}, nil
}

// List implements store.Store.
func (s *memoryStore) List(ctx context.Context, prefix string, _ int64) (store.Range, error) {
	if s.onList != nil && s.lists.Load() == 0 {
		s.onList()
	}
	if s.lists.Add(1) <= s.failures {
		return store.Range{}, &store.UnavailableError{Op: "list"}
	}
	return s.ListStale(ctx, prefix)
}

// Watch implements store.Watcher.
func (s *memoryStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (store.Range, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return store.Range{Revision: after}, ctx.Err()
}

// Commit implements store.Store.
func (s *memoryStore) Commit(_ context.Context, _ []store.Condition, writes []store.Write) (bool, error) {
	for _, w := range writes {
		s.entries[w.Key] = store.Entry{Key: w.Key, Value: w.Value}
	}
	return true, nil
}

// TestOriginsOfFormerProcessStay guards against a node that starts again within a window and overwrites what
// its former process saved, against a stream that is saved again each time that a node tells of it, and against
// one read for each caller that takes up a stream nobody knows.
func TestOriginsOfFormerProcessStay(t *testing.T) {
	ctx, now, d := context.Background(), time.Unix(100_000, 0), newDaemon(t)
	s := &memoryStore{entries: map[string]store.Entry{}}
	var f *Feed
	for i, request := range []string{"a", "b"} {
		f = New(Config{Store: s, Daemon: d, Self: &wire.Member{Id: "127.0.0.1:1", Incarnation: uint64(i + 1)}})
		for range 3 {
			f.SaveOrigin(now, kernel.SaveOrigin{Request: request, Service: "s", Version: "v" + request})
			qt.Assert(t, f.writeOrigins(ctx, now), qt.IsNil)
			now = now.Add(originWindow)
		}
		qt.Assert(t, s.entries, qt.HasLen, i+1)
	}
	for i, test := range []struct {
		request string
		found   bool
	}{{"a", true}, {"b", true}, {"c", false}, {"c", false}, {"d", false}} {
		o, found, err := f.origins.find(ctx, now, s, test.request)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, found, qt.Equals, test.found, qt.Commentf("%d", i))
		if found {
			qt.Assert(t, o, qt.Equals, origin{"s", "v" + test.request})
		}
	}
	qt.Assert(t, s.lists.Load(), qt.Equals, int32(1))
	_, _, err := f.origins.find(ctx, now.Add(originReadTTL), s, "c")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.lists.Load(), qt.Equals, int32(2))
}

// TestEndpointOfOlderListIsRemoved guards against an endpoint that is used after its removal, because
// a node learned of it from another one whose stale list was older than its own, so that no watch
// tells of the removal. A list that fails on the way counts as no outage and is repeated.
func TestEndpointOfOlderListIsRemoved(t *testing.T) {
	for _, failures := range []int32{0, 1} {
		d := newDaemon(t)
		ids := func() []string { return fleet.Of(d.State()).EndpointIDs() }
		ctx, cancel := context.WithCancel(context.Background())
		s := &memoryStore{entries: map[string]store.Entry{"table": {Key: "table", Revision: 1}}, failures: failures, onList: func() {
			item, err := fleet.EndpointItem(fleet.Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:80"}, fleet.Version{Revision: 3})
			qt.Check(t, err, qt.IsNil)
			d.Post(ctx, kernel.ItemsLearned{Items: []*wire.Item{item}})
			for len(ids()) == 0 {
				time.Sleep(time.Millisecond)
			}
		}}
		f := New(Config{Store: s, Daemon: d, Decode: func(store.Entry) Change { return Table{Config: table.Config{Version: 1}} }})
		done := f.Run(ctx)
		for len(ids()) > 0 || s.lists.Load() <= failures {
			qt.Assert(t, f.Failing(), qt.IsFalse)
			time.Sleep(time.Millisecond)
		}
		cancel()
		qt.Assert(t, <-done, qt.IsNil)
		qt.Assert(t, s.lists.Load(), qt.Equals, failures+1)
	}
}
