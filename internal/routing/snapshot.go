// Package routing decides which upstream or which entry instance of another region
// serves a request.
//
// It reads an immutable Snapshot and the request, and knows no HTTP and no clock.
// Each decision runs through filters, then scorers, then a picker.
package routing

import (
	"slices"
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
	// Targets are the models, as model@version, or the service that the upstream serves.
	Targets []string
	// ListedTargets are the models according to the instance list. They may differ from
	// Targets during a rollout.
	ListedTargets []string
	// Draining upstreams are being removed and get no new requests. ListedDraining is true if the
	// operators, or the instance list, say so; otherwise only its own responses do.
	Draining       bool
	ListedDraining bool
	// Down upstreams failed recently and get no requests until a health check succeeds or, for
	// those without a health path, until a pause ends.
	Down bool
	// Load is the latest load report, which lags behind the actual load.
	Load external.Load
	// Counters are shared by all snapshots in which the upstream appears.
	Counters *Counters
	// StartedAt is the start of the process in Unix milliseconds; 0 if the instance list does
	// not tell.
	StartedAt int64
	// Version is the software version; empty if the instance list names none.
	Version string
	// MaxConcurrency is the number of requests that the upstream runs at once; 0 if not known.
	MaxConcurrency int
	// CachesPrompts is true for an upstream of a service that caches parts of prompts.
	CachesPrompts bool
	// Evacuated upstreams are in a failure domain that must get no requests.
	Evacuated bool
	// Cold upstreams, and those that may have started again, get at most ColdRateLimit requests a second
	// from this instance.
	Cold          bool
	ColdRateLimit int
	// MayBecomeCold is true for the upstreams of services that are cold after a start. ColdTime is for how long, 0 if each
	// instance of the region has a part of the limit.
	MayBecomeCold bool
	ColdTime      time.Duration
	// UninformedSince is since when this instance may have missed that an upstream which may become cold started again,
	// in Unix nanoseconds; 0 if it would know. Such an upstream counts as cold until a later health check.
	UninformedSince int64
	// Brittle upstreams end if they have to turn away many requests. Places is this instance's part
	// of the requests that the upstream runs at once, of which PlaceSharers instances have one.
	Brittle      bool
	Places       int
	PlaceSharers int
	// RateLimited upstreams name a request rate, of which this instance may use RequestRate, in
	// requests a second.
	RateLimited bool
	RequestRate float64
	// ColdUntil is when the upstream is warm, and OwnColdUntil the same without what other instances told, in Unix
	// nanoseconds.
	ColdUntil    time.Time
	OwnColdUntil int64
	// GoneAt is when the upstream ends whatever it runs, in Unix nanoseconds; 0 if that is not known.
	GoneAt int64
	// idHash is a hash of ID, set by BuildIndexes.
	idHash uint64
	// PreferencePenalty is set by BuildIndexes. It is 0 for the upstream that this instance prefers most and rises to
	// below 1 for the one that it prefers least; see setPreferences.
	PreferencePenalty float64
}

// Same reports whether two upstreams are the same in all but what BuildIndexes sets.
func (u *Upstream) Same(v *Upstream) bool {
	return u.ID == v.ID && u.Address == v.Address && u.Region == v.Region && u.FailureDomain == v.FailureDomain && u.Role == v.Role &&
		slices.Equal(u.Targets, v.Targets) && slices.Equal(u.ListedTargets, v.ListedTargets) &&
		u.Draining == v.Draining && u.ListedDraining == v.ListedDraining && u.Down == v.Down &&
		u.Load == v.Load && u.Counters == v.Counters && u.StartedAt == v.StartedAt && u.Version == v.Version &&
		u.MaxConcurrency == v.MaxConcurrency && u.CachesPrompts == v.CachesPrompts && u.Evacuated == v.Evacuated &&
		u.Cold == v.Cold && u.ColdRateLimit == v.ColdRateLimit && u.MayBecomeCold == v.MayBecomeCold && u.ColdTime == v.ColdTime && u.UninformedSince == v.UninformedSince && u.ColdUntil.Equal(v.ColdUntil) && u.OwnColdUntil == v.OwnColdUntil &&
		u.Brittle == v.Brittle && u.Places == v.Places && u.PlaceSharers == v.PlaceSharers &&
		u.RateLimited == v.RateLimited && u.RequestRate == v.RequestRate && u.GoneAt == v.GoneAt
}

