package socket

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// readConn is a connection from which a reader's bytes are read.
type readConn struct {
	net.Conn
	r io.Reader
}

func (c *readConn) Read(p []byte) (int, error)  { return c.r.Read(p) }
func (c *readConn) Write(p []byte) (int, error) { return len(p), nil }

// TestStatusOfChecked guards against responses with a status code that HTTP does not define which a client
// takes for others, however their bytes arrive.
func TestStatusOfChecked(t *testing.T) {
	const body, interim = "Content-Length: 2\r\n\r\nok", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	for _, test := range []struct {
		dropped string // bytes that the client does not read
		rest    string // bytes that it reads, unless the response is rejected
		status  int    // of the StatusError; -1 for another error
	}{
		{rest: "HTTP/1.1 200 OK\r\n" + body},
		{dropped: "\r\n", rest: "HTTP/1.1  599 X\r\n" + body},
		{dropped: interim, rest: "HTTP/1.1 200 OK\r\n" + body},
		{rest: "not a response\n"},
		{rest: "HTTP/1.1 2000 OK\r\n" + body},
		{rest: "HTTP/1.1 -01 OK\r\n" + body},
		{dropped: "HTTP/1.1 099 X\r\n" + body, status: 99},
		{dropped: "HTTP/1.1 101 X\r\n" + body, status: 101},
		{dropped: "HTTP/1.1 600 X\r\n" + body, status: 600},
		{dropped: "HTTP/1.1 999 X\r\n" + body, status: 999},
		{dropped: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxInterim+1), status: -1},
		{dropped: "HTTP/1.1 200", status: -1},
		{dropped: interim, status: -1},
		{dropped: strings.Repeat("\r\n", maxInterimSize), status: -1},
		{dropped: "HTTP/1.1 000 X\r\n" + body},
		{dropped: "HTTP/1.1 000\r\n" + body},
		{dropped: "\r\n\r\nHTTP/1.0 000 X\r\n" + body},
		{dropped: interim + "HTTP/1.1 000 X\r\n" + body},
	} {
		text := test.dropped + test.rest
		for _, r := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text)), iotest.HalfReader(strings.NewReader(text))} {
			c := Checked(&readConn{r: r})
			_, err := c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
			qt.Assert(t, err, qt.IsNil)
			got, err := io.ReadAll(c)
			qt.Assert(t, string(got), qt.Equals, test.rest, qt.Commentf("%q", text))
			qt.Assert(t, err == nil, qt.Equals, test.rest != "", qt.Commentf("%q", text))
			if test.rest == "" && test.status >= 0 {
				qt.Assert(t, err, qt.ErrorAs, new(*StatusError))
				qt.Assert(t, err.(*StatusError).Status, qt.Equals, test.status)
			}
		}
	}
}
