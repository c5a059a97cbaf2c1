package control

import (
	"cmp"
	"maps"
	"slices"
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

// Event is an input to the control state.
type Event interface {
	apply(t *tables, now time.Time)
}

// ConfigEvent delivers a revision of the operators' configuration. A revision that is
// not higher than the current one is ignored.
type ConfigEvent struct {
	Config *opconfig.Config
	// Deltas are the ordered deltas that produced Config; empty if Config was read as a
	// base.
	Deltas []opconfig.Delta
	// ConfirmedAt is when Config was last known to be the latest revision; zero if unknown.
	ConfirmedAt time.Time
}

func (e ConfigEvent) apply(t *tables, now time.Time) {
	if e.Config.Revision > t.config.Revision {
		if !maps.Equal(e.Config.FailureDomains, t.config.FailureDomains) {
			t.division = quota.NewDivision(e.Config)
		}
		if t.config.Revision == 0 {
			t.configuredAt = now
		}
		t.config = e.Config
		t.publishing.peersChanged = true
		t.history.extend(e.Config.Revision, e.Deltas)
	}
	t.confirm(e.Config.Revision, e.ConfirmedAt)
}

// ConfigConfirmedEvent reports that, according to the key-value service, Revision was the
// latest configuration revision at time At.
type ConfigConfirmedEvent struct {
	Revision int64
	At       time.Time
}

func (e ConfigConfirmedEvent) apply(t *tables, _ time.Time) { t.confirm(e.Revision, e.At) }

// confirm records that revision was the latest one at the given time. The
// confirmation is ignored unless this instance has that revision or a later one.
func (t *tables) confirm(revision int64, at time.Time) {
	if revision <= t.config.Revision && at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}

// DirectoryEvent delivers the client accounts that the client directory marks as
// inactive. They are treated as suspended until the next event.
type DirectoryEvent struct {
	Inactive map[string]struct{}
}

func (e DirectoryEvent) apply(t *tables, _ time.Time) { t.inactive = e.Inactive }

// InstancesEvent delivers the current contents of the platform's instance list.
type InstancesEvent struct {
	Instances []external.Instance
}

func (e InstancesEvent) apply(t *tables, now time.Time) {
	listed := make(map[string]bool, len(e.Instances))
	t.listedInstances = map[string]external.Instance{}
	selfListed := false
	for _, instance := range e.Instances {
		selfListed = selfListed || (instance.Role == external.RoleEntry && instance.ID == t.identity.ID)
		if instance.Role == external.RoleEntry && instance.ID != t.identity.ID {
			t.listedInstances[instance.ID] = instance
		}
		if instance.Role == external.RoleEntry || instance.Region != t.identity.Region {
			continue
		}
		listed[instance.ID] = true
		t.setUpstream(instance, now)
	}
	if t.coldSendsFrom.IsZero() {
		t.pauseColdSends(selfListed, now)
	}
	t.listedChanges++
	t.publishing.peersChanged = true
	t.listedContacts = entryContacts(t.listedInstances)
	t.unlistUpstreams(listed, now)
	t.sortedUpstreams = slices.SortedFunc(maps.Values(t.upstreams), func(a, b *upstreamRow) int {
		return strings.Compare(a.instance.ID, b.instance.ID)
	})
}

// rateRetention is how long the row of an upstream that named a request rate is kept while it is not
// listed.
const rateRetention = 10 * time.Second

// leavingRetention is how long the row of an upstream that said it leaves is kept while it is not listed. A store
// that is restored from a copy may list it again.
const leavingRetention = time.Minute

// unlistUpstreams removes the upstreams that are not listed. The rows of cold ones are kept until
// they would be warm, those of upstreams that name a request rate for rateRetention, and those of upstreams
// that said they leave for leavingRetention, because a row can be missing for a moment.
func (t *tables) unlistUpstreams(listed map[string]bool, now time.Time) {
	for id, row := range t.upstreams {
		if listed[id] {
			continue
		}
		delete(t.upstreams, id)
		row.keptUntil = row.coldUntil
		if _, named := row.counters.NamedRate(); named {
			row.keptUntil = latest(row.coldUntil, now.Add(rateRetention))
		}
		if row.counters.SaysLeaving() {
			row.keptUntil = latest(row.keptUntil, now.Add(leavingRetention))
		}
		row.counters.RecordUnlisted(now)
		t.unlisted[id] = row
	}
	maps.DeleteFunc(t.unlisted, func(_ string, row *upstreamRow) bool { return !now.Before(row.keptUntil) })
}

// relist returns the row of an upstream that was kept when it was no longer listed, if there is one, and
// lists it again.
func (t *tables) relist(id string) (*upstreamRow, bool) {
	row, ok := t.unlisted[id]
	if ok {
		t.upstreams[id] = row
		delete(t.unlisted, id)
	}
	return row, ok
}

// formerRowGrace is how long after the row of a process that of an earlier one is not believed. A write to the store may
// take effect seconds after it was sent. A later process has an earlier start if its clock was set back.
const formerRowGrace = 10 * time.Second

func (t *tables) setUpstream(instance external.Instance, now time.Time) {
	row, ok := t.upstreams[instance.ID]
	if !ok {
		row, ok = t.relist(instance.ID)
	}
	isFormer := ok && instance.StartedAtUnixMilli > 0 && instance.StartedAtUnixMilli < row.instance.StartedAtUnixMilli
	if isFormer && now.Sub(row.firstListedAt) < formerRowGrace {
		row.counters.RequireCheck(now)
		return
	}
	if !ok || row.instance.Address != instance.Address || row.instance.StartedAtUnixMilli != instance.StartedAtUnixMilli {
		counters := &routing.Counters{}
		if ok {
			counters = row.counters.Successor()
			if row.instance.Address == instance.Address {
				counters.KeepStatements(row.counters, now)
			}
			candidate := rollout.ServiceRollout{Service: instance.Service, Version: instance.Version}
			if row.instance.Version == instance.Version && t.serviceRolloutActive(candidate.ID()) {
				counters.KeepFailedAttempts(row.counters)
			}
		}
		next := &upstreamRow{counters: counters, restarted: ok, firstListedAt: now}
		if isFormer {
			next.coldUntil, next.ownColdUntil = row.coldUntil, row.ownColdUntil
		}
		row = next
		if instance.Role == external.RoleService {
			row.counters.LearnFrom(t.estimatesOf(instance.Service))
		}
		row.counters.UpSince.Store(now.UnixNano())
		t.upstreams[instance.ID] = row
	}
	if instance.ColdFor > 0 {
		row.setCold(instance.ListedAt.Add(instance.ColdFor))
	}
	row.recordEnd(instance, now)
	row.instance = instance
	row.service = []string{instance.Service}
}

// goneRetention is how long the announced end of a process is remembered after it, if its row no longer names it. The row
// of a store that was restored from a copy may be older than the announcement.
const goneRetention = 4 * time.Second

// recordEnd records when the process ends, as its row says. The earliest time counts: a row that is read again, or is
// written again without a change, does not extend it.
func (row *upstreamRow) recordEnd(instance external.Instance, now time.Time) {
	if instance.GoneAfter > 0 {
		read := instance.ListedAt
		if read.IsZero() {
			read = now
		}
		if at := read.Add(instance.GoneAfter); row.goneAt.IsZero() || at.Before(row.goneAt) {
			row.goneAt = at
		}
	} else if !row.goneAt.IsZero() && now.Sub(row.goneAt) > goneRetention {
		row.goneAt = time.Time{}
	}
}

// KnownMember is a member from which the sender of a heartbeat received a message.
type KnownMember struct {
	Peer        routing.Peer
	Incarnation int64
	// SilentFor is the time since the sender last received a message from it.
	SilentFor time.Duration
}

// HeartbeatEvent reports a heartbeat, or the response to one, from an entry instance.
type HeartbeatEvent struct {
	Peer        routing.Peer
	Incarnation int64
	// RequestSentAt is when this instance sent the heartbeat to which the peer responded; zero
	// if the peer initiated the heartbeat. Only a response shows when the peer was
	// reachable, because a message may be queued while this process is paused.
	RequestSentAt time.Time
	// RoundTrip is the time from RequestSentAt to the response; 0 if the peer initiated the
	// heartbeat.
	RoundTrip time.Duration
	// ConfigConfirmedAt is when the peer's configuration was last known to be the latest
	// revision, by the local clock; zero if unknown.
	ConfigConfirmedAt time.Time
	// KnownMembers lists members from which the peer received messages.
	KnownMembers []KnownMember
	// Demands is the peer's current demand by client account, and Services the load of
	// the services in its region; nil if the message carries none.
	Demands  map[string]float64
	Services map[string]routing.ServiceLoad
	// ColdFor holds the remaining cold time of upstreams in the peer's region, by id, and ReceivedAt is when the peer
	// told it; zero for the time at which the event is applied.
	ColdFor    map[string]time.Duration
	ReceivedAt time.Time
	// Ended holds the upstreams in the peer's region that ended, or may have started again, as far as the peer knows.
	Ended []string
	// News are what the peer heard of the members of its failure domain.
	News []MemberNews
	// DomainDemand is the demand of the peer's failure domain; its FailureDomain is empty if the message
	// carries none.
	DomainDemand routing.DomainDemand
}

// MemberNews are what a peer heard of a member, and whether that can serve requests with keys.
type MemberNews struct {
	membership.News
	AcceptsKeys bool
}

func (e HeartbeatEvent) apply(t *tables, now time.Time) {
	if e.Peer.ID == t.identity.ID {
		return
	}
	previous, _ := t.members.Get(e.Peer.ID)
	outcome := t.members.RecordHeartbeat(now, memberOf(e.Peer, e.Incarnation))
	if outcome == membership.Outdated {
		return
	}
	if outcome != membership.Known || previous.Suspect || previous.Draining != e.Peer.Draining || previous.ConfigRevision != e.Peer.ConfigRevision || previous.Slot != e.Peer.Slot {
		t.publishing.peersChanged = true
	}
	t.recordOutsideResponse(e.Peer, e.RequestSentAt)
	if e.Peer.Region == t.identity.Region {
		t.reports.respondedAt = latest(t.reports.respondedAt, e.RequestSentAt)
	}
	t.mergeCold(e.ColdFor, e.RequestSentAt, cmp.Or(e.ReceivedAt, now))
	t.suspectEnded(e.Ended, now)
	t.recordReport(e, now)
	if row := t.confirmations[e.Peer.ID]; e.ConfigConfirmedAt.After(row.at) {
		t.confirmations[e.Peer.ID] = confirmation{revision: e.Peer.ConfigRevision, at: e.ConfigConfirmedAt}
	}
	t.recordNews(e.News, now)
	t.recordDomainDemand(e.DomainDemand)
	for _, known := range e.KnownMembers {
		if known.Peer.ID != t.identity.ID {
			t.members.RecordGossip(now, now.Add(-known.SilentFor), memberOf(known.Peer, known.Incarnation))
		}
	}
}

// roundTripGain is the weight of one sample in the moving average of round-trip times.
const roundTripGain = 0.3

// recordReport stores what the peer reported about its region, and updates the
// round-trip average if the event is a response.
func (t *tables) recordReport(e HeartbeatEvent, now time.Time) {
	row := t.peerRow(e.Peer.ID)
	roundTrip := row.status.RoundTripSeconds
	if trip := e.RoundTrip.Seconds(); trip > 0 && roundTrip == 0 {
		roundTrip = trip
	} else if trip > 0 {
		roundTrip += roundTripGain * (trip - roundTrip)
	}
	if e.Services != nil {
		t.publishing.peersChanged = t.publishing.peersChanged || row.services == nil || row.acceptsKeys != e.Peer.AcceptsKeys
		row.services, row.acceptsKeys = e.Services, e.Peer.AcceptsKeys
	}
	if e.Demands != nil {
		row.demands, row.reportedAt = e.Demands, now
	}
	row.status = e.Peer.RegionStatus
	row.status.RoundTripSeconds = roundTrip
}

// recordNews records what a peer heard of the members of its failure domain.
func (t *tables) recordNews(news []MemberNews, now time.Time) {
	for _, n := range news {
		m, changed := t.members.RecordNews(now, n.News)
		if m == nil {
			continue
		}
		row := t.peerRow(m.ID)
		t.publishing.peersChanged = t.publishing.peersChanged || changed || row.acceptsKeys != n.AcceptsKeys
		row.acceptsKeys = n.AcceptsKeys
	}
}

// recordOutsideResponse records a response that ends isolation: one from another region or, if
// no other region is known, from another failure domain.
func (t *tables) recordOutsideResponse(p routing.Peer, sentAt time.Time) {
	t.otherRegionKnown = t.otherRegionKnown || p.Region != t.identity.Region
	outside := p.Region != t.identity.Region || (!t.otherRegionKnown && p.FailureDomain != t.identity.FailureDomain)
	if outside && sentAt.After(t.lastOutsideResponse) {
		t.lastOutsideResponse = sentAt
	}
}

func memberOf(p routing.Peer, incarnation int64) membership.Member {
	return membership.Member{
		ID:             p.ID,
		Region:         p.Region,
		FailureDomain:  p.FailureDomain,
		PeerAddress:    p.PeerAddress,
		CallerURL:      p.CallerURL,
		OperatorURL:    p.OperatorURL,
		Incarnation:    incarnation,
		ConfigRevision: p.ConfigRevision,
		Draining:       p.Draining,
		Slot:           p.Slot,
	}
}

// SlotEvent reports the slot that this instance holds.
type SlotEvent struct {
	Claim slotclaim.Claim
}

func (e SlotEvent) apply(t *tables, _ time.Time) { t.claim = e.Claim }

// LoadEvent delivers the load that an upstream reported.
type LoadEvent struct {
	Upstream string
	Load     external.Load
}

func (e LoadEvent) apply(t *tables, _ time.Time) {
	if row, ok := t.upstreams[e.Upstream]; ok {
		row.load = e.Load
	}
}

// CrashEvent reports an upstream crash that this instance observed.
type CrashEvent struct {
	Crash quarantine.Crash
}

func (e CrashEvent) apply(t *tables, now time.Time) { t.crashes.Add(now, e.Crash) }

// CrashesEvent reports upstream crashes that another instance knows.
type CrashesEvent struct {
	Crashes []quarantine.Crash
}

func (e CrashesEvent) apply(t *tables, now time.Time) {
	for _, c := range e.Crashes {
		t.crashes.Add(now, c)
	}
}

// PartsCompletedEvent reports when requests with suspected parts in their prompts completed, observed
// by this instance or by another one.
type PartsCompletedEvent struct {
	// Completed holds the time of the latest completion by part, by the clock of this instance.
	Completed map[quarantine.Fingerprint]time.Time
}

func (e PartsCompletedEvent) apply(t *tables, _ time.Time) {
	for part, at := range e.Completed {
		t.crashes.Complete(part, at)
	}
}

// StoredQuarantinesEvent delivers the quarantines that the store holds.
type StoredQuarantinesEvent struct {
	Quarantines map[quarantine.Fingerprint]quarantine.Stored
}

func (e StoredQuarantinesEvent) apply(t *tables, _ time.Time) { t.crashes.SetStored(e.Quarantines) }

// DrainEvent puts the instance into draining, in which it accepts no new requests.
type DrainEvent struct{}

func (DrainEvent) apply(t *tables, _ time.Time) { t.draining = true }
