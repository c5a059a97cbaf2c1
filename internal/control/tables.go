// Package control owns the control state of an entry instance. One goroutine
// receives typed events, runs the systems over the tables on each tick, and
// publishes an immutable routing snapshot by an atomic swap. Traffic only reads
// snapshots and never locks control state.
package control

import (
	"time"

	"heatherloom/internal/opconfig"
	"heatherloom/internal/platform"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/routing"
)

// Identity is what an entry instance knows of itself from its settings.
type Identity struct {
	ID            string
	Region        string
	FailureDomain string
	PeerAddress   string
	CallerURL     string
	OperatorURL   string
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation int64
}

// upstreamRow is one engine or plain service of the instance list.
type upstreamRow struct {
	instance platform.Instance
	load     platform.Load
	counters *routing.Counters
	// downUntil is the end of the pause after repeated failures.
	downUntil time.Time
	// countedFailures are the failures that the last pause took into account.
	countedFailures int64
}

// memberRow is one entry instance that was heard from.
type memberRow struct {
	peer        routing.Peer
	incarnation int64
}

// tables hold the control state. Only the loop goroutine touches them.
type tables struct {
	identity  Identity
	config    *opconfig.Config
	upstreams map[string]*upstreamRow
	members   map[string]*memberRow
	crashes   *quarantine.Table
	draining  bool
}

func newTables(id Identity) *tables {
	return &tables{
		identity:  id,
		config:    opconfig.New(),
		upstreams: map[string]*upstreamRow{},
		members:   map[string]*memberRow{},
		crashes:   quarantine.NewTable(),
	}
}
