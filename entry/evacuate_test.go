package entry

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fleet"
	"github.com/plantaindeck/plantaindeck/relay"
	"github.com/plantaindeck/plantaindeck/table"
)

// discardWriter is a ResponseWriter whose caller reads nothing of the response.
type discardWriter struct{}

func (discardWriter) Start(int, http.Header, int64) {}
func (discardWriter) Write([]byte) error            { return nil }
func (discardWriter) Abort()                        {}

// TestEvacuationDuringEvents checks, with the race detector, that an evacuation may be
// planned while the generation sends events to its caller.
func TestEvacuationDuringEvents(t *testing.T) {
	const events = 1000
	s := &Server{usage: newUsageTracker()}
	seg := &segment{endpoint: fleet.Endpoint{ID: "i-1"}}
	g := &generation{
		server:     s,
		routed:     &routedRequest{req: &Request{}, service: &table.Service{Engine: &table.Engine{LinkMbps: 8, TokenBytes: 1}}},
		out:        discardWriter{},
		headerSent: true,
		current:    seg,
	}
	done := make(chan error, 1)
	go func() {
		for range events {
			g.recordEvent(seg)
			if err := g.writeEvent(relay.Event{ID: "1"}, &relay.Response{}); err != nil {
				done <- err
				return
			}
		}
		done <- nil
	}()
	last := g.lockedCopyTime()
	for range events {
		next := g.lockedCopyTime()
		qt.Assert(t, next >= last, qt.IsTrue)
		last = next
	}
	qt.Assert(t, <-done, qt.IsNil)
	qt.Assert(t, g.lockedCopyTime().Microseconds(), qt.Equals, int64(events))
}

// lockedCopyTime returns the time that a copy of the generation takes.
func (g *generation) lockedCopyTime() time.Duration {
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	return g.copyCandidate().CopyTime
}
