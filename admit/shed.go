package admit

import (
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
)

const (
	minRateWindow     = 3 * time.Second  // a priority's rate counts once it has had requests in the queue for this long
	maxRateWindow     = 20 * time.Second // after this time the grants so far count half
	minShedRetryAfter = time.Second      // shortest retry delay advised to a shed request
)

// grantRate counts the grants of a priority that has queued requests.
type grantRate struct {
	since  time.Time // start of the measurement
	grants float64   // since that time; fractional after a halving
}

// perSecond returns the grants per second. It reports false while the window is
// too short to tell.
func (g grantRate) perSecond(now time.Time) (float64, bool) {
	window := now.Sub(g.since)
	if g.since.IsZero() || window < minRateWindow {
		return 0, false
	}
	// A count below 0.5 is taken as 0.5, which means one grant in twice the window.
	return max(g.grants, 0.5) / window.Seconds(), true
}

// withGrantCounted adds a grant to the rate of a priority if that is measured.
func (sh *Shard) withGrantCounted(priority int) *Shard {
	g, ok := sh.grantRates.Get(priority)
	if !ok {
		return sh
	}
	g.grants++
	next := *sh
	next.grantRates = sh.grantRates.Set(priority, g)
	return &next
}

// shed rejects the requests that would not be granted before their deadline at
// the present rate, with a retry delay, so that their callers need not wait for
// the deadline. The requests of a workspace that is over its share are the last
// of their priority, so they are shed first.
func (sh *Shard) shed(now time.Time) (*Shard, []kernel.Effect) {
	if sh.queue.Len() == 0 && sh.grantRates.Len() == 0 {
		return sh, nil
	}
	next := sh
	var effects []kernel.Effect
	queued := map[int]int{}
	for itr := sh.queue.Iterator(); !itr.Done(); {
		_, q, _ := itr.Next()
		ahead := queued[q.priority]
		queued[q.priority]++
		g, _ := sh.grantRates.Get(q.priority)
		perSecond, known := g.perSecond(now)
		if !known {
			continue
		}
		wait := time.Duration(float64(ahead) / perSecond * float64(time.Second))
		if remaining := q.deadline.Sub(now); wait > remaining {
			queued[q.priority]--
			next = next.withoutQueued(q.ask.GetRequest())
			effects = append(effects, refuseEffect(q.entry, q.ask, kernel.ReasonOverload, max(minShedRetryAfter, wait-remaining)))
		}
	}
	return next.withGrantRates(now, queued), effects
}

// withGrantRates starts to measure the grant rate of priorities that have queued
// requests, and stops for those that have none. Beyond maxRateWindow it halves
// the weight of the grants so far.
func (sh *Shard) withGrantRates(now time.Time, queued map[int]int) *Shard {
	next := *sh
	for priority, n := range queued {
		g, ok := sh.grantRates.Get(priority)
		switch {
		case n > 0 && !ok:
			next.grantRates = next.grantRates.Set(priority, grantRate{since: now})
		case ok && now.Sub(g.since) > maxRateWindow:
			next.grantRates = next.grantRates.Set(priority, grantRate{since: now.Add(-maxRateWindow / 2), grants: g.grants / 2})
		}
	}
	for itr := sh.grantRates.Iterator(); !itr.Done(); {
		if priority, _, _ := itr.Next(); queued[priority] == 0 {
			next.grantRates = next.grantRates.Delete(priority)
		}
	}
	return &next
}
