package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/relay"
)

// heads are the heads of responses whose bodies are "ok", by framing.
var heads = map[string]string{
	"length":            "HTTP/1.1 200 OK\r\nX-Generation: g\r\nContent-Length: 2\r\n\r\n",
	"chunks":            "HTTP/1.1 200 OK\r\nX-Generation: g\r\nTransfer-Encoding: chunked\r\n\r\n",
	"neither":           "HTTP/1.1 200 OK\r\nX-Generation: g\r\n\r\n",
	"without a header":  "HTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.0":          "HTTP/1.0 200 OK\r\nX-Generation: g\r\n\r\n",
	"line feeds":        "HTTP/1.1 200 OK\nX-Generation: g\n\n",
	"after an interim":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
	"after early hints": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
}

// TestHeadBreaksOff guards against a response that its endpoint ends properly in the middle of the
// head, and that is taken for a whole one with an empty or short body.
func TestHeadBreaksOff(t *testing.T) {
	var response atomic.Value
	addr := serve(t, func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, response.Load().(string)) })
	c := relay.NewClient(relay.Config{StallTimeout: 5 * time.Second})
	location := relay.Location{Addr: addr, RequestID: "r", Generation: "g"}
	ctx := context.Background()
	calls := map[string]func() error{
		"Exchange": func() error {
			r, err := c.Exchange(ctx, relay.Request{Addr: addr, Method: "GET", Host: "h", URI: "/", Header: http.Header{}})
			if err == nil {
				r.Close()
			}
			return err
		},
		"Do": func() error {
			_, err := c.Do(ctx, relay.PlainRequest{Addr: addr, Method: "POST", Path: "/"})
			return err
		},
		"Get": func() error {
			_, err := c.Get(ctx, relay.KeptRequest{Addr: addr, Path: "/"})
			return err
		},
		"Open": func() error {
			_, err := c.Open(location, nil)
			return err
		},
		"Resume": func() error {
			_, err := c.Resume(location, 3)
			return err
		},
	}
	for name, call := range calls {
		for framing, head := range heads {
			t.Run(name+", "+framing, func(t *testing.T) {
				for n := range head {
					response.Store(head[:n])
					assertLost(t, call())
				}
			})
		}
	}
}

// TestLongestHead guards against a head that is cut off at the limit of its length and taken for a
// whole one.
func TestLongestHead(t *testing.T) {
	const limit = 64 << 10
	var response atomic.Value
	addr := serve(t, func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, response.Load().(string)) })
	for _, framing := range []string{"neither", "after early hints"} {
		for over := -3; over <= 3; over++ {
			t.Run(fmt.Sprint(framing, ", bytes over the limit: ", over), func(t *testing.T) {
				head := strings.TrimSuffix(heads[framing], "\r\n")
				head += "X-Long: " + strings.Repeat("a", limit+over-len(head)-len("X-Long: \r\n\r\n")) + "\r\n\r\n"
				response.Store(head + "ok")
				r, err := exchange(t, addr, nil)
				if over > 0 {
					assertLost(t, err)
					return
				}
				qt.Assert(t, err, qt.IsNil)
				defer r.Close()
				body, err := io.ReadAll(r)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(body), qt.Equals, "ok")
			})
		}
	}
}
