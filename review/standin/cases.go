package main

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// foreignEntry: another writer leaves an entry among those of the servers that lacks most of their
// fields. Its address is that of a program which is no server.
func foreignEntry(d *deployment, trouble bool) error {
	d.putConfig()
	for i := range 3 {
		if _, err := d.newServer(fmt.Sprintf("i-orders-%d", i), "orders-app", "v1", false); err != nil {
			return err
		}
	}
	if err := d.start(); err != nil {
		return err
	}
	var mu sync.Mutex
	got := map[string]bool{}
	ln, err := net.Listen("tcp", d.serverIP+":0")
	if err != nil {
		return err
	}
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			mu.Lock()
			got[id] = true
			mu.Unlock()
			d.log.line("other", "the program that is no server gets %s: %s %s", id, r.Method, r.RequestURI)
			_, _ = io.WriteString(w, "hello\n")
		}))
	}()
	orders := func(n int) (list []answer) {
		for i := range n {
			list = append(list, d.send(fmt.Sprintf("%s:%d", d.nodes[i%len(d.nodes)].ip, portFront), http.MethodPost, "/pule252/2f", []byte("order"), 1500*time.Millisecond))
		}
		return list
	}
	answers := orders(12)
	if trouble {
		d.store.put("servers/odd", map[string]any{"service": "orders-app", "address": ln.Addr().String(), "zone": d.zones[0], "slot-count": 6, "state": "ready"})
		d.log.line("store", "another writer puts servers/odd, without version, cold-left-ms, sequence and born")
	}
	time.Sleep(2 * time.Second)
	answers = append(answers, orders(60)...)
	wrong := 0
	for _, a := range answers {
		if a.isSuccess() && a.header.Get("X-Response-Stamp") != stamp(a.id) {
			wrong++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	d.log.say("%d orders; %d got to the program that is no server; %d were answered with a success without a server's stamp", len(answers), len(got), wrong)
	if wrong > 0 {
		return fmt.Errorf("%w: MIXED", errBroken)
	}
	return checkOrders(d, answers)
}

// checkOrders returns an error if orders without any disruption were not all served.
func checkOrders(d *deployment, answers []answer) error {
	for _, a := range answers {
		if a.isSuccess() && (len(d.runsOf(a.id)) != 1 || a.body != answerText(a.id)) {
			return fmt.Errorf("%w: MIXED: %s ran %d times", errBroken, a, len(d.runsOf(a.id)))
		}
	}
	return nil
}

// Of the drafts.
const (
	draftEvents = 300              // events of a draft, which then lasts 18 s
	streamLimit = 39 * time.Second // time limit of a draft
)

// streams runs a number of streams, which begin within a time, and returns a function that waits for
// their ends.
func (d *deployment) streams(count int, within time.Duration, events int) (results func() []*stream) {
	var wg sync.WaitGroup
	list := make([]*stream, count)
	for i := range list {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * within / time.Duration(count))
			list[i] = d.runStream(events, streamLimit, true)
		})
	}
	return func() []*stream {
		wg.Wait()
		return list
	}
}

