package poison

import (
	"fmt"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/wire"
)

// beginSlack is the time before the begin of a quarantine from which output refutes it: by then, the crashes that
// it rests on are known to the nodes that see them.
const beginSlack = judgeInterval

// refutation says which evidence the output of requests refutes. Output of a node is no evidence against
// crashes that the node did not know: it may have come before them. Load pattern: a trait begins to crash
// endpoints, while a node that was cut off, or stood still, saw output of requests with it before.
type refutation struct {
	traits  []uint64
	all     bool                // the output refutes all evidence of the node that has this
	crashes map[crashName]bool  // unless all is set, the crashes that the node with the output knew
	lifted  map[traitSet]uint32 // unless all is set, the numbers of quarantines that began before the output
	doubted map[traitSet]uint32 // the numbers of quarantines of established traits, whose crashes the node with the output knows
}

// crashName identifies a crash.
type crashName struct {
	endpoint    string
	startMillis int64
}

func (c crash) name() crashName { return crashName{c.endpoint, c.startMillis} }

// frame returns the message that tells a refutation to other nodes.
func (r refutation) frame() *wire.Frame {
	w := &wire.Sound{Traits: r.traits, Scoped: !r.all}
	for name := range r.crashes {
		w.Crashes = append(w.Crashes, &wire.Crashed{Endpoint: name.endpoint, Born: name.startMillis})
	}
	for set, number := range r.lifted {
		w.Lifted = append(w.Lifted, &wire.Quarantine{Traits: set.traits(), Number: number})
	}
	for set, number := range r.doubted {
		w.Doubted = append(w.Doubted, &wire.Quarantine{Traits: set.traits(), Number: number})
	}
	return &wire.Frame{Body: &wire.Frame_Sound{Sound: w}}
}

// decodeSound decodes what another node says of output. One of an earlier version does not say which evidence it
// refutes.
func decodeSound(w *wire.Sound) refutation {
	r := newRefutation(w.GetTraits())
	r.all = !w.GetScoped()
	for _, c := range w.GetCrashes() {
		r.crashes[crashName{c.GetEndpoint(), c.GetBorn()}] = true
	}
	for _, q := range w.GetLifted() {
		r.lifted[newTraitSet(q.GetTraits())] = q.GetNumber()
	}
	for _, q := range w.GetDoubted() {
		r.doubted[newTraitSet(q.GetTraits())] = q.GetNumber()
	}
	return r
}

func newRefutation(traits []uint64) refutation {
	return refutation{traits: traits, crashes: map[crashName]bool{}, lifted: map[traitSet]uint32{}, doubted: map[traitSet]uint32{}}
}

// concerns reports whether the output refutes what a crash shows. The quarantines are those of this node.
func (r refutation) concerns(c crash, quarantines quarantines) bool {
	if r.all || r.crashes[c.name()] {
		return true
	}
	for set, number := range r.lifted {
		if q, known := quarantines[set]; known && q.number <= number && !c.at.After(q.began()) && set.hasAny(r.traits) {
			return true
		}
	}
	return false
}

// refute drops the suspicion of traits of requests that had output from the crashes that this refutes, and lifts the
// quarantines that name them and rest on these. It returns what has been refuted.
func (v *View) refute(now time.Time, m *member.View, r refutation) (*View, refutation, []kernel.Effect) {
	refuted := newRefutation(slices.DeleteFunc(slices.Clone(r.traits), func(t uint64) bool { return !v.suspects(t) }))
	if len(refuted.traits) == 0 {
		return v, refuted, nil
	}
	next := *v
	next.crashes = nil
	for _, c := range v.crashes {
		named := slices.DeleteFunc(slices.Clone(refuted.traits), func(t uint64) bool { return !c.names(t) })
		if len(named) > 0 && r.concerns(c, v.quarantines) {
			refuted.crashes[c.name()] = true
			c, next.version = c.withCleared(named), v.version+1
		}
		next.crashes = append(next.crashes, c)
	}
	var effects []kernel.Effect
	for set, q := range v.quarantines.sorted() {
		if q.lifted || !set.hasAny(refuted.traits) || !next.lifts(r, set, q, len(refuted.crashes) > 0) {
			continue
		}
		if number, ok := r.doubted[set]; ok && number >= q.number {
			next.recent = withEstablished(next.recent, refuted.traits)
		}
		refuted.lifted[set] = q.number
		lifted := q
		lifted.lifted = true
		next.quarantines = next.quarantines.with(set, lifted)
		effects = append(effects, save(now, m, set, lifted)...)
		effects = append(effects, kernel.Record{Kind: "quarantine-lifted", Detail: fmt.Sprintf("requests with a trait of %s have had output", set)})
		if rest := set.minus(refuted.traits); rest != "" {
			if _, known := next.quarantines[rest]; !known {
				next.quarantines = next.quarantines.with(rest, q)
				effects = append(effects, save(now, m, rest, q)...)
			}
		}
	}
	return &next, refuted, effects
}

