package peer

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/intake"
)

// TestStrangersGiveWay checks that connections that send no Hello are bounded in number, and do not keep
// nodes from connecting.
func TestStrangersGiveWay(t *testing.T) {
	const limit, connections = 4, 20
	strangers := intake.New(intake.Limits{Bytes: 1 << 30, Bulk: 1 << 30, Small: 1 << 30, Conns: limit})
	a, b := newTestNode(t, "c"), newConfiguredNode(t, Config{Cluster: "c", Strangers: strangers}, nil)
	var conns []net.Conn
	for range connections {
		c, err := net.Dial("tcp", b.id)
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = c.Close() }()
		conns = append(conns, c)
	}
	// All but the last ones end.
	for _, c := range conns[:connections-limit] {
		_ = c.SetReadDeadline(time.Now().Add(testTimeout))
		_, err := c.Read(make([]byte, 1))
		netErr, ok := err.(net.Error)
		qt.Assert(t, err != nil && !(ok && netErr.Timeout()), qt.IsTrue)
	}
	a.Send(b.id, textFrame(1, 1))
	b.assertReceives(t, 1)
	// The connections have ended; the ledger learns it from the goroutines that served them.
	for end := time.Now().Add(testTimeout); strangers.Stats().Conns > limit && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	qt.Assert(t, strangers.Stats().Conns <= limit, qt.IsTrue)
}
