package relay

import (
	"bufio"
	"bytes"
	"io"
	"strings"
)

// Event is one event of a stream as the endpoint sent it.
type Event struct {
	ID  string
	Raw []byte // with the blank line that ends it; valid until the next call
}

// EventReader cuts a stream into its events without changing a byte, so that
// a stream that breaks within an event can be continued after the one before.
type EventReader struct {
	r   *bufio.Reader
	buf []byte
}

const (
	eventBuffer = 2 << 10 // bytes
	maxEvent    = 1 << 20 // bytes of one event
)

// NewEventReader returns a reader of r's events.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, eventBuffer)}
}

// Next returns the next whole event. It returns io.EOF at the end of a whole
// stream, and another error when the stream broke off, also within an event.
func (e *EventReader) Next() (Event, error) {
	e.buf = e.buf[:0]
	var id string
	for {
		line, err := e.r.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if len(e.buf) > maxEvent {
			return Event{}, bufio.ErrTooLong
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(bytes.TrimSpace(e.buf)) > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		text := strings.TrimRight(string(line), "\r\n")
		if text == "" && len(bytes.TrimSpace(e.buf)) > 0 {
			return Event{ID: id, Raw: e.buf}, nil
		}
		if value, ok := strings.CutPrefix(text, "id:"); ok {
			id = strings.TrimSpace(value)
		}
	}
}
