package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/table"
	"github.com/plantaindeck/plantaindeck/wire"
)

// minColdChange is the smallest change of the end of an endpoint's cold time that is worth a
// message. Each of its responses states the time left, which varies with the delay of the
// response.
const minColdChange = 250 * time.Millisecond

// maxColdTime bounds the cold time that a record may state; a longer one is a mistake.
const maxColdTime = time.Hour

// coldMemberMemory is the time for which a node that is declared dead keeps its share of a cold
// endpoint: it may only be cut off and go on sending.
const coldMemberMemory = 2 * time.Minute

// coldJoinTime is the time from its start for which a node sends nothing to cold endpoints. It
// may not know the other members yet, and would take all shares for its own.
const coldJoinTime = 2 * time.Second

// coldState is what an endpoint last said of its being cold, in a record or in a response.
type coldState struct {
	startMillis int64     // start of the endpoint's process
	number      uint32    // of the statement; a higher one replaces a lower one
	until       time.Time // when it ends; zero if the endpoint said that it is not cold
	receivedAt  time.Time // when this node learned of it; zero if the endpoint has said nothing
	byRecord    bool      // the endpoint's record said so, which each node learns by itself
}

// isCold reports whether the endpoint is cold.
func (c coldState) isCold(now time.Time) bool { return now.Before(c.until) }

// replaces reports whether c is newer than old. Of two statements that nodes have noticed at the
// same time, the one with the later end counts.
func (c coldState) replaces(old coldState) bool {
	if order := cmp.Or(cmp.Compare(c.startMillis, old.startMillis), cmp.Compare(c.number, old.number)); order != 0 {
		return order > 0
	}
	return c.until.Sub(old.until) >= minColdChange
}

// after returns the state after a response of the endpoint, and whether that differs from c.
// Responses arrive out of order. One that shortens or ends the cold time counts only if its
// request was sent after c was known, as it may be older than c otherwise.
func (c coldState) after(now time.Time, e kernel.ColdReported) (coldState, bool) {
	next := coldState{startMillis: e.StartMillis, number: 1}
	if e.Left > 0 {
		next.until = now.Add(e.Left)
	}
	if e.StartMillis > c.startMillis || c.receivedAt.IsZero() {
		return next, e.Left > 0
	}
	if e.StartMillis < c.startMillis {
		return c, false
	}
	next.number = c.number + 1
	switch {
	case !c.isCold(now):
		return next, e.Left > 0
	case next.until.Sub(c.until) >= minColdChange:
		return next, true
	}
	return next, c.until.Sub(next.until) >= minColdChange && e.SentAt.After(c.receivedAt)
}

// coldShareOf divides what a cold endpoint can bear among the given nodes. The requests of any
// second, with all bursts, use half of the excess that the bound allows; the other half covers
// requests that are under way when shares change.
func coldShareOf(b table.ColdBound, endpoint, self string, nodes []string) RateShare {
	burst := (b.Excess-1)/2*b.PerSecond + b.Slack/2
	return divideRate(b.PerSecond, math.Max(burst, 1), endpoint, self, nodes)
}

// stricter returns a share that keeps within both.
func (s RateShare) stricter(o RateShare) RateShare {
	return RateShare{Rate: min(s.Rate, o.Rate), Burst: min(s.Burst, o.Burst)}
}

// coldBound returns what a cold endpoint can bear, and whether its service states a bound.
func (v *View) coldBound(e Endpoint) (table.ColdBound, bool) {
	if v.table == nil {
		return table.ColdBound{}, false
	}
	svc, ok := v.table.Service(e.Service)
	if !ok {
		return table.ColdBound{}, false
	}
	return svc.Cold, svc.Cold.PerSecond > 0
}

// IsCold reports whether an endpoint is cold and its service bounds the requests to it.
func (v *View) IsCold(now time.Time, e Endpoint) bool {
	_, bounded := v.coldBound(e)
	c := v.cold[e.ID]
	return bounded && e.StartMillis == c.startMillis && c.isCold(now)
}

// divideCold computes this node's shares of what cold endpoints can bear. An endpoint that also
// states a limit gets the stricter share.
func (v *View) divideCold(now time.Time, m *member.View) {
	var members []string
	for _, p := range m.Peers() {
		dead := p.Member.GetState() == wire.State_DEAD && now.Sub(p.Since) < coldMemberMemory
		if dead || m.Usable(p.Member.GetId()) {
			members = append(members, p.Member.GetId())
		}
	}
	group, occupied := loadGroupAmong(m, members), centresOf(m, members)
	joined := !v.startedAt.IsZero() && now.Sub(v.startedAt) >= coldJoinTime
	for id := range v.cold {
		e, listed := v.Endpoint(id)
		if !listed || !v.IsCold(now, e) {
			continue
		}
		v.coldCount++
		bound, _ := v.coldBound(e)
		share := RateShare{}
		if joined {
			share = coldShareOf(bound, id, m.Self().GetId(), sharersOf(e, group, members, occupied))
		}
		if limit, limited := v.shares[id]; limited {
			share = share.stricter(limit)
		}
		if v.shares == nil {
			v.shares = map[string]RateShare{}
		}
		v.shares[id] = share
	}
}

