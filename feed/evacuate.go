package feed

import (
	"context"
	"time"

	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/wire"
)

// evacuationHold is the time for which an evacuation stays in force that a store lacks which was
// restored from a copy. The operator can write the key again in that time. An evacuation that
// never ended could not be ended by the store, which reports no removal of a key that it lacks.
const evacuationHold = time.Minute

// missedEndsTimeout bounds a watch for changes that the store has made.
const missedEndsTimeout = 10 * time.Millisecond

// evacuationItem returns the gossip item for an evacuation.
func evacuationItem(e Evacuation, v fleet.Version) *wire.Item {
	if e.Removed {
		return fleet.EvacuationEndItem(e.Centre, v)
	}
	return fleet.EvacuationItem(e.Centre, v)
}

// recordEra records when an era of the store was first listed. The last list is f.listed.
func (f *Feed) recordEra(now time.Time, era int64) {
	if f.eraSince.IsZero() || f.listed.Era != era {
		f.eraSince = now
	}
}

// postEndedEvacuations ends the evacuations of the listed era that a list of the whole store
// lacks: their keys were removed while this node did not watch.
func (f *Feed) postEndedEvacuations(ctx context.Context, r store.Range) {
	listed := map[string]bool{}
	for _, e := range r.Entries {
		if c, ok := f.cfg.Decode(e).(Evacuation); ok {
			listed[c.Centre] = true
		}
	}
	f.endEvacuations(ctx, func(centre string, v fleet.Version) bool { return v.Era == r.Era && !listed[centre] })
}

// postLapsedEvacuations ends the evacuations of an earlier era that were not written again
// within evacuationHold of the restoration.
func (f *Feed) postLapsedEvacuations(ctx context.Context, now time.Time) {
	if f.eraSince.IsZero() || now.Sub(f.eraSince) < evacuationHold {
		return
	}
	f.endEvacuations(ctx, func(_ string, v fleet.Version) bool { return v.Era < f.listed.Era })
}

// endEvacuations ends the evacuations for which ended is true, as of the last list.
func (f *Feed) endEvacuations(ctx context.Context, ended func(centre string, v fleet.Version) bool) {
	var ends kernel.ItemsLearned
	for centre, v := range fleet.Of(f.cfg.Daemon.State()).Evacuations() {
		if ended(centre, v) {
			ends.Items = append(ends.Items, fleet.EvacuationEndItem(centre, f.listed))
		}
	}
	if len(ends.Items) > 0 {
		f.cfg.Daemon.Post(ctx, ends)
	}
}

// postMissedEnds ends the evacuations whose keys were removed between the last watch and a list of the same era. The
// list does not show that: it lacks the key of an evacuation of an earlier era also if the operator has not written it
// again.
func (f *Feed) postMissedEnds(ctx context.Context, last, listed fleet.Version) error {
	if listed.Era != last.Era || listed.Revision <= last.Revision {
		return nil
	}
	r, err := f.cfg.Store.Watch(ctx, "", last.Revision, missedEndsTimeout)
	if err != nil {
		return err
	}
	if r.Era != last.Era {
		return &store.EraError{Want: last.Era, Got: r.Era}
	}
	var ends kernel.ItemsLearned
	for _, e := range r.Entries {
		if c, ok := f.cfg.Decode(e).(Evacuation); ok && c.Removed {
			ends.Items = append(ends.Items, evacuationItem(c, fleet.Version{Era: r.Era, Revision: e.Revision}))
		}
	}
	if len(ends.Items) > 0 {
		f.cfg.Daemon.Post(ctx, ends)
	}
	return nil
}
