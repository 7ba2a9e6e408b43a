package admit

import (
	"time"

	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	patience      = 20 * time.Second // a request that has waited so long goes first
	firstPriority = 101              // above every priority of a document
	prefillCost   = 0.05             // engine time of a prompt token, in output tokens
	memoryCost    = 1.0 / 4096       // of a token held for the time of an output token
)

// Returns what a request takes of an engine, in output tokens: the time for its
// prompt and its output, and the memory that it holds for that time.
func cost(a *wire.Ask, output float64) float64 {
	prompt := float64(a.GetPrompt())
	if prompt == 0 && a.GetLimit() == 0 {
		return 1
	}
	return prefillCost*prompt + output + memoryCost*(prompt+output/2)*output
}

func (sh *Shard) expectedCost(a *wire.Ask) float64 {
	mean, _ := sh.lengthsOf(a).Remaining(0)
	return cost(a, mean)
}

// account is what a workspace has been charged.
type account struct {
	paid   float64 // virtual time up to which it is charged
	adjust float64 // to be added to its next charge
}

// Charges a workspace for a request, and returns the virtual time at which its request may
// start. Virtual time moves with the work that is granted, so a workspace that
// asked for little is ahead of one that used more than its share, whatever the
// number of their requests. The times of one workspace's requests never
// decrease, so that they keep their order.
func (sh *Shard) withCharge(workspace string, cost float64, share int) (*Shard, float64) {
	next := *sh
	acc, _ := sh.accounts.Get(workspace)
	start := max(sh.virtual, acc.paid)
	charge := cost/float64(max(1, share)) + acc.adjust
	next.accounts = sh.accounts.Set(workspace, account{paid: start + max(0, charge), adjust: min(0, charge)})
	return &next, start
}

// Corrects the charge of a request that has ended by what it really took. The
// correction counts for the next request.
func (sh *Shard) withCorrection(g granted, tokens int) *Shard {
	acc, ok := sh.accounts.Get(g.ask.GetWorkspace())
	if !ok || g.share == 0 {
		return sh
	}
	next := *sh
	acc.adjust += (cost(g.ask, float64(tokens)) - g.charged) / float64(g.share)
	next.accounts = sh.accounts.Set(g.ask.GetWorkspace(), acc)
	return &next
}

// Moves requests that have waited too long to the front of the queue, so that
// no class starves.
func (sh *Shard) withPatience(now time.Time) *Shard {
	next := sh
	for itr := sh.queue.Iterator(); !itr.Done(); {
		at, w, _ := itr.Next()
		if at.priority == firstPriority || now.Sub(w.arrived) < patience {
			continue
		}
		moved := *next
		first := at
		first.priority = firstPriority
		moved.queue = next.queue.Delete(at).Set(first, w)
		moved.places = next.places.Set(w.ask.GetRequest(), first)
		next = &moved
	}
	return next
}
