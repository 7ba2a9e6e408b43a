package feed

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/wire"
)

// emptyStore holds no entries and changes nothing. Its first lists other than stale ones fail.
type emptyStore struct {
	store.Watcher
	failures int
	lists    chan struct{} // receives a value for each list other than a stale one
}

// ListStale implements store.Watcher.
func (s *emptyStore) ListStale(context.Context, string) (store.Range, error) {
	return store.Range{Revision: 5}, nil
}

// List implements store.Store.
func (s *emptyStore) List(context.Context, string, int64) (store.Range, error) {
	s.lists <- struct{}{}
	if s.failures--; s.failures >= 0 {
		return store.Range{}, &store.UnavailableError{Op: "list"}
	}
	return store.Range{Revision: 5}, nil
}

// Watch implements store.Watcher.
func (s *emptyStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (store.Range, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return store.Range{Revision: after}, ctx.Err()
}

// TestEndpointOfOlderListIsRemoved guards against an endpoint that is used after its removal, because
// a node learned of it from another one whose stale list was older than its own, so that no watch
// tells of the removal. A list that fails on the way counts as no outage and is repeated.
func TestEndpointOfOlderListIsRemoved(t *testing.T) {
	for _, failures := range []int{0, 1} {
		d := newDaemon(t)
		s := &emptyStore{failures: failures, lists: make(chan struct{}, 9)}
		f := New(Config{Store: s, Daemon: d, Decode: func(store.Entry) Change { return nil }})
		ctx, cancel := context.WithCancel(context.Background())
		done := f.Run(ctx)
		for !fleet.Of(d.State()).Ready() && len(fleet.Of(d.State()).EndpointIDs()) == 0 {
			item, err := fleet.EndpointItem(fleet.Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:80"}, fleet.Version{Revision: 3})
			qt.Assert(t, err, qt.IsNil)
			d.Post(ctx, kernel.ItemsLearned{Items: []*wire.Item{item}})
			time.Sleep(time.Millisecond)
		}
		for len(fleet.Of(d.State()).EndpointIDs()) > 0 || len(s.lists) == 0 {
			qt.Assert(t, f.Failing(), qt.IsFalse)
			time.Sleep(time.Millisecond)
		}
		cancel()
		qt.Assert(t, <-done, qt.IsNil)
		qt.Assert(t, len(s.lists), qt.Equals, failures+1)
	}
}
