package socket

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// chunkConn is a connection on which bytes arrive in pieces of a size.
type chunkConn struct {
	net.Conn
	r    io.Reader
	size int
}

func (c *chunkConn) Read(p []byte) (int, error)  { return c.r.Read(p[:min(c.size, len(p))]) }
func (c *chunkConn) Write(p []byte) (int, error) { return len(p), nil }

// TestStatusOfChecked guards against responses with a status code that HTTP does not define which a client
// takes for others, however their bytes arrive.
func TestStatusOfChecked(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\nok"
	for _, test := range []struct {
		bytes string
		want  string // that the client reads
		bad   int    // status of the error; -1 for another error
	}{
		{bytes: "HTTP/1.1 200 OK\r\n" + body},
		{bytes: "\r\nHTTP/1.1  599 X\r\n" + body, want: "HTTP/1.1  599 X\r\n" + body},
		{bytes: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + body, want: "HTTP/1.1 200 OK\r\n" + body},
		{bytes: "not a response\n"},
		{bytes: "HTTP/1.1 2000 OK\r\n" + body},
		{bytes: "HTTP/1.1 -01 OK\r\n" + body},
		{bytes: "HTTP/1.1 000 X\r\n" + body, bad: 0, want: "-"},
		{bytes: "HTTP/1.1 000\r\n" + body, bad: 0, want: "-"},
		{bytes: "\r\n\r\nHTTP/1.0 000 X\r\n" + body, bad: 0, want: "-"},
		{bytes: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\n" + body, bad: 0, want: "-"},
		{bytes: "HTTP/1.1 099 X\r\n" + body, bad: 99, want: "-"},
		{bytes: "HTTP/1.1 600 X\r\n" + body, bad: 600, want: "-"},
		{bytes: "HTTP/1.1 999 X\r\n" + body, bad: 999, want: "-"},
		{bytes: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxInterim+1), bad: -1, want: "-"},
		{bytes: "HTTP/1.1 200", bad: -1, want: "-"},
	} {
		for _, size := range []int{1, 3, 4096} {
			t.Run(fmt.Sprintf("%.30q in pieces of %d", test.bytes, size), func(t *testing.T) {
				c := Checked(&chunkConn{r: strings.NewReader(test.bytes), size: size})
				_, err := c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
				qt.Assert(t, err, qt.IsNil)
				got, err := io.ReadAll(c)
				if test.want != "-" {
					qt.Assert(t, err, qt.IsNil)
					want := test.want
					if want == "" {
						want = test.bytes
					}
					qt.Assert(t, string(got), qt.Equals, want)
					return
				}
				qt.Assert(t, string(got), qt.Equals, "")
				var status *StatusError
				if test.bad >= 0 {
					qt.Assert(t, err, qt.ErrorAs, &status)
					qt.Assert(t, status.Status, qt.Equals, test.bad)
				}
			})
		}
	}
}
