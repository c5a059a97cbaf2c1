// Package routing decides which upstream or which entry instance of another region
// serves a request.
//
// It reads an immutable Snapshot and the request, and knows no HTTP and no clock.
// A pick passes in one direction through filters, scorers and a picker.
package routing

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherloom/internal/external"
	"heatherloom/internal/membership"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/quota"
	"heatherloom/internal/rollout"
)

// Upstream is an engine or a plain service that this instance can reach directly.
type Upstream struct {
	ID            string
	Address       string
	Region        string
	FailureDomain string
	Role          external.Role
	// Targets are the models, as model@version, or the service that it serves.
	Targets []string
	// Listed are the models of the instance list. They may differ from Targets while a
	// version is rolled out.
	Listed []string
	// Leaving upstreams get no new work.
	Leaving bool
	// Down upstreams failed recently and get no work until a probe succeeds.
	Down bool
	// Load is the latest report; it lags behind.
	Load external.Load
	// Counters are shared by all snapshots in which the upstream appears.
	Counters *Counters
	// Version is the software version; empty if the instance list names none.
	Version string
	// Slots is the number of requests that the upstream runs at once; 0 if not known.
	Slots int
	// Engine is true for an upstream of a service that caches the parts of prompts.
	Engine bool
	// Evacuated upstreams are in a failure domain that must get no requests.
	Evacuated bool
	// Cold upstreams get at most ColdSends requests a second from this instance.
	Cold      bool
	ColdSends int
	// ColdUntil is when the upstream is warm.
	ColdUntil time.Time
	// idHash is a hash of ID, set by Index.
	idHash uint64
	// Preference is how little this instance prefers the upstream, from 0 to below 1; see
	// setPreferences.
	Preference float64
}

// Peer is an entry instance that this instance knows.
type Peer struct {
	ID            string
	Region        string
	FailureDomain string
	PeerAddress   string
	CallerURL     string
	// Slot is the slot that the peer holds, as domain/index; empty for none.
	Slot        string
	OperatorURL string
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation int64
	Draining    bool
	// Suspect peers have been silent for some seconds.
	Suspect bool
	// LastHeard is when this instance or one of its peers last heard from the peer,
	// by the local clock; HeardDirectly is when this instance did.
	LastHeard     time.Time
	HeardDirectly time.Time
	// ConfigRevision is the configuration that the peer has in force.
	ConfigRevision int64
	// Confirmed is when the peer's configuration was known to be the latest one;
	// zero if it is not known.
	Confirmed time.Time
	// Remote is what the latest heartbeat told of the peer's region.
	Remote Remote
	// Serving is true if the peer says that it can serve requests with keys.
	Serving bool
	// Services are the services of the peer's region, by name.
	Services map[string]ServiceLoad
	// Counters are shared by all snapshots in which the peer appears; nil in a peer
	// that is not part of a snapshot.
	Counters *Counters
}

// CallerAddress returns the host and port of the peer's caller listener.
func (p *Peer) CallerAddress() string {
	_, address, _ := strings.Cut(p.CallerURL, "://")
	return address
}

// evacuatedCold is how long the upstreams of an evacuated failure domain are told to peers
// to be cold: until the next heartbeats, one of which may be lost.
const evacuatedCold = 2500 * time.Millisecond

// ColdFor returns how long peers have to treat the upstream as cold.
func (u *Upstream) ColdFor(now time.Time) time.Duration {
	cold := u.ColdUntil.Sub(now)
	if u.Evacuated {
		return max(cold, evacuatedCold)
	}
	return cold
}

// Silent returns how long nothing was heard from the peer.
func (p *Peer) Silent(now time.Time) time.Duration { return now.Sub(p.LastHeard) }

// Split divides the traffic of a target between two versions.
type Split struct {
	// Running carries the traffic that Candidate does not.
	Running string
	// Candidate is the version under rollout; empty if there is none.
	Candidate string
	// Share is the part of the requests, from 0 to 1, that belongs to Candidate.
	Share float64
	// Move and Step identify the rollout and its step; empty if there is none.
	Move string
	Step int
}

