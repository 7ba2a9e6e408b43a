package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const maxTakeUpTries = 4 // attempts of a caller to take up a stream after each break

var requestNumber atomic.Int64

// newID returns a new X-Request-Id.
func newID() string {
	return fmt.Sprintf("%08x%08x", rand.Uint32(), requestNumber.Add(1))
}

// newClient returns a client with channels of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}}
}

// resolve asks the nodes, in a random order, where to connect. A caller tries up to three.
func (d *deployment) resolve() []string {
	for _, i := range rand.Perm(len(d.nodes)) {
		n := d.nodes[i]
		resp, err := probeClient.Get(fmt.Sprintf("http://%s:%d/resolve?name=%s&region=khomas&zone=%s", n.ip, portDirectory, host, d.zones[0]))
		if err != nil {
			continue
		}
		var list struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&list)
		_ = resp.Body.Close()
		if err == nil && len(list.Addresses) > 0 {
			return list.Addresses
		}
	}
	return nil
}

// nodeAt returns the node with an address for callers.
func (d *deployment) nodeAt(addr string) *node {
	for _, n := range d.nodes {
		if fmt.Sprintf("%s:%d", n.ip, portFront) == addr {
			return n
		}
	}
	return nil
}

// answer is what a caller got for one request.
type answer struct {
	id     string
	node   string // its address
	sentAt time.Time
	status int // 0 if the channel ended without an answer
	header http.Header
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s via %s: %v", a.id, a.node, a.err)
	}
	return fmt.Sprintf("%s via %s: %d, stamp %q, body %.80q", a.id, a.node, a.status, a.header.Get("X-Response-Stamp"), a.body)
}

// isSuccess reports whether the caller takes the request for done: it got a success.
func (a answer) isSuccess() bool { return a.err == nil && a.status >= 200 && a.status < 300 }

// send sends a request to a plain service through the node at an address and reads the answer. The lines
// are further lines of its head.
func (d *deployment) send(addr, method, path string, body []byte, timeout time.Duration, lines ...string) answer {
	a := answer{id: newID(), node: addr, sentAt: time.Now()}
	d.log.line("caller", "sends %s %s as %s to %s, %d bytes", method, path, a.id, addr, len(body))
	a.err = a.exchange(method, path, body, timeout, lines)
	d.log.line("caller", "gets %s", a)
	return a
}