// withEstablished adds traits that are established at another node.
func withEstablished(m *traitMap, traits []uint64) *traitMap {
	for _, t := range traits {
		if _, known := m.Get(t); !known && m.Len() < maxEstablished {
			m = m.Set(t, time.Time{})
		}
	}
	return m
}

// lifts reports whether a refutation lifts a quarantine. The view has the evidence that is left; refuted says that some
// was dropped.
func (v *View) lifts(r refutation, set traitSet, q quarantine, refuted bool) bool {
	return r.all || max(r.lifted[set], r.doubted[set]) >= q.number || refuted && v.crashesUnder(set) < minCrashes
}

// crashesUnder returns how many crashes a set of traits explains.
func (v *View) crashesUnder(set traitSet) int {
	n := 0
	for _, c := range v.crashes {
		if slices.ContainsFunc(c.requests, set.within) {
			n++
		}
	}
	return n
}

// merge stores the quarantines of another node, or of the store, that are newer than those of this one, unless
// this node knows better, and returns what its own output refutes.
func (v *View) merge(now time.Time, list []*wire.Quarantine) (next *View, merged []traitSet, refuted refutation, effects []kernel.Effect) {
	next = &View{}
	*next = *v
	refuted = newRefutation(nil)
	for _, w := range list {
		set, q := decodeQuarantine(now, w)
		if set == "" || !q.replaces(next.quarantines[set]) || q.lifted && next.quarantines[set].isActive(now) && v.crashesUnder(set) >= minCrashes {
			continue
		}
		if q.isActive(now) && v.refuses(set, q, refuted) {
			refuted.traits = append(refuted.traits, v.establishedOf(set)...)
			continue
		}
		wasActive := next.quarantines[set].isActive(now)
		next.quarantines = next.quarantines.with(set, q)
		merged = append(merged, set)
		if q.isActive(now) && !wasActive {
			effects = append(effects, notify(now, set, q, "another node said so")...)
		}
	}
	return next, merged, refuted, effects
}

// establishedOf returns the traits of a set that are established.
func (v *View) establishedOf(set traitSet) []uint64 {
	return slices.DeleteFunc(set.traits(), func(t uint64) bool { return !v.isEstablished(t) })
}

// refuses reports whether this node does not take over the quarantine of a set from another node, and adds
// to refuted what its output refutes. It refuses one of established traits, which a node that has just started
// cannot know, if it has seen output since, or knows the crashes that the quarantine may rest on: it judges
// them itself, as the other node does once it knows that the traits are established.
func (v *View) refuses(set traitSet, q quarantine, refuted refutation) bool {
	established := v.establishedOf(set)
	if len(established) == 0 {
		return false
	}
	refuses := v.crashesUnder(set) >= minCrashes
	if refuses {
		refuted.doubted[set] = q.number
	}
	for _, t := range established {
		if at, _ := v.lastOutput(t); at.After(q.began().Add(-beginSlack)) {
			refuted.lifted[set] = q.number
			refuses = true
		}
		for _, c := range v.crashes {
			if _, ok := c.cleared[t]; ok {
				refuted.crashes[c.name()] = true
				refuses = true
			}
		}
	}
	return refuses
}
