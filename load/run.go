package load

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/client"
	"github.com/plantaindeck/plantaindeck/wait"
)

// Target is where requests are sent. The set is closed.
type Target interface {
	isTarget()
}

// Nodes sends requests through a deployment.
type Nodes struct {
	Clients []*client.Client // by workspace
	Service string
}

// Engines sends requests to engines directly, as a baseline.
type Engines struct {
	Chooser *Chooser
}

func (Nodes) isTarget()   {}
func (Engines) isTarget() {}

// Run is one run of a plan.
type Run struct {
	Plan     Plan
	Arrivals []Arrival
	Target   Target
	Drain    time.Duration // longest wait for the last answers
	Limit    time.Duration // gap beyond which a stream stalls
	Progress func(done, all int)
}

// Do carries out a run and returns a result for each kind of the mix.
func (r Run) Do(ctx context.Context) []*Result {
	results := make([]*Result, len(r.Plan.Mix.Kinds))
	for i := range results {
		results[i] = newResult(r.Limit)
	}
	started := time.Now()
	ctx, cancel := context.WithDeadline(ctx, started.Add(r.Plan.Duration+r.Drain))
	defer cancel()
	var running sync.WaitGroup
	for i, a := range r.Arrivals {
		due := started.Add(a.At)
		if !wait.For(ctx, time.Until(due)) {
			break
		}
		if r.Progress != nil {
			r.Progress(i, len(r.Arrivals))
		}
		running.Go(func() { results[a.Kind].add(r.send(ctx, a, due)) })
	}
	running.Wait()
	return results
}

func (r Run) send(ctx context.Context, a Arrival, due time.Time) sample {
	s := sample{due: due}
	chat := client.Chat{
		Class:  r.Plan.Mix.Kinds[a.Kind].Class,
		Prompt: prompt(a),
		Limit:  maxOutput,
	}
	take := func(client.Token) error {
		s.tokens = append(s.tokens, time.Now())
		return ctx.Err()
	}
	var err error
	switch t := r.Target.(type) {
	case Nodes:
		chat.Service = t.Service
		_, err = t.Clients[a.Workspace].Stream(ctx, chat, take)
	case Engines:
		chat.Service = "m"
		addr := t.Chooser.start()
		err = t.Chooser.client.Direct(ctx, addr, chat, take)
		t.Chooser.finish(addr)
	}
	s.end = time.Now()
	if err != nil {
		s.err = outcome(err)
	}
	return s
}

func outcome(err error) string {
	var e *apierr.Error
	if errors.As(err, &e) {
		return fmt.Sprintf("%s/%s", e.Outcome, e.Code)
	}
	return "unfinished"
}

// Returns a prompt of the arrival's length, which tells the stand-in engine
// how long its answer is to be.
func prompt(a Arrival) string {
	start := fmt.Sprintf("prefix %d. ", a.Prefix)
	head := start + strings.Repeat("stock ", 256/6) + fmt.Sprintf("[[tokens:%d]] ", a.Output)
	missing := a.Prompt*bytesPerToken - len(head)
	if missing <= 0 {
		return head
	}
	return head + strings.Repeat("x", missing)
}
