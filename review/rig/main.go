// Command rig runs one case of a review against processes of the system: it plays the platform's store,
// the servers and the consumers, on loopback addresses and the real clock.
//
// Its exit code is 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	host        = "ficu95.example"
	contactTime = 3 * time.Second // contact-ms of the settings
	restartTime = time.Second     // until the platform starts a process again
)

// rig is a small deployment.
type rig struct {
	store     *kvStore
	storeAddr string
	dir       string // temporary
	nodes     []*node
	servers   []*server
	trouble   bool
	began     time.Time

	mu       sync.Mutex
	out      *os.File
	arrivals []arrival
	nextID   int
}

// record writes a line to record.txt.
func (r *rig) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// arrived notes a request that reached a server.
func (r *rig) arrived(a arrival) {
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	r.mu.Unlock()
	r.record("server %s (version %s) got request %s, ran=%t, after event %q, parts %q, tenant %q", a.server, a.version, a.id, a.ran, a.from, a.part, a.tenant)
}

// allArrivals returns the requests that reached servers.
func (r *rig) allArrivals() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// newID returns an id for a request.
func (r *rig) newID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextID++
	return fmt.Sprintf("%08x%06x", rand.Uint32(), r.nextID)
}

// newRig returns a deployment without nodes and servers.
func newRig(folder string) (*rig, error) {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, err
	}
	r := &rig{store: newStore(), dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), out: out}
	r.storeAddr, err = r.store.listen()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			r.mu.Lock()
			list := append([]*server(nil), r.servers...)
			r.mu.Unlock()
			for _, s := range list {
				s.beat()
			}
		}
	}()
	return r, err
}

// addNodes adds nodes in three zones, at loopback addresses whose ports are free.
func (r *rig) addNodes(count int) error {
	zones := []string{"khomas-a", "khomas-b", "khomas-c"}
	for len(r.nodes) < count {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(256), 2+rand.IntN(250))
		for _, port := range []int{frontPort, directoryPort, controlPort, readyPort, firstPeerPort, 9464} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return err
			}
			_ = ln.Close()
		}
		i := len(r.nodes)
		name := fmt.Sprintf("front-%s-%d", zones[i%3], i)
		r.nodes = append(r.nodes, &node{rig: r, name: name, ip: ip, zone: zones[i%3], file: filepath.Join(r.dir, name+".json")})
	}
	return nil
}

// startNodes starts all nodes, and waits until they are ready.
func (r *rig) startNodes() error {
	for _, n := range r.nodes {
		if err := n.start(true); err != nil {
			return err
		}
	}
	return r.awaitReady(15 * time.Second)
}

// awaitReady waits until all nodes are ready.
func (r *rig) awaitReady(timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for _, n := range r.nodes {
		for !n.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// ready asks the node whether it is ready.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", n.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// addServer starts a server.
func (r *rig) addServer(cfg serverConfig) (*server, error) {
	s := &server{cfg: cfg, rig: r}
	if err := s.start(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.mu.Unlock()
	return s, nil
}

// killAll kills all processes at the same moment; the platform starts them again.
func (r *rig) killAll() error {
	r.record("all processes are killed")
	for _, n := range r.nodes {
		n.signal(9)
	}
	for _, n := range r.nodes {
		n.kill()
	}
	time.Sleep(restartTime)
	for _, n := range r.nodes {
		if err := n.start(false); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder.
func (r *rig) close() {
	for _, n := range r.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs:", r.dir)
	}
	_ = r.out.Close()
}

// cases are the cases by name. Each returns whether the rule was broken, in a sentence.
var cases = map[string]func(ctx context.Context, r *rig) (broken bool, text string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run runs a case and returns the exit code.
func run(name, folder string) int {
	r, err := newRig(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	ctx, cancel := context.WithTimeout(context.Background(), 115*time.Second)
	defer cancel()
	broken, text, err := cases[name](ctx, r)
	switch {
	case err != nil:
		r.record("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		r.record("BROKEN: %s", text)
		fmt.Println("BROKEN:", text)
		return 1
	}
	r.record("held: %s", text)
	fmt.Println("held:", text)
	return 0
}
