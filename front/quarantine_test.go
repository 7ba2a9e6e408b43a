package front_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/fakes"
	"github.com/plantaindeck/plantaindeck/local"
)

const (
	joinTime   = 3 * time.Second // in which nodes that have just started learn which requests have output
	judgeTime  = time.Second     // from the last crash until its cause is quarantined
	maxCrashes = 4               // one more than suffice to find their cause, as a request may be under way
)

// countEnded returns the number of servers at whose addresses nothing listens any more.
func countEnded(addrs []string) int {
	n := 0
	for _, addr := range addrs {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			n++
			continue
		}
		_ = c.Close()
	}
	return n
}

// TestRequestsCrashEndpoints checks that requests that crash endpoints are kept from them at
// all nodes, while others with the same key are served.
func TestRequestsCrashEndpoints(t *testing.T) {
	chat := func(system, user string) string {
		return fmt.Sprintf(`{"model":"llm","max_tokens":4,"messages":[{"role":"system","content":%q},{"role":"user","content":%q}]}`, system, user)
	}
	messageOfAPrompt := func(t *testing.T, tokensBeforeCrash int) {
		d := startDeployment(t, local.Config{Nodes: 2, Engines: 7})
		var addrs []string
		for _, e := range d.Engines {
			e.SetFaults(fakes.EngineFaults{CrashOn: "harmful", CrashAfter: tokensBeforeCrash})
			addrs = append(addrs, e.Addr())
		}
		time.Sleep(joinTime)
		for i := range 6 {
			status, body, _ := doRequest(t, d.FrontAddr(i%2), request{"POST", "/v1/chat/completions", "w1-key", chat("help", fmt.Sprint("question ", i)), nil})
			qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%s", body))
		}
		for i := range 2 {
			doRequest(t, d.FrontAddr(i%2), request{"POST", "/v1/chat/completions", "w1-key", chat("harmful", fmt.Sprint("question ", i)), nil})
		}
		time.Sleep(judgeTime)
		crashed := countEnded(addrs)
		qt.Assert(t, crashed <= maxCrashes, qt.IsTrue, qt.Commentf("%d engines crashed", crashed))
		for i := range 4 {
			status, body, header := doRequest(t, d.FrontAddr(i%2), request{"POST", "/v1/chat/completions", "w1-key", chat("harmful", fmt.Sprint("late ", i)), nil})
			assertError(t, status, body, 503, apierr.CodeQuarantined)
			qt.Assert(t, string(header.Peek("Retry-After")), qt.Not(qt.Equals), "")
			status, body, _ = doRequest(t, d.FrontAddr(i%2), request{"POST", "/v1/chat/completions", "w1-key", chat("help", fmt.Sprint("late ", i)), nil})
			qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%s", body))
		}
		qt.Assert(t, countEnded(addrs), qt.Equals, crashed)
	}
	for _, tokens := range []int{0, 1} {
		t.Run(fmt.Sprint("message of a prompt, after tokens: ", tokens), func(t *testing.T) { messageOfAPrompt(t, tokens) })
	}
	t.Run("repeated call", func(t *testing.T) {
		d := startDeployment(t, local.Config{Nodes: 2, Engines: 1, Services: 6})
		var addrs []string
		for _, s := range d.Services {
			s.SetFaults(fakes.ServiceFaults{CrashOn: "harmful"})
			addrs = append(addrs, s.Addr())
		}
		time.Sleep(joinTime)
		order := func(node int, body string) (int, []byte) {
			status, answer, _ := doRequest(t, d.FrontAddr(node), request{"POST", "/v1/services/orders/orders", "w1-key", body, nil})
			return status, answer
		}
		for i := range 8 {
			order(i%2, "harmful")
			time.Sleep(judgeTime / 4)
		}
		crashed := countEnded(addrs)
		qt.Assert(t, crashed <= maxCrashes, qt.IsTrue, qt.Commentf("%d servers crashed", crashed))
		for i := range 2 {
			status, body := order(i, "harmful")
			assertError(t, status, body, 503, apierr.CodeQuarantined)
			for range 20 { // an order is not sent again after an endpoint was found to be down
				if status, body = order(i, fmt.Sprint("order ", i)); status == 200 {
					break
				}
			}
			qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%s", body))
		}
	})
}

// TestFailedCallIsNoOutput guards against a call that crashes endpoints and counts as sound, since some endpoints fail
// it before they begin to run it. Each second one does.
func TestFailedCallIsNoOutput(t *testing.T) {
	d := startDeployment(t, local.Config{Nodes: 2, Engines: 1, Services: 8})
	var addrs []string
	for _, s := range d.Services {
		addrs = append(addrs, s.Addr())
	}
	time.Sleep(joinTime)
	failed, status := 0, 0
	for i := 0; i < 4*maxCrashes && status != 503; i++ {
		for _, s := range d.Services {
			s.SetFaults(fakes.ServiceFaults{CrashOn: "harmful", FailRequests: i % 2})
		}
		status, _, _ = doRequest(t, d.FrontAddr(i%2), request{"POST", "/v1/services/orders/orders", "w1-key", "harmful", nil})
		if status == 500 {
			failed++
		}
		time.Sleep(judgeTime / 2)
	}
	crashed := countEnded(addrs)
	qt.Assert(t, crashed <= maxCrashes, qt.IsTrue, qt.Commentf("%d servers crashed, %d calls failed with 500", crashed, failed))
	qt.Assert(t, status, qt.Equals, 503, qt.Commentf("%d servers crashed, %d calls failed with 500", crashed, failed))
}
