// Package external defines one small interface for each external system that the gateway
// depends on. Its subpackages implement them for published protocols; another protocol needs
// only another implementation.
package external

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Entry is one key of the key-value service. The service has a single revision, called Revision
// or store revision here, which increases with each change of any key.
type Entry struct {
	Key   string
	Value []byte
	// ModRevision is the store revision of the last write to the key; 0 if the key
	// does not exist.
	ModRevision int64
	// Lease is the ID of the lease that the key is attached to; 0 if there is none.
	Lease int64
}

// Write is one put or delete operation of a transaction.
type Write struct {
	Key   string
	Value []byte
	// Lease is the ID of the lease to attach the key to; 0 for none.
	Lease int64
	// Delete removes the key instead of writing it.
	Delete bool
	// RangeEnd, if set together with Delete, removes all keys in [Key, RangeEnd).
	RangeEnd string
}

// Condition requires that a key was last written at the given store revision; 0 requires that
// the key does not exist.
type Condition struct {
	Key         string
	ModRevision int64
}

// WatchEvent is a change of a key below a watched prefix.
type WatchEvent struct {
	Entry   Entry
	Deleted bool
}

// ErrUnavailable reports that the key-value service did not respond. A write that fails with
// it may have taken effect.
var ErrUnavailable = errors.New("key-value service did not respond")

// ErrLeaseNotFound reports that a lease has expired or was revoked.
var ErrLeaseNotFound = errors.New("lease not found")

// Store is the platform's key-value service. Every call counts against its rate limits;
// a pending watch counts as one call. A value has at most MaxValueBytes.
type Store interface {
	// Get returns the entry of a key; ModRevision is 0 if it does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries below a prefix in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Range returns the first limit entries in [start, end) in key order; a limit of
	// 0 returns all.
	Range(ctx context.Context, start, end string, limit int) ([]Entry, error)
	// Commit atomically performs all writes if all conditions hold and reports whether it did.
	// revision is the store revision after the call.
	Commit(ctx context.Context, conditions []Condition, writes []Write) (ok bool, revision int64, err error)
	// GrantLease creates a lease that expires after ttl without renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// RenewLease extends a lease. It returns ErrLeaseNotFound if the lease has expired.
	RenewLease(ctx context.Context, lease int64) error
	// RevokeLease revokes a lease and deletes the keys attached to it.
	RevokeLease(ctx context.Context, lease int64) error
	// Watch calls fn for each change below prefix after store revision from, until
	// ctx ends or the stream breaks. It always returns a non-nil error.
	Watch(ctx context.Context, prefix string, from int64, fn func([]WatchEvent)) error
}

// MaxValueBytes is the maximum size of a value in the key-value service.
const MaxValueBytes = 1 << 20

// InstanceState is the state of an instance in the platform's instance list.
type InstanceState string

// States of a listed instance.
const (
	InstanceLive     InstanceState = "live"
	InstanceDraining InstanceState = "leaving"
)

// Role is the kind of service that an instance provides.
type Role string

// Roles of listed instances.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// Instance is one row of the platform's instance list.
type Instance struct {
	ID            string
	Role          Role
	Region        string
	FailureDomain string
	// Address is host:port of the instance's HTTP listener, or of the peer listener
	// for an entry instance.
	Address string
	State   InstanceState
	// Service is the name of the plain service; empty for other roles.
	Service string
	// Models are the models that an engine serves, in the form model@version.
	Models []string
	// Version is the software version of an upstream; empty if the list does not contain it.
	Version string
	// MaxConcurrency is the number of requests that an upstream runs concurrently; 0 if
	// unknown.
	MaxConcurrency int
	// CachesPrompts is true for an upstream of a service that caches parts of prompts.
	CachesPrompts bool
	// ColdFor is how long the upstream would remain cold, as of when it wrote the row.
	ColdFor time.Duration
	// ListedAt is when the row was first read, by the local clock; zero if unknown. A row that was
	// written again counts as another one.
	ListedAt time.Time
	// GoneAfter is the time until an upstream that is shut down at short notice ends whatever it
	// runs, as of when it wrote the row; 0 if unknown.
	GoneAfter time.Duration
	// StartedAtUnixMilli is the start time of the process in Unix milliseconds; 0 if unknown.
	StartedAtUnixMilli int64
}

// InstanceList is the platform's instance list. It lags behind the actual state.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// DirectoryAccount is a client account in the client directory.
type DirectoryAccount struct {
	Name   string
	Active bool
}

// Directory is the platform's client directory.
type Directory interface {
	Accounts(ctx context.Context) ([]DirectoryAccount, error)
}

// Load is the load that an upstream reports. It lags behind the actual load.
type Load struct {
	// Running is the number of requests in progress.
	Running int
	// Waiting is the number of requests in the upstream's queue.
	Waiting int
	// Slots is the number of requests that the upstream runs at once; 0 if it does not say so.
	Slots int
	// KVCacheUsage is the fraction of the KV cache in use, from 0 to 1.
	KVCacheUsage float64
}

// LoadReader reads the load of an upstream.
type LoadReader interface {
	Load(ctx context.Context, address string) (Load, error)
}

// EngineOrder specifies the models that an engine should serve. It is idempotent, because it
// states the desired state rather than a change.
type EngineOrder struct {
	// FencingToken is checked by engines that support fencing: they reject orders with a lower
	// token than one they have accepted.
	FencingToken int64 `json:"fence"`
	// Models are the models that the engine should load, in the form model@version.
	Models []string `json:"models"`
}

// EngineState is an engine's report on the order in effect and on its models.
type EngineState struct {
	// Order is the latest order that the engine accepted.
	Order EngineOrder `json:"order"`
	// Loaded are the models that the engine can serve now, in the form model@version.
	// They lag behind the order while weights are loaded.
	Loaded []string `json:"loaded"`
}

// ErrStaleFence reports that an engine rejected an order because it had accepted one with
// a higher fencing token.
var ErrStaleFence = errors.New("stale fencing token: the engine has accepted an order with a higher one")

// EngineControl sends orders to engines.
type EngineControl interface {
	// Apply sends an order. It returns ErrStaleFence if the engine supports fencing and the
	// token of o is too low. After any other error the order may be in effect.
	Apply(ctx context.Context, address string, o EngineOrder) error
	// State reads the order in effect and the loaded models.
	State(ctx context.Context, address string) (EngineState, error)
}

// ModelWeights describes the weights of a model version.
type ModelWeights struct {
	// Model is the model and version, in the form model@version.
	Model string
	// Bytes is the size of the weights.
	Bytes int64
}

// ErrWeightsNotFound reports that the weight store does not have the weights of a model
// version.
var ErrWeightsNotFound = errors.New("model version not found in the weight store")

// RateLimitedError reports that an external system rejected a call because of its rate limit.
type RateLimitedError struct {
	// RetryAfter is the delay that the system requested; 0 if it requested none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("rate limit exceeded, retry after %s", e.RetryAfter)
}

// WeightStore stores the weights that engines load. Its rate limit also covers calls to
// Describe.
type WeightStore interface {
	// Describe returns the weights of a model version. It returns ErrWeightsNotFound if the
	// store does not have them and a *RateLimitedError if the rate limit is exceeded.
	Describe(ctx context.Context, model string) (ModelWeights, error)
}
