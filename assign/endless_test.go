package assign

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fakes"
	"github.com/plantaindeck/plantaindeck/spec"
	"github.com/valyala/fasthttp"
)

// TestEndlessModels guards against a node that keeps all bytes of a list of models that never ends,
// or that reserves memory for the length that the list states.
func TestEndlessModels(t *testing.T) {
	for name, length := range map[string]string{"length": "1000000000000", "chunks": ""} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				var err error
				for err == nil {
					_, err = w.Write(make([]byte, 64<<10))
				}
			}))
			defer server.Close()
			_, err := New(Config{}).loadedModels(spec.Endpoint{Name: "e", Addr: server.Listener.Addr().String()})
			qt.Assert(t, err, qt.ErrorMatches, ".*"+fasthttp.ErrBodyTooLarge.Error())
		})
	}
}

// TestUndefinedStatus guards against a list of models from a response with a status code such as 000. Commands
// are sent by the same client.
func TestUndefinedStatus(t *testing.T) {
	err := fakes.EachUndefinedStatus(func(status, addr string) {
		_, err := New(Config{}).loadedModels(spec.Endpoint{Name: "e", Addr: addr})
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", status))
	})
	qt.Assert(t, err, qt.IsNil)
}
