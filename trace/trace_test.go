package trace_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/trace"
)

// blocked is a writer that blocks until it is released, as when the reader of the
// log has stopped.
type blocked struct {
	release chan struct{}
}

// Write implements io.Writer.
func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestSinkNeverBlocks checks that a sink does not block its callers while the
// reader of the log has stalled, and that it counts the lines that it drops.
func TestSinkNeverBlocks(t *testing.T) {
	s := trace.NewSink()
	w := blocked{make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	done := s.Run(ctx, w)
	now := time.Now()
	added := make(chan struct{})
	go func() {
		for i := range 100_000 {
			s.Add(now.Add(time.Duration(i)*time.Millisecond), trace.Entry{Kind: "failed", Time: now})
		}
		close(added)
	}()
	select {
	case <-added:
	case <-time.After(10 * time.Second):
		t.Fatal("the sink blocks")
	}
	qt.Assert(t, s.Lost() > 50_000, qt.IsTrue)
	close(w.release)
	cancel()
	qt.Assert(t, <-done, qt.IsNil)
}

// TestSinkKeepsFailures checks that a sink under load drops routine entries rather
// than failures.
func TestSinkKeepsFailures(t *testing.T) {
	s := trace.NewSink()
	now := time.Now()
	for range 2000 {
		s.Add(now, trace.Entry{Kind: "ended", Time: now, Routine: true})
	}
	for range 400 {
		s.Add(now, trace.Entry{Kind: "failed", Time: now})
	}
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	qt.Assert(t, <-s.Run(ctx, &out), qt.IsNil)
	qt.Assert(t, strings.Count(out.String(), `"failed"`), qt.Equals, 400)
	qt.Assert(t, strings.Count(out.String(), `"ended"`) < 500, qt.IsTrue)
}

func entry(logical int64, process, kind, request, endpoint string) trace.Entry {
	return trace.Entry{Logical: logical, Process: process, Kind: kind, Request: request, Endpoint: endpoint}
}

func TestExplain(t *testing.T) {
	a := []trace.Entry{
		entry(1, "a", "store-failed", "", ""),
		entry(10, "a", "place", "r", "e1"),
		entry(12, "a", "place", "other", "e1"),
		entry(20, "a", "endpoint", "", "e1"),
		entry(21, "a", "endpoint", "", "e9"),
		entry(25, "a", "store-failed", "", ""),
		entry(30, "a", "copy-failed", "r", "e2"),
		entry(31, "a", "broken", "r", "e1"),
		entry(32, "a", "ended", "r", ""),
		entry(40, "a", "member", "", ""),
	}
	b := []trace.Entry{entry(15, "b", "endpoint", "", "e1")}
	timeline := trace.Explain("r", a, b)
	var kinds []string
	for _, e := range timeline.Entries {
		kinds = append(kinds, e.Kind)
	}
	qt.Assert(t, strings.Join(kinds, " "), qt.Equals, "place endpoint store-failed copy-failed broken ended")
	qt.Assert(t, timeline.DecidedBy.Kind, qt.Equals, "broken")
	qt.Assert(t, trace.Explain("none", a, b).Entries, qt.HasLen, 0)
}

// TestExplainKilledProcess checks that a request whose process was killed is
// decided by the restart of that process, and by nothing else.
func TestExplainKilledProcess(t *testing.T) {
	before := []trace.Entry{entry(1, "a", "start", "", ""), entry(10, "a", "place", "r", "e1")}
	for _, test := range []struct {
		name    string
		later   []trace.Entry
		decided bool
	}{
		{"not started again", nil, false},
		{"started again", []trace.Entry{entry(20, "a", "start", "", "")}, true},
		{"another process", []trace.Entry{entry(20, "b", "start", "", "")}, false},
		{"stopped", []trace.Entry{entry(20, "a", "stop", "", ""), entry(30, "a", "start", "", "")}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			decidedBy := trace.Explain("r", before, test.later).DecidedBy
			qt.Assert(t, decidedBy != nil, qt.Equals, test.decided)
		})
	}
}

func TestReadLines(t *testing.T) {
	list, err := trace.ReadLines(strings.NewReader("I0101 text {not json\n  1.5 node-a {\"kind\":\"place\",\"request\":\"r\",\"logical\":5}\n{\"other\":1}\n"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Request, qt.Equals, "r")
}

// TestLongTextsAreShortened guards against a recorder whose entries hold as many bytes as clients send.
func TestLongTextsAreShortened(t *testing.T) {
	const most = 2 << 10 // bytes of a text
	r := trace.NewRecorder("p", 10)
	long := strings.Repeat("é", 1<<20)
	r.Add(time.Now(), trace.Entry{Kind: "failed", Request: long, Detail: long})
	r.Add(time.Now(), trace.Entry{Kind: "failed", Request: "r1", Detail: "short"})
	got := r.After(0)
	qt.Assert(t, len(got), qt.Equals, 2)
	qt.Check(t, len(got[0].Request) <= most && strings.HasPrefix(long, got[0].Request), qt.IsTrue)
	qt.Check(t, len(got[0].Detail) <= most && strings.HasPrefix(long, got[0].Detail), qt.IsTrue)
	qt.Check(t, got[1].Request, qt.Equals, "r1")
	qt.Check(t, got[1].Detail, qt.Equals, "short")
	qt.Check(t, len(trace.Explain(long, got).Entries), qt.Equals, 1)
}
