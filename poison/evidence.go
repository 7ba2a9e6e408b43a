package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/plantaindeck/plantaindeck/wire"
	"google.golang.org/protobuf/proto"
)

const (
	maxEvidenceSize = 128 << 10 // bytes of the crashes that are kept in the store; older ones are left out
	evidenceKey     = "evidence"
)

// EvidenceVersion returns a number that changes whenever the evidence does. It is 0 if there has been none.
func (v *View) EvidenceVersion() uint64 { return v.version }

// EvidenceRank returns the rank of this node among those that write the evidence to the store, from 0. All
// nodes have the same evidence, so that one is enough while it reaches the store.
func EvidenceRank(m *member.View) int {
	return owner.Rank(evidenceKey, m.Self().GetId(), m.Owners())
}

// Evidence returns what the store keeps of the crashes: the latest ones, within maxEvidenceSize. Nodes that know
// the same crashes return them in the same order.
func (v *View) Evidence(now time.Time) *wire.Evidence {
	e := &wire.Evidence{Written: now.UnixMilli()}
	size := 0
	for _, c := range slices.Backward(v.crashes) {
		kept := v.keptCrash(now, c)
		if size += proto.Size(kept); size > maxEvidenceSize {
			break
		}
		e.Crashes = append(e.Crashes, kept)
	}
	slices.SortFunc(e.Crashes, func(a, b *wire.KeptCrash) int {
		return cmp.Or(cmp.Compare(a.GetCrash().GetEndpoint(), b.GetCrash().GetEndpoint()), cmp.Compare(a.GetCrash().GetBorn(), b.GetCrash().GetBorn()))
	})
	return e
}

func (v *View) keptCrash(now time.Time, c crash) *wire.KeptCrash {
	kept := &wire.KeptCrash{Crash: c.wire(), Age: now.Sub(c.at).Milliseconds(), Cleared: slices.Sorted(maps.Keys(c.cleared))}
	slices.SortFunc(kept.Crash.Requests, func(a, b *wire.Traits) int { return slices.Compare(a.GetTraits(), b.GetTraits()) })
	kept.Outputs = uint32(max(v.outputsOf(c.service)-c.outputs, 0))
	for _, t := range slices.Sorted(maps.Keys(c.named)) {
		if _, ok := c.established[t]; ok || v.isEstablished(t) {
			kept.Established = append(kept.Established, t)
		}
	}
	return kept
}

// SameEvidence reports whether a and b hold the same crashes.
func SameEvidence(a, b *wire.Evidence) bool {
	timeless := func(e *wire.Evidence) *wire.Evidence {
		e = proto.CloneOf(e)
		e.Written = 0
		for _, c := range e.Crashes {
			c.Age, c.Outputs = 0, 0
		}
		return e
	}
	return proto.Equal(timeless(a), timeless(b))
}

