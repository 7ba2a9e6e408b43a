package client_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/client"
	"github.com/plantaindeck/plantaindeck/front"
	"github.com/valyala/fasthttp"
)

// answer is what a fake node does with one request.
type answer string

const (
	lose   answer = "lose"    // reads the request and closes the connection
	notRun answer = "not-run" // answers with an error whose outcome is not-run
	run    answer = "run"     // answers with success
)

// node is a fake node. It gives its answers in order and then repeats the last.
type node struct {
	mu       sync.Mutex
	answers  []answer
	received int
	addr     string
}

func startNode(t *testing.T, answers ...answer) *node {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	n := &node{answers: answers, addr: ln.Addr().String()}
	server := &fasthttp.Server{Handler: n.serve}
	done := make(chan error, 1)
	go func() { done <- server.Serve(ln) }()
	t.Cleanup(func() {
		qt.Check(t, ln.Close(), qt.IsNil)
		<-done
	})
	return n
}

func (n *node) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/v1/addresses" {
		data, err := json.Marshal(front.Addresses{TTL: 60, Addresses: []front.Address{{Addr: n.addr}}})
		if err != nil {
			panic(err)
		}
		ctx.SetBody(data)
		return
	}
	switch n.next() {
	case lose:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
	case notRun:
		apierr.NotRun(fasthttp.StatusServiceUnavailable, apierr.CodeUnavailable, "not now").Write(ctx)
	case run:
		ctx.SetBodyString("done")
	}
}

// next counts a request and returns the answer to it.
func (n *node) next() answer {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.answers[min(n.received, len(n.answers)-1)]
	n.received++
	return a
}

// count returns the number of requests received, without those for addresses.
func (n *node) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.received
}

// TestOutcomes checks which requests a client retries and which outcome it
// reports in the end.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		name       string
		answers    []answer
		key        string
		idempotent bool           // the request is idempotent
		outcome    apierr.Outcome // empty for success
		received   int            // requests that the node receives; 0 for any number
	}{
		{"runs", []answer{run}, "", false, "", 1},
		{"not run, then runs", []answer{notRun, run}, "", false, "", 2},
		{"lost, not idempotent", []answer{lose, run}, "", false, apierr.OutcomeUnknown, 1},
		{"lost, with an idempotency key", []answer{lose, run}, "k", false, "", 2},
		{"lost, idempotent", []answer{lose, run}, "", true, "", 2},
		{"always not run", []answer{notRun}, "", false, apierr.OutcomeNotRun, 0},
		{"lost, then not run", []answer{lose, notRun}, "k", false, apierr.OutcomeUnknown, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := startNode(t, test.answers...)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			c := client.New(client.Config{Nodes: []string{n.addr}})
			_, err := c.Do(ctx, client.Request{Method: "POST", Path: "/x", IdempotencyKey: test.key, Idempotent: test.idempotent})
			var e *apierr.Error
			if errors.As(err, &e) {
				qt.Assert(t, e.Outcome, qt.Equals, test.outcome)
			} else {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, test.outcome, qt.Equals, apierr.Outcome(""))
			}
			if test.received > 0 {
				qt.Assert(t, n.count(), qt.Equals, test.received)
			}
		})
	}
}
