package admit

import (
	"math"

	"github.com/plantaindeck/plantaindeck/guess"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	overlap     = 0.8 // part of the remaining lengths that is held at the same time
	baseSafety  = 0.5 // standard deviations kept free with no weight on stalls
	safetyStep  = 0.1 // more for each point of weight on stalls and preemptions
	enoughToUse = 20  // answers of a workspace before it has a prediction of its own
)

// need is the memory that a request is expected to hold, in tokens.
type need struct {
	mean     float64
	variance float64
}

// Returns what a request needs when it has come so far. Requests of plain
// services need none.
func (sh *Shard) need(a *wire.Ask, tokens int) need {
	if a.GetPrompt() == 0 && a.GetLimit() == 0 {
		return need{}
	}
	mean, variance := sh.lengthsOf(a).Remaining(tokens)
	if limit := float64(a.GetLimit()); limit > 0 {
		mean = min(mean, max(0, limit-float64(tokens)))
	}
	held := float64(a.GetPrompt()) + float64(tokens)
	return need{mean: held + overlap*mean, variance: overlap * overlap * variance}
}

func classKey(a *wire.Ask) string {
	return a.GetModel() + " " + a.GetClass()
}

func spaceKey(a *wire.Ask) string {
	return classKey(a) + " " + a.GetWorkspace()
}

// Returns what is known of the lengths of a request's answers: those of its
// workspace once there are enough, or else those of its class.
func (sh *Shard) lengthsOf(a *wire.Ask) guess.Lengths {
	if own, ok := sh.lengths.Get(spaceKey(a)); ok && own.Weight() >= enoughToUse {
		return own
	}
	class, _ := sh.lengths.Get(classKey(a))
	return class
}

// Learns the length of a complete answer.
func (sh *Shard) withLength(a *wire.Ask, tokens int) *Shard {
	next := *sh
	for _, key := range []string{classKey(a), spaceKey(a)} {
		l, _ := next.lengths.Get(key)
		next.lengths = next.lengths.Set(key, l.With(tokens))
	}
	return &next
}

// Returns how many standard deviations of the expected memory are kept free.
// The more a team weighs stalls and preemptions, the more.
func safety(w spec.Weigh) float64 {
	return baseSafety + safetyStep*float64(w.Stall+w.Preempt)
}

// Reports whether memory suffices for what an endpoint holds and one more
// request.
func (u usage) holds(memory int, n need, safety float64) bool {
	return u.mean+n.mean+safety*math.Sqrt(u.variance+n.variance) <= float64(memory)
}
