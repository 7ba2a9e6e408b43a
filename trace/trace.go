// Package trace records the events of a process, and merges the events of
// several processes into one timeline.
//
// A process keeps its latest entries in memory and writes them to its log. Each
// entry has a logical time, taken from a hybrid logical clock: it follows the
// wall clock, but is always greater than the logical times of earlier entries
// and of received messages. In a timeline that is sorted by logical time a cause
// therefore precedes its effect, even if the clocks of two hosts differ.
package trace

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of an entry's texts, in bytes, since they may hold what clients sent.
const (
	maxRequestBytes = 128
	maxDetailBytes  = 2 << 10
)

// clip returns a text of at most n bytes. It does not refer to the memory of a longer one.
func clip(text string, n int) string {
	if len(text) <= n {
		return text
	}
	return strings.ToValidUTF8(strings.Clone(text[:n]), "")
}

// Entry is one event.
type Entry struct {
	Logical   int64     `json:"logical"` // logical time, microseconds; at least the wall clock of the process
	Time      time.Time `json:"time"`    // by the wall clock of the process
	Process   string    `json:"process"`
	Seq       uint64    `json:"seq"` // sequence number within the process, from 1
	Kind      string    `json:"kind"`
	Request   string    `json:"request,omitempty"` // the first maxRequestBytes of a longer id
	Workspace string    `json:"workspace,omitempty"`
	Endpoint  string    `json:"endpoint,omitempty"`
	Detail    string    `json:"detail,omitempty"`
	Count     int64     `json:"count,omitempty"` // number of events that the entry stands for; 0 for one
	Routine   bool      `json:"-"`               // dropped first when there are too many log lines
}

// Recorder keeps the latest entries of a process.
type Recorder struct {
	process string
	mu      sync.Mutex
	entries []Entry // ring buffer; its capacity is the number of entries kept
	seq     uint64  // sequence number of the latest entry
	logical int64   // logical time of the latest entry or message
	sink    *Sink   // receives every entry as well; nil for none
}

// NewRecorder returns a recorder that keeps the latest size entries.
func NewRecorder(process string, size int) *Recorder {
	return &Recorder{process: process, entries: make([]Entry, 0, size)}
}

// SetSink makes the recorder pass every later entry to s as well.
func (r *Recorder) SetSink(s *Sink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sink = s
}

// Add records an event at the time now. It shortens long texts.
func (r *Recorder) Add(now time.Time, e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	e.Logical = r.advance(now)
	e.Time = now
	e.Process = r.process
	e.Request, e.Detail = clip(e.Request, maxRequestBytes), clip(e.Detail, maxDetailBytes)
	e.Seq = r.seq
	if r.sink != nil {
		r.sink.Add(now, e)
	}
	if len(r.entries) < cap(r.entries) {
		r.entries = append(r.entries, e)
		return
	}
	r.entries[(r.seq-1)%uint64(cap(r.entries))] = e
}

// advance increases the logical time, to the wall clock if that is ahead, and
// returns it. The caller holds the mutex.
func (r *Recorder) advance(now time.Time) int64 {
	r.logical = max(r.logical+1, now.UnixMicro())
	return r.logical
}

// NextLogical returns the logical time for a message that is sent at the time now.
func (r *Recorder) NextLogical(now time.Time) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advance(now)
}

// Observe makes later logical times greater than that of a received message.
func (r *Recorder) Observe(logical int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logical = max(r.logical, logical)
}

// After returns the kept entries whose sequence number is greater than seq,
// oldest first.
func (r *Recorder) After(seq uint64) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Entry
	for _, e := range r.entries {
		if e.Seq > seq {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	return list
}

// Merge merges the entries of several processes into one timeline, sorted by
// logical time.
func Merge(lists ...[]Entry) []Entry {
	all := slices.Concat(lists...)
	slices.SortFunc(all, func(a, b Entry) int {
		if c := cmp.Compare(a.Logical, b.Logical); c != 0 {
			return c
		}
		if c := cmp.Compare(a.Process, b.Process); c != 0 {
			return c
		}
		return cmp.Compare(a.Seq, b.Seq)
	})
	return all
}
