package node_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	crowdClients = 200
	crowdMiB     = 48 // for clients, of crowdMemory
	crowdMemory  = 192 << 20
	crowdBody    = 4<<20 - 1 // bytes of a body of legal size, one byte short of its end
	crowdStall   = 2 * time.Second
	startTimeout = 20 * time.Second
)

// TestCrowd checks that callers that stop short of the end of their requests cost a node bounded memory, and that
// an ordinary request is answered beside and after them.
func TestCrowd(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "plantaindeck")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/plantaindeck").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	body := strings.Repeat("x", crowdBody)
	for name, test := range map[string]struct{ head, part string }{
		"body":   {fmt.Sprintf("POST /v1/chat HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", crowdBody+1), body},
		"chunks": {"POST /v1/chat HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("3e8\r\n"+strings.Repeat("x", 1000)+"\r\n", crowdBody/1000)},
		"head":   {"GET /healthz HTTP/1.1\r\nHost: a\r\n", strings.Repeat("a:\r\n", 1<<20/4)},
	} {
		t.Run(name, func(t *testing.T) {
			addr, cmd := startNode(t, binary)
			var sent, clients sync.WaitGroup
			stop := make(chan struct{})
			for range crowdClients {
				sent.Add(1)
				clients.Go(func() {
					conn, err := net.Dial("tcp", addr)
					if err == nil {
						defer func() { _ = conn.Close() }()
						_, err = io.WriteString(conn, test.head)
					}
					for rest := test.part; err == nil && rest != ""; rest = rest[min(len(rest), 64<<10):] {
						_ = conn.SetWriteDeadline(time.Now().Add(crowdStall))
						_, err = io.WriteString(conn, rest[:min(len(rest), 64<<10)])
					}
					sent.Done()
					<-stop
				})
			}
			sent.Wait()
			beside := getHealth(addr)
			close(stop)
			clients.Wait()
			after := getHealth(addr)
			peak := peakMemory(cmd.Process.Pid)
			t.Logf("at most %d MB resident", peak>>20)
			qt.Check(t, peak > 0 && peak <= crowdMemory, qt.IsTrue, qt.Commentf("%d MB resident", peak>>20))
			qt.Check(t, beside, qt.IsNil)
			qt.Check(t, after, qt.IsNil)
			qt.Check(t, cmd.Process.Signal(syscall.Signal(0)), qt.IsNil)
		})
	}
}

// startNode starts a node without the systems around it, and returns its address for callers.
func startNode(t *testing.T, binary string) (addr string, cmd *exec.Cmd) {
	ip := fmt.Sprintf("127.%d.250.%d", 1+os.Getpid()%90, 1+os.Getpid()%200)
	addr = ip + ":8080"
	cmd = exec.Command(binary, "node", "--peer", ip+":7000", "--front", addr, "--centre", "a", "--kv", ip+":2379", "--hosts", ip+":8300",
		"--secret", "a-secret-for-the-test-only", "--clients", strconv.Itoa(crowdMiB), "--memory", strconv.Itoa(crowdMemory>>20*6/10))
	qt.Assert(t, cmd.Start(), qt.IsNil)
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	for end := time.Now().Add(startTimeout); getHealth(addr) != nil; time.Sleep(20 * time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
	}
	return addr, cmd
}

// getHealth sends an ordinary request, up to three times as callers do that get 503.
func getHealth(addr string) (err error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}
	for range 3 {
		var resp *http.Response
		if resp, err = client.Get("http://" + addr + "/healthz"); err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
		err = fmt.Errorf("status %d", resp.StatusCode)
		time.Sleep(time.Second)
	}
	return err
}

// peakMemory returns the most resident bytes that a process has had.
func peakMemory(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.Atoi(fields[0])
	return kilobytes << 10
}
