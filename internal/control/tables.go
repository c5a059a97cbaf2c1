// Package control owns the control state of an entry instance. A single goroutine
// applies typed events, updates its tables on each tick, and publishes an immutable
// routing snapshot by an atomic swap. The request path only reads snapshots and never
// locks control state.
package control

import (
	"maps"
	"strings"
	"time"

	"heatherloom/internal/estimate"
	"heatherloom/internal/external"
	"heatherloom/internal/membership"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/quota"
	"heatherloom/internal/rollout"
	"heatherloom/internal/routing"
	"heatherloom/internal/slotclaim"
)

// Identity holds the identity and settings of an entry instance.
type Identity struct {
	ID            string
	Region        string
	FailureDomain string
	PeerAddress   string
	CallerURL     string
	OperatorURL   string
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation int64
	// EffectiveMaxIsolation: requests with API keys are rejected once this time has passed
	// since the configuration was last confirmed. Without StrictIsolation, a response from
	// outside the region also restarts it, or one from another failure domain while no other
	// region is known. With StrictIsolation it is 80 % of the setting. 0 means
	// DefaultMaxIsolation.
	EffectiveMaxIsolation time.Duration
	// StrictIsolation means that only a confirmation of the latest configuration ends
	// isolation; a response of a peer outside the region does not.
	StrictIsolation bool
	// ColdExcess and ColdSlack bound the requests per second that all instances together
	// send to a cold upstream: its rate times ColdExcess, plus ColdSlack.
	ColdExcess float64
	ColdSlack  float64
	// CanaryShare is the maximum fraction of a service's requests that a candidate may
	// receive during its rollout.
	CanaryShare float64
}

// CallerAddress returns the host and port of CallerURL.
func (id Identity) CallerAddress() string {
	_, address, _ := strings.Cut(id.CallerURL, "://")
	return address
}

// DefaultMaxIsolation exceeds one hour, the length of occasional inter-region outages.
const DefaultMaxIsolation = 90 * time.Minute

// upstreamRow is the state of an engine or plain service from the instance list.
type upstreamRow struct {
	instance external.Instance
	// service holds the name of the service that the upstream belongs to, as its only target.
	service  []string
	load     external.Load
	counters *routing.Counters
	// loaded lists the models that the engine reported as loaded; nil before it has
	// accepted its first order, in which case the instance list applies.
	loaded []string
	// downUntil is the end of the pause after repeated failures.
	downUntil time.Time
	// paused is true from the start of a pause until a tick finds that it has ended.
	paused bool
	// coldUntil is the time until which the upstream can handle only few requests. ownColdUntil is the same without
	// what other instances told, in Unix nanoseconds; 0 for never.
	coldUntil    time.Time
	ownColdUntil int64
	// firstListedAt is when the row of this process was first applied.
	firstListedAt time.Time
	// goneAt is when the process ends whatever it runs; zero if that is not known.
	goneAt time.Time
	// restarted is true if the upstream is or was cold although its row was known before.
	restarted bool
	// keptUntil is until when the row is kept while it is not listed.
	keptUntil time.Time
	// pauses counts the pauses since the last successful request.
	pauses int
	// awaitsHealthCheck is true after a pause, until a health check succeeds.
	awaitsHealthCheck bool
	// failuresAtPause is the failure count at which the last pause began.
	failuresAtPause int64
	// rank is that of tables.rank, found among the instances of generation rankedAt; 0 for none.
	rank     int
	rankedAt uint64
}

// confirmation is a peer's statement that revision was the latest one at time at.
type confirmation struct {
	revision int64
	at       time.Time
}

// peerRow holds the network state of a peer and what it reported about its region.
type peerRow struct {
	status   routing.RegionStatus
	counters *routing.Counters
	services map[string]routing.ServiceLoad
	// demands are those of the latest report, received at reportedAt.
	demands     map[string]float64
	reportedAt  time.Time
	acceptsKeys bool
}

