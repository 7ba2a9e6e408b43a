package relay_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/relay"
)

// TestHeads checks which parts of a body are read as the heads of responses, and with which id.
func TestHeads(t *testing.T) {
	const fields = "X-Request-Id: r\r\nA: b\r\n"
	type head struct {
		id             string
		lineStart, cut bool
	}
	for name, test := range map[string]struct {
		body string
		want []head
	}{
		"alone":                       {"HTTP/1.1 200 OK\r\n" + fields + "\r\n", []head{{"r", true, false}}},
		"within a line":               {"doneHTTP/1.1 200 OK\r\n" + fields + "\r\nbody", []head{{"r", false, false}}},
		"without a reason":            {"HTTP/1.0 200\r\n" + fields + "\r\n", []head{{"r", true, false}}},
		"line feeds":                  {"HTTP/1.1 200 OK\nX-Request-Id: r\n\n", []head{{"r", true, false}}},
		"cut behind its first line":   {"HTTP/1.1 200 OK\r\n", []head{{"", true, true}}},
		"cut within a field":          {"HTTP/1.1 200 OK\r\n" + fields + "X-Re", []head{{"r", true, true}}},
		"line feeds, cut":             {"HTTP/1.1 200 OK\nX-Request-Id: r\n", nil},
		"cut within its first line":   {"HTTP/1.1 200 O", nil},
		"two":                         {"HTTP/1.1 500 X\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "\r\n", []head{{"", true, false}, {"r", true, false}}},
		"behind lines without a head": {"HTTP/1.1 200 OK\r\nA: b\r\nno field, HTTP/1.1 200 OK\r\n" + fields + "\r\n", []head{{"r", false, false}}},
		"no status":                   {"HTTP/1.1 2000\r\n" + fields + "\r\n", nil},
		"request":                     {"GET / HTTP/1.1\r\n" + fields + "\r\n", nil},
		"not fields":                  {"HTTP/1.1 200 OK\r\nno field\r\n\r\n", nil},
	} {
		t.Run(name, func(t *testing.T) {
			var got []head
			for h := range relay.Heads([]byte(test.body)) {
				got = append(got, head{h.Header.Get("X-Request-Id"), h.LineStart, h.Cut})
			}
			qt.Assert(t, len(got), qt.Equals, len(test.want), qt.Commentf("%v", got))
			for i, h := range got {
				qt.Assert(t, h, qt.Equals, test.want[i])
			}
		})
	}
}

// TestHeadsOfRepetitiveBody guards against a search for heads whose time grows with the square of
// the body, so that one response of a faulty server keeps a core of the node busy.
func TestHeadsOfRepetitiveBody(t *testing.T) {
	const maxTime = 5 * time.Second // linear time is some milliseconds
	for name, test := range map[string]struct {
		part, end string
		size      int // bytes
	}{
		"versions in a line":     {"HTTP/1.", "", 4 << 20},
		"status lines in a line": {"HTTP/1.1 200 ", "\n", 256 << 10},
		"status lines in fields": {"a:HTTP/1.1 200 x\r\n", "no field\r\n", 256 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			body := []byte(strings.Repeat(test.part, test.size/len(test.part)) + test.end)
			began := time.Now()
			for range relay.Heads(body) {
			}
			qt.Assert(t, time.Since(began) < maxTime, qt.IsTrue, qt.Commentf("%s for %d bytes", time.Since(began), len(body)))
		})
	}
}
