package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/wire"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"
)

const (
	hostsPeriod = 2 * time.Second
	loadPeriod  = time.Second
	pollTimeout = 900 * time.Millisecond
)

// host is one line of the platform's list of hosts.
type host struct {
	IP     string `json:"ip"`
	Peer   string `json:"peer"`
	Front  string `json:"front"`
	Centre string `json:"centre"`
	State  string `json:"state"`
}

// Calls job at once and then every period until ctx ends.
func every(ctx context.Context, period time.Duration, job func()) <-chan error {
	done := make(chan error, 1)
	go func() {
		t := time.NewTicker(period)
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

// Reads the list of hosts.
func (d *Daemon) listHosts(ctx context.Context) <-chan error {
	return every(ctx, hostsPeriod, func() {
		var hosts []host
		if err := d.getJSON("http://"+d.cfg.Hosts+"/v1/hosts", &hosts); err != nil {
			klog.V(1).InfoS("List of hosts could not be read", "err", err)
			return
		}
		d.post(ctx, listed(hosts))
	})
}

func listed(hosts []host) kernel.HostsListed {
	var e kernel.HostsListed
	for _, h := range hosts {
		if h.Peer != "" {
			e.Nodes = append(e.Nodes, &wire.Member{Id: h.Peer, Front: h.Front, Centre: h.Centre})
		}
		if h.State == "leaving" {
			e.Leaving = append(e.Leaving, h.IP)
		}
	}
	return e
}

// load is an engine's report.
type load struct {
	Running   int  `json:"running"`
	Waiting   int  `json:"waiting"`
	Used      int  `json:"used"`
	Preempted int  `json:"preempted"`
	Leaving   bool `json:"leaving"`
}

// Reads the load of the engines that this node admits to.
func (d *Daemon) readLoads(ctx context.Context) <-chan error {
	return every(ctx, loadPeriod, func() { d.readAllLoads(ctx) })
}

func (d *Daemon) readAllLoads(ctx context.Context) {
	d.mu.Lock()
	targets := d.watched
	d.mu.Unlock()
	var reads sync.WaitGroup
	for _, t := range targets {
		reads.Go(func() { d.readLoad(ctx, t) })
	}
	reads.Wait()
}

func (d *Daemon) readLoad(ctx context.Context, t kernel.Target) {
	var l load
	if err := d.getJSON("http://"+t.Addr+"/v1/load", &l); err != nil {
		klog.V(1).InfoS("Load could not be read", "endpoint", t.Endpoint, "err", err)
		return
	}
	d.post(ctx, kernel.LoadRead{Service: t.Service, Endpoint: t.Endpoint, Load: kernel.Load(l)})
}

func (d *Daemon) getJSON(url string, v any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	if err := d.http.DoTimeout(req, resp, pollTimeout); err != nil {
		return errors.Wrapf(err, "get %s", url)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("get %s: status %d", url, resp.StatusCode())
	}
	return errors.Wrapf(json.Unmarshal(resp.Body(), v), "decode %s", url)
}
