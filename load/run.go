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

// Target says where requests are sent. It is either a NodeTarget or an EngineTarget.
type Target interface {
	isTarget()
}

// NodeTarget is a target that sends requests to the nodes of a deployment.
type NodeTarget struct {
	Clients []*client.Client // one for each workspace of the plan
	Service string
}

// EngineTarget is a target that sends requests directly to engines, which a baseline
// policy chooses.
type EngineTarget struct {
	Chooser *Chooser
}

func (NodeTarget) isTarget()   {}
func (EngineTarget) isTarget() {}

// Run describes one run of a plan.
type Run struct {
	Plan           Plan
	Arrivals       []Arrival
	Target         Target
	DrainTimeout   time.Duration         // longest wait for responses in progress after Plan.Duration
	StallThreshold time.Duration         // longest gap between two tokens that is not a stall
	Progress       func(sent, total int) // called before each request; may be nil
}

// Do carries out the run and returns one result for each kind of the mix. Requests
// that are unfinished after DrainTimeout count as failed.
func (r Run) Do(ctx context.Context) []*Result {
	results := make([]*Result, len(r.Plan.Mix.Kinds))
	for i := range results {
		results[i] = newResult(r.StallThreshold)
	}
	started := time.Now()
	ctx, cancel := context.WithDeadline(ctx, started.Add(r.Plan.Duration+r.DrainTimeout))
	defer cancel()
	var running sync.WaitGroup
	for i, a := range r.Arrivals {
		scheduled := started.Add(a.At)
		if !wait.For(ctx, time.Until(scheduled)) {
			break
		}
		if r.Progress != nil {
			r.Progress(i, len(r.Arrivals))
		}
		running.Go(func() { results[a.Kind].add(r.send(ctx, a, scheduled)) })
	}
	running.Wait()
	return results
}

// send sends one request, waits for the end of its response and returns what
// the caller saw of it.
func (r Run) send(ctx context.Context, a Arrival, scheduled time.Time) sample {
	s := sample{scheduled: scheduled}
	chat := client.Chat{
		Class:     r.Plan.Mix.Kinds[a.Kind].Class,
		Prompt:    promptText(a),
		MaxTokens: maxLengthTokens,
	}
	onToken := func(client.Token) error {
		s.tokens = append(s.tokens, time.Now())
		return ctx.Err()
	}
	var err error
	switch t := r.Target.(type) {
	case NodeTarget:
		chat.Service = t.Service
		_, err = t.Clients[a.Workspace].Stream(ctx, chat, onToken)
	case EngineTarget:
		chat.Service = "m"
		addr := t.Chooser.acquire()
		err = t.Chooser.client.StreamFrom(ctx, addr, chat, onToken)
		t.Chooser.release(addr)
	}
	s.end = time.Now()
	if err != nil {
		s.failure = failureName(err)
	}
	return s
}

// failureName returns the name under which a failed request is counted: the outcome
// and error code that the deployment reported, or "unfinished" for another error.
func failureName(err error) string {
	var e *apierr.Error
	if errors.As(err, &e) {
		return fmt.Sprintf("%s/%s", e.Outcome, e.Code)
	}
	return "unfinished"
}

// promptText returns a prompt of the arrival's length, or a longer one if its
// fixed parts need more. A marker in it tells a fake engine how long its output
// has to be. The first 256 bytes, which decide whether prompts share KV cache,
// depend only on the arrival's prefix.
func promptText(a Arrival) string {
	prefix := fmt.Sprintf("prefix %d. ", a.Prefix)
	head := prefix + strings.Repeat("stock ", 256/6) + fmt.Sprintf("[[tokens:%d]] ", a.OutputTokens)
	padding := a.PromptTokens*bytesPerToken - len(head)
	if padding <= 0 {
		return head
	}
	return head + strings.Repeat("x", padding)
}
