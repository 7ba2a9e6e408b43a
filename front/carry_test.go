package front_test

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/local"
	"github.com/plantaindeck/plantaindeck/relay"
)

// TestCutNodeServesCallers guards against nodes that fail every request while they cannot reach
// the endpoints that documents name and another node can.
func TestCutNodeServesCallers(t *testing.T) {
	d := startDeployment(t, local.Config{Nodes: 2, Services: 2, Engines: 2, DialEndpoint: func(ctx context.Context, node int, target relay.Target) (net.Conn, error) {
		if node == 0 {
			return nil, syscall.ECONNREFUSED
		}
		return relay.DialTCP(ctx, target)
	}})
	const orders = 10
	for i := range orders {
		status, body, _ := doRequest(t, d.FrontAddr(0), request{"POST", "/v1/services/orders/orders", "w1-key", `{"n":1}`, map[string]string{"Idempotency-Key": fmt.Sprint("k", i)}})
		qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%s", body))
		status, body, _ = doRequest(t, d.FrontAddr(0), request{"POST", "/v1/chat/completions", "w1-key", `{"model":"llm","messages":[{"role":"user","content":"hi"}],"max_tokens":20}`, nil})
		qt.Assert(t, status, qt.Equals, 200, qt.Commentf("%s", body))
	}
	qt.Assert(t, orderExecutions(d), qt.Equals, orders)
}
