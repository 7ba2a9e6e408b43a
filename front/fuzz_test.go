package front

import (
	"testing"
	"time"

	"github.com/plantaindeck/plantaindeck/relay"
)

var fuzzNow = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A reattach token is accepted only as it was signed.
func FuzzVerify(f *testing.F) {
	fr := &Front{cfg: Config{Secret: []byte("a-secret-for-fuzzing")}}
	good := ticket{Team: "t", Workspace: "w", Service: "s", Endpoint: "e", Generation: "g", Request: "r", Expires: fuzzNow.Unix() + 60}
	token, err := fr.sign(good)
	if err != nil {
		f.Fatal(err)
	}
	if got, ok := fr.verify(fuzzNow, token); !ok || got != good {
		f.Fatalf("a signed token gave %+v, %t", got, ok)
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
			t.Fatalf("token %q gave %+v, which was never signed", text, got)
		}
	})
}

// An event id gives a generation and an index, or an error.
func FuzzSplitID(f *testing.F) {
	f.Add("e1.0.7/12")
	f.Add("/-1")
	f.Fuzz(func(t *testing.T, id string) {
		if _, index, err := relay.SplitID(id); err == nil && index < 0 {
			t.Fatalf("event id %q gave index %d", id, index)
		}
	})
}
