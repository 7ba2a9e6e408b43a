package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// contact is contact-ms of the sheet of the site zlk-stock.
const contact = 3 * time.Second

// harmfulPart is the part of prompts that crashes servers.
const harmfulPart = "e4402b7d"

// soundClients starts clients that send sound requests on the route r-tray to random machines until stop is
// closed. Their prompts share the first part with all others. It returns a function that tells how many ended
// with each status.
func (w *world) soundClients(group *sync.WaitGroup, stop <-chan struct{}, count int) func() map[int]int {
	var mu sync.Mutex
	answers := map[int]int{}
	for i := range count {
		r := rand.New(rand.NewPCG(uint64(i), 3))
		group.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(100+r.IntN(100)) * time.Millisecond):
				}
				parts := fmt.Sprintf("5c1e07a2:100,91bd%04x:60,%04x%04x:240", r.IntN(20), i+1, k+1)
				o := w.send(w.nodes[r.IntN(len(w.nodes))], "POST", "/tray/2f", generationHeader(parts, 6*time.Second), []byte(parts), 6*time.Second)
				mu.Lock()
				answers[o.status]++
				mu.Unlock()
			}
		})
	}
	return func() map[int]int {
		mu.Lock()
		defer mu.Unlock()
		return maps.Clone(answers)
	}
}

// crashTimes returns when servers have crashed, in order.
func (w *world) crashTimes() []time.Time {
	var list []time.Time
	for _, s := range w.servers {
		s.mu.Lock()
		list = append(list, s.crashes...)
		s.mu.Unlock()
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}
