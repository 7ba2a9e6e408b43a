package fakes_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fakes"
	"github.com/plantaindeck/plantaindeck/relay"
)

// Of two requests that wait for an engine's only slot, the one of the higher
// priority runs first, though it came later.
func TestEngineHonoursPriorities(t *testing.T) {
	e, err := fakes.StartEngine(fakes.EngineConfig{Addr: "127.0.0.1:0", Name: "e", Memory: 10000, Slots: 1, Speed: 20})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = e.Kill() })
	c := relay.NewClient(relay.Config{StallTimeout: patience})
	send := func(id string, priority, tokens int) {
		body := fmt.Sprintf(`{"priority":%d,"messages":[{"role":"user","content":"[[tokens:%d]]"}]}`, priority, tokens)
		s, err := c.Open(relay.Place{Addr: e.Addr(), Request: id}, []byte(body))
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(s.Close)
	}
	state := func(id string) string {
		st, err := c.State(relay.Place{Addr: e.Addr(), Request: id})
		qt.Assert(t, err, qt.IsNil)
		return st.State
	}
	send("running", 0, 9000)
	send("low", 1, 9000)
	send("high", 9, 9000)
	qt.Assert(t, state("low"), qt.Equals, "waiting")
	_, err = c.Cancel(relay.Place{Addr: e.Addr(), Request: "running"})
	qt.Assert(t, err, qt.IsNil)
	for end := time.Now().Add(patience); state("high") == "waiting"; {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
		time.Sleep(5 * time.Millisecond)
	}
	qt.Assert(t, state("low"), qt.Equals, "waiting")
}
