package fakes

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// UndefinedStatuses are status codes of no class that HTTP defines, and one that no request here allows.
var UndefinedStatuses = []string{"000", "001", "099", "101", "600", "999"}

// RawServer answers each request with bytes that need not be HTTP, and then closes the connection.
type RawServer struct {
	ln      net.Listener
	respond func(r *http.Request) string
}

// NewRawServer starts a server at an address of its own. The function respond returns the answer to a
// request, whose body is not read.
func NewRawServer(respond func(r *http.Request) string) (*RawServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &RawServer{ln: ln, respond: respond}
	go s.serve()
	return s, nil
}

// RawStatus returns a function for NewRawServer, which answers with a status code and an empty JSON object.
func RawStatus(status string) func(r *http.Request) string {
	return func(*http.Request) string { return "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\n{}" }
}

// EachUndefinedStatus calls f with each of the UndefinedStatuses and the address of a server that answers with it.
func EachUndefinedStatus(f func(status, addr string)) error {
	for _, status := range UndefinedStatuses {
		s, err := NewRawServer(RawStatus(status))
		if err != nil {
			return err
		}
		f(status, s.Addr())
		s.Close()
	}
	return nil
}

// Addr returns the address.
func (s *RawServer) Addr() string { return s.ln.Addr().String() }

// Close stops the server.
func (s *RawServer) Close() { _ = s.ln.Close() }

func (s *RawServer) serve() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, s.respond(r))
			}
		}()
	}
}
