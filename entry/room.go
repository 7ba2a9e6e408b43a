package entry

import (
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/place"
	"github.com/plantaindeck/plantaindeck/wait"
)

const (
	admitStep     = 30 * time.Millisecond  // between two looks for an engine with room
	patienceShare = 8                      // part of the latency objective that a new request waits for room
	leastPatience = 100 * time.Millisecond // where the route states no objective
	returnSlack   = 200 * time.Millisecond // of a caller's clock and way
)

// Waits a little for an engine with room for the run.
func (r *run) admit() (fleet.Endpoint, bool) {
	s, l := r.server, r.life
	need := place.Need{Tokens: r.tokens}
	share := l.room()
	began := time.Now()
	defer func() { s.counters.waited(l.route.Kind, time.Since(began)) }()
	until := began.Add(l.patience())
	for {
		if e, c, ok := s.chooseFitting(l.service, s.cfg.Centre, need, share, l.tried); ok {
			s.placed(l, c)
			return e, true
		}
		if !time.Now().Before(until) || !wait.For(r.ctx, admitStep) {
			r.cause = errors.New("no engine has room")
			return fleet.Endpoint{}, false
		}
	}
}

// Returns the share of an engine's memory that the request may use. One that
// has less time left than its route gives has been turned away before.
func (l *life) room() float64 {
	switch {
	case l.service.Engine == nil:
		return 0
	case l.priority == 0:
		return place.RoomUrgent
	case l.returned():
		return place.RoomReturned
	}
	return place.RoomNew
}

func (l *life) returned() bool {
	return l.req.Wait > 0 && l.req.Wait < l.route.Timeout-returnSlack
}

// Returns how long a request waits for room before it is turned away. One that
// comes back has nothing to gain from coming back again.
func (l *life) patience() time.Duration {
	if l.returned() {
		return max(l.route.Objective, leastPatience)
	}
	return max(l.route.Objective/patienceShare, leastPatience)
}
