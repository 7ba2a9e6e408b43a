package front

import (
	"testing"
	"time"

	"github.com/plantaindeck/plantaindeck/relay"
)

var fuzzNow = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// FuzzVerify checks that a reattach token is accepted only as it was signed, and
// only before it expires.
func FuzzVerify(f *testing.F) {
	fr := &Front{cfg: Config{Secret: []byte("a-secret-for-fuzzing")}}
	good := reattachPayload{Team: "t", Workspace: "w", Service: "s", Endpoint: "e", Generation: "g", Request: "r", Expires: fuzzNow.Unix() + 60}
	token, err := fr.sign(good)
	if err != nil {
		f.Fatal(err)
	}
	if got, ok := fr.verify(fuzzNow, token); !ok || got != good {
		f.Fatalf("verify of a signed token returned %+v, %t", got, ok)
	}
	if _, ok := fr.verify(fuzzNow.Add(time.Hour), token); ok {
		f.Fatal("an expired token was accepted")
	}
	f.Add(token)
	f.Add("e30." + token)
	f.Add(".")
	f.Fuzz(func(t *testing.T, text string) {
		got, ok := fr.verify(fuzzNow, text)
		if ok && got != good {
			t.Fatalf("verify(%q) returned %+v, which was never signed", text, got)
		}
	})
}

// FuzzSplitID checks that an event id yields an index that is not negative, or an
// error.
func FuzzSplitID(f *testing.F) {
	f.Add("e1.0.7/12")
	f.Add("/-1")
	f.Fuzz(func(t *testing.T, id string) {
		if _, index, err := relay.SplitID(id); err == nil && index < 0 {
			t.Fatalf("SplitID(%q) returned index %d", id, index)
		}
	})
}
