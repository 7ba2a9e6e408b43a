package feed

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/wire"
)

// memoryStore holds what is written to it.
type memoryStore struct {
	store.Watcher
	entries map[string]store.Entry
	lists   int
}

func (s *memoryStore) Era() int64                                       { return 0 }
func (s *memoryStore) GrantLease(context.Context, int64) (int64, error) { return 1, nil }

// List implements store.Store.
func (s *memoryStore) List(context.Context, string, int64) (store.Range, error) {
	s.lists++
	var r store.Range
	for _, e := range s.entries {
		r.Entries = append(r.Entries, e)
	}
	return r, nil
}

// Commit implements store.Store.
func (s *memoryStore) Commit(_ context.Context, _ []store.Condition, writes []store.Write) (bool, error) {
	for _, w := range writes {
		s.entries[w.Key] = store.Entry{Key: w.Key, Value: w.Value}
	}
	return true, nil
}

// TestOriginsOfFormerProcessStay guards against a node that starts again within a window and overwrites what
// its former process saved, and against one read for each caller that takes up a stream nobody knows.
func TestOriginsOfFormerProcessStay(t *testing.T) {
	ctx, now, d := context.Background(), time.Unix(100_000, 0), newDaemon(t)
	s := &memoryStore{entries: map[string]store.Entry{}}
	var last *Feed
	for i, request := range []string{"a", "b"} {
		last = New(Config{Store: s, Daemon: d, Self: &wire.Member{Id: "127.0.0.1:1", Incarnation: uint64(i + 1)}})
		last.SaveOrigin(now, kernel.SaveOrigin{Request: request, Service: "s", Version: "v" + request})
		qt.Assert(t, last.writeOrigins(ctx, now), qt.IsNil)
	}
	for _, request := range []string{"a", "b"} {
		o, found, err := last.origins.find(ctx, now, s, request)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, found, qt.IsTrue, qt.Commentf("%s", request))
		qt.Assert(t, o, qt.Equals, kernel.SaveOrigin{Request: request, Service: "s", Version: "v" + request})
	}
	for range 20 {
		_, found, _ := last.origins.find(ctx, now, s, "c")
		qt.Assert(t, found, qt.IsFalse)
	}
	qt.Assert(t, s.lists, qt.Equals, 1)
	_, _, err := last.origins.find(ctx, now.Add(originReadTTL), s, "c")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.lists, qt.Equals, 2)
}