// exchange sends the request on a channel of its own, with the path as it is, and reads the answer.
func (a *answer) exchange(method, path string, body []byte, timeout time.Duration, lines []string) error {
	conn, err := net.DialTimeout("tcp", a.node, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(a.sentAt.Add(timeout)); err != nil {
		return err
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n",
		method, path, host, a.id, timeout.Milliseconds(), key, len(body))
	for _, line := range lines {
		head = strings.Replace(head, "\r\n\r\n", "\r\n"+line+"\r\n\r\n", 1)
	}
	if _, err := conn.Write(append([]byte(head), body...)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return err
	}
	data, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body = resp.StatusCode, resp.Header, string(data)
	return err
}

// Of prompts, in tokens.
const (
	promptTokens = 1460
	partTokens   = 20 // of a part that isn't the last
)

// prompt returns the X-Prompt-Prefix of a prompt, which ends with a part of the request's own.
func prompt(parts []string, last string) string {
	var b strings.Builder
	for _, id := range parts {
		fmt.Fprintf(&b, "%s:%d,", id, partTokens)
	}
	fmt.Fprintf(&b, "%s:%d", last, promptTokens-len(parts)*partTokens)
	return b.String()
}

// takeUp is a caller's attempts to take up a stream after one break.
type takeUp struct {
	at       time.Time // of the first of them
	goesOn   bool
	tries    int
	statuses []int
	inTouch  int // tries at nodes in touch
}

// stream is a stream of a caller, over all its attempts.
type stream struct {
	first    string   // X-Request-Id of the attempt that brought the first event
	attempts []string // all X-Request-Ids
	events   []string // data of the events, in order
	lastID   int
	broken   string // why the order of the events is wrong; empty if it is not
	complete bool
	began    bool
	status   int // of the first answer
	takeUps  []takeUp
}

// versions returns the software versions whose events the stream holds.
func (st *stream) versions() []string {
	var list []string
	for _, e := range st.events {
		v, _, _ := strings.Cut(e, " ")
		if len(list) == 0 || list[len(list)-1] != v {
			list = append(list, v)
		}
	}
	return list
}

// runStream sends a generation of a number of events and takes it up again after each break, until
// its time limit. If takesUp is false, it ends with the first break.
func (d *deployment) runStream(events int, limit time.Duration, takesUp bool) *stream {
	st := &stream{}
	deadline := time.Now().Add(limit)
	var after time.Duration
	addrs := d.resolve()
	if len(addrs) == 0 {
		return st
	}
	after = d.attempt(st, addrs[rand.IntN(len(addrs))], events, deadline)
	st.began = len(st.events) > 0
	if !st.began || !takesUp {
		return st
	}
	for !st.complete && time.Until(deadline) > time.Second {
		t := takeUp{at: time.Now()}
		before := len(st.events)
		for t.tries < maxTakeUpTries && !t.goesOn && time.Until(deadline) > time.Second {
			time.Sleep(min(after, time.Until(deadline)/3))
			addrs := d.resolve()
			if len(addrs) == 0 {
				after = 500 * time.Millisecond
				continue
			}
			addr := addrs[rand.IntN(len(addrs))]
			if d.nodeAt(addr).runTime() > contact {
				t.inTouch++
			}
			t.tries++
			after = d.attempt(st, addr, events, deadline)
			t.statuses = append(t.statuses, st.status)
			t.goesOn = len(st.events) > before || st.complete
		}
		st.takeUps = append(st.takeUps, t)
		if !t.goesOn {
			break
		}
	}
	return st
}

// contact is contact-ms.
const contact = 3 * time.Second

// attempt sends a stream's request once and reads its events. It returns the Retry-After of a
// refusal.
func (d *deployment) attempt(st *stream, addr string, events int, deadline time.Time) time.Duration {
	id := newID()
	st.attempts = append(st.attempts, id)
	st.status = 0
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/lohu930/2f", strings.NewReader("draft"))
	if err != nil {
		panic(err)
	}
	req.Host = host
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Model": "m", "X-Token-Usage": fmt.Sprintf("%d,%d", promptTokens, stride*events), "X-Prompt-Prefix": prompt(d.shared, id[8:]),
		"X-Deadline-Ms": strconv.FormatInt(time.Until(deadline).Milliseconds(), 10), "Authorization": "Bearer " + key, "Connection": "close", "User-Agent": "",
	} {
		req.Header.Set(name, value)
	}
	what := "begins"
	if st.lastID > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(st.lastID))
		req.Header.Set("Resumes", st.first)
		what = fmt.Sprintf("takes up the stream of %s after event %d", st.first, st.lastID)
	}
	d.log.line("caller", "%s %s at %s", id, what, addr)
	client := newClient()
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	if err != nil {
		d.log.line("caller", "%s gets no answer: %v", id, err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	st.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		d.log.line("caller", "%s gets %d, Retry-After %s: %s", id, resp.StatusCode, resp.Header.Get("Retry-After"), bytes.TrimSpace(text))
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return time.Duration(seconds * float64(time.Second))
	}
	if st.first == "" {
		st.first = id
	}
	began := len(st.events)
	err = st.read(resp.Body)
	st.complete = err == nil
	d.log.line("caller", "%s got %d events, the stream has %d (versions %s) and ended with %v", id, len(st.events)-began, len(st.events), strings.Join(st.versions(), ", "), err)
	return 0
}

// read reads events until the stream ends, and returns nil if it ended as complete.
func (st *stream) read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	var id int
	var data string
	for scanner.Scan() {
		line := scanner.Text()
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(text)
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			data = text
		}
		if line == "" && data != "" {
			if id != st.lastID+1 {
				st.broken = fmt.Sprintf("event %d came after event %d", id, st.lastID)
			}
			st.lastID = id
			st.events = append(st.events, data)
			data = ""
		}
	}
	return scanner.Err()
}