// tables holds the control state. Only the control goroutine accesses it.
type tables struct {
	identity  Identity
	config    *opconfig.Config
	upstreams map[string]*upstreamRow
	// estimates holds what is learned about each service of host routes in the region.
	estimates map[string]*estimate.Service
	// sortedUpstreams holds the rows of upstreams sorted by id. It is rebuilt only with the
	// instance list, because sorting on every tick took more than half of the tick.
	sortedUpstreams []*upstreamRow
	// unlisted holds the rows of upstreams that were cold, named a request rate or said that they leave, when
	// they were no longer listed.
	unlisted map[string]*upstreamRow
	// coldSendsFrom is when this instance may first send to cold upstreams; zero before the first
	// instance list.
	coldSendsFrom time.Time
	reports       reportAccess
	members       *membership.Table
	crashes       *quarantine.Table
	// listedInstances holds the other entry instances of the instance list by id.
	listedInstances map[string]external.Instance
	// listedChanges counts the instance lists that were applied.
	listedChanges uint64
	region        regionInstances
	// listedContacts holds the contacts of listedInstances; snapshots share it.
	listedContacts []membership.Contact
	// peers is keyed by the id of the peer. Those that are not live were last removed when prunedAt was
	// membership.Table.Changes.
	peers    map[string]*peerRow
	prunedAt uint64
	// domainDemands holds the totals that peers reported, by failure domain.
	domainDemands map[string]routing.DomainDemand
	// confirmations is keyed by the id of the peer.
	confirmations map[string]confirmation
	// confirmedAt is when the store, read directly or through peers, last showed no revision
	// later than config.
	confirmedAt time.Time
	// lastOutsideResponse is when the latest request was sent that got a response ending
	// isolation, see recordOutsideResponse.
	lastOutsideResponse time.Time
	// otherRegionKnown is true once a peer in another region sent a heartbeat or response.
	otherRegionKnown bool
	history          history
	// evacuated holds the failure domains that must not receive requests.
	evacuated map[string]struct{}
	// serviceRollouts holds the service rollouts requested by the operators.
	serviceRollouts []rollout.ServiceRollout
	// inactive holds the client accounts that the client directory marks as inactive.
	inactive map[string]struct{}
	// division is derived from config and rebuilt only when the domains table changes.
	division *quota.Division
	claim    slotclaim.Claim
	// configuredAt is when the first configuration arrived, and hadUsableSlot is true once
	// the instance has held a slot whose rates it may use.
	configuredAt  time.Time
	hadUsableSlot bool
	rollouts      rollouts
	draining      bool
	publishing    publishing
}

func newTables(id Identity) *tables {
	if id.EffectiveMaxIsolation == 0 {
		id.EffectiveMaxIsolation = DefaultMaxIsolation
	}
	return &tables{
		identity:      id,
		config:        opconfig.New(),
		division:      quota.NewDivision(opconfig.New()),
		upstreams:     map[string]*upstreamRow{},
		estimates:     map[string]*estimate.Service{},
		unlisted:      map[string]*upstreamRow{},
		members:       membership.NewTable(),
		confirmations: map[string]confirmation{},
		peers:         map[string]*peerRow{},
		domainDemands: map[string]routing.DomainDemand{},
		crashes:       quarantine.NewTable(),
		rollouts:      newRollouts(),
	}
}

// maxFormerServices is how many services that the configuration no longer contains keep their estimates.
const maxFormerServices = 16

// estimatesOf returns what is learned about a service.
func (t *tables) estimatesOf(service string) *estimate.Service {
	if e := t.estimates[service]; e != nil {
		return e
	}
	if len(t.estimates) >= len(t.config.Services)+maxFormerServices {
		maps.DeleteFunc(t.estimates, func(name string, _ *estimate.Service) bool {
			_, configured := t.config.Services[name]
			return !configured
		})
	}
	e := &estimate.Service{}
	t.estimates[service] = e
	return e
}
