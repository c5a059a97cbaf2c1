// Package wire defines the JSON messages of the etcd v3 gRPC gateway that the client and its
// test stand-in use. The gateway encodes 64-bit integers as strings and byte fields as base64.
package wire

// Paths of the gateway.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// Header is part of every response.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is one stored key.
type KeyValue struct {
	Key         []byte `json:"key,omitempty"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads one key or, with RangeEnd, the first Limit keys in [Key, RangeEnd). A Limit
// of 0 means no limit.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
}

// Compare requires that a key's modification revision equals ModRevision; 0 requires that the
// key does not exist.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// Values of Compare.Target and Compare.Result that the gateway uses.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
)

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRequest deletes one key or, with RangeEnd, the keys in [Key, RangeEnd).
type DeleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Put    *PutRequest    `json:"requestPut,omitempty"`
	Delete *DeleteRequest `json:"requestDeleteRange,omitempty"`
}

// TxnRequest performs Success if every comparison holds.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// LeaseRequest grants, renews or revokes a lease.
type LeaseRequest struct {
	// TTL is in seconds.
	TTL int64 `json:"TTL,string,omitempty"`
	ID  int64 `json:"ID,string,omitempty"`
}

// LeaseResponse is the response to a LeaseRequest. A TTL of 0 in the response to a keep-alive
// means that the lease has expired.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// KeepAliveResponse is one message of the keep-alive stream.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchCreate specifies a watch of the keys in [Key, RangeEnd).
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchRequest starts a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// EventDelete is the type of a delete event; a put event has no type.
const EventDelete = "DELETE"

// Event is one change of a key.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResult is the content of one message of the watch stream.
type WatchResult struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchResponse is one message of the watch stream.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// Status is the gateway's error response.
type Status struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// gRPC status codes that are used.
const (
	// CodeInvalidArgument rejects a request that cannot succeed, for example because a
	// value is too large.
	CodeInvalidArgument = 3
	// CodeNotFound means that a lease does not exist or has expired.
	CodeNotFound = 5
	// CodeResourceExhausted means that the rate limit is exceeded.
	CodeResourceExhausted = 8
	// CodeUnavailable means that the service is unavailable.
	CodeUnavailable = 14
)

// PrefixEnd returns the exclusive end of the range of keys that start with prefix.
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
