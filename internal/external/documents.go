package external

import (
	"context"
	"errors"
	"time"

	"heatherloom/internal/opconfig"
	"heatherloom/internal/rollout"
)

// ErrCompacted reports that the key-value service no longer holds the history that a
// read of changes starts from. Everything has to be read again.
var ErrCompacted = errors.New("the history of the key-value service is no longer available")

// Reading is the state of all keys below a prefix.
type Reading struct {
	Entries []Entry
	// At is a store revision that every entry is at least as recent as.
	At int64
}

// Changes are what happened below a prefix after a store revision, in order.
type Changes struct {
	Events []WatchEvent
	// At is the revision to continue from.
	At int64
}

// ChangeLog is a key-value service that can be followed with single calls. Each call
// ends by itself, so that a connection that went silent is noticed.
type ChangeLog interface {
	// Read returns all entries below prefix.
	Read(ctx context.Context, prefix string) (Reading, error)
	// Changes returns what changed below prefix after revision from. It waits up to
	// wait for the first change, and returns ErrCompacted if from is too old.
	Changes(ctx context.Context, prefix string, from int64, wait time.Duration) (Changes, error)
	// Commit is that of Store.
	Commit(ctx context.Context, conditions []Condition, writes []Write) (ok bool, version int64, err error)
}

// Document is one decoded value of the key-value service. Exactly one field is set;
// none is in a key that does not concern the gateway.
type Document struct {
	// Config is the operators' whole configuration.
	Config *opconfig.Config
	// Upstream is the row of an upstream or, with RoleEntry, of an entry instance.
	Upstream *Instance
	// Evacuated names a failure domain that must get no requests.
	Evacuated string
	// Rollout is an order to move the traffic of a service to a version, and RolloutState
	// what the operators can read of it.
	Rollout      *RolloutOrder
	RolloutState *RolloutState
}

// RolloutOrder asks for a version of a service to take over its traffic.
type RolloutOrder struct {
	Service string
	Version string
	// Within is the time from the order to its deadline.
	Within time.Duration
}

// RolloutState is the state of the rollout of a service.
type RolloutState struct {
	Service string
	Version string
	State   rollout.State
}

// Documents decodes and encodes the values of the key-value service.
type Documents interface {
	// Decode returns an error for a value that belongs to the gateway and cannot be read.
	Decode(Entry) (Document, error)
	// EncodeInstance returns the entry by which an entry instance lists itself.
	EncodeInstance(Instance) (Entry, error)
	// EncodeRolloutState returns the entry with the state of a rollout.
	EncodeRolloutState(RolloutState) (Entry, error)
}
