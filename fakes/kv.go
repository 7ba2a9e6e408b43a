package fakes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/wait"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

const maxValue = 1 << 20 // bytes

// KVConfig describes a key-value service.
type KVConfig struct {
	Addr   string
	Writes int // writes a second; 0 for no limit
	Reads  int // reads a second; 0 for no limit
}

// KVFaults is what the service does wrong for the time being.
type KVFaults struct {
	Down  bool          `json:"down"`  // refuse every call
	Delay time.Duration `json:"delay"` // wait before each call
	Lose  int           `json:"lose"`  // writes to carry out without an answer
	Hang  bool          `json:"hang"`  // never answer, and do nothing
}

// KVCounts is how often each kind of call was made.
type KVCounts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Refused int `json:"refused"`
}

// KV is a key-value service that speaks a part of the etcd v3 JSON gateway.
type KV struct {
	*Server
	mu       sync.Mutex
	entries  map[string]store.KV
	revision int64
	leases   map[int64]lease
	nextID   int64
	faults   KVFaults
	counts   KVCounts
	reads    *rate.Limiter
	writes   *rate.Limiter
	wake     chan struct{} // closed when the revision moves
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// StartKV starts a key-value service.
func StartKV(cfg KVConfig) (*KV, error) {
	k := &KV{
		entries: map[string]store.KV{},
		leases:  map[int64]lease{},
		reads:   limiter(cfg.Reads),
		writes:  limiter(cfg.Writes),
		wake:    make(chan struct{}),
	}
	var err error
	k.Server, err = start(cfg.Addr, k.serve, k.expire)
	return k, err
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// SetFaults replaces the faults.
func (k *KV) SetFaults(f KVFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// Counts returns how often each kind of call was made.
func (k *KV) Counts() KVCounts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

func (k *KV) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/control/faults":
		k.control(ctx)
		return
	case "/control/counts":
		reply(ctx, fasthttp.StatusOK, k.Counts())
		return
	}
	if !k.admit(ctx, path) {
		return
	}
	switch path {
	case store.PathRange:
		k.serveRange(ctx)
	case store.PathTxn:
		k.serveTxn(ctx)
	case store.PathLeaseMake:
		k.serveGrant(ctx)
	case store.PathLeaseKeep:
		k.serveKeep(ctx)
	case store.PathWatch:
		k.serveWatch(ctx)
	default:
		kvError(ctx, fasthttp.StatusNotFound, "no such call")
	}
}

func (k *KV) control(ctx *fasthttp.RequestCtx) {
	var f KVFaults
	if decode(ctx, &f) {
		k.SetFaults(f)
		reply(ctx, fasthttp.StatusOK, f)
	}
}

func kvError(ctx *fasthttp.RequestCtx, status int, text string) {
	reply(ctx, status, store.ErrorResponse{Code: status, Message: text})
}

// Counts a call and applies the faults and the rate limits.
func (k *KV) admit(ctx *fasthttp.RequestCtx, path string) bool {
	k.mu.Lock()
	f := k.faults
	limit := k.reads
	if path == store.PathRange || path == store.PathWatch {
		k.counts.Reads++
	} else {
		k.counts.Writes++
		limit = k.writes
	}
	k.mu.Unlock()
	if f.Hang {
		time.Sleep(time.Minute)
	}
	time.Sleep(f.Delay)
	if f.Down {
		k.refused()
		kvError(ctx, fasthttp.StatusTooManyRequests, "service is down")
		return false
	}
	if !limit.Allow() {
		k.refused()
		kvError(ctx, fasthttp.StatusTooManyRequests, "too many requests")
		return false
	}
	return true
}

func (k *KV) refused() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Refused++
}

func (k *KV) serveRange(ctx *fasthttp.RequestCtx) {
	var req store.RangeRequest
	if !decode(ctx, &req) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	resp := store.RangeResponse{Header: store.Header{Revision: k.revision}}
	for _, kv := range k.entries {
		if inRange(kv.Key, req.Key, req.RangeEnd) && kv.ModRevision >= req.MinModRevision {
			resp.Kvs = append(resp.Kvs, kv)
		}
	}
	sort.Slice(resp.Kvs, func(i, j int) bool { return bytes.Compare(resp.Kvs[i].Key, resp.Kvs[j].Key) < 0 })
	reply(ctx, fasthttp.StatusOK, resp)
}

