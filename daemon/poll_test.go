package daemon

import (
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fakes"
)

// countingConn adds the bytes that are read from a connection to a counter.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements io.Reader.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestEndlessPoll guards against a node that keeps all bytes of a response that never ends.
func TestEndlessPoll(t *testing.T) {
	const slack = 64 << 10 // bytes that may be read beyond the bound
	for name, response := range map[string][2]string{
		"head line":     {"HTTP/1.1 200 OK\r\nX-A: ", "a"},
		"no HTTP":       {"", "\x00"},
		"length":        {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
		"chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		"until the end": {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	} {
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
					defer c.Close()
					_, err := io.WriteString(c, response[0])
					for err == nil {
						_, err = io.WriteString(c, strings.Repeat(response[1], 1+(64<<10)/len(response[1])))
					}
				}()
			}
		}()
		for kind, maxBody := range map[string]int{"load": maxLoadBytes, "hosts": maxHostsBytes} {
			t.Run(kind+" "+name, func(t *testing.T) {
				runtime.GC() // twice, so that no pool holds the buffer of an earlier case, which would be filled
				runtime.GC()
				var read atomic.Int64
				c := newPollClient(maxBody)
				c.Dial = func(addr string) (net.Conn, error) {
					conn, err := net.Dial("tcp", addr)
					return countingConn{conn, &read}, err
				}
				_, err := get(c, "http://"+ln.Addr().String())
				qt.Assert(t, err, qt.IsNotNil)
				qt.Assert(t, read.Load() <= int64(maxBody+slack), qt.IsTrue, qt.Commentf("%d bytes", read.Load()))
			})
		}
	}
}

// TestUndefinedStatus guards against the content of a response with a status code such as 000.
func TestUndefinedStatus(t *testing.T) {
	err := fakes.EachUndefinedStatus(func(status, addr string) {
		_, err := get(newPollClient(1<<10), "http://"+addr+"/")
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", status))
	})
	qt.Assert(t, err, qt.IsNil)
}
