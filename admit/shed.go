package admit

import (
	"time"

	"github.com/plantaindeck/plantaindeck/kernel"
)

const (
	paceTime  = 3 * time.Second  // a priority must queue so long before its pace counts
	paceLimit = 20 * time.Second // older grants count half
	minRetry  = time.Second
)

// pace is how fast a priority that queues gets places.
type pace struct {
	from   time.Time
	grants float64
}

// Returns the places that a priority gets in a second. It reports false while
// that cannot be told.
func (p pace) rate(now time.Time) (float64, bool) {
	busy := now.Sub(p.from)
	if p.from.IsZero() || busy < paceTime {
		return 0, false
	}
	// Without any grant so far the next one is expected to take as long again.
	return max(p.grants, 0.5) / busy.Seconds(), true
}

// Counts a grant of a priority that queues.
func (sh *Shard) withPace(priority int) *Shard {
	p, ok := sh.paces.Get(priority)
	if !ok {
		return sh
	}
	p.grants++
	next := *sh
	next.paces = sh.paces.Set(priority, p)
	return &next
}

// Refuses the requests that will not get a place before their deadline at the
// present pace, at once and with a time to come back. The requests of a
// workspace that is over its share are the last of their priority, so they are
// the first to go.
func (sh *Shard) shed(now time.Time) (*Shard, []kernel.Effect) {
	if sh.queue.Len() == 0 && sh.paces.Len() == 0 {
		return sh, nil
	}
	next := sh
	var effects []kernel.Effect
	queued := map[int]int{}
	for itr := sh.queue.Iterator(); !itr.Done(); {
		_, w, _ := itr.Next()
		ahead := queued[w.priority]
		queued[w.priority]++
		p, _ := sh.paces.Get(w.priority)
		rate, known := p.rate(now)
		if !known {
			continue
		}
		wait := time.Duration(float64(ahead) / rate * float64(time.Second))
		if left := w.deadline.Sub(now); wait > left {
			queued[w.priority]--
			next = next.withoutWaiting(w.ask.GetRequest())
			effects = append(effects, refuse(w.entry, w.ask, kernel.ReasonOverload, max(minRetry, wait-left)))
		}
	}
	return next.withPaces(now, queued), effects
}

// Starts to measure the pace of priorities that queue, and ends it for those
// that do not.
func (sh *Shard) withPaces(now time.Time, queued map[int]int) *Shard {
	next := *sh
	for priority, n := range queued {
		p, ok := sh.paces.Get(priority)
		switch {
		case n > 0 && !ok:
			next.paces = next.paces.Set(priority, pace{from: now})
		case ok && now.Sub(p.from) > paceLimit:
			next.paces = next.paces.Set(priority, pace{from: now.Add(-paceLimit / 2), grants: p.grants / 2})
		}
	}
	for itr := sh.paces.Iterator(); !itr.Done(); {
		if priority, _, _ := itr.Next(); queued[priority] == 0 {
			next.paces = next.paces.Delete(priority)
		}
	}
	return &next
}
