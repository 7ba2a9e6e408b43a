package front_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/apierr"
	"github.com/plantaindeck/plantaindeck/client"
	"github.com/plantaindeck/plantaindeck/local"
	"github.com/valyala/fasthttp"
)

// assertIDs asserts that ids are the n event ids of one generation, from index 0
// on, in order and without a gap.
func assertIDs(t *testing.T, ids []string, n int) {
	t.Helper()
	qt.Assert(t, len(ids), qt.Equals, n)
	gen, _, _ := strings.Cut(ids[0], "/")
	for i, id := range ids {
		qt.Assert(t, id, qt.Equals, fmt.Sprintf("%s/%d", gen, i))
	}
}

// TestStreamOutlivesItsNode kills the node that relays a stream. The client must
// resume the same generation through another node, without a gap.
func TestStreamOutlivesItsNode(t *testing.T) {
	const tokens = 400
	d := startDeployment(t, local.Config{Nodes: 3, Engines: 1})
	var ids []string
	killed := false
	c := d.Client("w1")
	_, err := c.Stream(context.Background(), client.Chat{Service: "llm", Prompt: fmt.Sprintf("[[tokens:%d]]", tokens)}, func(tok client.Token) error {
		ids = append(ids, tok.ID)
		if len(ids) < 50 || killed {
			return nil
		}
		killed = true
		for i, n := range d.Nodes {
			if n.Daemon().Metrics().GetOrCreateCounter("plantaindeck_tokens_total").Get() > 0 {
				return d.KillNode(i)
			}
		}
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, killed, qt.IsTrue)
	assertIDs(t, ids, tokens)
	qt.Assert(t, d.Engines[0].Counts().Started, qt.Equals, 1, qt.Commentf("the stream must continue its first generation"))
}

// TestStaleAddressOfKilledNode checks that a client whose address list still
// contains a killed node calls another one.
func TestStaleAddressOfKilledNode(t *testing.T) {
	d := startDeployment(t, local.Config{Nodes: 2, Engines: 1, Services: 1})
	c := d.Client("w1")
	stock := client.Request{Method: "GET", Path: "/v1/services/orders/stock", Idempotent: true}
	first, err := c.Do(context.Background(), stock)
	qt.Assert(t, err, qt.IsNil)
	for i := range d.Nodes {
		if d.FrontAddr(i) == first.Addr {
			qt.Assert(t, d.KillNode(i), qt.IsNil)
		}
	}
	second, err := c.Do(context.Background(), stock)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, second.Addr, qt.Not(qt.Equals), first.Addr)
}

// openAndDisconnect starts a stream through node 0, reads the first events and
// closes the connection. It returns the reattach token and the event ids received.
func openAndDisconnect(t *testing.T, d *local.Deployment, tokens int) (string, []string) {
	t.Helper()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{StreamBody: true}
	req.SetRequestURI("http://" + d.FrontAddr(0) + "/v1/chat/completions")
	req.Header.SetMethod("POST")
	req.Header.Set("Authorization", "Bearer w1-key")
	req.SetBodyString(fmt.Sprintf(`{"model":"llm","stream":true,"messages":[{"role":"user","content":"[[tokens:%d]]"}]}`, tokens))
	qt.Assert(t, (&fasthttp.Client{}).Do(req, resp), qt.IsNil)
	qt.Assert(t, resp.StatusCode(), qt.Equals, 200)
	buf := make([]byte, 2000)
	n, err := resp.BodyStream().Read(buf)
	qt.Assert(t, err, qt.IsNil)
	events := strings.Split(string(buf[:n]), "\n\n")
	var ids []string
	for _, e := range events[:len(events)-1] {
		id, _, _ := strings.Cut(strings.TrimPrefix(e, "id: "), "\n")
		ids = append(ids, id)
	}
	qt.Assert(t, resp.CloseBodyStream(), qt.IsNil)
	return string(resp.Header.Peek("X-Reattach")), ids
}

// TestReattach checks that only the workspace that started a stream can reattach to
// it, and that it gets the remaining tokens through another node.
func TestReattach(t *testing.T) {
	const tokens = 300
	d := startDeployment(t, local.Config{Nodes: 2, Engines: 1})
	token, ids := openAndDisconnect(t, d, tokens)
	path := "/v1/streams/" + token
	last := map[string]string{"Last-Event-ID": ids[len(ids)-1]}
	changed := path[:len(path)-3] + "xyz"
	rejected := []struct {
		name   string
		r      request
		status int
		code   apierr.Code
	}{
		{"another workspace", request{"GET", path, "w2-key", "", last}, 403, apierr.CodeForbidden},
		{"no key", request{"GET", path, "", "", last}, 401, apierr.CodeUnauthorized},
		{"changed signature", request{"GET", changed, "w1-key", "", last}, 403, apierr.CodeForbidden},
		{"no token", request{"GET", "/v1/streams/", "w1-key", "", last}, 403, apierr.CodeForbidden},
		{"event of another stream", request{"GET", path, "w1-key", "", map[string]string{"Last-Event-ID": "e9.1/3"}}, 400, apierr.CodeBadRequest},
	}
	for _, test := range rejected {
		t.Run(test.name, func(t *testing.T) {
			status, body, _ := doRequest(t, d.FrontAddr(1), test.r)
			assertError(t, status, body, test.status, test.code)
		})
	}
	t.Run("through another node", func(t *testing.T) {
		status, body, _ := doRequest(t, d.FrontAddr(1), request{"GET", path, "w1-key", "", last})
		qt.Assert(t, status, qt.Equals, 200)
		events := strings.Split(strings.TrimSpace(string(body)), "\n\n")
		for _, e := range events[:len(events)-1] {
			id, _, _ := strings.Cut(strings.TrimPrefix(e, "id: "), "\n")
			ids = append(ids, id)
		}
		assertIDs(t, ids, tokens)
		qt.Assert(t, d.Engines[0].Counts().Started, qt.Equals, 1)
	})
}

// TestStreamOfACancelledGenerationEnds checks that reattaching to a generation that
// the engine has cancelled ends with an error event.
func TestStreamOfACancelledGenerationEnds(t *testing.T) {
	d := startDeployment(t, local.Config{Nodes: 1, Engines: 1})
	token, ids := openAndDisconnect(t, d, 16000)
	gen, _, _ := strings.Cut(ids[0], "/")
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + d.Engines[0].Addr() + "/v1/generations/" + gen)
	req.Header.SetMethod("DELETE")
	qt.Assert(t, fasthttp.Do(req, resp), qt.IsNil)
	status, body, _ := doRequest(t, d.FrontAddr(0), request{"GET", "/v1/streams/" + token, "w1-key", "", nil})
	qt.Assert(t, status, qt.Equals, 200)
	qt.Assert(t, strings.Contains(string(body), "event: error"), qt.IsTrue)
}

// TestAbandonedStreamIsCancelled checks that the generation of a caller that
// disconnects and does not reattach is cancelled.
func TestAbandonedStreamIsCancelled(t *testing.T) {
	d := startDeployment(t, local.Config{Nodes: 1, Engines: 1})
	openAndDisconnect(t, d, 16000)
	deadline := time.Now().Add(30 * time.Second)
	for d.Engines[0].Counts().Cancelled == 0 {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the generation was not cancelled"))
		time.Sleep(50 * time.Millisecond)
	}
}
