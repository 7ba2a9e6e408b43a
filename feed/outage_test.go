package feed

import (
	"context"
	"io"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/trace"
)

func TestOutage(t *testing.T) {
	start := time.Unix(100_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for _, test := range []struct {
		name   string
		o      outage
		until  time.Duration // until which removals are held back
		failed bool          // the last call failed, so that they are held back for longer
	}{
		{name: "served", o: outage{}.WithSuccess(start)},
		{name: "cut watch", o: outage{}.WithFailure(start, io.ErrUnexpectedEOF).WithSuccess(at(minOutage - 1))},
		{name: "cut for long", o: outage{}.WithFailure(start, syscall.ECONNRESET).WithFailure(at(time.Second), io.EOF).WithSuccess(at(2 * time.Second)), until: time.Second + outageRemovalDelay},
		{name: "silent", o: outage{}.WithFailure(start, context.DeadlineExceeded).WithSuccess(start), until: outageRemovalDelay},
		{name: "refused after a cut", o: outage{}.WithFailure(start, io.EOF).WithFailure(start, syscall.ECONNREFUSED).WithSuccess(start), until: outageRemovalDelay},
		{name: "not served yet", o: outage{}.WithFailure(start, io.EOF), until: time.Hour, failed: true},
		{name: "cut watch after an outage", o: outage{heldUntil: at(time.Second)}.WithFailure(start, io.EOF).WithSuccess(start), until: time.Second},
		{name: "restored", o: outage{}.WithSuccess(start).WithRestoration(start), until: outageRemovalDelay},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.o.Holds(at(test.until-1)), qt.Equals, test.until > 0)
			qt.Assert(t, test.o.Holds(at(test.until)), qt.Equals, test.failed)
		})
	}
}

// cutStore lists one endpoint and cuts the first watch. The next one returns its removal.
type cutStore struct {
	store.Watcher
	endpoint store.Entry
	cutAt    chan time.Time // receives the time at which the watch is cut
	calls    int            // of Watch
}

// ListStale implements store.Watcher.
func (s *cutStore) ListStale(context.Context, string) (store.Range, error) {
	return store.Range{Entries: []store.Entry{s.endpoint}, Revision: 1}, nil
}

// Watch implements store.Watcher.
func (s *cutStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (store.Range, error) {
	switch s.calls++; s.calls {
	case 1:
		s.cutAt <- time.Now()
		return store.Range{}, &store.UnavailableError{Op: "watch", Err: io.EOF}
	case 2:
		return store.Range{Entries: []store.Entry{{Key: s.endpoint.Key, Revision: 2}}, Revision: 2}, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return store.Range{Revision: after}, ctx.Err()
}

// TestRemovalAfterCutWatch guards against a removal that is held back because the store cut a watch
// just before: requests reached the endpoint for longer than 2 s after it.
func TestRemovalAfterCutWatch(t *testing.T) {
	d := newDaemon(t)
	s := &cutStore{endpoint: store.Entry{Key: "e", Revision: 1}, cutAt: make(chan time.Time, 1)}
	known := fleet.Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:80"}
	f := New(Config{Store: s, Daemon: d, Decode: func(e store.Entry) Change {
		return Endpoint{ID: "e", Record: known, Removed: e.Revision == 2}
	}})
	ctx, cancel := context.WithCancel(context.Background())
	done := f.Run(ctx)
	defer func() {
		cancel()
		qt.Assert(t, <-done, qt.IsNil)
	}()
	cutAt := <-s.cutAt
	isRemoval := func(e trace.Entry) bool { return e.Detail == "endpoint/e era 0 revision 2 removed" }
	for !slices.ContainsFunc(d.Trace().After(0), isRemoval) {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, time.Since(cutAt) < 2*time.Second, qt.IsTrue)
}
