// Command world3 plays the cases of the third review that cannot be put as a day of the bench. It
// starts the system's processes with the command of the deploy file, and plays the platform's store,
// the servers and the clients as the users' pages describe them, on loopback addresses.
//
//	world3 CASE RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not run.
// With TROUBLE=0 in its environment it leaves the disruption out.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// timeLimit is for one run.
const timeLimit = 110 * time.Second

// world is the deployment around one case.
type world struct {
	net     byte // second byte of all addresses
	dir     string
	store   *store
	nodes   []*node
	servers []*server
	began   time.Time
	trouble string // TROUBLE in the environment

	ending sync.Mutex

	mu  sync.Mutex
	out *bufio.Writer
}

// cases maps the names of the cases to what plays them. Each returns whether the rule was broken.
var cases = map[string]func(w *world) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world3 CASE RECORD")
		os.Exit(2)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{dir: dir, store: newStore(), began: time.Now(), trouble: os.Getenv("TROUBLE"), out: bufio.NewWriter(f)}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		s := <-signals
		w.fatal("ended by signal %v", s)
	}()
	time.AfterFunc(timeLimit, func() { w.fatal("the run took longer than %s", timeLimit) })
	w.chooseNet()
	broken := cases[os.Args[1]](w)
	verdict, code := "the rule held", 0
	if broken {
		verdict, code = "the rule was broken", 1
	}
	w.record("%s", verdict)
	w.print("%s\n", verdict)
	w.end(code)
}

// end ends all processes and the run.
func (w *world) end(code int) {
	w.ending.Lock() // until the process ends: only the first call counts
	for _, n := range w.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	w.mu.Lock()
	_ = w.out.Flush()
	w.mu.Unlock()
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(w.dir, filepath.Clean(keep))
	}
	_ = os.RemoveAll(w.dir)
	os.Exit(code)
}

// fatal ends a run that could not be carried out.
func (w *world) fatal(format string, args ...any) {
	w.record(format, args...)
	w.print(format+"\n", args...)
	w.end(2)
}

// record writes a line to the record of the run.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// print writes to the standard output.
func (w *world) print(format string, args ...any) {
	fmt.Printf(format, args...)
}

// chooseNet chooses the loopback addresses of the run, on which no other run listens, and serves the store there.
func (w *world) chooseNet() {
	for i := range 100 {
		w.net = byte(20 + (os.Getpid()+7*i)%200)
		if w.store.listen(w.storeAddr()) == nil {
			return
		}
	}
	w.fatal("no free loopback addresses")
}

func (w *world) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", w.net, group, n) }

func (w *world) storeAddr() string { return fmt.Sprintf("%s:%d", w.ip(200, 7), portStore) }

// addNode adds a machine.
func (w *world) addNode(memory int) *node {
	i := len(w.nodes)
	n := &node{w: w, name: fmt.Sprintf("front-%d", i+1), ip: w.ip(1, i+1), zone: zones[i%len(zones)], memory: memory}
	w.nodes = append(w.nodes, n)
	return n
}

// startNodes starts the processes of all machines, and waits until they are ready.
func (w *world) startNodes() {
	for _, n := range w.nodes {
		n.start()
	}
	w.awaitReady(8 * time.Second)
}

// awaitReady waits until all machines are ready.
func (w *world) awaitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, n := range w.nodes {
		for !n.ready() {
			if time.Now().After(end) {
				w.fatal("%s is not ready after %s", n.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record("all machines are ready")
}

// addServer adds a server and starts it.
func (w *world) addServer(service string, slots int, handle func(s *server, rw ResponseWriter, r *Request) bool) *server {
	i := len(w.servers)
	s := &server{w: w, id: fmt.Sprintf("i-%06x", 0x7f3a00+i), service: service, ip: w.ip(64, i+1), zone: zones[i%len(zones)], version: "v1", slots: slots, handle: handle}
	w.servers = append(w.servers, s)
	s.start()
	return s
}

// writeConfig writes the operator's configuration, that of the sheet of the site zlk-stock.
func (w *world) writeConfig(version int, routes ...map[string]any) {
	w.store.write("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "stock-llm", "health-path": "/health", "max-conns": 282, "protocol": "h1", "tls": false, "runtime": map[string]any{
				"slot-count": 24, "kv-capacity": 34261, "kv-token-bytes": 35136, "link-mbps": 5100, "moves": true, "backups": true, "stride": 4,
				"most": 12, "pin-ms": 4000, "hold-ms": 2000, "handle-s": 5, "models": []map[string]string{{"name": "m"}}}},
			{"name": "orders-app", "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]int{"header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "huka270", "api-keys": []string{apiKey}, "priority": 1}},
	})
}

const (
	apiKey = "xd9dnn2ctnfzs989anu6"
	host   = "ficu95.example"
)

// routeTray is the route of the short streams of the site zlk-stock.
var routeTray = map[string]any{"name": "r-tray", "host": host, "path-prefix": "/tray/", "kind": "streaming", "timeout-ms": 6000, "target-latency-ms": 1500, "priority": 0, "service": "stock-llm", "max-attempts": 2, "public": false, "sticky": true, "resumable": true, "gap-aim-ms": 180}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