// Version returns the version that a request belongs to.
func (s Split) Version(requestID string) string {
	if s.Candidate != "" && rollout.Selects(requestID, s.Share) {
		return s.Candidate
	}
	return s.Running
}

// Snapshot is the state that traffic reads. It is immutable after publication.
type Snapshot struct {
	// Region and FailureDomain are those of this instance.
	Region        string
	FailureDomain string
	SelfID        string
	Config        *opconfig.Config
	// ConfigDeltas are the latest deltas, in order and ending at Config.Revision.
	ConfigDeltas []opconfig.Delta
	// ConfigConfirmed is when Config was last known to be the latest revision, and
	// ConfigAge the time from then to Published. Both are zero if it is not known.
	ConfigConfirmed time.Time
	ConfigAge       time.Duration
	// ConfigValidUntil is when requests with keys are refused unless the store or a
	// peer outside the region is reached before; zero for no limit.
	ConfigValidUntil time.Time
	// Inactive are client accounts that the client directory marks as inactive.
	Inactive  map[string]struct{}
	Upstreams []Upstream
	// ByTarget lists, for each model@version and service, indexes into Upstreams.
	ByTarget map[string][]int32
	// ByNumber lists the indexes into Upstreams by Counters.Number.
	ByNumber map[uint32]int32
	// Peers are the other entry instances that were heard from recently.
	Peers []Peer
	// Listed are the other entry instances of the instance list, and Former those
	// that were heard from earlier.
	Listed []membership.Contact
	Former []membership.Contact
	// Splits is indexed by model or service name.
	Splits map[string]Split
	// Moves are the known rollouts, sorted by id.
	Moves []rollout.Move
	// Stops are the local stops of this and other instances, sorted by move and instance.
	Stops []rollout.Stop
	// Samples are the latest samples that each other member of the failure domain
	// reported, by instance id.
	Samples map[string][]rollout.KeyedSample
	// Remote lists, for each target, indexes into Peers whose region serves it.
	Remote map[string][]int32
	// Quarantined are the requests that are refused.
	Quarantined quarantine.Set
	// SharedCrashes are passed on to other instances.
	SharedCrashes []quarantine.Crash
	// Ready is false until a configuration is in force.
	Ready bool
	// Rollouts divide the traffic of services that the operators ordered a version of, by
	// service, and Orders are these orders.
	Rollouts map[string]VersionSplit
	Orders   []rollout.ServiceOrder
	// Demand is the estimated sum of the demands of the peers, by client account, in units of
	// the account's rate per second. DemandAge is the mean age of the reports behind it.
	Demand    map[string]float64
	DemandAge time.Duration
	// InstanceCount is the number of entry instances, listed or live, with this one.
	InstanceCount int
	// Slots is the division of the rates and the slot that this instance holds.
	Slots quota.View
	// Draining is true after the instance was told to stop.
	Draining bool
	// Published is the time of publication.
	Published time.Time
}

// ConfigStale reports whether the configuration is too old to admit keys by it.
func (s *Snapshot) ConfigStale(now time.Time) bool {
	return !s.ConfigValidUntil.IsZero() && now.After(s.ConfigValidUntil)
}

// Index fills ByTarget, ByNumber and the preferences from Upstreams. It is called once before publication.
func (s *Snapshot) Index() {
	s.ByTarget = make(map[string][]int32)
	s.ByNumber = make(map[uint32]int32, len(s.Upstreams))
	for i := range s.Upstreams {
		s.ByNumber[s.Upstreams[i].Counters.Number()] = int32(i)
		s.Upstreams[i].idHash = xxhash.Sum64String(s.Upstreams[i].ID)
		for _, target := range s.Upstreams[i].Targets {
			s.ByTarget[target] = append(s.ByTarget[target], int32(i))
		}
	}
	s.setPreferences()
}
