package fakes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/plantaindeck/plantaindeck/store"
	"github.com/plantaindeck/plantaindeck/wait"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

const maxValueBytes = 1 << 20

// KVConfig configures a key-value service.
type KVConfig struct {
	Addr            string
	WritesPerSecond int // limit and burst; 0 means no limit
	ReadsPerSecond  int // limit and burst; 0 means no limit
}

// KVFaults are the faults that a key-value service injects.
type KVFaults struct {
	Down          bool          `json:"down"`  // reject every call
	Delay         time.Duration `json:"delay"` // delay of each call
	DropResponses int           `json:"lose"`  // number of transactions to carry out without a response
	Hang          bool          `json:"hang"`  // hold each call for a minute, longer than clients wait, before it continues
}

// KVCounts counts the calls to a key-value service.
type KVCounts struct {
	Reads    int `json:"reads"`   // ranges and watches, including the rejected ones
	Writes   int `json:"writes"`  // all other calls, including the rejected ones
	Rejected int `json:"refused"` // by the fault Down or a rate limit
}

// KV is a key-value service that implements a part of the etcd v3 JSON gateway.
type KV struct {
	*Server
	mu           sync.Mutex
	entries      map[string]store.KV
	revision     int64
	clusterID    uint64          // another one after each restoration
	leases       map[int64]lease // by id
	lastLeaseID  int64
	faults       KVFaults
	counts       KVCounts
	readLimiter  *rate.Limiter // of ranges and watches
	writeLimiter *rate.Limiter // of all other calls
	changed      chan struct{} // closed and replaced when the revision changes
}

// lease is a lease that has not expired.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// StartKV starts a key-value service.
func StartKV(cfg KVConfig) (*KV, error) {
	k := &KV{
		entries:      map[string]store.KV{},
		clusterID:    1,
		leases:       map[int64]lease{},
		readLimiter:  newLimiter(cfg.ReadsPerSecond),
		writeLimiter: newLimiter(cfg.WritesPerSecond),
		changed:      make(chan struct{}),
	}
	var err error
	k.Server, err = startServer(cfg.Addr, k.serve, k.runExpiry)
	return k, err
}

// newLimiter returns a limiter of perSecond events per second, with a burst of as
// many; 0 means no limit.
func newLimiter(perSecond int) *rate.Limiter {
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

// revisionBump is added to the revision of a copy when the service is restored from it,
// so that no revision is given out twice.
const revisionBump = 1_000_000

// KVCopy is a copy of a key-value service, from which it can be restored.
type KVCopy struct {
	entries  map[string]store.KV
	revision int64
}

// Copy returns a copy of the service as it is now.
func (k *KV) Copy() KVCopy {
	k.mu.Lock()
	defer k.mu.Unlock()
	return KVCopy{entries: maps.Clone(k.entries), revision: k.revision}
}

// Restore replaces the service by one that has been restored from a copy: another
// cluster, without leases.
func (k *KV) Restore(c KVCopy) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.clusterID++
	k.entries = maps.Clone(c.entries)
	k.revision = c.revision + revisionBump*int64(k.clusterID)
	clear(k.leases)
	close(k.changed)
	k.changed = make(chan struct{})
}

// header returns the header of a response. The mutex is held.
func (k *KV) header() store.Header {
	return store.Header{ClusterID: k.clusterID, Revision: k.revision}
}

// Counts returns the counts of calls so far.
func (k *KV) Counts() KVCounts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

func (k *KV) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/control/faults":
		k.serveFaults(ctx)
		return
	case "/control/counts":
		replyJSON(ctx, fasthttp.StatusOK, k.Counts())
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
	case store.PathLeaseGrant:
		k.serveGrant(ctx)
	case store.PathLeaseKeepAlive:
		k.serveKeepAlive(ctx)
	case store.PathWatch:
		k.serveWatch(ctx)
	default:
		replyKVError(ctx, fasthttp.StatusNotFound, "unknown path")
	}
}

// serveFaults replaces the faults.
func (k *KV) serveFaults(ctx *fasthttp.RequestCtx) {
	var f KVFaults
	if decodeBody(ctx, &f) {
		k.SetFaults(f)
		replyJSON(ctx, fasthttp.StatusOK, f)
	}
}

// replyKVError responds with an error in the form of etcd.
func replyKVError(ctx *fasthttp.RequestCtx, status int, text string) {
	replyJSON(ctx, status, store.ErrorResponse{Code: status, Message: text})
}

// admit counts a call and applies the rate limits and all faults except
// DropResponses, which serveTxn applies. It reports false after rejecting the call.
func (k *KV) admit(ctx *fasthttp.RequestCtx, path string) bool {
	k.mu.Lock()
	f := k.faults
	limiter := k.readLimiter
	if path == store.PathRange || path == store.PathWatch {
		k.counts.Reads++
	} else {
		k.counts.Writes++
		limiter = k.writeLimiter
	}
	k.mu.Unlock()
	if f.Hang {
		time.Sleep(time.Minute)
	}
	time.Sleep(f.Delay)
	if f.Down {
		k.countRejected()
		replyKVError(ctx, fasthttp.StatusTooManyRequests, "service is down")
		return false
	}
	if !limiter.Allow() {
		k.countRejected()
		replyKVError(ctx, fasthttp.StatusTooManyRequests, "too many requests")
		return false
	}
	return true
}

