package socket

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
	switching      = 101     // to another protocol, which no client here asks for
	maxInterim     = 4       // interim responses (1xx) before the final one
	maxInterimSize = 8 << 10 // bytes of all of their heads, and of the final status line
	dialTimeout    = 3 * time.Second
)

// StatusError says that a response has a status code which HTTP does not define, or not for the requests of
// this program, so that it is not known what became of the request.
type StatusError struct {
	Status int
}

// Error gives the status code.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the response has the status code %03d, which is not one of %d to %d without %d", e.Status, minStatus, maxStatus, switching)
}

// CheckStatus returns a *StatusError unless HTTP defines the class of a status code, and if the endpoint
// switches to another protocol.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus || status == switching {
		return &StatusError{Status: status}
	}
	return nil
}

// Checked returns a connection for a client that sends one HTTP request after the other. Reads fail with a
// *StatusError if a response has a status code that CheckStatus rejects, which the project's HTTP client
// otherwise returns, a status of 000 even as 200. Interim responses (1xx) are dropped.
func Checked(conn net.Conn) net.Conn {
	return &checkedConn{Conn: conn, r: bufio.NewReader(conn)}
}

// DialChecked connects to an address and returns a Checked connection.
func DialChecked(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return Checked(conn), nil
}

// checkedConn is a connection whose next read after a write is expected to begin a response.
type checkedConn struct {
	net.Conn
	r       *bufio.Reader
	begun   bool   // the status line of the response was read
	pending []byte // of the status line
}

// Write implements io.Writer.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.begun = false
	return c.Conn.Write(p)
}

// Read implements io.Reader.
func (c *checkedConn) Read(p []byte) (int, error) {
	if !c.begun {
		if err := c.readStatus(); err != nil {
			return 0, err
		}
		c.begun = true
	}
	if len(c.pending) > 0 {
		n := copy(p, c.pending)
		c.pending = c.pending[n:]
		return n, nil
	}
	return c.r.Read(p)
}

// readStatus reads the status line of the final response.
func (c *checkedConn) readStatus() error {
	left := maxInterimSize
	for range maxInterim {
		line, err := c.readLine(&left)
		for err == nil && isBlank(line) { // empty lines may precede a response
			line, err = c.readLine(&left)
		}
		if err != nil {
			return err
		}
		status, ok := statusOf(line)
		if ok {
			if err := CheckStatus(status); err != nil {
				return err
			}
		}
		if !ok || status >= minFinalStatus { // the client rejects a line without a status code
			c.pending = bytes.Clone(line)
			return nil
		}
		for !isBlank(line) {
			if line, err = c.readLine(&left); err != nil {
				return err
			}
		}
	}
	return errors.New("only interim (1xx) responses have arrived")
}

// readLine reads a line and takes its length from left, which must not fall below 0. The error is io.EOF only
// if nothing has arrived since the request.
func (c *checkedConn) readLine(left *int) ([]byte, error) {
	line, err := c.r.ReadSlice('\n')
	if err == io.EOF && (len(line) > 0 || *left < maxInterimSize) {
		err = io.ErrUnexpectedEOF
	}
	if *left -= len(line); err == nil && *left < 0 {
		err = errors.Errorf("more than %d bytes have arrived before the status of a response", maxInterimSize)
	}
	return line, err
}

func isBlank(line []byte) bool { return len(bytes.TrimSpace(line)) == 0 }

// statusOf returns the status code of a status line, and whether it has one.
func statusOf(line []byte) (int, bool) {
	_, rest, found := bytes.Cut(line, []byte(" "))
	fields := bytes.Fields(rest)
	if !found || len(fields) == 0 || len(fields[0]) != 3 {
		return 0, false
	}
	status, err := strconv.ParseUint(string(fields[0]), 10, 16)
	return int(status), err == nil
}