// rollingRestart: the nodes are stopped and started in turn while two software versions of the
// engines serve side by side. Drafts begin while the first node is away, and callers take up those
// that the stop of the second one breaks off. With VERSIONS=1 in the environment all engines are of
// one version.
func rollingRestart(d *deployment, trouble bool) error {
	d.putConfig()
	d.nodes = d.nodes[:2]
	versions := []string{"v1", "v1", "v2", "v2"}
	if os.Getenv("VERSIONS") == "1" {
		versions = []string{"v1", "v1", "v1", "v1"}
	}
	for i, version := range versions {
		if _, err := d.newServer(fmt.Sprintf("i-llm-%d", i), "llm-desk", version, true); err != nil {
			return err
		}
	}
	if err := d.start(); err != nil {
		return err
	}
	time.Sleep(contact) // all machines are in touch
	began := time.Now()
	var mu sync.Mutex
	var short []*stream
	stop := background(250*time.Millisecond, func() {
		st := d.runStream(3, 6*time.Second, false)
		mu.Lock()
		defer mu.Unlock()
		short = append(short, st)
	})
	drafts := func() []*stream { return nil }
	for i, n := range d.nodes {
		done := make(chan error, 1)
		go func() { done <- d.restart(n, trouble) }()
		time.Sleep(100 * time.Millisecond)
		if i == 0 {
			drafts = d.streams(32, 800*time.Millisecond, draftEvents)
		}
		if err := <-done; err != nil {
			return err
		}
		time.Sleep(contact + time.Second) // the node is in touch again before the next one stops
	}
	list := drafts()
	d.log.line("case", "the last draft has ended %s after the first stop", time.Since(began).Round(time.Second))
	stop()
	tookUp, goOn, complete := 0, 0, 0
	for i, st := range list {
		if st.complete {
			complete++
		}
		if st.broken != "" {
			return fmt.Errorf("%w: ORDER: draft %d: %s", errBroken, i, st.broken)
		}
		for _, t := range st.takeUps {
			d.log.line("case", "draft %d (%s), versions %v, %d events: take-up with %d tries, statuses %v, goes on: %v, %d of the tries at nodes in touch", i, st.first, st.versions(), len(st.events), t.tries, t.statuses, t.goesOn, t.inTouch)
			if t.inTouch == 0 {
				continue
			}
			tookUp++
			if t.goesOn {
				goOn++
			}
		}
	}
	newBegun := 0
	for _, st := range short {
		if st.began {
			newBegun++
		}
	}
	d.log.say("%d drafts, %d complete; streams taken up again at nodes in touch: %d, of which %d go on; new streams: %d, of which %d began", len(list), complete, tookUp, goOn, len(short), newBegun)
	if !trouble && complete < len(list) {
		return fmt.Errorf("drafts are not complete without the disruption")
	}
	if tookUp >= 12 && 2*goOn*len(short) < tookUp*newBegun {
		return fmt.Errorf("%w: LOST", errBroken)
	}
	return nil
}

// upgradeInPlace: engines start again under their ids with another software version, one after the
// other, while the store is down.
func upgradeInPlace(d *deployment, trouble bool) error {
	const streams = 64
	d.putConfig()
	var engines []*server
	for i := range 4 {
		e, err := d.newServer(fmt.Sprintf("i-llm-%d", i), "llm-desk", "v1", true)
		if err != nil {
			return err
		}
		engines = append(engines, e)
	}
	if err := d.start(); err != nil {
		return err
	}
	time.Sleep(contact)
	drafts := d.streams(streams, 3*time.Second, draftEvents)
	time.Sleep(4 * time.Second)
	if trouble {
		d.store.setBusy(true)
		down := time.Now()
		time.Sleep(500 * time.Millisecond)
		for _, e := range engines[:2] {
			e.crash()
			time.Sleep(2 * time.Second)
			if err := e.restart("v2"); err != nil {
				return err
			}
			time.Sleep(time.Second)
		}
		time.Sleep(8*time.Second - time.Since(down))
		d.store.setBusy(false)
	}
	mixed := 0
	for i, st := range drafts() {
		d.log.line("case", "draft %d (%s): %d events of versions %v, complete: %v", i, st.first, len(st.events), st.versions(), st.complete)
		if st.broken != "" {
			return fmt.Errorf("%w: ORDER: draft %d: %s", errBroken, i, st.broken)
		}
		if len(st.versions()) > 1 {
			mixed++
		}
	}
	d.log.say("%d of %d streams hold events of two software versions", mixed, streams)
	if mixed > 2 {
		return fmt.Errorf("%w: ORDER", errBroken)
	}
	return nil
}

const backAfter = 2 * time.Second // from the crash of a server until it is back

// crashes are the times at which servers crashed under harmful requests.
type crashes struct {
	mu    sync.Mutex
	times []time.Time
}

// crashUnder makes servers crash when they run a harmful request; each is back after backAfter.
// If dark is true, a server sends nothing when it has crashed, not even that its connections end.
func crashUnder(servers []*server, dark bool, isHarmful func(r *http.Request, body string) bool) *crashes {
	c := &crashes{}
	for _, s := range servers {
		s.isHarmful, s.dark = isHarmful, dark
		s.onHarmful = func() {
			c.mu.Lock()
			c.times = append(c.times, time.Now())
			c.mu.Unlock()
			if dark {
				if err := s.goDark(backAfter); err != nil {
					panic(err)
				}
				return
			}
			s.crash()
			time.Sleep(backAfter)
			if err := s.restart("v1"); err != nil {
				panic(err)
			}
		}
	}
	return c
}

// lateArrivals returns the number of crashes, and how often harmful requests reached servers later
// than contact-ms after the crash with the given number.
func (c *crashes) lateArrivals(d *deployment, number int) (total, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.times) < number {
		return len(c.times), 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.runs {
		if r.harmful && r.at.After(c.times[number-1].Add(contact)) {
			late++
		}
	}
	return len(c.times), late
}

