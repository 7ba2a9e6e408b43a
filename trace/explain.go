package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
)

const maxLineBytes = 1 << 20 // of a log line; ReadLines fails at a longer one

// The kinds of a process's first and last entry.
const (
	kindStart = "start"
	kindStop  = "stop"
)

// ReadLines reads the entries in the log of a process. It ignores other lines and
// the text before an entry in its line.
func ReadLines(r io.Reader) ([]Entry, error) {
	var list []Entry
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for lines.Scan() {
		i := bytes.IndexByte(lines.Bytes(), '{')
		if i < 0 {
			continue
		}
		var e Entry
		if err := json.Unmarshal(lines.Bytes()[i:], &e); err == nil && e.Kind != "" {
			list = append(list, e)
		}
	}
	return list, lines.Err()
}

// Timeline is what the logs of several processes say about one request.
type Timeline struct {
	Request   string  `json:"request"`
	Entries   []Entry `json:"entries"` // of the request, its process and its endpoints, by logical time
	DecidedBy *Entry  `json:"settled"` // the entry that decided the outcome; nil if it is not known
}

// decisiveness orders the kinds of entries by how much they say about the
// outcome of a request. Other kinds say nothing about it.
var decisiveness = map[string]int{
	"failed": 4, "broken": 4, "attempt-failed": 3, "stream-broke": 3, "copy-failed": 2, "ended": 1,
}

// Explain returns the timeline of one request, given the entries of several
// processes. It contains the request's entries and, between the first and the last
// of them, other entries of the process that recorded the first one: those without
// a request whose endpoint is empty or one that the request used. The entries are
// in the order of their logical times, so the clocks of hosts may differ.
func Explain(request string, lists ...[]Entry) Timeline {
	request = clip(request, maxRequestBytes)
	all := Merge(lists...)
	timeline := Timeline{Request: request}
	endpoints := map[string]bool{}
	first, last := -1, -1
	for i, e := range all {
		if e.Request != request {
			continue
		}
		if first < 0 {
			first = i
		}
		last = i
		if e.Endpoint != "" {
			endpoints[e.Endpoint] = true
		}
	}
	if first < 0 {
		return timeline
	}
	process := all[first].Process
	for _, e := range all[first : last+1] {
		ofRequest := e.Request == request
		if !ofRequest && (e.Request != "" || e.Process != process || e.Endpoint != "" && !endpoints[e.Endpoint]) {
			continue
		}
		timeline.Entries = append(timeline.Entries, e)
		if ofRequest && decisiveness[e.Kind] > 0 && (timeline.DecidedBy == nil || decisiveness[e.Kind] >= decisiveness[timeline.DecidedBy.Kind]) {
			timeline.DecidedBy = &e
		}
	}
	timeline.decideByRestart(process, all[last+1:])
	return timeline
}

// decideByRestart adds the start of the process as the entry that decided the
// outcome, if no other entry did and the process was killed while it served the
// request. This is so if its next start or stop among the later entries is a start.
func (t *Timeline) decideByRestart(process string, later []Entry) {
	if t.DecidedBy != nil {
		return
	}
	for _, e := range later {
		if e.Process != process || e.Kind != kindStart && e.Kind != kindStop {
			continue
		}
		if e.Kind == kindStart {
			e.Detail = "the process ended without a stop and was started again"
			t.Entries = append(t.Entries, e)
			t.DecidedBy = &e
		}
		return
	}
}
