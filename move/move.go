// Package move decides what becomes of a running generation whose engine is
// leaving.
//
// Load pattern: engines are reclaimed at a notice of one and a half to two
// seconds, two at a time, every few seconds, while generations last five times
// as long and may not run twice. A generation survives by going on from a copy
// of its KV-cache memory on another engine: either the copy that its backup
// engine has kept from the start, or one that is made within the notice while
// the generation goes on.
//
// Decide is a pure function; package entry carries its decisions out.
package move

import "time"

const (
	// Notice is the time that a leaving engine is counted on to go on. The
	// platform reclaims engines 1.5 s after the notice at the earliest.
	Notice = 1500 * time.Millisecond
	// stayFactor is how many times the expected time to a generation's end must
	// fit the rest of the notice for it to stay. Expected lengths are often wrong
	// by a factor, and a copy that was not needed costs little.
	stayFactor = 3
	// finalAt is the time after the notice before which no generation is stopped
	// for its final copy. Copies queue on the engine's link; by then the long
	// first copies have passed, so that the short final ones do not wait behind
	// them while their generations stand still.
	finalAt = 1050 * time.Millisecond
	// backupAge is the age from which a backup holds the prompt: its copy of some
	// thousand tokens queues on two links.
	backupAge = 1200 * time.Millisecond
	// copyTime is the least time that is left to begin a copy of its own.
	copyTime = 250 * time.Millisecond
	// waitStep is the pause before the next decision on a generation without a
	// first event.
	waitStep = 50 * time.Millisecond
)

// Run is a generation on an engine that is leaving.
type Run struct {
	Age       time.Duration // since the engine was given it
	Events    int           // that have arrived from this engine
	Expected  int           // events that it will probably make there
	Remaining time.Duration // expected until its end
	Heard     time.Duration // since the engine was heard to be leaving
	Backup    bool          // the engine that keeps a copy is listed and stays
	Movable   bool          // engines of the service can copy a running generation
	Failed    int           // copies that were tried within the notice
}

// Action says what to do. The set is closed.
type Action interface {
	isAction()
}

// Stay leaves the generation where it is.
type Stay struct{}

// Switch goes on from the copy on the backup engine.
type Switch struct{}

// Copy moves the generation to an engine that is chosen now.
type Copy struct{}

// Wait decides again later.
type Wait struct {
	For time.Duration
}

func (Stay) isAction()   {}
func (Switch) isAction() {}
func (Copy) isAction()   {}
func (Wait) isAction()   {}

// Decide returns what to do with a run.
func Decide(r Run) Action {
	left := Notice - r.Heard
	switch {
	case r.Events > 0 && 2*r.Events > r.Expected && r.Remaining*stayFactor < left:
		return Stay{}
	case r.Events > 0 && r.Backup && r.Age >= backupAge:
		return Switch{}
	case r.Events > 0 && r.Movable && r.Failed < maxCopies && left >= copyTime:
		return Copy{}
	case left > 0:
		return Wait{For: waitStep}
	}
	return Stay{}
}

// Final returns how long to wait for the final copy of a generation whose
// first copy is complete.
func Final(heard time.Duration) time.Duration {
	return max(0, finalAt-heard)
}

// maxCopies bounds the engines that one generation is offered to.
const maxCopies = 4

// Remaining estimates the time to the end of a generation that has made some
// events, of which it is expected to make a number in all. One that has gone
// beyond the expectation is expected to go on by a part of what it has made,
// as the lengths have a heavy tail.
func Remaining(made, expected int, elapsed time.Duration) time.Duration {
	if made == 0 {
		return time.Hour
	}
	left := max(expected-made, made/overrun)
	pace := max(elapsed/time.Duration(made), eventTime)
	return pace * time.Duration(left)
}

// eventTime is the least time between two events of four tokens.
const eventTime = 30 * time.Millisecond

// overrun is the divisor of what a generation beyond its expected length has
// made, which gives what it will still make.
const overrun = 3
