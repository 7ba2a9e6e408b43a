package store

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/plantaindeck/plantaindeck/socket"
	"github.com/valyala/fasthttp"
)

// Config describes how to reach the service.
type Config struct {
	Addr    string        // IP address and port
	Timeout time.Duration // maximum time to wait for one response
}

// Client is a Store that calls the etcd v3 JSON gateway.
type Client struct {
	cfg      Config
	http     *fasthttp.HostClient
	mu       sync.Mutex
	clusters map[uint64]int64 // era of each cluster id that a response has stated
}

const (
	maxConns         = 32
	maxResponseBytes = 64 << 20
)

// NewClient returns a client, which connects when it is first used.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, clusters: map[uint64]int64{}, http: &fasthttp.HostClient{
		Addr:                cfg.Addr,
		Dial:                socket.DialChecked,
		MaxConns:            maxConns,
		MaxResponseBodySize: maxResponseBytes,
		// A failed call is not retried here, since it may have taken effect.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Range, error) {
	return c.rangeKeys(ctx, key, &RangeRequest{Key: []byte(key)})
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string, after int64) (Range, error) {
	req := &RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)}
	if after > 0 {
		req.MinModRevision = after + 1
	}
	return c.rangeKeys(ctx, prefix, req)
}

// rangeKeys makes a range call. The key is used in errors only.
func (c *Client) rangeKeys(ctx context.Context, key string, req *RangeRequest) (Range, error) {
	var resp RangeResponse
	era, err := c.call(ctx, "range", PathRange, key, req, &resp)
	if err != nil {
		return Range{}, &UnavailableError{Op: "range", Key: key, Err: err}
	}
	r := Range{Revision: resp.Header.Revision, Era: era}
	for _, kv := range resp.Kvs {
		r.Entries = append(r.Entries, Entry{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision})
	}
	return r, nil
}

// Commit implements Store.
func (c *Client) Commit(ctx context.Context, conditions []Condition, writes []Write) (bool, error) {
	req := &TxnRequest{}
	for _, cond := range conditions {
		req.Compare = append(req.Compare, Compare{Result: "EQUAL", Target: "MOD", Key: []byte(cond.Key), ModRevision: cond.Revision})
	}
	for _, w := range writes {
		op := RequestOp{}
		if w.Delete {
			op.Delete = &DeleteRequest{Key: []byte(w.Key)}
		} else {
			op.Put = &PutRequest{Key: []byte(w.Key), Value: w.Value, Lease: w.Lease}
		}
		req.Success = append(req.Success, op)
	}
	key := ""
	if len(writes) > 0 {
		key = writes[0].Key
	}
	var resp TxnResponse
	if _, err := c.call(ctx, "txn", PathTxn, key, req, &resp); err != nil {
		return false, writeError("txn", key, err)
	}
	return resp.Succeeded, nil
}

// GrantLease implements Store.
func (c *Client) GrantLease(ctx context.Context, seconds int64) (int64, error) {
	var resp LeaseGrantResponse
	if _, err := c.call(ctx, "lease grant", PathLeaseGrant, "", &LeaseGrantRequest{TTL: seconds}, &resp); err != nil {
		return 0, writeError("lease grant", "", err)
	}
	return resp.ID, nil
}

// RenewLease implements Store.
func (c *Client) RenewLease(ctx context.Context, lease int64) (bool, error) {
	var resp LeaseKeepAliveResponse
	if _, err := c.call(ctx, "lease keepalive", PathLeaseKeepAlive, "", &LeaseKeepAliveRequest{ID: lease}, &resp); err != nil {
		return false, writeError("lease keepalive", "", err)
	}
	return resp.Result.TTL > 0, nil
}

// rejectedError is a response of the service which says that the call had no
// effect.
type rejectedError struct {
	message string
}

// Error returns the service's message.
func (e *rejectedError) Error() string {
	return e.message
}

// writeError returns an *UnavailableError for a write that had no effect, and an
// *UnknownError for one that may have had an effect. A write had none if the
// service rejected it or no connection could be made.
func writeError(op, key string, err error) error {
	var rejected *rejectedError
	var dial *net.OpError
	if errors.As(err, &rejected) || errors.As(err, &dial) && dial.Op == "dial" {
		return &UnavailableError{Op: op, Key: key, Err: err}
	}
	return &UnknownError{Op: op, Key: key, Err: err}
}

// call posts in as JSON, decodes the response into out and returns its era. The
// operation and the key are used in errors only.
func (c *Client) call(ctx context.Context, op, path, key string, in any, out response) (int64, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return 0, errors.Wrapf(err, "encode %s of %q", op, key)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + c.cfg.Addr + path)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	if err := c.http.DoTimeout(req, resp, callTimeout(ctx, c.cfg.Timeout)); err != nil {
		return 0, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		var e ErrorResponse
		if err := json.Unmarshal(resp.Body(), &e); err != nil {
			return 0, errors.Errorf("status %d", resp.StatusCode())
		}
		if resp.StatusCode() >= fasthttp.StatusInternalServerError {
			return 0, errors.Errorf("status %d: %s", resp.StatusCode(), e.Message)
		}
		return 0, &rejectedError{message: e.Message}
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return 0, errors.Wrapf(err, "decode response to %s of %q", op, key)
	}
	return c.observeCluster(out.header().ClusterID)
}

// Era implements Store. It counts the restorations that this client has noticed.
func (c *Client) Era() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastEra()
}

// lastEra returns the era of the newest cluster. The mutex is held.
func (c *Client) lastEra() int64 { return int64(max(len(c.clusters)-1, 0)) }

// observeCluster records the cluster id of a response and returns its era. The error is
// an *EraError if the response comes from a cluster that has been replaced.
func (c *Client) observeCluster(id uint64) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id == 0 {
		return c.lastEra(), nil
	}
	era, known := c.clusters[id]
	if !known {
		era = int64(len(c.clusters))
		c.clusters[id] = era
	}
	if last := c.lastEra(); era < last {
		return 0, &EraError{Want: last, Got: era}
	}
	return era, nil
}

// callTimeout returns the time until the deadline of ctx, but at most limit.
func callTimeout(ctx context.Context, limit time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return limit
	}
	return min(limit, time.Until(deadline))
}
