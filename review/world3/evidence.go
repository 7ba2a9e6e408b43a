package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["evidence"] = evidenceCase }

// evidenceCase finds out whether requests that crash servers are kept from them although the processes of
// all machines are killed at once, twice, while such requests come every four seconds.
//
// Disruption: the kills. With TROUBLE=0 there are none.
func evidenceCase(w *world) bool {
	for range 4 {
		w.addNode(544)
	}
	w.writeConfig(1, routeTray)
	for range 12 {
		w.addServer("stock-llm", 24, stream(harmfulPart, 3, 20*time.Millisecond, 2*time.Second))
	}
	w.startNodes()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	answers := w.soundClients(&clients, stop, 12)
	number := 0
	harm := func() {
		number++
		k := number
		clients.Go(func() {
			parts := fmt.Sprintf("5c1e07a2:100,%s:60,%08x:240", harmfulPart, 0xabc000+k)
			w.send(w.nodes[k%len(w.nodes)], "POST", "/tray/2f", generationHeader(parts, 6*time.Second), []byte(parts), 6*time.Second)
		})
	}
	var inTouch [][2]time.Time // spans in which all machines are in touch
	for round := range 3 {
		time.Sleep(contact + time.Second) // since all processes run
		began := time.Now()
		harm()
		time.Sleep(4 * time.Second)
		harm()
		time.Sleep(2 * time.Second)
		if round == 2 {
			time.Sleep(2 * time.Second)
			harm()
			time.Sleep(4 * time.Second)
			harm()
			time.Sleep(2 * time.Second)
		}
		inTouch = append(inTouch, [2]time.Time{began, time.Now()})
		if w.trouble != "0" && round < 2 {
			for _, n := range w.nodes {
				n.kill()
			}
			time.Sleep(time.Second)
			for _, n := range w.nodes {
				n.start()
			}
			w.awaitReady(10 * time.Second)
		}
	}
	close(stop)
	clients.Wait()
	crashes := w.crashTimes()
	if len(crashes) < 5 {
		w.fatal("only %d crashes: the case needs five", len(crashes))
	}
	late := w.harmfulAfter(crashes[4].Add(contact), inTouch...)
	w.record("answers to sound requests by status: %v", answers())
	w.record("%d crashes; requests with the part that machines in touch sent to servers later than contact-ms after the fifth: %d; allowed: 3", len(crashes), late)
	w.print("%d crashes, %d harmful requests later than contact-ms after the fifth\n", len(crashes), late)
	return late > 3
}

// harmfulAfter returns how many requests with the part that crashes servers reached them after a time and, if
// spans are given, in one of these.
func (w *world) harmfulAfter(t time.Time, spans ...[2]time.Time) int {
	n := 0
	for _, s := range w.servers {
		s.mu.Lock()
		for _, a := range s.arrivals {
			within := len(spans) == 0
			for _, span := range spans {
				within = within || a.at.After(span[0]) && a.at.Before(span[1])
			}
			if within && a.at.After(t) && strings.Contains(a.parts, harmfulPart+":") {
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}
