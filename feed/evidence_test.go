package feed

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/poison"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/wire"
	"google.golang.org/protobuf/proto"
)

// revisionStore is a memoryStore that checks conditions.
type revisionStore struct {
	memoryStore
	era      int64
	writes   int
	onCommit func() // called before a commit; may be nil
}

func (s *revisionStore) Era() int64 { return s.era }

// Get implements store.Store.
func (s *revisionStore) Get(_ context.Context, key string) (store.Range, error) {
	if e, ok := s.entries[key]; ok {
		return store.Range{Entries: []store.Entry{e}}, nil
	}
	return store.Range{}, nil
}

// Commit implements store.Store.
func (s *revisionStore) Commit(_ context.Context, conditions []store.Condition, writes []store.Write) (bool, error) {
	if s.onCommit != nil {
		s.onCommit()
	}
	for _, c := range conditions {
		if s.entries[c.Key].Revision != c.Revision {
			return false, nil
		}
	}
	for _, w := range writes {
		s.writes++
		if w.Delete {
			delete(s.entries, w.Key)
			continue
		}
		s.entries[w.Key] = store.Entry{Key: w.Key, Value: w.Value, Revision: int64(s.writes)}
	}
	return true, nil
}

// crashes returns the number of crashes in the store.
func (s *revisionStore) crashes(t *testing.T) int {
	t.Helper()
	e, err := decodeEvidence(s.entries[evidenceEntry])
	qt.Assert(t, err, qt.IsNil)
	return len(e.GetCrashes())
}

// TestEvidenceIsMerged guards against evidence that one writer overwrites, that is written when the store has it,
// that a restored store lacks, and that cannot be written since the entry cannot be read.
func TestEvidenceIsMerged(t *testing.T) {
	ctx, now, d := context.Background(), time.Now(), newDaemon(t)
	s := &revisionStore{memoryStore: memoryStore{entries: map[string]store.Entry{}}}
	f := New(Config{Store: s, Daemon: d, Self: &wire.Member{Id: "127.0.0.1:0"}})
	var k evidenceState
	crash := func(endpoint string) {
		before := poison.Of(d.State()).EvidenceVersion()
		d.Post(ctx, kernel.EndpointCrashed{Endpoint: endpoint, StartMillis: 1, Requests: [][]uint64{{1, 2}}})
		for poison.Of(d.State()).EvidenceVersion() == before {
			time.Sleep(time.Millisecond)
		}
	}
	qt.Assert(t, f.writeEvidence(ctx, now, &k), qt.IsNil)
	qt.Assert(t, s.writes, qt.Equals, 0)

	s.entries[evidenceEntry] = store.Entry{Key: evidenceEntry, Value: []byte("\xff"), Revision: -1}
	crash("e-1")
	qt.Assert(t, f.writeEvidence(ctx, now, &k), qt.IsNil)
	qt.Assert(t, f.writeEvidence(ctx, now, &k), qt.IsNil)
	qt.Assert(t, s.writes, qt.Equals, 1)
	qt.Assert(t, s.crashes(t), qt.Equals, 1)

	// Another node writes between the read and the write.
	crash("e-2")
	value, err := proto.Marshal(&wire.Evidence{Written: now.UnixMilli(), Crashes: []*wire.KeptCrash{{Crash: &wire.Crash{Endpoint: "e-3", Born: 1, Requests: []*wire.Traits{{Traits: []uint64{5}}}}}}})
	qt.Assert(t, err, qt.IsNil)
	s.onCommit = func() { s.entries[evidenceEntry] = store.Entry{Key: evidenceEntry, Value: value, Revision: 100} }
	var conflict *ConflictError
	qt.Assert(t, errors.As(f.writeEvidence(ctx, now, &k), &conflict), qt.IsTrue)
	s.onCommit = nil
	qt.Assert(t, f.writeEvidence(ctx, now, &k), qt.IsNil)
	qt.Assert(t, s.crashes(t), qt.Equals, 3)
	for len(poison.Of(d.State()).Evidence(now).GetCrashes()) < 3 {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, f.writeEvidence(ctx, now, &k), qt.IsNil)
	qt.Assert(t, s.writes, qt.Equals, 2)

	// A restored store lacks the evidence, and a quarantine that has begun.
	d.Post(ctx, kernel.QuarantinesRead{List: []*wire.Quarantine{{Traits: []uint64{8}, Number: 1, Left: 60_000}}})
	for poison.Of(d.State()).Len(now) == 0 {
		time.Sleep(time.Millisecond)
	}
	delete(s.entries, evidenceEntry)
	s.era++
	qt.Assert(t, f.writeEvidence(ctx, now, &k), qt.IsNil)
	qt.Assert(t, s.crashes(t), qt.Equals, 3)
	qt.Assert(t, f.saver.take(), qt.HasLen, 1)
}

// TestEvidenceIsRemoved checks that the entry goes once no crash is evidence any more.
func TestEvidenceIsRemoved(t *testing.T) {
	ctx, now, d := context.Background(), time.Now(), newDaemon(t)
	value, err := proto.Marshal(&wire.Evidence{Written: now.Add(-time.Hour).UnixMilli(), Crashes: []*wire.KeptCrash{{Crash: &wire.Crash{Endpoint: "e", Born: 1}}}})
	qt.Assert(t, err, qt.IsNil)
	s := &revisionStore{memoryStore: memoryStore{entries: map[string]store.Entry{evidenceEntry: {Key: evidenceEntry, Value: value, Revision: 3}}}}
	f := New(Config{Store: s, Daemon: d, Self: &wire.Member{Id: "127.0.0.1:0"}})
	qt.Assert(t, f.commitEvidence(ctx, now, poison.Of(d.State())), qt.IsNil)
	qt.Assert(t, s.entries, qt.HasLen, 0)
}
