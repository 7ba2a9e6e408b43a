// Package trace keeps a process's record of events, from which one time line
// over all processes is made.
//
// A process keeps its latest entries in memory. Each entry carries a logical
// time that is greater than that of every entry which could have caused it:
// the logical time of a process moves beyond each one that it receives. The
// time line is sorted by logical time, so a cause never stands after its
// effect, even where the clocks of two hosts differ.
package trace

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Entry is one event.
type Entry struct {
	Logical   int64     `json:"logical"` // microseconds, at least the wall clock of some host
	Time      time.Time `json:"time"`    // by the clock of the process
	Process   string    `json:"process"`
	Seq       uint64    `json:"seq"` // within the process, from 1
	Kind      string    `json:"kind"`
	Request   string    `json:"request,omitempty"`
	Workspace string    `json:"workspace,omitempty"`
	Endpoint  string    `json:"endpoint,omitempty"`
	Detail    string    `json:"detail,omitempty"`
	Count     int64     `json:"count,omitempty"` // events that the entry stands for, if more than one
	Routine   bool      `json:"-"`               // left out first where lines are bounded
}

// Recorder keeps the latest entries of a process.
type Recorder struct {
	process string
	mu      sync.Mutex
	entries []Entry // ring
	seq     uint64
	logical int64
	sink    *Sink
}

// NewRecorder returns a recorder that keeps size entries.
func NewRecorder(process string, size int) *Recorder {
	return &Recorder{process: process, entries: make([]Entry, 0, size)}
}

// To gives every entry from now on to a sink as well.
func (r *Recorder) To(s *Sink) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sink = s
}

// Add records an event at the time now.
func (r *Recorder) Add(now time.Time, e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	e.Logical = r.tick(now)
	e.Time = now
	e.Process = r.process
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

// Moves the logical time on, to the clock if that is ahead.
func (r *Recorder) tick(now time.Time) int64 {
	r.logical = max(r.logical+1, now.UnixMicro())
	return r.logical
}

// Now returns a logical time for a message that is sent.
func (r *Recorder) Now(now time.Time) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick(now)
}

// Observe moves the logical time beyond that of a received message.
func (r *Recorder) Observe(logical int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logical = max(r.logical, logical)
}

// After returns the kept entries whose sequence number exceeds seq, oldest
// first.
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

// Merge sorts the entries of several processes into one time line.
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
