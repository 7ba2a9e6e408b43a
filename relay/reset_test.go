package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/relay"
)

const uploadSize = 8 << 20 // bytes; more than the kernel buffers of a connection hold

// serveHead starts a server that reads the head of one request from each connection and calls handle.
func serveHead(t *testing.T, handle func(c *net.TCPConn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
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
				handle(c.(*net.TCPConn), r)
			}()
		}
	}()
	return ln.Addr().String()
}

// reset resets a connection.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// TestResetDuringUpload guards against a part of a response that passes for the whole, as the write of the request,
// which goes on while the response is read, gets the reset of the connection.
func TestResetDuringUpload(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			addr := serveHead(t, func(c *net.TCPConn, _ *bufio.Reader) {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n12345678")
				time.Sleep(delay)
				reset(c)
			})
			for range 10 {
				resp, err := exchange(t, addr, make([]byte, uploadSize))
				if err != nil {
					assertLost(t, err)
					continue
				}
				_, err = io.ReadAll(resp)
				resp.Close()
				qt.Assert(t, err, qt.IsNotNil)
			}
		})
	}
}

// TestEarlyResponseIsWhole checks which responses to an upload that is not read are whole.
func TestEarlyResponseIsWhole(t *testing.T) {
	const grace = 200 * time.Millisecond // in which the client reads the response before the connection ends
	for _, test := range []struct {
		name  string
		text  string
		end   func(c *net.TCPConn, r *bufio.Reader)
		whole bool
	}{
		{"length", "HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nbody", func(c *net.TCPConn, _ *bufio.Reader) { reset(c) }, true},
		{"chunks", "HTTP/1.1 413 Too Large\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", func(c *net.TCPConn, _ *bufio.Reader) { reset(c) }, true},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", func(c *net.TCPConn, _ *bufio.Reader) { reset(c) }, true},
		{"closes unread", "HTTP/1.1 200 OK\r\n\r\nbody", func(c *net.TCPConn, _ *bufio.Reader) { _ = c.Close() }, false},
		{"reads nothing more", "HTTP/1.1 200 OK\r\n\r\nbody", func(c *net.TCPConn, _ *bufio.Reader) { _ = c.CloseWrite(); time.Sleep(3 * relay.MaxWriteEnd) }, false},
		{"reads on", "HTTP/1.1 200 OK\r\n\r\nbody", func(c *net.TCPConn, r *bufio.Reader) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, r) }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			addr := serveHead(t, func(c *net.TCPConn, r *bufio.Reader) {
				fmt.Fprint(c, test.text)
				time.Sleep(grace)
				test.end(c, r)
			})
			resp, err := exchange(t, addr, make([]byte, uploadSize))
			qt.Assert(t, err, qt.IsNil)
			body, err := io.ReadAll(resp)
			resp.Close()
			if test.whole {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(body) == "body" || resp.Status == http.StatusNoContent, qt.IsTrue)
				return
			}
			var unread *relay.UnreadError
			qt.Assert(t, errors.As(err, &unread) || err != nil && strings.Contains(err.Error(), "reset"), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestResponseAfterUploadIsWhole checks that a response which ends with its connection is whole if the endpoint has
// read the request, also before the client knows that its write has ended.
func TestResponseAfterUploadIsWhole(t *testing.T) {
	addr := serveHead(t, func(c *net.TCPConn, r *bufio.Reader) {
		_, _ = io.CopyN(io.Discard, r, 1<<20)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nbody")
		_ = c.Close()
	})
	for range 200 {
		resp, err := exchange(t, addr, make([]byte, 1<<20))
		qt.Assert(t, err, qt.IsNil)
		body, err := io.ReadAll(resp)
		resp.Close()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(body), qt.Equals, "body")
	}
}
