package trace

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	sinkQueue     = 2048 // entries that wait for a slow reader
	linesPerSec   = 300  // at a steady load, on average
	lineBurst     = 900
	routineKeeps  = 450 // lines of the burst that routine entries leave to others
	lostPeriod    = time.Second
	sinkBuffer    = 16 << 10 // bytes
	kindLostLines = "lines-lost"
)

// Sink writes entries as lines of JSON without ever holding up its caller.
// Lines beyond a rate, and those that a stalled reader leaves no room for, are
// counted and left out; routine lines are left out first.
type Sink struct {
	queue chan Entry
	rate  *rate.Limiter
	lost  atomic.Int64
}

// NewSink returns a sink that writes nothing until Run.
func NewSink() *Sink {
	return &Sink{queue: make(chan Entry, sinkQueue), rate: rate.NewLimiter(linesPerSec, lineBurst)}
}

// Add gives an entry to the sink.
func (s *Sink) Add(now time.Time, e Entry) {
	if e.Routine && s.rate.TokensAt(now) < routineKeeps || !s.rate.AllowN(now, 1) {
		s.lost.Add(1)
		return
	}
	select {
	case s.queue <- e:
	default:
		s.lost.Add(1)
	}
}

// Lost returns the number of lines left out so far.
func (s *Sink) Lost() int64 {
	return s.lost.Load()
}

// Run writes to w until ctx ends.
func (s *Sink) Run(ctx context.Context, w io.Writer) <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.run(ctx, w) }()
	return done
}

func (s *Sink) run(ctx context.Context, w io.Writer) error {
	out := bufio.NewWriterSize(w, sinkBuffer)
	enc := json.NewEncoder(out)
	var reported int64
	var reportedAt time.Time
	for {
		var e Entry
		select {
		case <-ctx.Done():
			return s.drain(enc, out)
		case e = <-s.queue:
		}
		if lost := s.lost.Load(); lost > reported && e.Time.Sub(reportedAt) >= lostPeriod {
			notice := Entry{Logical: e.Logical, Time: e.Time, Process: e.Process, Kind: kindLostLines, Count: lost - reported}
			reported, reportedAt = lost, e.Time
			if err := enc.Encode(notice); err != nil {
				return err
			}
		}
		if err := enc.Encode(e); err != nil {
			return err
		}
		if len(s.queue) == 0 {
			if err := out.Flush(); err != nil {
				return err
			}
		}
	}
}

// Writes what is queued when the process ends.
func (s *Sink) drain(enc *json.Encoder, out *bufio.Writer) error {
	for {
		select {
		case e := <-s.queue:
			if err := enc.Encode(e); err != nil {
				return err
			}
		default:
			return out.Flush()
		}
	}
}
