package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
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

// Of the streams.
const (
	longStream  = 550              // events of the longest drafts, which then last 33 s
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
// engines serve side by side, and callers take up the streams that the stops break off.
func rollingRestart(d *deployment, trouble bool) error {
	d.putConfig()
	d.nodes = d.nodes[:2]
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		if _, err := d.newServer(fmt.Sprintf("i-llm-%d", i), "llm-desk", version, true); err != nil {
			return err
		}
	}
	if err := d.start(); err != nil {
		return err
	}
	time.Sleep(contact) // all machines are in touch
	drafts := d.streams(32, 4*time.Second, longStream)
	began := time.Now()
	// Short drafts go on all the time.
	done := make(chan struct{})
	var short []*stream
	var wg sync.WaitGroup
	wg.Go(func() {
		var mu sync.Mutex
		var calls sync.WaitGroup
		for {
			select {
			case <-done:
				calls.Wait()
				return
			case <-time.After(250 * time.Millisecond):
			}
			calls.Go(func() {
				st := d.runStream(3, 6*time.Second, false)
				mu.Lock()
				short = append(short, st)
				mu.Unlock()
			})
		}
	})
	if trouble {
		time.Sleep(5 * time.Second)
		for i, n := range d.nodes {
			if i > 0 {
				time.Sleep(contact + time.Second) // the node that was restarted before is in touch again
			}
			n.stop()
			time.Sleep(restartTime)
			if err := n.start(false); err != nil {
				return err
			}
			if err := d.awaitReady(n); err != nil {
				return err
			}
		}
	}
	list := drafts()
	d.log.line("case", "the last draft has ended %s after the first began", time.Since(began).Round(time.Second))
	close(done)
	wg.Wait()
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
	const streams = 48
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
	drafts := d.streams(streams, 3*time.Second, 300)
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

// watchesCut: the store cuts the watches that wait, while a server leaves whose record is removed.
func watchesCut(d *deployment, trouble bool) error {
	const drain = 2 * time.Second // drain-ms
	d.putConfig()
	var servers []*server
	for i := range 5 {
		s, err := d.newServer(fmt.Sprintf("i-orders-%d", i), "orders-app", "v1", false)
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	if err := d.start(); err != nil {
		return err
	}
	time.Sleep(contact)
	late := 0
	for _, s := range servers[:3] {
		time.Sleep(contact)
		done := make(chan struct{})
		if trouble {
			d.store.cutWatches()
			time.Sleep(50 * time.Millisecond)
		}
		close(done)
		removed := s.leave()
		time.Sleep(drain + 50*time.Millisecond - time.Since(removed))
		var wg sync.WaitGroup
		for i := range 24 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 20 * time.Millisecond)
				d.send(fmt.Sprintf("%s:%d", d.nodes[i%len(d.nodes)].ip, portFront), http.MethodPost, "/pule252/2f", []byte("order"), 1500*time.Millisecond)
			})
		}
		wg.Wait()
		<-done
		d.mu.Lock()
		for _, r := range d.runs {
			if r.server == s && r.at.After(removed.Add(drain)) {
				late++
				d.log.line("case", "%s reached %s %s after its record was removed", r.request, s.id, r.at.Sub(removed).Round(time.Millisecond))
			}
		}
		d.mu.Unlock()
		s.crash()
	}
	d.log.say("%d orders reached a server later than %s after its record was removed", late, drain)
	if late > 0 {
		return fmt.Errorf("%w: DRAIN", errBroken)
	}
	return nil
}

// crashingRequest: a request that crashes each server which begins to run it comes again and again,
// with the same path, caller and body and another query each time. With EQUAL=1 in the environment
// the query is the same too.
func crashingRequest(d *deployment, trouble bool) error {
	const (
		backAfter = 2 * time.Second // from a crash until the server is back
		fatal     = "fatal"         // body of the harmful request
	)
	d.putConfig()
	var servers []*server
	for i := range 4 {
		s, err := d.newServer(fmt.Sprintf("i-orders-%d", i), "orders-app", "v1", false)
		if err != nil {
			return err
		}
		s.fatal = fatal
		servers = append(servers, s)
	}
	if err := d.start(); err != nil {
		return err
	}
	time.Sleep(contact)
	var mu sync.Mutex
	var crashes []time.Time
	for _, s := range servers {
		s.onFatal = func() {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			s.crash()
			time.Sleep(backAfter)
			if err := s.restart("v1"); err != nil {
				panic(err)
			}
		}
	}
	// Sound orders of the same caller go on all the time.
	done := make(chan struct{})
	var sound sync.WaitGroup
	lost := 0
	sound.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(30 * time.Millisecond):
			}
			sound.Go(func() {
				if a := d.send(d.anyNode(), http.MethodPost, "/pule252/2f", []byte("order"), 1500*time.Millisecond); !a.isSuccess() && len(d.runsOf(a.id)) > 0 {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			})
		}
	})
	for i := range 30 {
		path := fmt.Sprintf("/puxa403/2f?try=%d", i)
		if os.Getenv("EQUAL") == "1" {
			path = "/puxa403/2f?try=0"
		}
		body := fatal
		if !trouble {
			body = "sound"
		}
		d.send(d.anyNode(), http.MethodGet, path, []byte(body), 1500*time.Millisecond)
		time.Sleep(time.Second)
	}
	close(done)
	sound.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		d.mu.Lock()
		for _, r := range d.runs {
			if r.fatal && r.at.After(crashes[2].Add(contact)) {
				late++
			}
		}
		d.mu.Unlock()
	}
	d.log.say("%d crashes; later than %s after the third, the request reached servers %d times; %d sound orders that ran got no success", len(crashes), contact, late, lost)
	if late > 3 {
		return fmt.Errorf("%w: BUDGET", errBroken)
	}
	return nil
}

// pathWithSlashes: the path of a request begins with two slashes.
func pathWithSlashes(d *deployment, trouble bool) error {
	d.putConfig()
	for i := range 3 {
		if _, err := d.newServer(fmt.Sprintf("i-orders-%d", i), "orders-app", "v1", false); err != nil {
			return err
		}
	}
	if err := d.start(); err != nil {
		return err
	}
	path := "/lager/erfassen?a=1"
	if trouble {
		path = "//lager/erfassen?a=1"
	}
	changed := 0
	for i := range 12 {
		a := d.send(fmt.Sprintf("%s:%d", d.nodes[i%len(d.nodes)].ip, portFront), http.MethodPost, path, []byte("order"), 1500*time.Millisecond)
		for _, r := range d.runsOf(a.id) {
			if r.target != "POST "+path {
				changed++
			}
		}
	}
	d.log.say("%d of 12 requests ran with another path than %s", changed, path)
	if changed > 0 {
		return fmt.Errorf("%w: UNASKED", errBroken)
	}
	return nil
}
