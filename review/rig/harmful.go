package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["harmful"] = harmfulCase }

const (
	harmfulPart  = "bad0bad0"      // of prompts; each engine that begins to write an answer on it crashes
	harmfulPause = 6 * time.Second // between two new requests with the part
	harmfulTries = 4               // of a consumer
)

// harmfulCase sends requests with a part that crashes each engine after the first event of its answer.
// Their consumers take the broken streams up again.
func harmfulCase(ctx context.Context, r *rig) (bool, string, error) {
	r.store.put("op/config", config(7))
	zones := []string{"khomas-a", "khomas-b", "khomas-c"}
	var mu sync.Mutex
	var crashes []time.Time
	for i := range 9 {
		cfg := serverConfig{ID: fmt.Sprintf("i-engine-%d", i), Service: engineService, Zone: zones[i%3], Version: "v1", Slots: 24, Engine: true, Work: 100 * time.Millisecond, Pace: 30 * time.Millisecond, Events: 20, Back: 3 * time.Second}
		cfg.CrashAfter = func(q *http.Request) int {
			if !strings.Contains(q.Header.Get("X-Prompt-Prefix"), harmfulPart) {
				return 0
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			return 1
		}
		if _, err := r.addServer(cfg); err != nil {
			return false, "", err
		}
	}
	if err := r.addNodes(4); err != nil {
		return false, "", err
	}
	if err := r.startNodes(); err != nil {
		return false, "", err
	}
	var consumers sync.WaitGroup
	began := time.Now()
	length := 45 * time.Second
	sound := map[int]int{}
	consumers.Go(func() {
		for time.Since(began) < length {
			consumers.Go(func() {
				id := r.newID()
				c := call{node: r.nodes[rand.IntN(4)], method: "POST", path: draftPath, id: id, deadline: 39 * time.Second, key: tenantKey}
				c.header = map[string]string{"X-Model": "m", "X-Token-Usage": "600,80", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:400,%x:100,%s:100", 0xc0+rand.IntN(8), id)}
				c.onEvent = func(int, string) bool { return true }
				res := c.do(ctx)
				mu.Lock()
				sound[res.status]++
				mu.Unlock()
			})
			time.Sleep(100 * time.Millisecond)
		}
	})
	consumers.Go(func() {
		time.Sleep(8 * time.Second)
		for time.Since(began) < length && r.trouble {
			consumers.Go(func() {
				parts, first, last := r.newID(), "", 0
				started := time.Now()
				for try := range harmfulTries {
					id := r.newID()
					n := r.nodes[rand.IntN(4)]
					c := call{node: n, method: "POST", path: draftPath, id: id, deadline: 39*time.Second - time.Since(started), key: tenantKey}
					c.header = map[string]string{"X-Model": "m", "X-Token-Usage": "600,80", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:400,%s:100,%s:100", harmfulPart, parts)}
					if last > 0 {
						c.header["Last-Event-Id"], c.header["Resumes"] = fmt.Sprint(last), first
					}
					c.onEvent = func(event int, _ string) bool {
						if first == "" {
							first = id
						}
						last = max(last, event)
						return true
					}
					res := c.do(ctx)
					r.record("harmful request %s at %s, try %d, resumes %q: status %d, %d events, retry-after %s %v", id, n.name, try, c.header["Resumes"], res.status, res.events, res.retryAfter, res.err)
					if res.retryAfter > 0 {
						return // longer than a third of the time left
					}
					time.Sleep(time.Second)
				}
			})
			time.Sleep(harmfulPause)
		}
	})
	consumers.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 5 {
		return false, fmt.Sprintf("%d crashes; sound requests by status %v", len(crashes), sound), nil
	}
	fifth, late := crashes[4], 0
	for _, a := range r.allArrivals() {
		if strings.Contains(a.part, harmfulPart) && a.at.Sub(fifth) > contactTime {
			late++
		}
	}
	return late > 3, fmt.Sprintf("%d crashes, the fifth after %s; %d harmful requests reached servers later than contact-ms after it; sound requests by status %v", len(crashes), fifth.Sub(began).Round(time.Millisecond), late, sound), nil
}
