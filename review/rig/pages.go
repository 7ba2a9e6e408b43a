package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["pages"] = pagesCase }

const (
	recoverTime  = 12 * time.Second       // recovery-s
	releaseGap   = 400 * time.Millisecond // between two servers that are replaced
	stalePage    = 3 * time.Second        // age of the later pages of a stale list; the first page is of now
	ordersBefore = 10 * time.Second       // until the release
	ordersAfter  = 30 * time.Second       // after the kill
)

// pagesCase kills all processes right after the servers of a service have been replaced. The later pages of
// a stale list are older than the first one.
func pagesCase(ctx context.Context, r *rig) (bool, string, error) {
	r.store.put("op/config", config(7))
	r.store.staleAge = func(after string) time.Duration {
		if after == "" {
			return 0
		}
		return stalePage
	}
	zones := []string{"khomas-a", "khomas-b", "khomas-c"}
	for i := range 48 {
		cfg := serverConfig{ID: fmt.Sprintf("i-engine-%02d", i), Service: engineService, Zone: zones[i%3], Version: "v1", Slots: 24, Engine: true, Work: 100 * time.Millisecond, Pace: draftPace, Events: draftEvents}
		if _, err := r.addServer(cfg); err != nil {
			return false, "", err
		}
	}
	orders := func(name string, i int) (*server, error) {
		return r.addServer(serverConfig{ID: fmt.Sprintf("i-orders-%s-%d", name, i), Service: plainService, Zone: zones[i%3], Version: "v1", Slots: 6, Work: 20 * time.Millisecond})
	}
	var old []*server
	for i := range 3 {
		s, err := orders("old", i)
		if err != nil {
			return false, "", err
		}
		old = append(old, s)
	}
	time.Sleep(2 * stalePage) // the servers are older than any read
	if err := r.addNodes(4); err != nil {
		return false, "", err
	}
	if err := r.startNodes(); err != nil {
		return false, "", err
	}
	var mu sync.Mutex
	var backAt time.Time // of all processes after the kill
	tries, served := map[string]int{}, map[string]int{}
	statuses := map[int]int{}
	var consumers sync.WaitGroup
	done := make(chan struct{})
	consumers.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(40 * time.Millisecond):
			}
			consumers.Go(func() {
				c := call{node: r.nodes[rand.IntN(len(r.nodes))], method: http.MethodPost, path: confirmPath, id: r.newID(), deadline: 1500 * time.Millisecond, key: tenantKey}
				if rand.IntN(3) == 0 {
					c.method, c.path = http.MethodGet, checkPath
				}
				mu.Lock()
				span := "before the kill"
				switch {
				case backAt.IsZero():
				case time.Since(backAt) > recoverTime:
					span = "after recovery-s"
				default:
					span = "between"
				}
				mu.Unlock()
				res := c.do(ctx)
				r.record("consumer at %s: request %s, %s: status %d", c.node.name, c.id, span, res.status)
				mu.Lock()
				defer mu.Unlock()
				tries[span]++
				if res.status == http.StatusOK {
					served[span]++
				}
				if span == "after recovery-s" {
					statuses[res.status]++
				}
			})
		}
	})
	time.Sleep(ordersBefore)
	for i, s := range old {
		if _, err := orders("new", i); err != nil {
			return false, "", err
		}
		s.drain()
		r.record("server %s starts, and %s is leaving", r.servers[len(r.servers)-1].cfg.ID, s.cfg.ID)
		time.Sleep(releaseGap)
	}
	if r.trouble {
		if err := r.killAll(); err != nil {
			return false, "", err
		}
	}
	mu.Lock()
	backAt = time.Now()
	mu.Unlock()
	time.Sleep(ordersAfter)
	close(done)
	consumers.Wait()
	mu.Lock()
	defer mu.Unlock()
	share := func(span string) float64 { return float64(served[span]) / float64(max(tries[span], 1)) }
	text := fmt.Sprintf("served %d of %d orders before the kill, %d of %d later than recovery-s after all processes were back, by status %v", served["before the kill"], tries["before the kill"], served["after recovery-s"], tries["after recovery-s"], statuses)
	return share("before the kill") >= 0.25 && share("after recovery-s") < 0.25, text, nil
}
