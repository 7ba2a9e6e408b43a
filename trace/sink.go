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
	maxQueuedEntries  = 2048        // entries that are queued while the reader of the log is slow
	linesPerSecond    = 300         // largest average rate
	lineBurst         = 900         // lines that may arrive at once
	routineReserve    = 450         // lines of the burst that routine entries may not use
	lostLinesInterval = time.Second // shortest time between two entries that count lost lines
	writeBufferBytes  = 16 << 10
	kindLinesLost     = "lines-lost"
)

// Sink writes entries as lines of JSON and never blocks its caller. It drops and
// counts the lines that exceed a rate, and those that arrive while the queue is
// full because the reader of the log has stalled. Routine entries are dropped
// first.
type Sink struct {
	queue chan Entry
	rate  *rate.Limiter
	lost  atomic.Int64 // lines dropped
}

// NewSink returns a sink that writes nothing until Run is called.
func NewSink() *Sink {
	return &Sink{queue: make(chan Entry, maxQueuedEntries), rate: rate.NewLimiter(linesPerSecond, lineBurst)}
}

// Add queues an entry, or drops it.
func (s *Sink) Add(now time.Time, e Entry) {
	if e.Routine && s.rate.TokensAt(now) < routineReserve || !s.rate.AllowN(now, 1) {
		s.lost.Add(1)
		return
	}
	select {
	case s.queue <- e:
	default:
		s.lost.Add(1)
	}
}

// Lost returns the number of lines dropped so far.
func (s *Sink) Lost() int64 {
	return s.lost.Load()
}

// Run starts a goroutine that writes to w until ctx ends, and returns a channel
// that delivers its result.
func (s *Sink) Run(ctx context.Context, w io.Writer) <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.run(ctx, w) }()
	return done
}

func (s *Sink) run(ctx context.Context, w io.Writer) error {
	out := bufio.NewWriterSize(w, writeBufferBytes)
	enc := json.NewEncoder(out)
	var reportedLost int64
	var reportedAt time.Time
	for {
		var e Entry
		select {
		case <-ctx.Done():
			return s.drain(enc, out)
		case e = <-s.queue:
		}
		if lost := s.lost.Load(); lost > reportedLost && e.Time.Sub(reportedAt) >= lostLinesInterval {
			notice := Entry{Logical: e.Logical, Time: e.Time, Process: e.Process, Kind: kindLinesLost, Count: lost - reportedLost}
			reportedLost, reportedAt = lost, e.Time
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

// drain writes the entries that are still queued when the process ends.
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