// Peer is another entry instance.
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
	// LastHeard is when this instance or one of its peers last heard from the peer, by the
	// local clock; HeardDirectly is when this instance itself did.
	LastHeard     time.Time
	HeardDirectly time.Time
	// ConfigRevision is the revision of the configuration that the peer has in force.
	ConfigRevision int64
	// ConfigConfirmed is when the peer's configuration was last known to be the latest one;
	// zero if that is not known.
	ConfigConfirmed time.Time
	// RegionStatus is the state of the peer's region according to the latest heartbeat.
	RegionStatus RegionStatus
	// AcceptsKeys is true if the peer reports that it can serve requests with API keys.
	AcceptsKeys bool
	// Services are the services of the peer's region, by name.
	Services map[string]ServiceLoad
	// Demands is the demand that the peer last reported; nil if it reported none.
	Demands map[string]float64
	// Counters are shared by all snapshots in which the peer appears; nil in a peer
	// that is not part of a snapshot.
	Counters *Counters
}

// CallerAddress returns the host and port of the peer's caller listener.
func (p *Peer) CallerAddress() string {
	_, address, _ := strings.Cut(p.CallerURL, "://")
	return address
}

// DomainDemand is the demand that callers have at the instances of a failure domain.
type DomainDemand struct {
	FailureDomain string
	// Demands is their total by client account, in units of the account's rate per second.
	Demands map[string]float64
	// Instances is the number of instances of which Demands is the total, without the one that uses it.
	Instances int
	// At is the mean time of their reports, by the local clock.
	At time.Time
}

// evacuatedColdFor is the cold time that is reported to peers for the upstreams of an
// evacuated failure domain. It lasts until the next heartbeats, one of which may be lost.
const evacuatedColdFor = 2500 * time.Millisecond

// ColdFor returns how long peers have to treat the upstream as cold, without what other instances told.
func (u *Upstream) ColdFor(now time.Time) time.Duration {
	cold := time.Duration(max(u.OwnColdUntil-now.UnixNano(), 0))
	if u.Evacuated {
		return max(cold, evacuatedColdFor)
	}
	return cold
}

// SilentFor returns the time since this instance or one of its peers last heard from the peer.
func (p *Peer) SilentFor(now time.Time) time.Duration { return now.Sub(p.LastHeard) }

// ModelSplit divides the traffic of a model between two versions. ServiceSplit does so for a
// service.
type ModelSplit struct {
	// RunningVersion is the version that gets the requests that do not go to Candidate.
	RunningVersion string
	// Candidate is the version under rollout; empty if there is none.
	Candidate string
	// Share is the fraction of requests, from 0 to 1, that goes to Candidate.
	Share float64
	// RolloutID and Step identify the rollout and its step; empty if there is none.
	RolloutID string
	Step      int
}

// Version returns the version that serves a request.
func (s ModelSplit) Version(requestID string) string {
	if s.Candidate != "" && rollout.Selects(requestID, s.Share) {
		return s.Candidate
	}
	return s.RunningVersion
}

