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

// answer is what a node of a test does with one request.
type answer string

const (
	lose   answer = "lose"    // takes the request and breaks the connection
	notRun answer = "not-run" // refuses it
	run    answer = "run"     // answers it
)

// node is a stand-in for a node that follows a list; its last answer repeats.
type node struct {
	mu      sync.Mutex
	answers []answer
	sent    int
	addr    string
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

func (n *node) next() answer {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.answers[min(n.sent, len(n.answers)-1)]
	n.sent++
	return a
}

// Returns how many requests came.
func (n *node) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

// What a client sends again, and what it says in the end.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		answers []answer
		key     string
		repeat  bool
		outcome apierr.Outcome // empty for an answer
		sent    int            // 0 for several
	}{
		{"runs", []answer{run}, "", false, "", 1},
		{"not run, then runs", []answer{notRun, run}, "", false, "", 2},
		{"lost, may not be repeated", []answer{lose, run}, "", false, apierr.OutcomeUnknown, 1},
		{"lost, under a key", []answer{lose, run}, "k", false, "", 2},
		{"lost, idempotent", []answer{lose, run}, "", true, "", 2},
		{"never run", []answer{notRun}, "", false, apierr.OutcomeNotRun, 0},
		{"lost, and then not run", []answer{lose, notRun}, "k", false, apierr.OutcomeUnknown, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := startNode(t, test.answers...)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			c := client.New(client.Config{Nodes: []string{n.addr}})
			_, err := c.Do(ctx, client.Request{Method: "POST", Path: "/x", Key: test.key, Idempotent: test.repeat})
			var e *apierr.Error
			if errors.As(err, &e) {
				qt.Assert(t, e.Outcome, qt.Equals, test.outcome)
			} else {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, test.outcome, qt.Equals, apierr.Outcome(""))
			}
			if test.sent > 0 {
				qt.Assert(t, n.count(), qt.Equals, test.sent)
			}
		})
	}
}
