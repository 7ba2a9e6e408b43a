package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["origins"] = originsCase }

// takeUp is a stream that broke and that its consumer takes up again.
type takeUp struct {
	first   string // id of the consumer attempt that brought the first event
	inTouch bool   // a try was made at a machine in touch
	goesOn  bool   // events followed at such a machine
}

// streamClient is a consumer of the route r-tray.
type streamClient struct {
	w    *world
	rand *rand.Rand
	cut  *cutter
}

// cutter closes the channels of all consumers at once, in place of the disruption.
type cutter struct {
	mu     sync.Mutex
	cancel map[string]context.CancelFunc
}

func (c *cutter) add(id string, f context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel[id] = f
}

func (c *cutter) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cancel, id)
}

func (c *cutter) cutAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.cancel {
		f()
	}
}

// attempt makes one consumer attempt that begins a stream or takes one up. It returns its id, its status, the
// id of the last event that arrived and whether the stream ended as complete.
func (c *streamClient) attempt(n *node, parts, lastID, resumes string, limit time.Duration) (id string, status int, last string, whole bool, retryAfter time.Duration) {
	w := c.w
	id, last = newID(), lastID
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	c.cut.add(id, cancel)
	defer c.cut.remove(id)
	req, err := http.NewRequestWithContext(ctx, "POST", fmt.Sprintf("http://%s:%d/tray/2f", n.ip, portFront), strings.NewReader(parts))
	if err != nil {
		w.fatal("create request: %v", err)
	}
	req.Host, req.Close = host, true
	req.Header = generationHeader(parts, limit)
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if lastID != "" {
		req.Header.Set("Last-Event-Id", lastID)
		req.Header.Set("Resumes", resumes)
	}
	w.record("%s is sent to %s, parts %q, Last-Event-Id %q, Resumes %q", id, n.name, parts, lastID, resumes)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		w.record("%s ends without an answer: %v", id, err)
		return id, 0, last, false, 0
	}
	defer func() { _ = resp.Body.Close() }()
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	retryAfter = time.Duration(seconds * float64(time.Second))
	lines := bufio.NewScanner(resp.Body)
	var current, text string
	for lines.Scan() {
		switch line := lines.Text(); {
		case strings.HasPrefix(line, "id: "):
			current = strings.TrimPrefix(line, "id: ")
		case line == "" && current != "":
			last, current = current, ""
		case resp.StatusCode != http.StatusOK:
			text = line
		}
	}
	whole = lines.Err() == nil
	w.record("%s ends with status %d, last event %q, whole %t %.150s", id, resp.StatusCode, last, whole, text)
	return id, resp.StatusCode, last, whole, retryAfter
}

// originsCase finds out whether streams of a service with servers of two versions go on that their consumers
// take up after the processes of all machines were killed at once.
//
// Disruption: the kill. With TROUBLE=0 the consumers lose their channels at that moment instead.
func originsCase(w *world) bool {
	const (
		limit = 6 * time.Second
		down  = 800 * time.Millisecond
	)
	for range 4 {
		w.addNode(544)
	}
	w.writeConfig(1, routeTray)
	for i := range 12 {
		s := w.addServer("stock-llm", 24, stream("", 3, 150*time.Millisecond, 2*time.Second))
		if i%2 == 1 {
			s.setVersion("v2")
		}
	}
	w.startNodes()
	var (
		mu        sync.Mutex
		killedAt  time.Time
		touchFrom time.Time // when all machines are in touch again
		broken    []*takeUp
		newOnes   [2]int // streams that consumers began when the machines were in touch again, and those that began
	)
	stop := make(chan struct{})
	cut := &cutter{cancel: map[string]context.CancelFunc{}}
	var clients sync.WaitGroup
	for i := range 160 {
		c := &streamClient{w: w, rand: rand.New(rand.NewPCG(uint64(i), 5)), cut: cut}
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(100+c.rand.IntN(200)) * time.Millisecond):
				}
				parts := fmt.Sprintf("5c1e07a2:100,91bd%04x:60,%04x%04x:240", c.rand.IntN(20), i+1, k+1)
				began := time.Now()
				id, status, last, whole, _ := c.attempt(w.nodes[c.rand.IntN(len(w.nodes))], parts, "", "", limit)
				mu.Lock()
				if !touchFrom.IsZero() && began.After(touchFrom) {
					newOnes[0]++
					if status == http.StatusOK {
						newOnes[1]++
					}
				}
				taken := &takeUp{first: id}
				if whole || last == "" || killedAt.IsZero() || began.After(killedAt) {
					taken = nil
				} else {
					broken = append(broken, taken)
				}
				mu.Unlock()
				if taken == nil {
					continue
				}
				// The consumer tries again a few times within its time limit.
				broke := time.Now()
				for _, pause := range []time.Duration{400 * time.Millisecond, 1500 * time.Millisecond, 4200 * time.Millisecond} {
					time.Sleep(time.Until(broke.Add(pause)))
					left := limit - time.Since(began)
					if left < 200*time.Millisecond {
						break
					}
					at := time.Now()
					_, status, next, whole, _ := c.attempt(w.nodes[c.rand.IntN(len(w.nodes))], parts, last, id, left)
					mu.Lock()
					if !touchFrom.IsZero() && at.After(touchFrom) {
						taken.inTouch = true
						taken.goesOn = status == http.StatusOK && (next != last || whole)
					}
					mu.Unlock()
					if status == http.StatusOK {
						break
					}
				}
			}
		})
	}
	time.Sleep(8*time.Second + time.Duration(rand.IntN(1000))*time.Millisecond)
	mu.Lock()
	killedAt = time.Now()
	mu.Unlock()
	if w.trouble != "0" {
		for _, n := range w.nodes {
			n.kill()
		}
		time.Sleep(down)
		for _, n := range w.nodes {
			n.start()
		}
	} else {
		cut.cutAll()
	}
	if w.trouble != "0" {
		time.Sleep(contact)
	}
	mu.Lock()
	touchFrom = time.Now()
	mu.Unlock()
	w.record("all machines are in touch")
	time.Sleep(limit)
	close(stop)
	clients.Wait()
	taken, goOn, earlier := 0, 0, 0
	for _, b := range broken {
		switch {
		case !b.inTouch:
			earlier++
		case b.goesOn:
			goOn++
			fallthrough
		default:
			taken++
		}
	}
	shareNew := float64(newOnes[1]) / float64(max(newOnes[0], 1))
	share := float64(goOn) / float64(max(taken, 1))
	w.record("%d streams broke; %d were taken up before the machines were in touch, or not in time; of %d that were taken up at machines in touch, %d go on (%.2f); of %d new streams in the same time, %d begin (%.2f)", len(broken), earlier, taken, goOn, share, newOnes[0], newOnes[1], shareNew)
	w.print("broke %d, taken up in touch %d, go on %d; new streams %d, begin %d\n", len(broken), taken, goOn, newOnes[0], newOnes[1])
	return taken >= 12 && share < shareNew/2
}

// setVersion changes the version of a server's software, before the machines are started.
func (s *server) setVersion(v string) {
	s.mu.Lock()
	s.version = v
	s.mu.Unlock()
}
