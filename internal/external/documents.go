package external

import (
	"context"
	"errors"
	"time"

	"heatherloom/internal/opconfig"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/rollout"
)

// ErrCompacted reports that the key-value service has compacted the history after the revision
// that Changes was asked to start from. All keys have to be read again.
var ErrCompacted = errors.New("the history of the key-value service is no longer available")

// ReadResult is the result of reading all keys below a prefix.
type ReadResult struct {
	Entries []Entry
	// Revision is a store revision. Every entry is at least as recent.
	Revision int64
	// Era increases each time the store is restored from a copy: revisions of different eras must
	// not be compared. 0 if the store does not report it.
	Era int64
}

// Changes are the changes below a prefix after a store revision, in order.
type Changes struct {
	Events []WatchEvent
	// Revision is the revision to continue from.
	Revision int64
	// Era is that of ReadResult. If it differs from that of the revision in the call, the changes
	// are meaningless and everything has to be read again.
	Era int64
}

// PollingStore is a key-value service whose changes are read by long polling instead of a
// stream. Each call has a timeout, so that a connection that is silent for too long is
// detected.
type PollingStore interface {
	// Read returns all entries below prefix.
	Read(ctx context.Context, prefix string) (ReadResult, error)
	// Changes returns the changes below prefix after revision from. It waits at most the
	// duration wait for the first change. It returns ErrCompacted if from is too old.
	Changes(ctx context.Context, prefix string, from int64, wait time.Duration) (Changes, error)
	// Commit has the same semantics as Store.Commit.
	Commit(ctx context.Context, conditions []Condition, writes []Write) (ok bool, revision int64, err error)
}

// Document is one decoded value of the key-value service. Exactly one field is set, or none
// for a key that the gateway does not use.
type Document struct {
	// Config is the operators' complete configuration.
	Config *opconfig.Config
	// Instance describes an upstream or, with RoleEntry, an entry instance.
	Instance *Instance
	// EvacuatedDomain is the name of a failure domain that must get no requests.
	EvacuatedDomain string
	// Rollout is an order to shift the traffic of a service to a version.
	Rollout *RolloutOrder
	// RolloutState is the state of a rollout as published to the operators.
	RolloutState *RolloutState
	// Quarantined is the fingerprint of a request in quarantine.
	Quarantined *quarantine.Fingerprint
}

// RolloutOrder requests that the traffic of a service of host routes be shifted to a version.
type RolloutOrder struct {
	Service string
	Version string
	// TimeLimit is the time from the order to its deadline.
	TimeLimit time.Duration
}

// RolloutState is the state of the rollout of a service.
type RolloutState struct {
	Service string
	Version string
	State   rollout.State
}

// DocumentCodec decodes and encodes the values of the key-value service.
type DocumentCodec interface {
	// Decode returns an error for a value that the gateway uses and that is invalid.
	Decode(Entry) (Document, error)
	// EncodeInstance returns the entry in which an entry instance registers itself.
	EncodeInstance(Instance) (Entry, error)
	// EncodeRolloutState returns the entry with the state of a rollout.
	EncodeRolloutState(RolloutState) (Entry, error)
	// EncodeQuarantine returns the entry of a request in quarantine.
	EncodeQuarantine(quarantine.Fingerprint) (Entry, error)
}
