package fakes_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fakes"
	"github.com/plantaindeck/plantaindeck/relay"
)

// TestEngineHonoursPriorities checks that of two requests that wait for an
// engine's only slot the one with the higher priority runs first, even if it
// arrived later.
func TestEngineHonoursPriorities(t *testing.T) {
	e, err := fakes.StartEngine(fakes.EngineConfig{Addr: "127.0.0.1:0", Name: "e", Memory: 10000, Slots: 1, Speed: 20})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = e.Kill() })
	c := relay.NewClient(relay.Config{StallTimeout: waitTimeout})
	send := func(id string, priority, tokens int) {
		body := fmt.Sprintf(`{"priority":%d,"messages":[{"role":"user","content":"[[tokens:%d]]"}]}`, priority, tokens)
		s, err := c.Open(relay.Location{Addr: e.Addr(), RequestID: id}, []byte(body))
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(s.Close)
	}
	state := func(id string) string {
		st, err := c.State(relay.Location{Addr: e.Addr(), RequestID: id})
		qt.Assert(t, err, qt.IsNil)
		return st.State
	}
	waitForState := func(id, want string) {
		t.Helper()
		for deadline := time.Now().Add(waitTimeout); state(id) != want; time.Sleep(5 * time.Millisecond) {
			qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s is not %s", id, want))
		}
	}
	send("running", 0, 9000)
	waitForState("running", "running")
	send("low", 1, 9000)
	send("high", 9, 9000)
	qt.Assert(t, state("low"), qt.Equals, "waiting")
	_, err = c.Cancel(relay.Location{Addr: e.Addr(), RequestID: "running"})
	qt.Assert(t, err, qt.IsNil)
	waitForState("high", "running")
	qt.Assert(t, state("low"), qt.Equals, "waiting")
}

// TestEngineRespondsBeforeItDies checks that an engine that is told to die responds
// before it resets its connections.
func TestEngineRespondsBeforeItDies(t *testing.T) {
	const engines = 60
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range engines {
		e, err := fakes.StartEngine(fakes.EngineConfig{Addr: "127.0.0.1:0", Name: "e", Memory: 100, Slots: 1})
		qt.Assert(t, err, qt.IsNil)
		resp, err := client.Post("http://"+e.Addr()+"/control/die", "application/json", nil)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.ReadAll(resp.Body)
		qt.Assert(t, err, qt.IsNil)
		_ = resp.Body.Close()
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
	}
}
