package admit

import (
	"math"

	"github.com/plantaindeck/plantaindeck/length"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	heldFraction          = 0.8 // fraction of their remaining outputs that requests are expected to hold at the same time
	baseSafetyMargin      = 0.5 // memory kept free if stalls and preemptions have no weight, standard deviations
	safetyMarginPerWeight = 0.1 // added for each point of weight on stalls and preemptions, standard deviations
	minWorkspaceOutputs   = 20  // recent outputs that a workspace needs for a prediction of its own
)

// memoryEstimate is the KV cache that a request is expected to hold, in
// tokens.
type memoryEstimate struct {
	mean     float64
	variance float64
}

// expectedMemory returns the memory that a request with the given number of
// output tokens so far is expected to hold. Requests of plain services hold none.
func (sh *Shard) expectedMemory(a *wire.Ask, tokens int) memoryEstimate {
	if a.GetPrompt() == 0 && a.GetLimit() == 0 {
		return memoryEstimate{}
	}
	remaining, variance := sh.lengthsOf(a).Remaining(tokens)
	if limit := float64(a.GetLimit()); limit > 0 {
		remaining = min(remaining, max(0, limit-float64(tokens)))
	}
	present := float64(a.GetPrompt()) + float64(tokens)
	return memoryEstimate{mean: present + heldFraction*remaining, variance: heldFraction * heldFraction * variance}
}

func classKey(a *wire.Ask) string {
	return a.GetModel() + " " + a.GetClass()
}

func workspaceKey(a *wire.Ask) string {
	return classKey(a) + " " + a.GetWorkspace()
}

// lengthsOf returns the histogram from which the output length of a request is
// predicted: that of its workspace, model and class once it has enough outputs,
// or else that of its model and class.
func (sh *Shard) lengthsOf(a *wire.Ask) length.Histogram {
	if workspace, ok := sh.lengths.Get(workspaceKey(a)); ok && workspace.Weight() >= minWorkspaceOutputs {
		return workspace
	}
	class, _ := sh.lengths.Get(classKey(a))
	return class
}

// withLength adds the length of a complete output to the histograms.
func (sh *Shard) withLength(a *wire.Ask, tokens int) *Shard {
	next := *sh
	for _, key := range []string{classKey(a), workspaceKey(a)} {
		l, _ := next.lengths.Get(key)
		next.lengths = next.lengths.Set(key, l.With(tokens))
	}
	return &next
}

// safetyMargin returns how many standard deviations of the expected memory are
// kept free. It grows with the team's weights on stalls and preemptions.
func safetyMargin(w spec.Weights) float64 {
	return baseSafetyMargin + safetyMarginPerWeight*float64(w.Stall+w.Preempt)
}

// hasMemory reports whether memory, in tokens, suffices for the grants of an
// endpoint and one more request that is expected to hold m, with a margin in
// standard deviations.
func (u usage) hasMemory(memory int, m memoryEstimate, margin float64) bool {
	return u.memoryMean+m.mean+margin*math.Sqrt(u.memoryVariance+m.variance) <= float64(memory)
}
