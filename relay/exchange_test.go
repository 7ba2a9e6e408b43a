package relay_test

import (
	"bufio"
	"context"
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

// serve starts a server that reads one request from each connection and calls
// handle to write the response. It returns the server's address.
func serve(t *testing.T, handle func(c net.Conn, r *http.Request)) string {
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
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					handle(c, r)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// exchange sends a request with the given body. Its URI must arrive without being
// normalised.
func exchange(t *testing.T, addr string, body []byte) (*relay.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return relay.NewClient(relay.Config{}).Exchange(ctx, relay.Request{
		Addr: addr, ConnectTimeout: time.Second, Method: "POST", Host: "h.example", URI: "/a%2Fb/../c?q=%zz", Header: http.Header{"User-Agent": {""}}, Body: body,
	})
}

func assertLost(t *testing.T, err error) {
	t.Helper()
	var lost *relay.LostError
	qt.Assert(t, errors.As(err, &lost), qt.IsTrue, qt.Commentf("%v", err))
}

func TestExchangePassesTheRequestUnchanged(t *testing.T) {
	got := make(chan string, 1)
	addr := serve(t, func(c net.Conn, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got <- fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Host, " ", string(body), " ", r.Header)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	r, err := exchange(t, addr, []byte("body"))
	qt.Assert(t, err, qt.IsNil)
	defer r.Close()
	qt.Assert(t, <-got, qt.Equals, "POST /a%2Fb/../c?q=%zz h.example body map[Content-Length:[4]]")
}

func TestExchangeResponses(t *testing.T) {
	for _, test := range []struct {
		name, response string
		want           string // whole body
		headerErr      bool   // Exchange fails
		bodyErr        bool   // reading the body fails
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", false, false},
		{"bytes after the response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500 No\r\n\r\n", "ok", false, false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", false, false},
		{"ended by closing the connection", "HTTP/1.1 200 OK\r\n\r\nok", "ok", false, false},
		{"interim response first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", false, false},
		{"shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", "", false, true},
		{"without the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "", false, true},
		{"ends within a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", "", false, true},
		{"not HTTP", "\x00\x01 garbage\r\n\r\n", "", true, false},
		{"closed without a response", "", "", true, false},
		{"endless header", "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 100<<10), "", true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr := serve(t, func(c net.Conn, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				_, _ = io.WriteString(c, test.response)
			})
			r, err := exchange(t, addr, []byte("x"))
			if test.headerErr {
				assertLost(t, err)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			defer r.Close()
			body, err := io.ReadAll(r)
			qt.Assert(t, err != nil, qt.Equals, test.bodyErr, qt.Commentf("%v", err))
			if !test.bodyErr {
				qt.Assert(t, string(body), qt.Equals, test.want)
			}
		})
	}
}

// TestResetResponseIsIncomplete checks that a response without a length whose
// connection is reset, not closed, is not taken for complete.
func TestResetResponseIsIncomplete(t *testing.T) {
	addr := serve(t, func(c net.Conn, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nok")
		time.Sleep(50 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	r, err := exchange(t, addr, []byte("x"))
	qt.Assert(t, err, qt.IsNil)
	defer r.Close()
	_, err = io.ReadAll(r)
	qt.Assert(t, err, qt.IsNotNil)
}

// TestEarlyResponse covers an endpoint that responds before it has read a long
// body.
func TestEarlyResponse(t *testing.T) {
	addr := serve(t, func(c net.Conn, _ *http.Request) {
		fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
	})
	r, err := exchange(t, addr, make([]byte, 8<<20))
	qt.Assert(t, err, qt.IsNil)
	defer r.Close()
	qt.Assert(t, r.Status, qt.Equals, 503)
}

// TestConnectionsAreNotReused checks that each request has its own connection,
// so that a second response to one request is not taken for that to the next.
func TestConnectionsAreNotReused(t *testing.T) {
	seen := make(chan string, 2)
	addr := serve(t, func(c net.Conn, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		seen <- c.RemoteAddr().String()
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
	})
	for range 2 {
		r, err := exchange(t, addr, []byte("x"))
		qt.Assert(t, err, qt.IsNil)
		body, err := io.ReadAll(r)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(body), qt.Equals, "ok")
		r.Close()
	}
	qt.Assert(t, <-seen, qt.Not(qt.Equals), <-seen)
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	addr := ln.Addr().String()
	qt.Assert(t, ln.Close(), qt.IsNil)
	_, err = exchange(t, addr, nil)
	var notSent *relay.NotSentError
	qt.Assert(t, errors.As(err, &notSent), qt.IsTrue)
}

// TestCancelledExchangeCloses checks that the endpoint sees its connection close
// when the caller has gone.
func TestCancelledExchangeCloses(t *testing.T) {
	closed := make(chan struct{})
	addr := serve(t, func(c net.Conn, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		time.Sleep(20 * time.Millisecond)
		cancel()
	}()
	_, err := relay.NewClient(relay.Config{}).Exchange(ctx, relay.Request{Addr: addr, ConnectTimeout: time.Second, Method: "GET", Host: "h", URI: "/", Header: http.Header{}})
	assertLost(t, err)
	<-closed
}

func TestEventReader(t *testing.T) {
	read := func(text string) (events []string, err error) {
		r := relay.NewEventReader(strings.NewReader(text))
		for {
			e, err := r.Next()
			if err != nil {
				return events, err
			}
			events = append(events, e.ID+"="+string(e.Raw))
		}
	}
	t.Run("whole events, byte for byte", func(t *testing.T) {
		events, err := read("id: 1\ndata: a\n\nid:2\r\ndata: b\r\ndata: c\r\n\r\n")
		qt.Assert(t, err, qt.Equals, io.EOF)
		qt.Assert(t, events, qt.DeepEquals, []string{"1=id: 1\ndata: a\n\n", "2=id:2\r\ndata: b\r\ndata: c\r\n\r\n"})
	})
	t.Run("ends within an event", func(t *testing.T) {
		events, err := read("id: 1\ndata: a\n\nid: 2\nda")
		qt.Assert(t, events, qt.HasLen, 1)
		qt.Assert(t, err, qt.Equals, io.ErrUnexpectedEOF)
	})
	t.Run("a line longer than the buffer", func(t *testing.T) {
		long := "id: 1\ndata: " + strings.Repeat("x", 10000) + "\n\n"
		events, err := read(long)
		qt.Assert(t, err, qt.Equals, io.EOF)
		qt.Assert(t, events, qt.DeepEquals, []string{"1=" + long})
	})
	t.Run("an endless event", func(t *testing.T) {
		_, err := read(strings.Repeat("data: x\n", 1<<18))
		qt.Assert(t, err, qt.Equals, bufio.ErrTooLong)
	})
}
