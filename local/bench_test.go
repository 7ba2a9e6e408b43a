package local_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/plantaindeck/plantaindeck/fakes"
	"github.com/plantaindeck/plantaindeck/local"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/owner"
	"github.com/valyala/fasthttp"
)

// BenchmarkOverhead measures the time that a node adds to a request of one token,
// to a long response and to a plain call. It compares three routes: directly
// to the fake engine or service, through the node that owns the shard llm/0, and
// through the other node.
func BenchmarkOverhead(b *testing.B) {
	d, err := local.Start(context.Background(), local.Config{
		Nodes: 2, Engines: 1, Services: 1, Workspaces: 1,
		Engine: fakes.EngineConfig{Memory: 1 << 20, Slots: 64, Speed: 1e5},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	ownerID, _ := owner.Pick("llm/0", member.Of(d.Nodes[0].Daemon().State()).Owners())
	ownerAddr, otherAddr := d.FrontAddr(0), d.FrontAddr(1)
	if member.Of(d.Nodes[0].Daemon().State()).Self().GetId() != ownerID {
		ownerAddr, otherAddr = otherAddr, ownerAddr
	}
	routes := []struct{ name, addr, path, model string }{
		{"direct", d.Engines[0].Addr(), "/v1/chat/completions", "m"},
		{"owner", ownerAddr, "/v1/chat/completions", "llm"},
		{"other", otherAddr, "/v1/chat/completions", "llm"},
	}
	for _, tokens := range []int{1, 2000} {
		for _, r := range routes {
			b.Run(fmt.Sprintf("tokens=%d/%s", tokens, r.name), func(b *testing.B) {
				body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"[[tokens:%d]]"}]}`, r.model, tokens)
				measure(b, "http://"+r.addr+r.path, body)
			})
		}
	}
	for _, r := range []struct{ name, url string }{
		{"direct", "http://" + d.Services[0].Addr() + "/stock"},
		{"owner", "http://" + ownerAddr + "/v1/services/orders/stock"},
		{"other", "http://" + otherAddr + "/v1/services/orders/stock"},
	} {
		b.Run("call/"+r.name, func(b *testing.B) { measure(b, r.url, "") })
	}
}

// measure sends requests one after another and reports the median and the 99th
// percentile of their times, in microseconds.
func measure(b *testing.B, url, body string) {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	client := &fasthttp.Client{}
	b.ReportAllocs()
	for b.Loop() {
		req.Reset()
		resp.Reset()
		resp.StreamBody = true
		req.SetRequestURI(url)
		req.Header.Set("Authorization", "Bearer w1-key")
		if body != "" {
			req.Header.SetMethod("POST")
			req.SetBodyString(body)
		}
		started := time.Now()
		if err := client.Do(req, resp); err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.BodyStream()); err != nil {
			b.Fatal(err)
		}
		if err := resp.CloseBodyStream(); err != nil {
			b.Fatal(err)
		}
		if resp.StatusCode() != 200 {
			b.Fatalf("status %d", resp.StatusCode())
		}
		if err := h.RecordValue(time.Since(started).Microseconds()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us")
}
