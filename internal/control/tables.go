// Package control owns the control state of an entry instance. One goroutine
// receives typed events, runs the systems over the tables on each tick, and
// publishes an immutable routing snapshot by an atomic swap. Traffic only reads
// snapshots and never locks control state.
package control

import (
	"strings"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/membership"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/quota"
	"heatherloom/internal/rollout"
	"heatherloom/internal/routing"
	"heatherloom/internal/slotclaim"
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
	// MaxIsolation is the age of the configuration from which requests with keys are
	// refused; 0 for DefaultMaxIsolation.
	MaxIsolation time.Duration
	// StrictIsolation lets only a confirmation of the latest configuration end
	// isolation, and not the contact with a peer of another region.
	StrictIsolation bool
	// ColdExcess and ColdSlack bound the requests that a cold upstream gets in one second
	// from all instances: its rate times ColdExcess, and ColdSlack more.
	ColdExcess float64
	ColdSlack  float64
	// CanaryShare is the part of a service's requests that a version may get before it is
	// known to be good.
	CanaryShare float64
}

// CallerAddress returns the host and port of CallerURL.
func (id Identity) CallerAddress() string {
	_, address, _ := strings.Cut(id.CallerURL, "://")
	return address
}

// DefaultMaxIsolation exceeds the hour for which regions occasionally lose contact.
const DefaultMaxIsolation = 90 * time.Minute

// upstreamRow is one engine or plain service of the instance list.
type upstreamRow struct {
	instance external.Instance
	load     external.Load
	counters *routing.Counters
	// loaded are the models that the engine reported as loaded; nil if it accepted no
	// order yet, so that the instance list counts.
	loaded []string
	// downUntil is the end of the pause after repeated failures.
	downUntil time.Time
	// wasDown is true until the pause was seen to have ended.
	wasDown bool
	// coldUntil is the end of the time in which the upstream bears few requests.
	coldUntil time.Time
	// pauses counts the pauses without a success between them.
	pauses int
	// awaitsProbe is true after a pause, until a health check succeeds.
	awaitsProbe bool
	// countedFailures are the failures that the last pause took into account.
	countedFailures int64
}

// confirmation is a peer's statement that revision was the latest one at a time.
type confirmation struct {
	revision int64
	at       time.Time
}

// linkRow is what is known of the way to a peer and of its region.
type linkRow struct {
	remote   routing.Remote
	counters *routing.Counters
	services map[string]routing.ServiceLoad
	// demands are those of the latest report, which came at reported.
	demands  map[string]float64
	reported time.Time
	serving  bool
}

// tables hold the control state. Only the loop goroutine touches them.
type tables struct {
	identity  Identity
	config    *opconfig.Config
	upstreams map[string]*upstreamRow
	// ordered are the rows of upstreams in the order of their ids. Sorting them on every
	// tick took more than half of its time.
	ordered []*upstreamRow
	members *membership.Table
	crashes *quarantine.Table
	// entries are the other entry instances of the instance list by id.
	entries map[string]external.Instance
	// listed are the contacts of entries; snapshots share it.
	listed []membership.Contact
	// links are indexed by the id of the peer.
	links map[string]*linkRow
	// confirmations are indexed by the id of the peer.
	confirmations map[string]confirmation
	// confirmed is when config was last known to be the latest revision.
	confirmed time.Time
	// contacted is the last contact with a peer outside the region.
	contacted time.Time
	// otherRegion is true once a peer of another region was heard from.
	otherRegion bool
	history     history
	// evacuated are the failure domains that must get no requests.
	evacuated map[string]struct{}
	// orders are the rollouts of services that the operators ordered.
	orders []rollout.ServiceOrder
	// inactive are the client accounts that the client directory marks as inactive.
	inactive map[string]struct{}
	// division is that of config; it is rebuilt only when the domains table changes.
	division *quota.Division
	claim    slotclaim.Claim
	// configured is when the first configuration came, and served is true once the
	// instance held a usable slot.
	configured time.Time
	served     bool
	rollouts   rollouts
	draining   bool
}

func newTables(id Identity) *tables {
	if id.MaxIsolation == 0 {
		id.MaxIsolation = DefaultMaxIsolation
	}
	return &tables{
		identity:      id,
		config:        opconfig.New(),
		division:      quota.NewDivision(opconfig.New()),
		upstreams:     map[string]*upstreamRow{},
		members:       membership.NewTable(),
		confirmations: map[string]confirmation{},
		links:         map[string]*linkRow{},
		crashes:       quarantine.NewTable(),
		rollouts:      newRollouts(),
	}
}
