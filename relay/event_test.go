package relay_test

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/relay"
)

// TestEventWithLineOfBufferSize checks that a line which fills the reader's buffer up to its
// end does not end the event.
func TestEventWithLineOfBufferSize(t *testing.T) {
	for size := 2040; size <= 2060; size++ {
		event := "id: 1\n" + "data: " + strings.Repeat("x", size-len("data: ")) + "\ndata: y\n\n"
		for _, text := range []string{event, strings.TrimPrefix(event, "id: 1\n")} {
			r := relay.NewEventReader(strings.NewReader(text))
			got, err := r.Next()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(got.Raw), qt.Equals, text, qt.Commentf("line of %d bytes", size))
			_, err = r.Next()
			qt.Assert(t, err, qt.Equals, io.EOF)
		}
	}
}
