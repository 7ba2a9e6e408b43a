package fakes_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/plantaindeck/plantaindeck/fakes"
	"github.com/plantaindeck/plantaindeck/store"
	"github.com/valyala/fasthttp"
)

// waitTimeout is how long a test waits for a condition.
const waitTimeout = 20 * time.Second

func startKV(t *testing.T, cfg fakes.KVConfig) (*fakes.KV, *store.Client) {
	t.Helper()
	cfg.Addr = "127.0.0.1:0"
	kv, err := fakes.StartKV(cfg)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = kv.Kill() })
	return kv, store.NewClient(store.Config{Addr: kv.Addr(), Timeout: 5 * time.Second})
}

// put writes a key under a lease; 0 means no lease.
func put(c *store.Client, key string, value []byte, lease int64) error {
	_, err := c.Commit(context.Background(), nil, []store.Write{{Key: key, Value: value, Lease: lease}})
	return err
}

func exists(t *testing.T, c *store.Client, key string) bool {
	t.Helper()
	got, err := c.Get(context.Background(), key)
	qt.Assert(t, err, qt.IsNil)
	return len(got.Entries) > 0
}

func TestKV(t *testing.T) {
	var unavailable *store.UnavailableError
	var unknown *store.UnknownError
	t.Run("writes and reads have separate limits", func(t *testing.T) {
		kv, c := startKV(t, fakes.KVConfig{WritesPerSecond: 1, ReadsPerSecond: 1000})
		qt.Assert(t, put(c, "a", nil, 0), qt.IsNil)
		qt.Assert(t, errors.As(put(c, "b", nil, 0), &unavailable), qt.IsTrue)
		qt.Assert(t, exists(t, c, "b"), qt.IsFalse)
		qt.Assert(t, kv.Counts(), qt.Equals, fakes.KVCounts{Reads: 1, Writes: 2, Rejected: 1})
	})
	t.Run("a value has at most 1 MiB", func(t *testing.T) {
		_, c := startKV(t, fakes.KVConfig{})
		qt.Assert(t, put(c, "a", bytes.Repeat([]byte("x"), 1<<20), 0), qt.IsNil)
		qt.Assert(t, errors.As(put(c, "b", bytes.Repeat([]byte("x"), 1<<20+1), 0), &unavailable), qt.IsTrue)
	})
	t.Run("a write whose response is lost takes effect", func(t *testing.T) {
		kv, c := startKV(t, fakes.KVConfig{})
		kv.SetFaults(fakes.KVFaults{DropResponses: 1})
		qt.Assert(t, errors.As(put(c, "a", nil, 0), &unknown), qt.IsTrue)
		qt.Assert(t, exists(t, c, "a"), qt.IsTrue)
	})
	t.Run("the keys of an expired lease are deleted", func(t *testing.T) {
		_, c := startKV(t, fakes.KVConfig{})
		lease, err := c.GrantLease(context.Background(), 1)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, put(c, "a", nil, lease), qt.IsNil)
		for deadline := time.Now().Add(waitTimeout); exists(t, c, "a"); {
			qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
			time.Sleep(20 * time.Millisecond)
		}
		alive, err := c.RenewLease(context.Background(), lease)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, alive, qt.IsFalse)
	})
}

// TestHostsLag checks that readers do not see a change of the list before the lag
// has passed.
func TestHostsLag(t *testing.T) {
	h, err := fakes.StartHosts(fakes.HostsConfig{Addr: "127.0.0.1:0", Lag: 24 * time.Hour})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = h.Kill() })
	h.Set([]fakes.Host{{IP: "10.0.0.1", State: "live"}})
	h.Set([]fakes.Host{{IP: "10.0.0.1", State: "leaving"}})
	_, body, err := fasthttp.Get(nil, "http://"+h.Addr()+"/v1/hosts")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Contains(string(body), "live"), qt.IsTrue)
	qt.Assert(t, strings.Contains(string(body), "leaving"), qt.IsFalse)
}

// TestWeightsAreLimited checks that a weight store sends a model no faster than its
// rate, and counts the fetch.
func TestWeightsAreLimited(t *testing.T) {
	w, err := fakes.StartWeights(fakes.WeightsConfig{Addr: "127.0.0.1:0", ModelBytes: 3 << 16, BytesPerSecond: 1 << 16})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = w.Kill() })
	started := time.Now()
	_, body, err := fasthttp.Get(nil, "http://"+w.Addr()+"/v1/weights/m")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(body), qt.Equals, 3<<16)
	// The store sends the bytes of the first second at once, so the remaining two
	// thirds take two seconds, however fast the host is.
	qt.Assert(t, time.Since(started) >= 1900*time.Millisecond, qt.IsTrue)
	qt.Assert(t, w.FetchCounts()["m"], qt.Equals, 1)
}
