package feed

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/table"
	"github.com/plantaindeck/plantaindeck/wire"
)

// emptyStore holds a routing table and no endpoints, and changes nothing. Its first lists other than stale ones fail.
type emptyStore struct {
	store.Watcher
	failures int
	known    func() bool   // reports whether the node knows the endpoint; other lists than stale ones wait for that
	lists    chan struct{} // receives a value for each list other than a stale one
}

// ListStale implements store.Watcher.
func (s *emptyStore) ListStale(context.Context, string) (store.Range, error) {
	return store.Range{Entries: []store.Entry{{Key: "table", Revision: 1}}, Revision: 5}, nil
}

// List implements store.Store.
func (s *emptyStore) List(ctx context.Context, prefix string, _ int64) (store.Range, error) {
	for len(s.lists) == 0 && !s.known() {
		time.Sleep(time.Millisecond)
	}
	s.lists <- struct{}{}
	if s.failures--; s.failures >= 0 {
		return store.Range{}, &store.UnavailableError{Op: "list"}
	}
	return s.ListStale(ctx, prefix)
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
		s := &emptyStore{failures: failures, lists: make(chan struct{}, 9), known: func() bool { return len(fleet.Of(d.State()).EndpointIDs()) > 0 }}
		f := New(Config{Store: s, Daemon: d, Decode: func(store.Entry) Change { return Table{Config: table.Config{Version: 1}} }})
		ctx, cancel := context.WithCancel(context.Background())
		done := f.Run(ctx)
		for !fleet.Of(d.State()).Ready() {
			time.Sleep(time.Millisecond)
		}
		item, err := fleet.EndpointItem(fleet.Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:80"}, fleet.Version{Revision: 3})
		qt.Assert(t, err, qt.IsNil)
		d.Post(ctx, kernel.ItemsLearned{Items: []*wire.Item{item}})
		for len(fleet.Of(d.State()).EndpointIDs()) > 0 || len(s.lists) == 0 {
			qt.Assert(t, f.Failing(), qt.IsFalse)
			time.Sleep(time.Millisecond)
		}
		cancel()
		qt.Assert(t, <-done, qt.IsNil)
		qt.Assert(t, len(s.lists), qt.Equals, failures+1)
	}
}
