package relay

import (
	"bytes"
	"iter"
	"net/http"
	"net/textproto"
	"regexp"
)

// statusLine matches the first line of a response, without its line end.
var statusLine = regexp.MustCompile(`^HTTP/1\.[01] [1-5][0-9][0-9]( .*)?$`)

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

// Heads returns what can be read as the heads of responses within a body.
func Heads(body []byte) iter.Seq[Head] {
	return func(yield func(Head) bool) {
		const start = "HTTP/1."
		for offset := 0; ; offset += len(start) {
			i := bytes.Index(body[offset:], []byte(start))
			if i < 0 {
				return
			}
			offset += i
			h, ok := readHead(body[offset:])
			h.LineStart = offset == 0 || body[offset-1] == '\n'
			if ok && !yield(h) {
				return
			}
		}
	}
}

// readHead reads the head of a response at the start of p. It reports false if there is none.
func readHead(p []byte) (Head, bool) {
	h := Head{Header: http.Header{}, Cut: true}
	line, rest, ok := bytes.Cut(p, []byte("\n"))
	if !ok || !statusLine.Match(bytes.TrimSuffix(line, []byte("\r"))) {
		return h, false
	}
	for ok && h.Cut {
		if line, rest, ok = bytes.Cut(rest, []byte("\n")); !ok {
			break // the body ends within this line
		}
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, field := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) == 0:
			h.Cut = false
		case !field || len(name) == 0 || bytes.ContainsAny(name, " \t"):
			return h, false
		default:
			h.Header.Add(textproto.CanonicalMIMEHeaderKey(string(name)), string(bytes.TrimSpace(value)))
		}
	}
	return h, true
}
