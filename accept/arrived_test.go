package accept

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/intake"
	"github.com/plantaindeck/plantaindeck/table"
)

// TestArrivedRequestIsRead guards against requests that get no answer although they arrived before
// their connection expired, as the process has not read them yet, for example because it stood still.
func TestArrivedRequestIsRead(t *testing.T) {
	for name, expire := range map[string]func(*Tracker, *Conn){
		"limit":           func(ct *Tracker, c *Conn) { ct.checkExpired(time.Now().Add(time.Hour), c) },
		"end of the node": func(ct *Tracker, c *Conn) { go ct.End(context.Background()) },
	} {
		t.Run(name, func(t *testing.T) {
			ct := New(Config{
				Limits: func() table.Limits { return table.Limits{HeaderTimeout: time.Minute, IdleTimeout: time.Minute} },
				Ledger: intake.New(intake.LimitsFor(0, 0)),
				Record: func(string, string) {},
			})
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			ln = ct.Listen(ln)
			defer ln.Close()
			caller, err := net.Dial("tcp", ln.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer caller.Close()
			conn, err := ln.Accept()
			qt.Assert(t, err, qt.IsNil)
			defer ct.StateChanged(conn, http.StateClosed)
			ct.StateChanged(conn, http.StateNew)
			_, err = fmt.Fprint(caller, "GET /")
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(20 * time.Millisecond) // the request has arrived
			expire(ct, conn.(*Conn))
			time.Sleep(20 * time.Millisecond)
			got := make([]byte, 5)
			_, err = io.ReadFull(conn, got)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(got), qt.Equals, "GET /")
		})
	}
}
