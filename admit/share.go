package admit

import (
	"time"

	"github.com/plantaindeck/plantaindeck/wire"
)

const (
	starvationTimeout = 20 * time.Second // a request that has been queued for this long gets overduePriority
	overduePriority   = 101              // priority of overdue requests; documents set at most 100
	prefillTokenCost  = 0.05             // engine time to prefill a prompt token, in output tokens
	memoryTokenCost   = 1.0 / 4096       // cost of one token of memory held while one output token is made, in output tokens
)

// cost returns the cost of a request to an engine, in output tokens: the time
// for its prompt and its output, and the memory that it holds for that time. A
// request of a plain service costs 1.
func cost(a *wire.Ask, output float64) float64 {
	prompt := float64(a.GetPrompt())
	if prompt == 0 && a.GetLimit() == 0 {
		return 1
	}
	return prefillTokenCost*prompt + output + memoryTokenCost*(prompt+output/2)*output
}

func (sh *Shard) expectedCost(a *wire.Ask) float64 {
	mean, _ := sh.lengthsOf(a).Remaining(0)
	return cost(a, mean)
}

// account is the record of a workspace's charges.
type account struct {
	chargedUntil float64 // virtual time up to which the workspace is charged
	correction   float64 // added to its next charge, in virtual time
}

// withCharge charges a workspace for a request, and returns the request's virtual
// start time, by which the queue is ordered within a priority. Virtual time
// advances to the start time of each granted request, so a workspace that asked
// for little is ahead of one that used more than its share, whatever the number of
// their requests. The start times of one workspace's requests never decrease, so
// they keep their order within a priority.
func (sh *Shard) withCharge(workspace string, cost float64, share int) (*Shard, float64) {
	next := *sh
	acc, _ := sh.accounts.Get(workspace)
	start := max(sh.virtualTime, acc.chargedUntil)
	charge := cost/float64(max(1, share)) + acc.correction
	next.accounts = sh.accounts.Set(workspace, account{chargedUntil: start + max(0, charge), correction: min(0, charge)})
	return &next, start
}

// withCorrection corrects the charge of a request that has ended to its actual
// cost. The correction is applied to the workspace's next charge.
func (sh *Shard) withCorrection(g grantedRequest, tokens int) *Shard {
	acc, ok := sh.accounts.Get(g.ask.GetWorkspace())
	if !ok || g.share == 0 {
		return sh
	}
	next := *sh
	acc.correction += (cost(g.ask, float64(tokens)) - g.charged) / float64(g.share)
	next.accounts = sh.accounts.Set(g.ask.GetWorkspace(), acc)
	return &next
}

// withOverdueFirst moves requests that have been queued for starvationTimeout to
// the front of the queue, so that no class starves.
func (sh *Shard) withOverdueFirst(now time.Time) *Shard {
	next := sh
	for itr := sh.queue.Iterator(); !itr.Done(); {
		at, q, _ := itr.Next()
		if at.priority == overduePriority || now.Sub(q.arrived) < starvationTimeout {
			continue
		}
		moved := *next
		overdue := at
		overdue.priority = overduePriority
		moved.queue = next.queue.Delete(at).Set(overdue, q)
		moved.positions = next.positions.Set(q.ask.GetRequest(), overdue)
		next = &moved
	}
	return next
}
