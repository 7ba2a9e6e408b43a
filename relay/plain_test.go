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
)

// TestLateSecondResponse guards against a response that an endpoint sends a second time, late,
// and that the next caller then gets as its own.
func TestLateSecondResponse(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer ln.Close()
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
					id := req.Header.Get("X-Request-Id")
					response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
					_, _ = conn.Write([]byte(response))
					time.Sleep(10 * time.Millisecond)
					_, _ = conn.Write([]byte(response))
				}
			}()
		}
	}()
	c := NewClient(Config{StallTimeout: time.Second})
	for _, id := range []string{"a", "b", "c"} {
		r, err := c.Do(context.Background(), PlainRequest{Addr: ln.Addr().String(), Method: http.MethodPost, Path: "/", RequestID: id})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(r.Body), qt.Equals, id)
		time.Sleep(20 * time.Millisecond)
	}
}