// background calls a function again and again, each time in a goroutine of its own, until the
// function that it returns is called, which waits for all calls.
func background(interval time.Duration, call func()) (stop func()) {
	var calls sync.WaitGroup
	done := make(chan struct{})
	calls.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(interval):
				calls.Go(call)
			}
		}
	})
	return func() {
		close(done)
		calls.Wait()
	}
}

// crashingRequest: a request that crashes each server which begins to run it comes again and again,
// the same each time. The servers send nothing when they have crashed; with REFUSE=1 in the
// environment their connections end at once, and new ones are refused.
func crashingRequest(d *deployment, trouble bool) error {
	const harmful = "harmful" // body of the request
	d.putConfig()
	for i := range 4 {
		if _, err := d.newServer(fmt.Sprintf("i-orders-%d", i), "orders-app", "v1", false); err != nil {
			return err
		}
	}
	crashed := crashUnder(d.servers, os.Getenv("REFUSE") != "1", func(_ *http.Request, body string) bool { return body == harmful })
	if err := d.start(); err != nil {
		return err
	}
	time.Sleep(contact)
	// Sound orders of the same caller go on all the time.
	var lost atomic.Int32
	stop := background(30*time.Millisecond, func() {
		if a := d.send(d.anyNode(), http.MethodPost, "/pule252/2f", []byte("order"), 1500*time.Millisecond); !a.isSuccess() && len(d.runsOf(a.id)) > 0 {
			lost.Add(1)
		}
	})
	for range 30 {
		body := harmful
		if !trouble {
			body = "sound"
		}
		d.send(d.anyNode(), http.MethodPost, "/pule252/2f", []byte(body), 1500*time.Millisecond)
		time.Sleep(time.Second)
	}
	stop()
	total, late := crashed.lateArrivals(d, 3)
	d.log.say("%d crashes; later than %s after the third, the request reached servers %d times; %d sound orders that ran got no success", total, contact, late, lost.Load())
	if late > 3 {
		return fmt.Errorf("%w: BUDGET", errBroken)
	}
	return nil
}

// crashingPart: a part of prompts crashes each engine that begins to write an answer on it. Before it
// stand as many parts as the environment's PARTS says, which sound prompts share; the last part of a
// prompt is its own.
func crashingPart(d *deployment, trouble bool) error {
	const harmful = "0bad" // id of the part
	others, err := strconv.Atoi(cmp.Or(os.Getenv("PARTS"), "40"))
	if err != nil {
		return err
	}
	d.shared = nil
	for i := range others {
		d.shared = append(d.shared, fmt.Sprintf("%x", 0x10000+i))
	}
	d.putConfig()
	for i := range 4 {
		if _, err := d.newServer(fmt.Sprintf("i-llm-%d", i), "llm-desk", "v1", true); err != nil {
			return err
		}
	}
	crashed := crashUnder(d.servers, false, func(r *http.Request, _ string) bool {
		return strings.Contains(r.Header.Get("X-Prompt-Prefix"), ","+harmful+":")
	})
	if err := d.start(); err != nil {
		return err
	}
	time.Sleep(contact)
	// Sound drafts of the same caller go on all the time.
	var mu sync.Mutex
	var begun, broken int
	stop := background(200*time.Millisecond, func() {
		st := d.runStream(20, 6*time.Second, false)
		mu.Lock()
		defer mu.Unlock()
		if st.began {
			begun++
		}
		if st.began && !st.complete {
			broken++
		}
	})
	for i := range 30 {
		parts := d.shared
		if trouble {
			parts = append(slices.Clone(parts), harmful)
		}
		d.send(d.anyNode(), http.MethodPost, "/lohu930/2f", []byte(fmt.Sprintf("draft %d", i)), 3*time.Second, "X-Model: m", fmt.Sprintf("X-Token-Usage: %d,80", promptTokens), "X-Prompt-Prefix: "+prompt(parts, fmt.Sprintf("%x", 0xf0000+i)))
		time.Sleep(500 * time.Millisecond)
	}
	stop()
	total, late := crashed.lateArrivals(d, 5)
	d.log.say("%d crashes; later than %s after the fifth, requests with the part reached servers %d times; %d sound drafts began, %d of them broke off", total, contact, late, begun, broken)
	if late > 3 {
		return fmt.Errorf("%w: BUDGET", errBroken)
	}
	return nil
}
