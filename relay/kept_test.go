package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// keptServer is an endpoint that counts its connections.
func keptServer(t *testing.T, handler http.HandlerFunc) (addr string, conns *atomic.Int32) {
	conns = &atomic.Int32{}
	s := httptest.NewUnstartedServer(handler)
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), conns
}

// get makes a call that must succeed.
func get(t *testing.T, c *Client, addr string) KeptResponse {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := c.Get(ctx, KeptRequest{Addr: addr, Path: "/report", IDHeader: "X-Id", ID: "own"})
	qt.Assert(t, err, qt.IsNil)
	return r
}

// TestKeptConnections guards against a new connection for each report, against bytes that
// an endpoint sends after a response, and against endpoints that close idle connections.
func TestKeptConnections(t *testing.T) {
	t.Run("used again", func(t *testing.T) {
		addr, conns := keptServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("a report")) })
		c := NewClient(Config{})
		for range 10 {
			qt.Assert(t, string(get(t, c, addr).Body), qt.Equals, "a report")
		}
		qt.Assert(t, conns.Load(), qt.Equals, int32(1))
	})
	t.Run("closed by the endpoint", func(t *testing.T) {
		addr, conns := keptServer(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
		c := NewClient(Config{})
		for range 3 {
			qt.Assert(t, get(t, c, addr).Status, qt.Equals, http.StatusOK)
		}
		qt.Assert(t, conns.Load(), qt.Equals, int32(3))
	})
	t.Run("second response", func(t *testing.T) {
		addr, conns := keptServer(t, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(err)
			}
			defer conn.Close()
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirstHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"))
		})
		c := NewClient(Config{})
		for range 3 {
			qt.Assert(t, string(get(t, c, addr).Body), qt.Equals, "first")
		}
		qt.Assert(t, conns.Load(), qt.Equals, int32(3))
	})
	t.Run("late second response", func(t *testing.T) {
		for _, second := range []string{"X-Id: other\r\n", ""} {
			addr, conns := keptServer(t, func(w http.ResponseWriter, r *http.Request) {
				conn, buf, err := w.(http.Hijacker).Hijack()
				if err != nil {
					panic(err)
				}
				defer conn.Close()
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nContent-Length: 5\r\n\r\nfirst"))
				if _, err := http.ReadRequest(buf.Reader); err == nil { // the next one
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + second + "Content-Length: 6\r\n\r\nsecond"))
				}
			})
			c := NewClient(Config{})
			for range 4 {
				qt.Assert(t, string(get(t, c, addr).Body), qt.Equals, "first")
			}
			qt.Assert(t, conns.Load(), qt.Equals, int32(4))
		}
	})
}