// WithEvidence returns the view with the crashes that the store keeps added to those that it knows. Load
// pattern: requests with a harmful trait come for minutes, and all nodes end, or are replaced one after the
// other, before enough endpoints have crashed.
//
// Written evidence is as old as the clocks of its writer and this node tell. It says which traits were established
// and how much output there was since each crash, without which sound requests would be blamed. What this node knows of a crash
// goes first: a trait that had output at this node since is not suspected again.
func (v *View) WithEvidence(now time.Time, e *wire.Evidence) *View {
	next := *v
	next.crashes = slices.Clone(v.crashes)
	elapsed := min(max(time.Duration(now.UnixMilli()-e.GetWritten())*time.Millisecond, 0), crashTTL)
	joining := v.isJoining(now)
	changed := false
	for _, kept := range e.GetCrashes() {
		c := decodeCrash(kept.GetCrash())
		c.outputs = next.outputsOf(c.service) - int(kept.GetOutputs())
		c.at = now.Add(-elapsed - min(max(time.Duration(kept.GetAge())*time.Millisecond, 0), crashTTL))
		if now.Sub(c.at) >= crashTTL {
			continue
		}
		c.established = traitsIn(nil, kept.GetEstablished())
		if joining {
			next.recent = withEstablished(next.recent, kept.GetEstablished())
		}
		changed = next.addKept(c.withCleared(kept.GetCleared())) || changed
	}
	if !changed {
		return &next
	}
	slices.SortStableFunc(next.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	next.crashes = next.crashes[max(len(next.crashes)-maxCrashes, 0):]
	next.version++
	return &next
}

// addKept adds a crash that the store keeps to the crashes of the view, and reports whether that changed
// them.
func (v *View) addKept(c crash) bool {
	i := slices.IndexFunc(v.crashes, func(known crash) bool { return known.isSame(c) })
	if i < 0 {
		v.crashes = append(v.crashes, c)
		return true
	}
	known := v.crashes[i]
	known.established = traitsIn(known.established, slices.Collect(maps.Keys(c.established)))
	v.crashes[i] = known
	merged := known.withCleared(slices.Collect(maps.Keys(c.cleared))).withMissing(c)
	if len(merged.cleared) == len(known.cleared) && len(merged.requests) == len(known.requests) {
		return false
	}
	v.crashes[i] = merged
	return true
}

// traitsIn returns the traits of a set and of a list as a set.
func traitsIn(set map[uint64]struct{}, list []uint64) map[uint64]struct{} {
	if len(list) == 0 {
		return set
	}
	all := make(map[uint64]struct{}, len(set)+len(list))
	maps.Copy(all, set)
	for _, t := range list {
		all[t] = struct{}{}
	}
	return all
}

// isSame reports whether two reports name the same crash.
func (c crash) isSame(other crash) bool {
	return c.endpoint == other.endpoint && c.startMillis == other.startMillis && (c.startMillis != 0 || c.at.Sub(other.at).Abs() < minRestart)
}

// withCleared returns the crash with traits that are not suspected of it any more.
func (c crash) withCleared(traits []uint64) crash {
	if len(traits) == 0 {
		return c
	}
	c.cleared = traitsIn(c.cleared, traits)
	c.requests = c.withoutCleared(c.requests)
	return c.withNamed()
}

// withoutCleared returns requests without the traits that are not suspected of the crash any more.
func (c crash) withoutCleared(requests [][]uint64) [][]uint64 {
	list := make([][]uint64, len(requests))
	for i, r := range requests {
		list[i] = slices.DeleteFunc(slices.Clone(r), func(t uint64) bool {
			_, cleared := c.cleared[t]
			return cleared
		})
	}
	return list
}

// withMissing returns the crash with those requests of another report of it that it lacks.
func (c crash) withMissing(report crash) crash {
	var missing crash
	for i, r := range c.withoutCleared(report.requests) {
		own := report.ownTrait(i)
		if len(r) > 0 && !c.hasRequest(r, own) {
			missing.requests, missing.own = append(missing.requests, r), append(missing.own, own)
		}
	}
	if len(missing.requests) == 0 {
		return c
	}
	return c.withRequests(missing)
}

// hasRequest reports whether a request ran there with the given traits, the last of which is the one that it
// shares only with its retries, or 0 if that is unknown.
func (c crash) hasRequest(traits []uint64, own uint64) bool {
	for i, r := range c.requests {
		if own != 0 && c.ownTrait(i) == own || own == 0 && slices.Equal(r, traits) {
			return true
		}
	}
	return false
}

// QuarantinesToSave returns the effects that write the active quarantines which fall to this node to the store
// again, as one that was restored from a copy may lack them.
func (v *View) QuarantinesToSave(now time.Time, m *member.View) []kernel.SaveQuarantine {
	var list []kernel.SaveQuarantine
	for set, q := range v.quarantines.sorted() {
		if !q.isActive(now) {
			continue
		}
		for _, e := range save(now, m, set, q) {
			if s, ok := e.(kernel.SaveQuarantine); ok {
				list = append(list, s)
			}
		}
	}
	return list
}
