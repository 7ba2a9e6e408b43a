package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["grey"] = greyCase }

const (
	greyShare = 0.45                    // of its requests that a grey server fails
	greyTime  = 6500 * time.Millisecond // for which three of 20 servers are grey
)

// greyCase finds out whether requests with a part that crashes servers are kept from them if a grey server
// has failed one of them with a 500.
//
// Disruption: three of 20 servers are grey. With TROUBLE=0 none is.
func greyCase(w *world) bool {
	for range 4 {
		w.addNode(544)
	}
	w.writeConfig(1, routeTray)
	var grey atomic.Bool
	var failures atomic.Int32
	sound := stream(harmfulPart, 3, 20*time.Millisecond, 2*time.Second)
	fails := func(s *server, rw ResponseWriter, r *Request) bool {
		if !grey.Load() || rand.Float64() >= greyShare {
			return sound(s, rw, r)
		}
		if strings.Contains(r.Header.Get("X-Prompt-Prefix"), harmfulPart+":") {
			w.record("%s fails %s, which has the part, with a 500", s.id, r.Header.Get("X-Request-Id"))
			failures.Add(1)
		}
		time.Sleep(10 * time.Millisecond)
		rw.Header().Set("X-Response-Stamp", s.id+"."+r.Header.Get("X-Request-Id"))
		rw.WriteHeader(http.StatusInternalServerError)
		return true
	}
	for i := range 20 {
		handle := sound
		if i%7 == 0 { // 0, 7 and 14
			handle = fails
		}
		w.addServer("stock-llm", 24, handle)
	}
	w.startNodes()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	answers := w.soundClients(&clients, stop, 20)
	time.Sleep(5 * time.Second)
	if w.trouble != "0" {
		grey.Store(true)
		w.record("three of 20 servers are grey")
		time.AfterFunc(greyTime, func() {
			grey.Store(false)
			w.record("no server is grey")
		})
	}
	// Requests with the part come at all machines, no two alike: twenty at once, and then 2.5 a second.
	for k := range 70 {
		clients.Go(func() {
			parts := fmt.Sprintf("5c1e07a2:100,%s:60,%08x:240", harmfulPart, 0xabc000+k)
			w.send(w.nodes[k%len(w.nodes)], "POST", "/tray/2f", generationHeader(parts, 6*time.Second), []byte(parts), 6*time.Second)
		})
		if k >= 20 {
			time.Sleep(400 * time.Millisecond)
		}
	}
	close(stop)
	clients.Wait()
	crashes := w.crashTimes()
	if len(crashes) < 5 {
		w.fatal("only %d crashes: the case needs five", len(crashes))
	}
	late := w.harmfulAfter(crashes[4].Add(contact))
	w.record("answers to sound requests by status: %v", answers())
	w.record("%d crashes; grey servers failed %d requests with the part; requests with the part that reached servers later than contact-ms after the fifth crash: %d; allowed: 3", len(crashes), failures.Load(), late)
	w.print("%d requests with the part failed with a 500, %d crashes, %d requests with the part later than contact-ms after the fifth\n", failures.Load(), len(crashes), late)
	return late > 3
}
