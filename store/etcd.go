package store

// This file defines the messages of the etcd v3 JSON gateway that Client uses.
// The gateway encodes keys and values in base64, as encoding/json does for
// []byte, and 64-bit integers as strings.

// RangeRequest is the body of POST /v3/kv/range.
type RangeRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	MinModRevision int64  `json:"min_mod_revision,omitempty,string"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header `json:"header"`
	Kvs    []KV   `json:"kvs,omitempty"`
}

func (r *RangeResponse) header() Header { return r.Header }

// Header is part of every response.
type Header struct {
	ClusterID uint64 `json:"cluster_id,omitempty,string"` // 0 if not stated
	Revision  int64  `json:"revision,string"`
}

// response is a response of the gateway.
type response interface {
	header() Header
}

// KV is a key with its value.
type KV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,omitempty,string"`
}

// TxnRequest is the body of POST /v3/kv/txn.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
}

// Compare is a condition on the store revision of a key's last change.
type Compare struct {
	Result      string `json:"result"` // "EQUAL"
	Target      string `json:"target"` // "MOD"
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// RequestOp is one operation of a transaction; one of its fields is set.
type RequestOp struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,omitempty,string"`
}

// DeleteRequest deletes a key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

func (r *TxnResponse) header() Header { return r.Header }

// LeaseGrantRequest is the body of POST /v3/lease/grant.
type LeaseGrantRequest struct {
	TTL int64 `json:"TTL,string"` // seconds
}

// LeaseGrantResponse is the response to a LeaseGrantRequest.
type LeaseGrantResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string"`
	TTL    int64  `json:"TTL,string"` // seconds
}

func (r *LeaseGrantResponse) header() Header { return r.Header }

// LeaseKeepAliveRequest is the body of POST /v3/lease/keepalive.
type LeaseKeepAliveRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseKeepAliveResponse is the response to a LeaseKeepAliveRequest. A TTL of
// zero means that the lease has expired.
type LeaseKeepAliveResponse struct {
	Result LeaseGrantResponse `json:"result"`
}

func (r *LeaseKeepAliveResponse) header() Header { return r.Result.Header }

// ErrorResponse is the body of a response with an error status.
type ErrorResponse struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// The paths of the gateway's calls.
const (
	PathRange          = "/v3/kv/range"
	PathTxn            = "/v3/kv/txn"
	PathLeaseGrant     = "/v3/lease/grant"
	PathLeaseKeepAlive = "/v3/lease/keepalive"
	PathWatch          = "/v3/watch"
)

// PrefixEnd returns the exclusive end of the range of keys with a prefix, as
// RangeRequest.RangeEnd expects it.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
