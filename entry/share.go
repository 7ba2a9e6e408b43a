package entry

import (
	"math"
	"time"

	"github.com/plantaindeck/plantaindeck/queue"
)

const (
	shareTime       = 10 * time.Second // over which a workspace's use of a service is averaged
	shortageTime    = 2 * time.Second  // for which shares count after a generation was late or rejected
	negligibleShare = 1.0              // tokens held on average below which a workspace is forgotten
)

// workspaceUse is what a workspace's generations hold of the KV cache of a service's engines,
// and the decayed mean of that over shareTime.
type workspaceUse struct {
	held int // tokens
	mean float64
	at   time.Time // up to which mean has been brought
}

// advance brings the mean up to the time now.
func (u *workspaceUse) advance(now time.Time) {
	if age := now.Sub(u.at); age > 0 {
		k := math.Exp(-float64(age) / float64(shareTime))
		u.mean, u.at = u.mean*k+float64(u.held)*(1-k), now
	}
}

// addHeld changes what the workspace of a generation holds of its service.
func (q *roomQueue) addHeld(now time.Time, rr *routedRequest, tokens int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	sq := q.service(rr.service.Name)
	u, ok := sq.uses[rr.workspace]
	if !ok {
		u = &workspaceUse{at: now}
		sq.uses[rr.workspace] = u
	}
	u.advance(now)
	u.held += tokens
}

// recordShortage records that a generation was late or rejected.
func (q *roomQueue) recordShortage(now time.Time, service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.service(service).shortUntil = now.Add(shortageTime)
}

// shares returns what each workspace uses of the service at this node relative to an equal
// share, in hundredths, or nil while there is no shortage. The mutex is held.
func (sq *serviceQueue) shares(now time.Time) map[string]int {
	if !now.Before(sq.shortUntil) {
		return nil
	}
	total := 0.0
	for name, u := range sq.uses {
		if u.advance(now); u.held == 0 && u.mean < negligibleShare {
			delete(sq.uses, name)
		}
		total += u.mean
	}
	if total == 0 {
		return nil
	}
	shares := make(map[string]int, len(sq.uses))
	for name, u := range sq.uses {
		shares[name] = int(100 * u.mean * float64(len(sq.uses)) / total)
	}
	return shares
}

// current returns the waiting request of w with the share of its workspace.
func (w *waiter) current(shares map[string]int) queue.Request {
	r := w.request
	r.Share = shares[w.workspace]
	return r
}
