package origin

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/member"
	"github.com/plantaindeck/plantaindeck/simnet"
	"github.com/plantaindeck/plantaindeck/wire"
)

// TestAskAgainAwaitsAllAnswers checks that a question which is asked again shortly before a
// node has joined is not settled by the first node that does not know the stream.
func TestAskAgainAwaitsAllAnswers(t *testing.T) {
	n := simnet.New(simnet.Config{Nodes: 4, Seed: 5, MinDelay: time.Millisecond})
	n.Run(10 * time.Second)
	now := n.Now()
	v := &View{recent: newRecords(), older: newRecords(), startedAt: now.Add(10*time.Millisecond - joinTime), asks: map[string]ask{"a": {request: "r", expiresAt: now.Add(joinAskTTL)}}}
	v, effects := v.tick(now, member.Of(n.State(0)))
	qt.Assert(t, effects, qt.HasLen, 3)
	now = now.Add(20 * time.Millisecond)
	v, effects = v.answer(now, &wire.Found{Ask: "a"})
	qt.Assert(t, effects, qt.HasLen, 0)
	_, effects = v.answer(now, &wire.Found{Ask: "a", Known: true, Version: "v1"})
	qt.Assert(t, effects, qt.HasLen, 1)
}
