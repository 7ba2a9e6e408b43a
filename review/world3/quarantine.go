package main

import (
	"fmt"
	"sync"
	"time"
)

// contact is contact-ms of the sheet of the site zlk-stock.
const contact = 3 * time.Second

func init() { cases["quarantine"] = quarantineCase }

// harmfulPart is the part of prompts that crashes servers.
const harmfulPart = "e4402b7d"

// quarantineCase finds out whether requests that crash servers are kept from them after a drill of the
// store and a later restart of all machines.
//
// Disruption: the store comes back from a copy some seconds old, and seconds later the processes of all
// machines are killed at once. With TROUBLE=0 neither happens, with TROUBLE=kill only the second, and
// with TROUBLE=drill only the first.
func quarantineCase(w *world) bool {
	for range 4 {
		w.addNode(544)
	}
	w.writeConfig(1, routeTray)
	for range 10 {
		w.addServer("stock-llm", 24, stream(harmfulPart, 3, 20*time.Millisecond, 2*time.Second))
	}
	w.startNodes()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	answers := w.soundClients(&clients, stop, 12)
	copies := []contents{w.store.copyNow()} // one for each half of a second
	var copyMu sync.Mutex
	go func() {
		for range time.Tick(500 * time.Millisecond) {
			c := w.store.copyNow()
			copyMu.Lock()
			copies = append(copies, c)
			copyMu.Unlock()
		}
	}()
	number := 0
	// harm sends a number of requests with the part that crashes servers, no two alike, to the machines in turn.
	harm := func(count int, gap time.Duration) {
		var sent sync.WaitGroup
		for range count {
			number++
			k := number
			sent.Go(func() {
				parts := fmt.Sprintf("5c1e07a2:100,%s:60,%08x:240", harmfulPart, 0xabc000+k)
				w.send(w.nodes[k%len(w.nodes)], "POST", "/tray/2f", generationHeader(parts, 6*time.Second), []byte(parts), 6*time.Second)
			})
			time.Sleep(gap)
		}
		sent.Wait()
	}
	time.Sleep(5 * time.Second)
	harm(10, 400*time.Millisecond)
	crashes := w.crashTimes()
	if len(crashes) < 5 {
		w.fatal("only %d crashes: the case needs five", len(crashes))
	}
	fifth := crashes[4]
	w.record("the fifth crash was %s ago, %d crashes in all, %d quarantines in the store", time.Since(fifth).Round(time.Millisecond), len(crashes), w.store.count("plantaindeck/quarantines/"))
	if w.trouble != "0" && w.trouble != "kill" {
		copyMu.Lock()
		i := len(copies) - 1
		for i > 0 && !copies[i].isBefore(crashes[0]) {
			i--
		}
		old := copies[i]
		copyMu.Unlock()
		w.record("the store goes away")
		w.store.goAway()
		time.Sleep(time.Second)
		w.store.comeBack(&old)
		w.record("the store is back from a copy of revision %d, in era %d", old.revision, w.store.era)
	}
	time.Sleep(10 * time.Second)
	harm(4, 100*time.Millisecond)
	w.record("%d crashes before the restart, %d quarantines in the store", len(w.crashTimes()), w.store.count("plantaindeck/quarantines/"))
	if w.trouble != "0" && w.trouble != "drill" {
		for _, n := range w.nodes {
			n.kill()
		}
		time.Sleep(time.Second)
		for _, n := range w.nodes {
			n.start()
		}
		w.awaitReady(10 * time.Second)
	}
	time.Sleep(contact + 2*time.Second)
	w.record("all machines are in touch, %d quarantines in the store", w.store.count("plantaindeck/quarantines/"))
	inTouch := time.Now()
	harm(10, 150*time.Millisecond)
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	late := w.harmfulAfter(fifth.Add(contact))
	lateInTouch := w.harmfulAfter(inTouch)
	w.record("answers to sound requests by status: %v", answers())
	w.record("requests with the part that reached servers later than contact-ms after the fifth crash: %d, of them %d in the last phase, in which all machines are in touch; allowed: 3", late, lateInTouch)
	w.print("%d crashes, %d harmful requests later than contact-ms after the fifth, %d from machines in touch after the restart\n", len(w.crashTimes()), late, lateInTouch)
	return lateInTouch > 3
}

// isBefore reports whether all that the copy holds was written before a time.
func (c contents) isBefore(t time.Time) bool {
	return len(c.events) == 0 || c.events[len(c.events)-1].at.Before(t)
}
