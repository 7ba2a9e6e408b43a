package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["upgrade"] = upgradeCase }

const (
	reportPath    = "/month-report/1"
	reportService = "report-app"
	upgradeAt     = 15 * time.Second        // after the start of traffic
	storeAway     = 4500 * time.Millisecond // while servers are upgraded
	upgradeGap    = 1300 * time.Millisecond // between two servers
	upgradeDown   = 300 * time.Millisecond  // of a server
)

// upgrade ends the server's process and starts it again under its id, with another version of its software.
func (s *server) upgrade(version string) error {
	s.mu.Lock()
	h := s.http
	s.mu.Unlock()
	_ = h.Close()
	time.Sleep(upgradeDown)
	s.mu.Lock()
	s.cfg.Version = version
	s.mu.Unlock()
	return s.start()
}

// upgradeCase upgrades the servers of a plain service in place, one after the other, while the store is away.
func upgradeCase(ctx context.Context, r *rig) (bool, string, error) {
	c := config(7)
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "r-report", "host": host, "path-prefix": "/month-report/", "kind": "streaming", "timeout-ms": 39000, "target-latency-ms": 1800, "priority": 1,
		"service": reportService, "max-attempts": 2, "public": false, "sticky": false, "resumable": true, "gap-aim-ms": 180,
	})
	c["services"] = append(c["services"].([]any), map[string]any{"name": reportService, "health-path": "/health", "max-conns": 282, "protocol": "h1", "tls": false})
	r.store.put("op/config", c)
	zones := []string{"khomas-a", "khomas-b", "khomas-c"}
	var servers []*server
	for i := range 4 {
		s, err := r.addServer(serverConfig{ID: fmt.Sprintf("i-report-%d", i), Service: reportService, Zone: zones[i%3], Version: "v1", Slots: 64, Engine: true, Work: 100 * time.Millisecond, Pace: draftPace, Events: draftEvents})
		if err != nil {
			return false, "", err
		}
		servers = append(servers, s)
	}
	if err := r.addNodes(4); err != nil {
		return false, "", err
	}
	if err := r.startNodes(); err != nil {
		return false, "", err
	}
	t := &deskTraffic{r: r, cut: make(chan struct{}), path: reportPath}
	var consumers sync.WaitGroup
	upgraded := make(chan error, 1)
	time.AfterFunc(upgradeAt, func() {
		if r.trouble {
			r.record("the store is away")
			r.store.setAway(true)
			time.AfterFunc(storeAway, func() {
				r.store.setAway(false)
				for _, s := range servers {
					s.beat()
				}
				r.record("the store is back")
			})
		}
		for _, s := range servers[:3] {
			if err := s.upgrade("v2"); err != nil {
				upgraded <- err
				return
			}
			r.record("server %s runs v2", s.cfg.ID)
			time.Sleep(upgradeGap - upgradeDown)
		}
		upgraded <- nil
	})
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		consumers.Go(func() { t.run(ctx, r.nodes[rand.IntN(len(r.nodes))]) })
	}
	consumers.Wait()
	if err := <-upgraded; err != nil {
		return false, "", err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	begun, mixed, complete := 0, 0, 0
	for _, d := range t.drafts {
		if d.last > 0 {
			begun++
		}
		if d.mixed {
			mixed++
		}
		if d.complete {
			complete++
		}
	}
	return mixed > 2, fmt.Sprintf("%d streams began, %d of them were complete, %d hold events of two versions", begun, complete, mixed), nil
}
