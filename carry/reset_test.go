package carry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/relay"
)

// TestResetWhileCarried guards against a part of a response that passes for the whole at the node that asked for a
// connection, as the write of the request at the node that carries it gets the reset, or has not ended.
func TestResetWhileCarried(t *testing.T) {
	reset := func(c *net.TCPConn, _ *bufio.Reader) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	for _, test := range []struct {
		name  string
		size  int // of the request, bytes
		delay time.Duration
		end   func(c *net.TCPConn, r *bufio.Reader)
		whole bool
	}{
		{"reset at once", 8 << 20, 0, reset, false},
		{"reset", 8 << 20, 50 * time.Millisecond, reset, false},
		{"reset after the other node has sent all", 768 << 10, 50 * time.Millisecond, reset, false},
		{"closed unread", 8 << 20, 50 * time.Millisecond, func(c *net.TCPConn, _ *bufio.Reader) { _ = c.Close() }, false},
		{"read whole", 1 << 20, 0, func(c *net.TCPConn, r *bufio.Reader) { _, _ = io.CopyN(io.Discard, r, 1<<20); _ = c.Close() }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer ln.Close()
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					go func() {
						r := bufio.NewReader(c)
						for line := "x"; strings.TrimSpace(line) != ""; {
							if line, err = r.ReadString('\n'); err != nil {
								return
							}
						}
						fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n12345678")
						time.Sleep(test.delay)
						test.end(c.(*net.TCPConn), r)
					}()
				}
			}()
			n := newNetwork(2)
			client := relay.NewClient(relay.Config{Dial: func(ctx context.Context, _ relay.Target) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", ln.Addr().String())
				if err != nil {
					return nil, err
				}
				mine, theirs := newMemStreams()
				f := &forwarding{rules: n, conn: conn, stream: theirs, answeredAt: sinceBoot()}
				go f.run(context.Background())
				return &carriedConn{carrier: n.carriers["n0"], node: "n1", stream: mine}, nil
			}})
			for range 10 {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				resp, err := client.Exchange(ctx, relay.Request{Addr: "e", Method: "POST", Host: "h", URI: "/", Body: make([]byte, test.size)})
				var body []byte
				if err == nil {
					body, err = io.ReadAll(resp)
					resp.Close()
				}
				cancel()
				if test.whole {
					qt.Assert(t, err, qt.IsNil)
					qt.Assert(t, string(body), qt.Equals, "12345678")
					continue
				}
				qt.Assert(t, err, qt.IsNotNil)
			}
		})
	}
}
