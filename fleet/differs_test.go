package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSpeedsWorthAMessage fails if the small changes that each event brings are sent.
func TestSpeedsWorthAMessage(t *testing.T) {
	sent := EndpointUsage{Requests: 1, Slow: 150, SlowNodes: 1, Prefill: 7000, PrefillNodes: 1}
	small, large := sent, sent
	small.Slow, small.Prefill = 170, 6000
	large.Prefill = 5000
	qt.Assert(t, small.differs(sent), qt.IsFalse)
	qt.Assert(t, large.differs(sent), qt.IsTrue)
	qt.Assert(t, EndpointUsage{Requests: 1}.differs(sent), qt.IsFalse)
	qt.Assert(t, sent.differs(EndpointUsage{Requests: 1}), qt.IsTrue)
}
