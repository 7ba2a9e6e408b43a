package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["versions"] = versionsCase }

const (
	draftEvents = 300                   // of a stream
	draftPace   = 60 * time.Millisecond // between two events
	draftLimit  = 39 * time.Second      // consumers' time limit
)

// draft is a stream of one consumer, over all of its attempts.
type draft struct {
	first    string // request id of the attempt that brought the first event
	last     int    // id of the last event
	version  string // that wrote the events
	mixed    bool   // events of two versions
	takeUps  int    // attempts to take the stream up at machines in touch
	goneOn   bool   // one of the attempts to take it up brought an event
	started  time.Time
	complete bool
}

// deskTraffic is the traffic of streams, and what consumers saw.
type deskTraffic struct {
	r        *rig
	mu       sync.Mutex
	drafts   []*draft
	newTries int    // first attempts at machines in touch after the disruption
	newBegun int    // those of them that brought an event
	path     string // of the requests
	cutAt    time.Time
	cut      chan struct{} // closed when the consumers' channels break, without the disruption
}

// event notes an event.
func (t *deskTraffic) event(d *draft, id int, data string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	version, _, _ := strings.Cut(data, " ")
	if d.version == "" {
		d.version = version
	}
	d.mixed = d.mixed || d.version != version
	d.last = max(d.last, id)
}

// attempt makes one attempt of a stream.
func (t *deskTraffic) attempt(ctx context.Context, d *draft, n *node, breakable bool) result {
	id := t.r.newID()
	h := map[string]string{"X-Model": "m", "X-Token-Usage": "600,1200", "X-Length-Hint": fmt.Sprint(draftEvents), "X-Prompt-Prefix": "5c1e07a2:400," + id + ":200"}
	t.mu.Lock()
	resumed := d.last > 0
	if resumed {
		h["Last-Event-Id"], h["Resumes"] = fmt.Sprint(d.last), d.first
	}
	t.mu.Unlock()
	left := time.Until(d.started.Add(draftLimit))
	if breakable {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		go func() {
			select {
			case <-t.cut:
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	c := call{node: n, method: "POST", path: t.path, id: id, deadline: left, key: tenantKey, header: h}
	first := true
	c.onEvent = func(event int, data string) bool {
		if first && !resumed {
			t.mu.Lock()
			d.first = id
			t.mu.Unlock()
		}
		first = false
		t.event(d, event, data)
		return true
	}
	res := c.do(ctx)
	t.r.record("consumer at %s: request %s, resumes %q after event %q: status %d, %d events, complete %t, %v", n.name, id, h["Resumes"], h["Last-Event-Id"], res.status, res.events, res.complete, res.err)
	return res
}

// run plays one consumer, which begins at a node.
func (t *deskTraffic) run(ctx context.Context, n *node) {
	d := &draft{started: time.Now()}
	t.mu.Lock()
	t.drafts = append(t.drafts, d)
	after := !t.cutAt.IsZero() && n.inTouchSince(time.Now()) && time.Since(t.cutAt) >= contactTime
	if after {
		t.newTries++
	}
	t.mu.Unlock()
	res := t.attempt(ctx, d, n, !after)
	t.mu.Lock()
	if after && res.events > 0 {
		t.newBegun++
	}
	last := d.last
	t.mu.Unlock()
	if res.complete || last == 0 {
		d.complete = res.complete
		return
	}
	// The channel broke: the consumer takes the stream up, a few times within its time limit.
	for _, pause := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 3 * time.Second, 4 * time.Second} {
		time.Sleep(max(pause, min(res.retryAfter, time.Until(d.started.Add(draftLimit))/3)))
		if ctx.Err() != nil || time.Since(d.started) > draftLimit-time.Second {
			return
		}
		n := t.r.nodes[rand.IntN(len(t.r.nodes))]
		inTouch := n.inTouchSince(time.Now())
		res = t.attempt(ctx, d, n, false)
		t.mu.Lock()
		if inTouch && res.err == nil || res.events > 0 {
			d.takeUps++
			d.goneOn = d.goneOn || res.events > 0
		}
		t.mu.Unlock()
		if res.complete && res.status == 200 {
			d.complete = true
			return
		}
	}
}

// versionsCase kills all processes at the same moment while servers of two versions serve side by side.
func versionsCase(ctx context.Context, r *rig) (bool, string, error) {
	r.store.put("op/config", config(7))
	zones := []string{"khomas-a", "khomas-b", "khomas-c"}
	for i := range 6 {
		cfg := serverConfig{ID: fmt.Sprintf("i-engine-%d", i), Service: engineService, Zone: zones[i%3], Version: "v1", Slots: 24, Engine: true, Work: 100 * time.Millisecond, Pace: draftPace, Events: draftEvents}
		if i >= 3 {
			cfg.Version = "v2"
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
	t := &deskTraffic{r: r, cut: make(chan struct{}), path: draftPath}
	var consumers sync.WaitGroup
	ends := time.Now().Add(50 * time.Second)
	disruptAt := time.Now().Add(15 * time.Second)
	disrupted := false
	for time.Now().Before(ends) {
		consumers.Go(func() { t.run(ctx, r.nodes[rand.IntN(len(r.nodes))]) })
		time.Sleep(300 * time.Millisecond)
		if disrupted || time.Now().Before(disruptAt) {
			continue
		}
		disrupted = true
		for _, key := range r.store.keys("plantaindeck/versions/") {
			value, _ := r.store.get(key)
			r.record("the store holds %s = %s", key, value)
		}
		t.mu.Lock()
		t.cutAt = time.Now()
		t.mu.Unlock()
		if !r.trouble {
			r.record("the channels of all consumers break")
			close(t.cut)
			continue
		}
		if err := r.killAll(); err != nil {
			return false, "", err
		}
	}
	consumers.Wait()
	return t.judge()
}

// judge evaluates the rule LOST of streams that are taken up again.
func (t *deskTraffic) judge() (bool, string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken, goneOn, mixed := 0, 0, 0
	for _, d := range t.drafts {
		if d.takeUps > 0 {
			taken++
			if d.goneOn {
				goneOn++
			}
		}
		if d.mixed {
			mixed++
		}
	}
	text := fmt.Sprintf("consumers took up %d streams at machines in touch, %d of them went on; %d new streams were tried there in the time, %d of them began; %d streams hold events of two versions", taken, goneOn, t.newTries, t.newBegun, mixed)
	if taken < 12 || t.newTries < 12 {
		return false, "", fmt.Errorf("too few streams: %s", text)
	}
	share, fresh := float64(goneOn)/float64(taken), float64(t.newBegun)/float64(t.newTries)
	return share < fresh/2 || mixed > 2, text, nil
}
