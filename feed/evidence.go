package feed

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/poison"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/trace"
	"github.com/plantaindeck/plantaindeck/wire"
	"google.golang.org/protobuf/proto"
)

const (
	evidenceEntry    = "plantaindeck/evidence" // key of the evidence of crashes, one entry for all nodes
	evidenceInterval = 250 * time.Millisecond  // between two writes of this node
	evidenceTakeover = 2 * time.Second         // for which the evidence stays unwritten until the next node in rank writes it
	evidenceWriters  = 3                       // nodes that write it, the first in rank included
)

// evidenceState is what a node knows of the evidence in the store. It belongs to the goroutine of KeepEvidence.
type evidenceState struct {
	version uint64    // of the evidence of this node that the store has
	era     int64     // of the store then
	since   time.Time // when the evidence of this node was first seen to differ; zero if it does not
}

// ConflictError says that an entry of the store changed between its read and its write.
type ConflictError struct {
	Key string
}

// Error names the entry.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("entry %s of the store has changed since it was read", e.Key)
}

// KeepEvidence writes the evidence of crashes to the store until ctx ends. Load pattern: a zone of endpoints
// crashes at once, all nodes report each crash, and output clears what is suspected of it piece by piece: all
// of that takes one entry, which one node writes at most once in evidenceInterval.
func (f *Feed) KeepEvidence(ctx context.Context) <-chan error {
	due := time.NewTicker(evidenceInterval)
	context.AfterFunc(ctx, due.Stop)
	var k evidenceState
	return f.saveUntil(ctx, nil, due.C, func(ctx context.Context) error { return f.writeEvidence(ctx, time.Now(), &k) })
}

// writeEvidence writes the evidence of this node to the store, merged with what the store has, if that differs
// and falls to this node. In another era, the store may lack quarantines as well.
func (f *Feed) writeEvidence(ctx context.Context, now time.Time, k *evidenceState) error {
	state, era := f.cfg.Daemon.State(), f.era()
	v, m := poison.Of(state), member.Of(state)
	if era != k.era {
		for _, q := range v.QuarantinesToSave(now, m) {
			f.Save(q)
		}
		k.version = 0
	}
	k.era = era
	if v.EvidenceVersion() == k.version {
		k.since = time.Time{}
		return nil
	}
	if k.since.IsZero() {
		k.since = now
	}
	if rank := poison.EvidenceRank(m); rank >= evidenceWriters || now.Sub(k.since) < time.Duration(rank)*evidenceTakeover {
		return nil
	}
	if err := f.commitEvidence(ctx, now, v); err != nil {
		return err
	}
	k.version, k.since = v.EvidenceVersion(), time.Time{}
	return nil
}

// commitEvidence merges the evidence of a view with that of the store, and writes the result if the store
// lacks a part of it.
func (f *Feed) commitEvidence(ctx context.Context, now time.Time, v *poison.View) error {
	r, err := f.cfg.Store.Get(ctx, evidenceEntry)
	if err != nil {
		return err
	}
	stored, revision := &wire.Evidence{}, int64(0)
	for _, e := range r.Entries {
		revision = e.Revision
		if read, err := decodeEvidence(e); err == nil { // one that cannot be read is replaced
			stored = read
		}
	}
	f.cfg.Daemon.Post(ctx, kernel.EvidenceRead{Evidence: stored})
	merged := v.WithEvidence(now, stored).Evidence(now)
	w := store.Write{Key: evidenceEntry, Delete: len(merged.GetCrashes()) == 0}
	if w.Delete && revision == 0 || !w.Delete && poison.SameEvidence(merged, stored) {
		return nil
	}
	if !w.Delete {
		if w.Value, err = proto.Marshal(merged); err != nil {
			return errors.Wrap(err, "encode the evidence of crashes")
		}
	}
	ok, err := f.cfg.Store.Commit(ctx, []store.Condition{{Key: evidenceEntry, Revision: revision}}, []store.Write{w})
	if err == nil && !ok {
		err = &ConflictError{Key: evidenceEntry}
	}
	if err == nil {
		f.cfg.Daemon.Record(trace.Entry{Kind: "evidence-saved", Routine: true, Detail: fmt.Sprintf("%d crashes, %d bytes", len(merged.GetCrashes()), len(w.Value))})
	}
	return err
}

// decodeEvidence returns the evidence of an entry of the store, which holds none if the entry was deleted.
func decodeEvidence(e store.Entry) (*wire.Evidence, error) {
	read := &wire.Evidence{}
	if e.Deleted {
		return read, nil
	}
	if err := proto.Unmarshal(e.Value, read); err != nil {
		return nil, errors.Wrap(err, e.Key)
	}
	return read, nil
}
