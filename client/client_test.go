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

// behaviour is what a fake node does with one request.
type behaviour string

const (
	lose   behaviour = "lose"    // reads the request and closes the connection
	notRun behaviour = "not-run" // responds with an error whose outcome is not-run
	run    behaviour = "run"     // responds with success
	odd    behaviour = "odd"     // responds with a status code that HTTP does not define
	low    behaviour = "low"     // responds with one that is below those of errors
)

// node is a fake node. It follows its behaviours in order and then repeats the last.
type node struct {
	mu         sync.Mutex
	behaviours []behaviour
	received   int // requests, without those for addresses
	addr       string
}

func startNode(t *testing.T, behaviours ...behaviour) *node {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	n := &node{behaviours: behaviours, addr: ln.Addr().String()}
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
	switch b := n.next(); b {
	case lose:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
	case odd, low:
		status := map[behaviour]string{odd: "999", low: "000"}[b]
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) {
			_, _ = c.Write([]byte("HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\ndone"))
			_ = c.Close()
		})
	case notRun:
		apierr.NotRun(fasthttp.StatusServiceUnavailable, apierr.CodeUnavailable, "not now").Write(ctx)
	case run:
		ctx.SetBodyString("done")
	}
}

// next counts a request and returns what to do with it.
func (n *node) next() behaviour {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.behaviours[min(n.received, len(n.behaviours)-1)]
	n.received++
	return b
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
		behaviours []behaviour
		key        string // idempotency key; empty for none
		idempotent bool
		outcome    apierr.Outcome // empty for success
		received   int            // requests that the node receives; 0 for any number
	}{
		{"runs", []behaviour{run}, "", false, "", 1},
		{"not run, then runs", []behaviour{notRun, run}, "", false, "", 2},
		{"lost, not idempotent", []behaviour{lose, run}, "", false, apierr.OutcomeUnknown, 1},
		{"lost, with an idempotency key", []behaviour{lose, run}, "k", false, "", 2},
		{"lost, idempotent", []behaviour{lose, run}, "", true, "", 2},
		{"status 999", []behaviour{odd, run}, "", false, apierr.OutcomeUnknown, 1},
		{"status 000", []behaviour{low, run}, "", false, apierr.OutcomeUnknown, 1},
		{"status 000, idempotent", []behaviour{low, run}, "", true, "", 2},
		{"always not run", []behaviour{notRun}, "", false, apierr.OutcomeNotRun, 0},
		{"lost, then not run", []behaviour{lose, notRun}, "k", false, apierr.OutcomeUnknown, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := startNode(t, test.behaviours...)
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
