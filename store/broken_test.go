package store_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fakes"
	"github.com/plantaindeck/plantaindeck/store"
)

// TestBrokenOffResponsesFail guards against a response of the key-value service that ends, with its
// connection and properly, after any of its bytes, and that is taken for a whole one.
func TestBrokenOffResponsesFail(t *testing.T) {
	var response atomic.Value
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, response.Load().(string))
		_ = c.Close()
	}))
	t.Cleanup(server.Close)
	c, ctx := store.NewClient(store.Config{Addr: strings.TrimPrefix(server.URL, "http://"), Timeout: 5 * time.Second}), context.Background()
	for name, test := range map[string]struct {
		body string
		call func() error
	}{
		"get":    {`{"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"YQ=="}]}`, func() error { _, err := c.Get(ctx, "a"); return err }},
		"commit": {`{"header":{"revision":"7"},"succeeded":true}`, func() error { _, err := c.Commit(ctx, nil, nil); return err }},
	} {
		t.Run(name, func(t *testing.T) {
			whole := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + test.body
			for n := range whole {
				response.Store(whole[:n])
				qt.Assert(t, test.call(), qt.IsNotNil, qt.Commentf("%q", whole[:n]))
			}
			response.Store(whole)
			qt.Assert(t, test.call(), qt.IsNil)
		})
	}
}

// TestUndefinedStatus guards against a write that counts as one without effect, or as done, because the
// response has a status code such as 000.
func TestUndefinedStatus(t *testing.T) {
	err := fakes.EachUndefinedStatus(func(status, addr string) {
		c := store.NewClient(store.Config{Addr: addr, Timeout: 5 * time.Second})
		_, err := c.Commit(context.Background(), nil, nil)
		qt.Check(t, err, qt.ErrorAs, new(*store.UnknownError), qt.Commentf("%s", status))
		_, err = c.Get(context.Background(), "a")
		qt.Check(t, err, qt.ErrorAs, new(*store.UnavailableError), qt.Commentf("%s", status))
	})
	qt.Assert(t, err, qt.IsNil)
}