// ColdCount returns the number of cold endpoints whose services bound the requests to them, as
// of the last Tick.
func (v *View) ColdCount() int { return v.coldCount }

// ChangesCold reports whether a response says something new of an endpoint's being cold.
func (v *View) ChangesCold(now time.Time, e kernel.ColdReported) bool {
	_, changed := v.cold[e.Endpoint].after(now, e)
	return changed
}

// setCold stores a statement and returns the effect that reports it.
func (v *View) setCold(now time.Time, id string, c coldState, source string) kernel.Effect {
	c.receivedAt = now
	v.cold = kernel.CloneMap(v.cold)
	v.cold[id] = c
	if !c.isCold(now) {
		return kernel.Record{Kind: "cold-end", Endpoint: id, Detail: fmt.Sprintf("statement %d by %s: it is not cold any more", c.number, source)}
	}
	return kernel.Record{Kind: "cold", Endpoint: id, Detail: fmt.Sprintf("statement %d by %s: it stays cold for %s", c.number, source, c.until.Sub(now).Round(time.Millisecond))}
}

// setColdByRecord stores what a new record of an endpoint says of its being cold. A record
// without cold time ends it.
func (v *View) setColdByRecord(now time.Time, e Endpoint) []kernel.Effect {
	old, known := v.cold[e.ID]
	if known && e.StartMillis < old.startMillis || e.ColdFor == 0 && !old.isCold(now) {
		return nil
	}
	c := coldState{startMillis: e.StartMillis, byRecord: true}
	if known && e.StartMillis == old.startMillis {
		c.number = old.number
	}
	if e.ColdFor > 0 {
		c.until = now.Add(e.ColdFor)
	}
	return []kernel.Effect{v.setCold(now, e.ID, c, "its record")}
}

// recordCold stores what an endpoint said of its being cold to this node, and tells all other
// nodes at once if that is new.
func (v *View) recordCold(now time.Time, m *member.View, e kernel.ColdReported) (*View, []kernel.Effect) {
	c, changed := v.cold[e.Endpoint].after(now, e)
	if !changed {
		return v, nil
	}
	next := *v
	effect := next.setCold(now, e.Endpoint, c, "its response")
	next.divideLimits(now, m)
	u := &wire.Usage{Changes: true, Contact: next.contactAge(now, m), Cold: []*wire.Cold{c.wire(now, e.Endpoint)}}
	return &next, append(next.sendUsage(m, m.Owners(), u), effect)
}

// mergeCold stores the statements that another node sent, if they are newer.
func (v *View) mergeCold(now time.Time, m *member.View, list []*wire.Cold) []kernel.Effect {
	var effects []kernel.Effect
	for _, w := range list {
		c := coldState{startMillis: w.GetBorn(), number: w.GetNumber()}
		if w.GetLeft() > 0 {
			c.until = now.Add(time.Duration(w.GetLeft()) * time.Millisecond)
		}
		if _, listed := v.Endpoint(w.GetEndpoint()); listed && c.replaces(v.cold[w.GetEndpoint()]) {
			effects = append(effects, v.setCold(now, w.GetEndpoint(), c, "another node"))
		}
	}
	if len(effects) > 0 {
		v.divideLimits(now, m)
	}
	return effects
}

func (c coldState) wire(now time.Time, id string) *wire.Cold {
	left := uint32(0)
	if c.isCold(now) {
		left = uint32(c.until.Sub(now).Milliseconds()) + 1
	}
	return &wire.Cold{Endpoint: id, Born: c.startMillis, Number: c.number, Left: left}
}

// addCold adds the statements to a Usage.
func (v *View) addCold(now time.Time, u *wire.Usage) {
	for _, id := range slices.Sorted(maps.Keys(v.cold)) {
		if v.cold[id].byRecord {
			continue // a node that has just read an old record counts its time from now on
		}
		u.Cold = append(u.Cold, v.cold[id].wire(now, id))
	}
}

// expireCold drops the statements of endpoints that are not listed, and those whose time is over,
// once older messages can no longer arrive.
func (v *View) expireCold(now time.Time) {
	for id, c := range v.cold {
		_, listed := v.Endpoint(id)
		if (!listed || !c.isCold(now)) && now.Sub(c.receivedAt) >= tombstoneTTL {
			v.cold = maps.Clone(v.cold)
			delete(v.cold, id)
		}
	}
}
