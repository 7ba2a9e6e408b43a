package relay

import (
	"bufio"
	"bytes"
	"io"
	"strings"
)

// Event is one event of a stream, as the endpoint sent it.
type Event struct {
	ID  string // empty if the event has none
	Raw []byte // includes the blank line that ends it; valid until the next call of Next
}

// IsComment reports whether every line of the event is a comment, such as one that keeps the
// connection alive.
func (e Event) IsComment() bool {
	for line := range bytes.Lines(bytes.TrimSpace(e.Raw)) {
		if line[0] != ':' {
			return false
		}
	}
	return true
}

// EventReader splits a stream into its events without changing a byte, so that
// a stream that breaks within an event can continue after the previous event.
type EventReader struct {
	r   *bufio.Reader
	buf []byte
}

const (
	eventBufferSize = 2 << 10   // bytes
	maxEventSize    = 128 << 10 // bytes of one event of an EventReader; hundreds of streams may read as much at the same time
)

// NewEventReader returns a reader of r's events.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, eventBufferSize)}
}

// Next returns the next whole event. It returns io.EOF if the stream ended after
// a whole event, and another error if the stream broke or ended within an event.
func (e *EventReader) Next() (Event, error) {
	e.buf = e.buf[:0]
	var id string
	blank := true    // no line so far holds anything
	partial := false // the line began in an earlier slice
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		blank = blank && len(bytes.TrimSpace(line)) == 0
		if len(e.buf) > maxEventSize {
			return Event{}, bufio.ErrTooLong
		}
		if err == bufio.ErrBufferFull {
			partial = true
			continue
		}
		if err == io.EOF && !blank {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if partial {
			partial = false // a line this long is neither blank nor an id
			continue
		}
		text := strings.TrimRight(string(line), "\r\n")
		if text == "" && !blank {
			return Event{ID: id, Raw: e.buf}, nil
		}
		if value, ok := strings.CutPrefix(text, "id:"); ok {
			id = strings.TrimSpace(value)
		}
	}
}