func (k *KV) countRejected() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Rejected++
}

func (k *KV) serveRange(ctx *fasthttp.RequestCtx) {
	var req store.RangeRequest
	if !decodeBody(ctx, &req) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	resp := store.RangeResponse{Header: k.header()}
	for _, kv := range k.entries {
		if inRange(kv.Key, req.Key, req.RangeEnd) && kv.ModRevision >= req.MinModRevision {
			resp.Kvs = append(resp.Kvs, kv)
		}
	}
	sort.Slice(resp.Kvs, func(i, j int) bool { return bytes.Compare(resp.Kvs[i].Key, resp.Kvs[j].Key) < 0 })
	replyJSON(ctx, fasthttp.StatusOK, resp)
}

// inRange reports whether key equals low or, if end is not empty, lies between low
// and end, including low and excluding end.
func inRange(key, low, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, low)
	}
	return bytes.Compare(key, low) >= 0 && bytes.Compare(key, end) < 0
}

func (k *KV) serveTxn(ctx *fasthttp.RequestCtx) {
	var req store.TxnRequest
	if !decodeBody(ctx, &req) {
		return
	}
	for _, op := range req.Success {
		if op.Put != nil && len(op.Put.Value) > maxValueBytes {
			replyKVError(ctx, fasthttp.StatusBadRequest, "value is larger than 1 MiB")
			return
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	resp := store.TxnResponse{Succeeded: k.matches(req.Compare)}
	if resp.Succeeded && len(req.Success) > 0 {
		k.apply(req.Success)
	}
	resp.Header = k.header()
	if k.faults.DropResponses > 0 {
		k.faults.DropResponses--
		// The connection is closed without a response, as if the network had failed.
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		return
	}
	replyJSON(ctx, fasthttp.StatusOK, resp)
}

// matches reports whether each key has the revision with which it is compared; a
// missing key has revision 0. k.mu must be held.
func (k *KV) matches(compares []store.Compare) bool {
	for _, c := range compares {
		if k.entries[string(c.Key)].ModRevision != c.ModRevision {
			return false
		}
	}
	return true
}

// apply carries out operations under a new revision and wakes the watches. k.mu
// must be held.
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
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *KV) serveGrant(ctx *fasthttp.RequestCtx) {
	var req store.LeaseGrantRequest
	if !decodeBody(ctx, &req) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastLeaseID++
	ttl := time.Duration(req.TTL) * time.Second
	k.leases[k.lastLeaseID] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	replyJSON(ctx, fasthttp.StatusOK, store.LeaseGrantResponse{Header: k.header(), ID: k.lastLeaseID, TTL: req.TTL})
}

func (k *KV) serveKeepAlive(ctx *fasthttp.RequestCtx) {
	var req store.LeaseKeepAliveRequest
	if !decodeBody(ctx, &req) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	resp := store.LeaseKeepAliveResponse{Result: store.LeaseGrantResponse{Header: k.header(), ID: req.ID}}
	if l, ok := k.leases[req.ID]; ok {
		l.expiresAt = time.Now().Add(l.ttl)
		k.leases[req.ID] = l
		resp.Result.TTL = int64(l.ttl / time.Second)
	}
	replyJSON(ctx, fasthttp.StatusOK, resp)
}

// watchRequest is the body of POST /v3/watch.
type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

// watchResponse is one line of the response to a watch.
type watchResponse struct {
	Result struct {
		Header store.Header `json:"header"`
		Events []watchEvent `json:"events"`
	} `json:"result"`
}

// watchEvent is one change of a key.
type watchEvent struct {
	Entry store.KV `json:"kv"`
}

// serveWatch streams the changes of a range, one JSON object per line. It reports
// the current entry of each changed key, and no deletions.
func (k *KV) serveWatch(ctx *fasthttp.RequestCtx) {
	var req watchRequest
	if !decodeBody(ctx, &req) {
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		next := req.Create.StartRevision
		for {
			events, revision, changed := k.changes(req, next)
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
			case <-changed:
			case <-k.closed:
				return
			}
		}
	})
}

// changes returns the entries of a watched range that were changed at revision
// from or later, the current revision, and a channel that is closed when the
// revision changes.
func (k *KV) changes(req watchRequest, from int64) ([]watchEvent, int64, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var events []watchEvent
	for _, kv := range k.entries {
		if kv.ModRevision >= from && inRange(kv.Key, req.Create.Key, req.Create.RangeEnd) {
			events = append(events, watchEvent{Entry: kv})
		}
	}
	return events, k.revision, k.changed
}

// runExpiry deletes expired leases and their keys until ctx ends.
func (k *KV) runExpiry(ctx context.Context) {
	for wait.For(ctx, 50*time.Millisecond) {
		k.expireLeases(time.Now())
	}
}

// expireLeases deletes the leases that have expired by now, and their keys.
func (k *KV) expireLeases(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var ops []store.RequestOp
	for id, l := range k.leases {
		if now.Before(l.expiresAt) {
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