func inRange(key, low, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, low)
	}
	return bytes.Compare(key, low) >= 0 && bytes.Compare(key, end) < 0
}

func (k *KV) serveTxn(ctx *fasthttp.RequestCtx) {
	var req store.TxnRequest
	if !decode(ctx, &req) {
		return
	}
	for _, op := range req.Success {
		if op.Put != nil && len(op.Put.Value) > maxValue {
			kvError(ctx, fasthttp.StatusBadRequest, "value is larger than a megabyte")
			return
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	resp := store.TxnResponse{Succeeded: k.holds(req.Compare)}
	if resp.Succeeded && len(req.Success) > 0 {
		k.apply(req.Success)
	}
	resp.Header.Revision = k.revision
	if k.faults.Lose > 0 {
		k.faults.Lose--
		// The connection ends without an answer, as when a link is cut.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		return
	}
	reply(ctx, fasthttp.StatusOK, resp)
}

func (k *KV) holds(compares []store.Compare) bool {
	for _, c := range compares {
		if k.entries[string(c.Key)].ModRevision != c.ModRevision {
			return false
		}
	}
	return true
}

func (k *KV) apply(ops []store.RequestOp) {
	k.revision++
	for _, op := range ops {
		switch {
		case op.Put != nil:
			k.entries[string(op.Put.Key)] = store.KV{
				Key: op.Put.Key, Value: op.Put.Value, ModRevision: k.revision, Lease: op.Put.Lease,
			}
		case op.Delete != nil:
			delete(k.entries, string(op.Delete.Key))
		}
	}
	close(k.wake)
	k.wake = make(chan struct{})
}

func (k *KV) serveGrant(ctx *fasthttp.RequestCtx) {
	var req store.LeaseGrantRequest
	if !decode(ctx, &req) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.nextID++
	ttl := time.Duration(req.TTL) * time.Second
	k.leases[k.nextID] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(ctx, fasthttp.StatusOK, store.LeaseGrantResponse{ID: k.nextID, TTL: req.TTL})
}

func (k *KV) serveKeep(ctx *fasthttp.RequestCtx) {
	var req store.LeaseKeepAliveRequest
	if !decode(ctx, &req) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	resp := store.LeaseKeepAliveResponse{Result: store.LeaseGrantResponse{ID: req.ID}}
	if l, ok := k.leases[req.ID]; ok {
		l.expires = time.Now().Add(l.ttl)
		k.leases[req.ID] = l
		resp.Result.TTL = int64(l.ttl / time.Second)
	}
	reply(ctx, fasthttp.StatusOK, resp)
}

// watchRequest is the body of POST /v3/watch.
type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

// watchResponse is one line of the answer.
type watchResponse struct {
	Result struct {
		Header store.Header `json:"header"`
		Events []watchEvent `json:"events"`
	} `json:"result"`
}

type watchEvent struct {
	KV store.KV `json:"kv"`
}

// Streams the changes of a range, one JSON object a line.
func (k *KV) serveWatch(ctx *fasthttp.RequestCtx) {
	var req watchRequest
	if !decode(ctx, &req) {
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		next := req.Create.StartRevision
		for {
			events, revision, wake := k.changes(req, next)
			if len(events) > 0 {
				var resp watchResponse
				resp.Result.Header.Revision = revision
				resp.Result.Events = events
				if json.NewEncoder(w).Encode(resp) != nil || w.Flush() != nil {
					return
				}
			}
			next = revision + 1
			select {
			case <-wake:
			case <-k.closed:
				return
			}
		}
	})
}

func (k *KV) changes(req watchRequest, from int64) ([]watchEvent, int64, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var events []watchEvent
	for _, kv := range k.entries {
		if kv.ModRevision >= from && inRange(kv.Key, req.Create.Key, req.Create.RangeEnd) {
			events = append(events, watchEvent{KV: kv})
		}
	}
	return events, k.revision, k.wake
}

// Deletes the keys of lapsed leases.
func (k *KV) expire(ctx context.Context) {
	for wait.For(ctx, 50*time.Millisecond) {
		k.expireOnce(time.Now())
	}
}

func (k *KV) expireOnce(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var ops []store.RequestOp
	for id, l := range k.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(k.leases, id)
		for _, kv := range k.entries {
			if kv.Lease == id {
				ops = append(ops, store.RequestOp{Delete: &store.DeleteRequest{Key: kv.Key}})
			}
		}
	}
	if len(ops) > 0 {
		k.apply(ops)
	}
}
