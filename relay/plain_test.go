package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// listenRepeating starts an endpoint that sends each response a second time on its connection,
// late. The function respond returns the response to the request with an id.
func listenRepeating(t *testing.T, respond func(id string) string) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					response := respond(req.Header.Get("X-Request-Id"))
					_, _ = conn.Write([]byte(response))
					time.Sleep(10 * time.Millisecond)
					_, _ = conn.Write([]byte(response))
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// TestLateSecondResponse guards against a response that an endpoint sends a second time, late,
// and that the next caller then gets as its own.
func TestLateSecondResponse(t *testing.T) {
	addr := listenRepeating(t, func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	})
	c := NewClient(Config{StallTimeout: time.Second})
	for _, id := range []string{"a", "b", "c"} {
		r, err := c.Do(context.Background(), PlainRequest{Addr: addr, Method: http.MethodPost, Path: "/", RequestID: id})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(r.Body), qt.Equals, id)
		time.Sleep(20 * time.Millisecond)
	}
}

// TestLateSecondRefusal guards against a refusal that an endpoint sends a second time and that
// is taken for the response to the next request, which the endpoint runs.
func TestLateSecondRefusal(t *testing.T) {
	addr := listenRepeating(t, func(id string) string {
		status := "200 OK"
		if id == "refused" {
			status = "503 Service Unavailable"
		}
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", status)
	})
	c := NewClient(Config{StallTimeout: time.Second})
	for range 5 {
		_, err := c.Do(context.Background(), PlainRequest{Addr: addr, Method: http.MethodPost, Path: "/", RequestID: "refused"})
		var refused *RefusedError
		qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
		time.Sleep(5 * time.Millisecond)
		r, err := c.Do(context.Background(), PlainRequest{Addr: addr, Method: http.MethodPost, Path: "/", RequestID: "run"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Status, qt.Equals, http.StatusOK)
	}
}
