package poison_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/kernel"
	"github.com/plantaindeck/plantaindeck/wire"
)

// TestNodeThatKnowsLess guards against a node that missed the crashes and lifts the quarantine which the others
// began for them, since it saw output before. Output that came later lifts it.
func TestNodeThatKnowsLess(t *testing.T) {
	for _, test := range []struct {
		name        string
		later       bool // the node sees output once the others have begun the quarantine
		quarantined int
	}{
		{"output before the crashes", false, 4},
		{"output since", true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newNetwork(t, 4)
			n.Step(3, kernel.OutputSeen{Service: "model", Traits: []uint64{popular, bad}})
			n.Run(2 * time.Second)
			n.Partition(func(from, to int) bool { return from == 3 || to == 3 })
			for i := range 3 {
				n.Step(i, kernel.OutputSeen{Service: "model", Traits: []uint64{popular}})
				n.crash(i, []uint64{popular, bad, other + uint64(i)})
			}
			qt.Assert(t, n.quarantined(popular, bad), qt.Equals, 3)
			if test.later {
				n.Run(time.Second)
				n.Step(3, kernel.OutputSeen{Service: "model", Traits: []uint64{popular, bad}})
			}
			n.Partition(nil)
			n.Run(5 * gossipTime)
			qt.Assert(t, n.quarantined(popular, bad), qt.Equals, test.quarantined)
			qt.Assert(t, n.quarantined(popular), qt.Equals, 0)
		})
	}
}

// TestSoundRefutesWhatItsSenderKnew guards against a message that comes late, or from a node that missed crashes, and
// takes back evidence that its sender did not have. One of an earlier version takes back all.
func TestSoundRefutesWhatItsSenderKnew(t *testing.T) {
	crashed := func(endpoints ...string) (list []*wire.Crashed) {
		for _, e := range endpoints {
			list = append(list, &wire.Crashed{Endpoint: e, Born: 7})
		}
		return list
	}
	quarantine := []*wire.Quarantine{{Traits: []uint64{bad}, Number: 1}}
	former := []*wire.Quarantine{{Traits: []uint64{bad}, Number: 0}}
	for _, test := range []struct {
		name        string
		sound       *wire.Sound
		quarantined bool
	}{
		{"no crash", &wire.Sound{Scoped: true}, true},
		{"another crash", &wire.Sound{Scoped: true, Crashes: crashed("i-9")}, true},
		{"too few left", &wire.Sound{Scoped: true, Crashes: crashed("i-1", "i-2")}, false},
		{"enough left", &wire.Sound{Scoped: true, Crashes: crashed("i-1")}, true},
		{"after its begin", &wire.Sound{Scoped: true, Lifted: quarantine}, false},
		{"after the begin of an earlier one", &wire.Sound{Scoped: true, Lifted: former}, true},
		{"established", &wire.Sound{Scoped: true, Doubted: quarantine}, false},
		{"another trait", &wire.Sound{Scoped: true, Traits: []uint64{rare}, Crashes: crashed("i-1", "i-2", "i-3", "i-4"), Lifted: quarantine}, true},
		{"earlier version", &wire.Sound{}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newNetwork(t, 1)
			for i := range 4 {
				n.crash(0, []uint64{bad, other + uint64(i)})
			}
			qt.Assert(t, n.quarantined(bad), qt.Equals, 1)
			if len(test.sound.Traits) == 0 {
				test.sound.Traits = []uint64{bad}
			}
			n.Step(0, kernel.FrameReceived{From: "other", Frame: &wire.Frame{Body: &wire.Frame_Sound{Sound: test.sound}}})
			n.Run(2 * time.Second)
			qt.Assert(t, n.quarantined(bad) == 1, qt.Equals, test.quarantined)
		})
	}
}
