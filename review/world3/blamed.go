package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["blamed"] = blamedCase }

// prefill is the model of how a server reads prompts: in chunks, in turn, at readRate tokens a millisecond for all
// of them together.
type prefill struct {
	reading atomic.Int32
}

const (
	readRate  = 14 // prompt tokens a millisecond
	readChunk = 112
)

// read reads a prompt.
func (p *prefill) read(tokens int) {
	p.reading.Add(1)
	defer p.reading.Add(-1)
	for ; tokens > 0; tokens -= readChunk {
		time.Sleep(time.Duration(p.reading.Load()) * readChunk / readRate * time.Millisecond)
	}
}

// firstTry is the first attempt of a sound request.
type firstTry struct {
	at    time.Time
	began bool
}

// tries holds the first attempts of sound requests.
type tries struct {
	mu   sync.Mutex
	list []firstTry
}

func (t *tries) add(at time.Time, status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = append(t.list, firstTry{at, status == http.StatusOK})
}

// between counts the attempts between two times, and how many of them began.
func (t *tries) between(from, to time.Time) (asked, began int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range t.list {
		if f.at.Before(from) || f.at.After(to) {
			continue
		}
		asked++
		if f.began {
			began++
		}
	}
	return asked, began
}

// blamedCase finds out whether sound requests are still served when a few requests crash servers soon after the first
// part of all prompts has changed.
//
// Disruption: a part of prompts crashes servers, and the consumers of the requests with it leave. With TROUBLE=0 these
// requests have another part, which crashes none, and with TROUBLE=stay their consumers stay.
func blamedCase(w *world) bool {
	for range 4 {
		w.addNode(544)
	}
	w.writeConfig(1, routeTray)
	for range 12 {
		p := &prefill{}
		answer := stream(harmfulPart, 3, 20*time.Millisecond, 2*time.Second)
		w.addServer("stock-llm", 24, func(s *server, rw ResponseWriter, r *Request) bool {
			tokens, _, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
			n, _ := strconv.Atoi(tokens)
			p.read(n)
			return answer(s, rw, r)
		})
	}
	w.startNodes()
	var (
		sound     tries
		firstPart = [2]string{"5c1e07a2", "91bd3f06"}
		changed   = make(chan struct{}) // closed when the consumers go on with the second first part
		changing  atomic.Bool
		stop      = make(chan struct{})
		clients   sync.WaitGroup
	)
	for i := range 48 {
		clients.Go(func() {
			part := firstPart[0]
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(300 * time.Millisecond):
				}
				if changing.Load() && part == firstPart[0] {
					<-changed
					part = firstPart[1]
				}
				at := time.Now()
				parts := fmt.Sprintf("%s:1400,%04x%04x:1400", part, i+1, k+1)
				sound.add(at, w.sendGeneration(w.nodes[(i+k)%len(w.nodes)], parts, 2800, 0))
			}
		})
	}
	time.Sleep(3 * time.Second)
	calmFrom := time.Now()
	time.Sleep(5 * time.Second)
	calmTo := time.Now()
	changing.Store(true)
	time.Sleep(2 * time.Second) // the last streams of the former first part end
	close(changed)
	w.record("the consumers go on with another first part")
	part, leave := harmfulPart, leaveTime
	switch w.trouble {
	case "0":
		part = "c07d1e55"
	case "stay":
		leave = 0
	}
	firstSent := time.Now()
	for k := range 26 {
		clients.Go(func() {
			parts := fmt.Sprintf("%s:400,%s:60,%08x:240", firstPart[1], part, 0xabc000+k)
			w.sendGeneration(w.nodes[k%len(w.nodes)], parts, 700, leave)
		})
		if k < 8 {
			time.Sleep(40 * time.Millisecond)
		} else {
			time.Sleep(time.Second)
		}
	}
	end := time.Now()
	close(stop)
	clients.Wait()
	crashes := w.crashTimes()
	last := firstSent
	switch {
	case len(crashes) > 0:
		last = crashes[min(4, len(crashes)-1)]
	case w.trouble != "0":
		w.fatal("no server crashed")
	}
	asked, began := sound.between(calmFrom, calmTo)
	askedAfter, beganAfter := sound.between(last.Add(2*contact), end)
	w.record("%d crashes; of %d sound requests in calm %d began at the first attempt, of %d later than 2 x contact-ms after the fifth crash, or the last of fewer, %d", len(crashes), asked, began, askedAfter, beganAfter)
	w.print("%d crashes; in calm %d of %d sound requests began, later than 2 x contact-ms after the crashes %d of %d\n", len(crashes), began, asked, beganAfter, askedAfter)
	if asked < 20 || askedAfter < 20 {
		w.fatal("too few sound requests")
	}
	return float64(beganAfter)/float64(askedAfter) < float64(began)/float64(asked)/2
}

// sendGeneration sends a request on the route r-tray, whose consumer leaves after a time, unless that is 0. It
// returns the status, 0 for none.
func (w *world) sendGeneration(n *node, parts string, tokens int, leave time.Duration) int {
	const limit = 6 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	id := newID()
	req, err := http.NewRequestWithContext(ctx, "POST", fmt.Sprintf("http://%s:%d/tray/2f", n.ip, portFront), strings.NewReader(parts))
	if err != nil {
		w.fatal("create request: %v", err)
	}
	req.Host, req.Close = host, true
	req.Header = generationHeader(parts, limit)
	req.Header.Set("X-Token-Usage", fmt.Sprintf("%d,40", tokens))
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if leave > 0 {
		time.AfterFunc(leave, func() {
			w.record("the consumer of %s leaves", id)
			cancel()
		})
	}
	w.record("%s is sent to %s, parts %q", id, n.name, parts)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		w.record("%s ends without an answer: %v", id, err)
		return 0
	}
	status := resp.StatusCode
	body := make([]byte, 120)
	k, _ := resp.Body.Read(body)
	_ = resp.Body.Close()
	w.record("%s ends with status %d %.120q", id, status, body[:k])
	return status
}
