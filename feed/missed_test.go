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

// gapStore is a store in era 1 whose list is newer than the last watch of a node, with changes in between.
type gapStore struct {
	memoryStore
	changes []store.Entry
}

func (s *gapStore) List(context.Context, string, int64) (store.Range, error) {
	return store.Range{Revision: 9, Era: 1}, nil
}

// Watch implements store.Watcher.
func (s *gapStore) Watch(_ context.Context, _ string, after int64, _ time.Duration) (store.Range, error) {
	r := store.Range{Revision: 9, Era: 1}
	for _, e := range s.changes {
		if e.Revision > after {
			r.Entries = append(r.Entries, e)
		}
	}
	return r, nil
}

// TestEvacuationEndsBeforeList guards against an evacuation of an earlier era that stays in force, since its key was
// written and removed between the last watch and the list that confirms the first one.
func TestEvacuationEndsBeforeList(t *testing.T) {
	ctx, d := context.Background(), newDaemon(t)
	s := &gapStore{changes: []store.Entry{{Key: "z", Revision: 7}, {Key: "z", Revision: 8, Deleted: true}}}
	f := New(Config{Store: s, Daemon: d, Self: &wire.Member{Id: "127.0.0.1:0"}, Decode: func(e store.Entry) Change {
		return Evacuation{Centre: e.Key, Removed: e.Deleted}
	}})
	evacuated := func() bool { return fleet.Of(d.State()).IsEvacuated(fleet.Endpoint{Centre: "z"}) }
	d.Post(ctx, kernel.ItemsLearned{Items: []*wire.Item{fleet.EvacuationItem("z", fleet.Version{Revision: 5})}})
	for !evacuated() {
		time.Sleep(time.Millisecond)
	}
	_, confirmAt, err := f.confirm(ctx, fleet.Version{Era: 1, Revision: 6})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, confirmAt.IsZero(), qt.IsTrue)
	for end := time.Now().Add(5 * time.Second); evacuated() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, evacuated(), qt.IsFalse)
}
