package relay

import (
	"bytes"
	"iter"
	"net/http"
	"net/textproto"
	"regexp"
)

// statusLineStart is the number of bytes of a response's first line that statusLine matches.
const statusLineStart = len("HTTP/1.1 200 ")

// statusLine matches the start of a response's first line.
var statusLine = regexp.MustCompile(`^HTTP/1\.[01] [1-5][0-9][0-9][ \r\n]$`)

// SecondResponseError says that a body without a length or chunks holds the head of another
// response of the endpoint, so that its own end is not known.
type SecondResponseError struct {
	Addr string
}

// Error names the endpoint.
func (e *SecondResponseError) Error() string {
	return "the body of the response from " + e.Addr + " holds another response"
}

// Head is the head of a response that stands within a body.
type Head struct {
	Header    http.Header
	LineStart bool // it begins at the start of a line of the body
	Cut       bool // the body ends within it
}

// Heads returns what can be read as the heads of responses within a body. It reads each byte a
// bounded number of times, whatever the body holds.
func Heads(body []byte) iter.Seq[Head] {
	return func(yield func(Head) bool) {
		start := []byte("HTTP/1.")
		for offset := 0; ; {
			i := bytes.Index(body[offset:], start)
			if i < 0 {
				return
			}
			offset += i
			h := Head{LineStart: offset == 0 || body[offset-1] == '\n'}
			if !statusLine.Match(body[offset:min(offset+statusLineStart, len(body))]) {
				offset += len(start)
				continue
			}
			rest, ok := h.read(body[offset:])
			if ok && !yield(h) {
				return
			}
			// A head that began further on in the part that was read would end in the same place,
			// with fewer fields, or fail at the same line.
			offset = len(body) - len(rest)
		}
	}
}

// read reads the head of a response at the start of p, and returns the part of p after it. It
// reports false if there is none: then the part begins with the first line that does not fit.
func (h *Head) read(p []byte) (rest []byte, ok bool) {
	h.Header, h.Cut = http.Header{}, true
	first, rest, ok := bytes.Cut(p, []byte("\n"))
	if !ok {
		return nil, false
	}
	for h.Cut {
		line, next, whole := bytes.Cut(rest, []byte("\n"))
		if !whole {
			// The body ends within this line. A line of a log or a text may end like the first line of
			// a head, but endpoints end that with CRLF.
			return nil, bytes.HasSuffix(first, []byte("\r"))
		}
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, field := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) == 0:
			h.Cut = false
		case !field || len(name) == 0 || bytes.ContainsAny(name, " \t"):
			return rest, false
		case len(p)-len(next) <= maxHeaderSize: // an endpoint's head has no more
			h.Header.Add(textproto.CanonicalMIMEHeaderKey(string(name)), string(bytes.TrimSpace(value)))
		}
		rest = next
	}
	return rest, true
}
