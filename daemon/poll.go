package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/socket"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"
)

const (
	hostsInterval = 2 * time.Second        // between two reads of the list of hosts
	loadInterval  = time.Second            // between two reads of each engine's load
	pollTimeout   = 900 * time.Millisecond // of one read; shorter than either interval
	maxLoadBytes  = 16 << 10               // of one engine's report; all engines may be read at the same time
	maxHostsBytes = 8 << 20                // of the list of hosts
)

// runPeriodically starts a goroutine that calls job at once and then at every
// interval until ctx ends. The channel receives nil after the last call.
func runPeriodically(ctx context.Context, interval time.Duration, job func()) <-chan error {
	done := make(chan error, 1)
	go func() {
		t := time.NewTicker(interval)
		defer t.Stop()
		for ctx.Err() == nil {
			job()
			select {
			case <-ctx.Done():
			case <-t.C:
			}
		}
		done <- nil
	}()
	return done
}

// load is an engine's report of its load. Its fields match kernel.EngineLoad, to which
// it is converted.
type load struct {
	Running   int  `json:"running"`   // generations in the batch
	Waiting   int  `json:"waiting"`   // generations in the engine's queue
	KVTokens  int  `json:"used"`      // KV cache in use, tokens
	Preempted int  `json:"preempted"` // preemptions since the engine started
	Leaving   bool `json:"leaving"`   // the engine reports that it is leaving
}

// pollLoads starts to read periodically the load of the engines that the kernel
// has asked to watch.
func (d *Daemon) pollLoads(ctx context.Context) <-chan error {
	return runPeriodically(ctx, loadInterval, func() { d.readAllLoads(ctx) })
}

// readAllLoads reads the load of all watched engines concurrently and waits for
// the reads to end.
func (d *Daemon) readAllLoads(ctx context.Context) {
	d.mu.Lock()
	targets := d.loadTargets
	d.mu.Unlock()
	var reads sync.WaitGroup
	for _, t := range targets {
		reads.Go(func() { d.readLoad(ctx, t) })
	}
	reads.Wait()
}

func (d *Daemon) readLoad(ctx context.Context, t kernel.LoadTarget) {
	var l load
	if err := getJSON(d.loadHTTP, "http://"+t.Addr+"/v1/load", &l); err != nil {
		klog.V(1).InfoS("Failed to read an engine's load; keeping its previous report", "endpoint", t.Endpoint, "err", err)
		return
	}
	d.post(ctx, kernel.LoadRead{Service: t.Service, Endpoint: t.Endpoint, Load: kernel.EngineLoad(l)})
}

// newPollClient returns a client that reads no response body of more than a number of bytes.
// Load pattern: an engine's response never ends; without a bound, the node keeps what arrives
// within pollTimeout, which can be more than its memory.
func newPollClient(maxBody int) *fasthttp.Client {
	return &fasthttp.Client{Dial: socket.DialChecked, MaxConnsPerHost: 4, NoDefaultUserAgentHeader: true, MaxResponseBodySize: maxBody}
}

// getJSON decodes the body of a response with status 200 into v.
func getJSON(c *fasthttp.Client, url string, v any) error {
	body, err := get(c, url)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(body, v), "decode %s", url)
}

// get returns the body of a response with status 200.
func get(c *fasthttp.Client, url string) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	if err := c.DoTimeout(req, resp, pollTimeout); err != nil {
		return nil, errors.Wrapf(err, "get %s", url)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Errorf("get %s: status %d", url, resp.StatusCode())
	}
	return append([]byte(nil), resp.Body()...), nil
}
