package relay_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/relay"
)

// TestIsClosed checks that an address is closed only if nothing listens there.
func TestIsClosed(t *testing.T) {
	client := relay.NewClient(relay.Config{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, client.IsClosed(context.Background(), ln.Addr().String(), time.Second), qt.IsFalse)
	qt.Assert(t, ln.Close(), qt.IsNil)
	qt.Assert(t, client.IsClosed(context.Background(), ln.Addr().String(), time.Second), qt.IsTrue)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	qt.Assert(t, client.IsClosed(ctx, ln.Addr().String(), time.Second), qt.IsFalse)
}
