package feed

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/daemon"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/table"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/plantaindeck/plantaindeck/wire"
)

// recordStore holds the record of versions of a service.
type recordStore struct {
	store.Watcher
	record   string
	revision int64 // of the record
	reads    int
}

// ListStale implements store.Watcher.
func (s *recordStore) ListStale(context.Context, string) (store.Range, error) {
	s.reads++
	return store.Range{Entries: []store.Entry{{Key: versionPrefix + "s", Value: []byte(s.record), Revision: s.revision}}}, nil
}

// newDaemon returns a daemon that runs until the test ends.
func newDaemon(t *testing.T) *daemon.Daemon {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	d, err := daemon.New(ctx, daemon.Config{Self: &wire.Member{Id: "127.0.0.1:0"}, Trace: trace.NewRecorder("n", 64), Metrics: metrics.NewSet()})
	qt.Assert(t, err, qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		qt.Assert(t, <-done, qt.IsNil)
	})
	return d
}

// TestMissingRecordsAreRead guards against nodes that begin no streams at a version as the nodes
// that read the store for all are of an older build, which passes on endpoints and no records.
func TestMissingRecordsAreRead(t *testing.T) {
	ctx, d := context.Background(), newDaemon(t)
	s := &recordStore{}
	f := New(Config{Store: s, Daemon: d})
	learn := func(item *wire.Item, err error) {
		qt.Assert(t, err, qt.IsNil)
		d.Post(ctx, kernel.ItemsLearned{Items: []*wire.Item{item}, Complete: true})
	}
	learn(fleet.TableItem(table.Config{Version: 1, Routes: []table.Route{{Resumable: true, Shares: []table.Share{{Service: "s"}}}}}, fleet.Version{Revision: 1}))
	now := time.Unix(100_000, 0)
	for i, step := range []struct{ record, recorded string }{{`{"versions":["v1"]}`, "v1"}, {`{"versions":["v1","v2"]}`, "v2"}} {
		e := fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Addr: "10.0.0.1:80", Version: step.recorded}
		learn(fleet.EndpointItem(e, fleet.Version{Revision: int64(i + 2)}))
		for len(fleet.Of(d.State()).Endpoints("s")) != i+1 {
			time.Sleep(time.Millisecond)
		}
		s.reads = 0
		for _, read := range []struct {
			after time.Duration // since the last check
			reads int           // so far
		}{{0, 0}, {missingRecordDelay - 1, 0}, {1, 1}, {2*missingRecordDelay - 1, 1}, {1, 2}, {4 * missingRecordDelay, 3}, {maxMissingBackoff, 4}, {maxMissingBackoff - 1, 4}} {
			now = now.Add(read.after)
			qt.Assert(t, f.readMissing(ctx, now, fleet.Of(d.State())), qt.IsNil)
			qt.Assert(t, s.reads, qt.Equals, read.reads, qt.Commentf("%s", step.recorded))
		}
		s.record, s.revision, now = step.record, int64(100+i), now.Add(maxMissingBackoff)
		qt.Assert(t, f.readMissing(ctx, now, fleet.Of(d.State())), qt.IsNil)
		for !fleet.Of(d.State()).IsRecorded(e) {
			time.Sleep(time.Millisecond)
		}
		qt.Assert(t, f.readMissing(ctx, now.Add(time.Minute), fleet.Of(d.State())), qt.IsNil)
		qt.Assert(t, s.reads, qt.Equals, 5)
	}
}