// Snapshot is the state from which requests are served. It is immutable after publication.
type Snapshot struct {
	// Region and FailureDomain are those of this instance.
	Region        string
	FailureDomain string
	SelfID        string
	Config        *opconfig.Config
	// ConfigDeltas are the latest deltas in order. The last one leads to Config.Revision.
	ConfigDeltas []opconfig.Delta
	// ConfigConfirmed is when Config was last known to be the latest revision, and
	// ConfigAge the time from then to Published. Both are zero if that is not known.
	ConfigConfirmed time.Time
	ConfigAge       time.Duration
	// ConfigValidUntil is when this instance starts to reject requests with API keys; zero
	// means no limit. With StrictIsolation, it is control.Identity.EffectiveMaxIsolation after
	// ConfigConfirmed. Without, it is that long after ConfigConfirmed or the last response that
	// ends isolation, whichever is later. If there was neither, it is zero without
	// StrictIsolation; with it, a configuration that was never confirmed is already past it.
	ConfigValidUntil time.Time
	// InactiveAccounts are client accounts that the client directory marks as inactive.
	InactiveAccounts map[string]struct{}
	Upstreams        []Upstream
	// ByTarget lists, for each model@version and service, indexes into Upstreams.
	ByTarget map[string][]int32
	// ByHolderID lists the indexes into Upstreams by Counters.HolderID.
	ByHolderID map[uint32]int32
	// Peers are the other entry instances that were recently heard from.
	Peers []Peer
	// ListedPeers are the other entry instances in the instance list, and FormerPeers those
	// that were heard from at some earlier time.
	ListedPeers []membership.Contact
	FormerPeers []membership.Contact
	// ModelSplits divide the traffic of models, by model name.
	ModelSplits map[string]ModelSplit
	// ModelRollouts are the known rollouts of models, sorted by id.
	ModelRollouts []rollout.Rollout
	// RolloutStops are the local stops of this and other instances, sorted by rollout and
	// instance.
	RolloutStops []rollout.Stop
	// PeerSamples are the latest samples that other members reported, by instance id: those of
	// the failure domain or, on instances that serve host routes, all members.
	PeerSamples map[string][]rollout.KeyedSample
	// RemotePeers lists, for each target, the indexes into Peers of those whose region
	// serves it.
	RemotePeers map[string][]int32
	// Quarantined are the requests that are rejected, and the parts of prompts whose requests are.
	Quarantined quarantine.Set
	// StoredQuarantines are the quarantines that the platform's store holds, and RefutedQuarantines
	// those of them that are contradicted and do not apply.
	StoredQuarantines  map[quarantine.Fingerprint]quarantine.Stored
	RefutedQuarantines map[quarantine.Fingerprint]struct{}
	// SuspectedParts holds the number of processes that ended under each suspected part of a prompt,
	// and CompletedParts when requests with such parts last completed.
	SuspectedParts map[quarantine.Fingerprint]int
	CompletedParts map[quarantine.Fingerprint]time.Time
	// ImplicatedParts are the parts of prompts under which enough processes ended for a quarantine, and
	// whether each is contested: other parts, of which those of the same prompts are included, explain these ends
	// as well.
	ImplicatedParts map[quarantine.Fingerprint]bool
	// SharedCrashes are the crashes to report to other instances.
	SharedCrashes []quarantine.Crash
	// Ready is false until a configuration is in force.
	Ready bool
	// ServiceSplits divide the traffic of services, by service name, for which the operators
	// ordered a version, and ServiceRollouts are the rollouts that they ordered.
	ServiceSplits   map[string]ServiceSplit
	ServiceRollouts []rollout.ServiceRollout
	// PeerDemand is the estimated total demand of the peers, by client account, in units of
	// the account's rate per second. PeerDemandAge is the mean age of the underlying
	// reports.
	PeerDemand    map[string]float64
	PeerDemandAge time.Duration
	// DomainDemand is the demand of the other instances of a large failure domain; its Instances are 0 if
	// it is not known. CollectsDemand is true if it is the total of what they reported to this instance.
	DomainDemand   DomainDemand
	CollectsDemand bool
	// InstanceCount is the number of entry instances, listed or live, including this one.
	InstanceCount int
	// Quota holds the division of the rate limits and the slot of this instance.
	Quota quota.SlotState
	// Draining is true after this instance was told to stop.
	Draining bool
	// Published is the time of publication.
	Published time.Time
	// spread is the position of this instance for which BuildIndexes set the preferences.
	spread spreadPosition
	// remoteSizes are the sizes of other regions by target.
	remoteSizes map[string][]regionSize
}

// ConfigStale reports whether the configuration is too old to authenticate API keys with it.
func (s *Snapshot) ConfigStale(now time.Time) bool {
	return !s.ConfigValidUntil.IsZero() && now.After(s.ConfigValidUntil)
}

// outdated reports whether the process did not run for so long that reports of other instances may have missed it.
func (s *Snapshot) outdated(now int64) bool {
	return !s.Published.IsZero() && now-s.Published.UnixNano() > int64(MaxReportTime)
}

// BuildIndexes fills ByTarget, ByHolderID, the preferences and the sizes of other regions from Upstreams and
// Peers. It is called once, before publication.
func (s *Snapshot) BuildIndexes() {
	s.ByTarget = make(map[string][]int32)
	s.ByHolderID = make(map[uint32]int32, len(s.Upstreams))
	for i := range s.Upstreams {
		s.ByHolderID[s.Upstreams[i].Counters.HolderID()] = int32(i)
		s.Upstreams[i].idHash = xxhash.Sum64String(s.Upstreams[i].ID)
		for _, target := range s.Upstreams[i].Targets {
			s.ByTarget[target] = append(s.ByTarget[target], int32(i))
		}
	}
	s.spread = s.spreadPosition()
	s.setPreferences()
	s.indexRegions()
}

// ShareIndexes takes what BuildIndexes would make from the previous snapshot. It reports whether that holds: both
// share their upstreams, and the peers have not moved this instance among those that divide the upstreams.
func (s *Snapshot) ShareIndexes(previous *Snapshot) bool {
	shared := SharesElements(s.Upstreams, previous.Upstreams)
	if s.spread = s.spreadPosition(); !shared || s.spread != previous.spread {
		return false
	}
	s.ByTarget, s.ByHolderID = previous.ByTarget, previous.ByHolderID
	if s.remoteSizes = previous.remoteSizes; !SharesElements(s.Peers, previous.Peers) {
		s.indexRegions()
	}
	return true
}

// SharesElements reports whether two lists have the same length and memory.
func SharesElements[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
