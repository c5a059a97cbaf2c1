package routing

// In this file, a service is one that host routes lead to. Besides the choice of an upstream,
// the file decides when an upstream counts as stalled, when a request is rejected because of
// overload, and when it spills to another region.

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"heatherloom/internal/errkind"
	"heatherloom/internal/estimate"
	"heatherloom/internal/rollout"
)

// PromptPart is one part of a prompt. Requests with the same leading parts can reuse what
// an upstream has cached of them.
type PromptPart struct {
	ID     uint64
	Tokens int64
}

// ServiceRequest holds the properties of a request on a host route that routing depends on.
type ServiceRequest struct {
	// AllowedRegions are the regions that may run the request; empty for any.
	AllowedRegions []string
	// FirstByteObjective is the latency objective for the first byte of the response.
	FirstByteObjective time.Duration
	// Parts are the parts of the prompt; Request.Prefix has a hash for each of them.
	Parts []PromptPart
	// Remaining is the time until the deadline.
	Remaining time.Duration
}

// ServiceSplit divides the requests of a service between two versions.
type ServiceSplit struct {
	// Candidate is the version under rollout, and RolloutID the id of the rollout.
	Candidate string
	RolloutID string
	// Share is the fraction of requests, from 0 to 1, that goes to the candidate.
	Share float64
}

// allows reports whether a request with the given id may run on a version.
func (v ServiceSplit) allows(requestID, version string) bool {
	if v.Candidate == "" {
		return true
	}
	return (version == v.Candidate) == v.selects(requestID)
}

// selects reports whether a request with the given id belongs to the candidate.
func (v ServiceSplit) selects(requestID string) bool {
	return v.Candidate != "" && rollout.Selects(requestID, v.Share)
}

const (
	// stallTimeout is how long an upstream with pending requests may send no first byte before
	// it counts as stalled, which texts for operators call silent, and gets no further requests
	// of host routes: half of the shortest objective of a stream.
	stallTimeout = 400 * time.Millisecond
	// serviceSecondsPerToken is the assumed time to compute a prompt token. The slower of
	// the two sites prefills 56,600 tokens per second; 45,000 leaves a margin.
	serviceSecondsPerToken = 1.0 / 45000
	// runningDelaySeconds is how much each running request delays the first token of a new
	// one.
	runningDelaySeconds = 0.0015
	// batchSlotTurnoverSeconds is the time between two completions in a full batch of an engine:
	// 64 responses of up to 400 tokens, at steps of 10 to 45 ms.
	batchSlotTurnoverSeconds = 0.1
	// plainRequestSeconds is the estimated service time of a request to a service that is
	// not a model engine.
	plainRequestSeconds = 0.02
	// sharedMissFactor multiplies the time to compute the shared parts of a prompt at an
	// upstream that has not cached them: computing them also delays other requests there
	// and evicts parts that those would have reused.
	sharedMissFactor = 2.5
	// failurePenaltySeconds is the additional cost of an upstream that fails all requests.
	failurePenaltySeconds = 2.0
	// spillMarginSeconds is how much faster another region has to be before a request leaves
	// its own: forwarding costs bandwidth, and reports of other regions are a second old.
	spillMarginSeconds = 0.1
	// localObjectiveShare is the fraction of the objective up to which the estimate of the
	// local region is always good enough.
	localObjectiveShare = 0.25
)

// ServicePolicy chooses where requests on host routes run: at the upstream with the
// shortest estimated time to the first byte, or via an entry instance of another region
// whose estimate is clearly shorter. An instance that can send to no upstream of its region also uses the
// others of its region.
type ServicePolicy struct {
	Index *PrefixIndex
	// Rejections counts the requests without an upstream or room; nil to ignore them.
	Rejections *Rejections
}

// Name implements Policy.
func (ServicePolicy) Name() string { return "service" }

// Pick implements Policy.
func (p ServicePolicy) Pick(s *Snapshot, r *Request, x *Scratch) (Choice, error) {
	choice, err := p.pick(s, r, x)
	if err != nil {
		p.Rejections.record(r, err)
	}
	return choice, err
}

func (p ServicePolicy) pick(s *Snapshot, r *Request, x *Scratch) (Choice, error) {
	best := scoredUpstream{index: none}
	x.shared = locateSharedParts(s, r)
	if len(r.Service.AllowedRegions) == 0 || slices.Contains(r.Service.AllowedRegions, s.Region) {
		x.found = p.Index.matches(r.Now, r.Prefix, x.matches[:0])
		split := s.ServiceSplits[r.Target]
		p.cheapestUpstream(s, r, x, split, &best)
		if best.index == none && split.selects(r.ID) {
			// No upstream of the candidate is available; use the running version.
			split.Share = 0
			p.cheapestUpstream(s, r, x, split, &best)
		}
	}
	peer, remote := cheapestPeer(s, r, x, needsOwnRegion(s, r))
	if err := rejectOverload(s, r, &best, peer); err != nil {
		return Choice{}, err
	}
	if peer != none && (best.index == none || best.overloaded || shouldSpill(best.cost, remote, r.Service.FirstByteObjective) || x.shared.shouldForward(s, &s.Peers[peer], &best, remote)) {
		return Choice{Upstream: none, Peer: peer, PrefillTokens: r.PromptTokens}, nil
	}
	if best.index == none {
		return Choice{}, noServiceUpstreamError(s, r)
	}
	u := &s.Upstreams[best.index]
	if !u.TakeRequest(r.Now) {
		return Choice{}, noServiceUpstreamError(s, r)
	}
	counted := u.Cold || u.MayBecomeCold
	if counted && !u.reserveSend(r.Now, s.outdated(r.Now)) {
		return Choice{}, noServiceUpstreamError(s, r)
	}
	return Choice{Upstream: best.index, Peer: none, PrefillTokens: best.tokens, QueuedTokens: best.queued, ColdReserved: counted}, nil
}

const (
	// maxWaitShare is the fraction of the objective that the estimated queueing time may
	// take. Estimates ignore the tokens that are decoded between the chunks of a prompt,
	// which delay the first byte by a factor of up to 2.5.
	maxWaitShare = 0.4
	// fewInstances is up to how many instances know most of a queue from their own requests. With more of them and
	// learned estimates, the share is smaller, down to minWaitShare: queues go on growing for as long as reports
	// are old, and with 64 instances a share of 0.4 halves what is in time at 1.4 times what the engines can do.
	// At peers it applies to the queue only: the way to another region may take longer.
	fewInstances = 8
	minWaitShare = 0.15
	// maxRetryAfter limits the retry delay that a rejected caller is told.
	maxRetryAfter = 2 * time.Second
)

// rejectOverload returns an error for a request that would be queued for too long at the best upstream of
// the region and at that of the peer, if there is one. Serving it late would delay the requests behind it
// as well: without this check, nearly all responses were cut off at their deadlines under overload.
//
// An instance that reaches no upstream leaves the decision to the peer, which decides as for its own callers:
// what peers reported is older than what they see, and a request would have to pass both. What a first peer
// rejected has had that chance, and goes to a second one only if this has reported room.
//
// It sets best.overloaded if the request may not be queued at the best upstream, but at that of the peer.
func rejectOverload(s *Snapshot, r *Request, best *scoredUpstream, peer int32) error {
	if r.Service.FirstByteObjective == 0 || len(r.Service.Parts) == 0 || (!reachesUpstream(s, r) && !triedPeer(s, r)) {
		return nil
	}
	objective := r.Service.FirstByteObjective.Seconds()
	wait, limit := -1.0, maxWaitShare*objective
	if best.index != none {
		wait = best.queueSeconds
		if s.Upstreams[best.index].Counters.learns() {
			limit = learnedWaitShare(s.InstanceCount) * objective
		}
	}
	if best.index != none && wait <= limit {
		return nil
	}
	if peer != none {
		remoteQueue := s.Peers[peer].Services[r.Target].QueueSeconds
		remoteWait := forwardSeconds(&s.Peers[peer], r) + remoteQueue
		if remoteWait <= maxWaitShare*objective && remoteQueue <= limit {
			best.overloaded = limit < maxWaitShare*objective
			return nil
		}
		if wait < 0 || remoteWait < wait {
			wait = remoteWait
		}
	}
	if wait <= limit {
		return nil
	}
	err := errkind.New(errkind.Overloaded, "the estimated queueing time at the engines of %q is %.0f ms, which exceeds the limit of %.0f ms",
		r.Target, wait*1000, limit*1000)
	err.RetryAfter = min(time.Duration((wait-limit)*float64(time.Second))+retryAfterMargin, maxRetryAfter)
	return err
}

// learnedWaitShare is maxWaitShare for learned estimates of the given number of instances.
func learnedWaitShare(instances int) float64 {
	return max(maxWaitShare*fewInstances/float64(max(instances, fewInstances)), minWaitShare)
}

// retryAfterMargin is added to the time in which the queue is expected to drain to the limit.
const retryAfterMargin = 100 * time.Millisecond

// shouldSpill reports whether a request is forwarded to another region, given the estimates
// in seconds.
func shouldSpill(local, remote float64, objective time.Duration) bool {
	return local > localObjectiveShare*objective.Seconds() && local > remote+spillMarginSeconds
}

// cheapestUpstream stores the allowed upstream of the local region with the lowest cost in
// best.
func (p ServicePolicy) cheapestUpstream(s *Snapshot, r *Request, x *Scratch, split ServiceSplit, best *scoredUpstream) {
	candidates := s.ByTarget[r.Target]
	if len(candidates) == 0 {
		return
	}
	start := x.rng.IntN(len(candidates))
	owner := sharedOwner(s, r, candidates)
	outdated := s.outdated(r.Now)
	shared := x.shared.tokens
	view := s.Upstreams[candidates[0]].Counters.view(r.Now)
	for k := range candidates {
		i := candidates[(start+k)%len(candidates)]
		u := &s.Upstreams[i]
		if !allowsService(u, r, split, outdated) {
			continue
		}
		cached := p.cachedTokens(u, r, x)
		assumedCached := int64(0)
		if i == owner {
			assumedCached = max(shared-cached, 0)
			cached += assumedCached
		}
		tokens := r.PromptTokens - cached
		factor := view.TimeFactorOf(&u.Counters.learned)
		cost, queued := upstreamCost(u, r.Now, tokens, view, factor)
		cost += (sharedMissFactor - 1) * float64(max(shared-cached, 0)) * serviceSecondsPerToken * factor
		if best.index == none || cost < best.cost {
			*best = scoredUpstream{index: i, cost: cost, tokens: tokens, queued: queued, queueSeconds: float64(queued) * serviceSecondsPerToken * factor, assumedCached: assumedCached}
		}
	}
}

// sharedOwner returns the upstream that, by rendezvous hashing, all instances of the region
// prefer for requests with the same shared parts unless it is busy. All parts but the last
// are shared. An instance only knows what it sent itself, so without a common owner each
// instance would have the parts computed at a different upstream.
func sharedOwner(s *Snapshot, r *Request, candidates []int32) int32 {
	if len(r.Prefix) < 2 {
		return none
	}
	key := r.Prefix[len(r.Prefix)-2]
	owner, heaviest := none, uint64(0)
	for _, i := range candidates {
		u := &s.Upstreams[i]
		if !u.CachesPrompts || u.Draining || u.Down || u.Evacuated || u.GoneAt != 0 {
			continue
		}
		if weight := fmix64(key ^ u.idHash); owner == none || weight > heaviest {
			owner, heaviest = i, weight
		}
	}
	return owner
}

// fmix64 is the finalizer of MurmurHash3. It mixes the bits of a hash.
func fmix64(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// cachedTokens returns the number of prompt tokens that the upstream has probably cached.
func (p ServicePolicy) cachedTokens(u *Upstream, r *Request, x *Scratch) int64 {
	holder := u.Counters.HolderID()
	for _, m := range x.found {
		if m.holder != holder {
			continue
		}
		tokens := int64(0)
		for _, part := range r.Service.Parts[:min(m.blocks, len(r.Service.Parts))] {
			tokens += part.Tokens
		}
		return min(tokens, r.PromptTokens)
	}
	return 0
}

// allowsService filters upstreams for requests on host routes.
func allowsService(u *Upstream, r *Request, split ServiceSplit, outdated bool) bool {
	if !allowsUpstream(u, r) || u.Evacuated || !u.endsInTime(r.Now, r.Service.Remaining) || u.Counters.PausedFor(r.Now) > 0 || u.Counters.Stalled(r.Now, stallTimeout) {
		return false
	}
	if (u.Cold || u.MayBecomeCold) && !u.allowsSend(r.Now, outdated) {
		return false
	}
	return u.hasRoom(r.Now) && u.untilRateAllows(r.Now) == 0 && split.allows(r.ID, u.Version)
}

// upstreamCost returns the estimated time to the first byte in seconds, with the cost of
// recent failures, and the number of prompt tokens queued ahead of the request. factor is what the upstream takes for
// a prompt token relative to serviceSecondsPerToken.
func upstreamCost(u *Upstream, now, tokens int64, view estimate.View, factor float64) (cost float64, queued int64) {
	running, waiting := u.Counters.otherInstances(now, view)
	failureCost := failurePenaltySeconds * u.Counters.FailureRate()
	if !u.CachesPrompts {
		queue := u.Counters.InFlight.Load() + running + waiting
		return plainRequestSeconds*float64(queue)/float64(max(u.MaxConcurrency, 1)) + failureCost, 0
	}
	queued = u.Counters.PendingTokens.Load() + int64(float64(waiting)*u.Counters.MeanPrefillTokens())
	queued += batchSlotWaitTokens(u, u.Counters.InFlight.Load()+running+waiting)
	running += u.Counters.InFlight.Load() - u.Counters.Pending.Load()
	return float64(queued+tokens)*serviceSecondsPerToken*factor + runningDelaySeconds*float64(running) + failureCost, queued
}

// batchSlotWaitTokens returns the wait for a free place in the batch of an engine as the number
// of prompt tokens that could be computed in that time.
func batchSlotWaitTokens(u *Upstream, occupied int64) int64 {
	over := occupied - int64(u.MaxConcurrency) + 1
	if u.MaxConcurrency == 0 || over <= 0 {
		return 0
	}
	return int64(float64(over) * batchSlotTurnoverSeconds / serviceSecondsPerToken)
}

// reachesUpstream reports whether an upstream of the service in the region has responded and is not paused. One
// that is only slow is reached.
func reachesUpstream(s *Snapshot, r *Request) bool {
	return slices.ContainsFunc(s.ByTarget[r.Target], func(i int32) bool {
		u := &s.Upstreams[i]
		return !u.Draining && !u.Evacuated && !u.Down && u.Counters.Responded()
	})
}

// triedPeer reports whether a peer has already rejected the request or failed.
func triedPeer(s *Snapshot, r *Request) bool {
	return slices.ContainsFunc(s.Peers, func(p Peer) bool { return contains(r.Tried, p.ID) })
}

// maxPlaceTries is the number of tries for which another instance is asked for a place at a brittle upstream.
const maxPlaceTries = 2

// needsOwnRegion reports whether this instance can send to no upstream of the service in its region because
// it reaches none, or has no place left at brittle ones. Other instances of the region may. For a
// place at most maxPlaceTries are asked, as the others are likely to be full then.
func needsOwnRegion(s *Snapshot, r *Request) bool {
	listed := 0
	for _, i := range s.ByTarget[r.Target] {
		u := &s.Upstreams[i]
		if u.Draining || u.Evacuated {
			continue
		}
		if !u.Down && !u.Counters.Stalled(r.Now, stallTimeout) && (u.hasRoom(r.Now) || len(r.Tried) >= maxPlaceTries) {
			return false
		}
		listed++
	}
	return listed > 0
}

// cheapestPeer returns the peer of another region, or also of this one, with the shortest estimated time
// to the first byte, and that time in seconds.
func cheapestPeer(s *Snapshot, r *Request, x *Scratch, ownRegion bool) (int32, float64) {
	chosen := none
	cheapest := 0.0
	if !mayForward(r) || len(s.Peers) == 0 {
		return none, 0
	}
	start := x.rng.IntN(len(s.Peers))
	for k := range s.Peers {
		i := (start + k) % len(s.Peers)
		peer := &s.Peers[i]
		if peer.Suspect || !acceptsForward(peer, r) || (peer.Region == s.Region && !ownRegion) {
			continue
		}
		if len(r.Service.AllowedRegions) > 0 && !slices.Contains(r.Service.AllowedRegions, peer.Region) {
			continue
		}
		load, serves := peer.Services[r.Target]
		if !serves || load.Upstreams == 0 {
			continue
		}
		seconds := load.WaitSeconds + forwardSeconds(peer, r) + x.shared.prefillSeconds(r, peer.Region)
		if chosen == none || seconds < cheapest {
			chosen, cheapest = int32(i), seconds
		}
	}
	return chosen, cheapest
}

// ExpectedFirstByte returns the estimated time to the first byte of a request that is
// routed by c.
func (c Choice) ExpectedFirstByte() time.Duration {
	return time.Duration(float64(c.QueuedTokens+c.PrefillTokens) * serviceSecondsPerToken * float64(time.Second))
}

// forwardSeconds is the time that a forward takes beyond what the peer reports: the round trip, and the
// wait that requests forwarded by this instance add to its region until it reports them.
func forwardSeconds(p *Peer, r *Request) float64 {
	pending := float64(p.Counters.PendingTokens.Load()) * serviceSecondsPerToken
	return p.RegionStatus.RoundTripSeconds + pending/float64(p.Services[r.Target].Upstreams)
}

// ServiceLoad is the load of a service in the region of the instance that reports it.
type ServiceLoad struct {
	// Upstreams is the number of available upstreams.
	Upstreams int
	// WaitSeconds is the mean of the estimated times to the first byte.
	WaitSeconds float64
	// QueueSeconds is the shortest estimated time in the queue of an upstream.
	QueueSeconds float64
}

// majority reports whether most requests run on a version.
func (v ServiceSplit) majority(version string) bool {
	return v.Candidate == "" || (version == v.Candidate) == (v.Share > 0.5)
}

// maxReportedRateWait is the wait for the next request that an upstream's rate allows up to which it counts
// as available: the time between two reports to other regions.
const maxReportedRateWait = time.Second

// ServiceLoads returns the load of each service in the local region at the given time. Upstreams
// of a version that gets only a small share of the requests do not count.
func (s *Snapshot) ServiceLoads(now int64) map[string]ServiceLoad {
	loads := map[string]ServiceLoad{}
	for target, candidates := range s.ByTarget {
		var load ServiceLoad
		total := 0.0
		view := estimate.Fixed()
		if len(candidates) > 0 {
			view = s.Upstreams[candidates[0]].Counters.view(now)
		}
		for _, i := range candidates {
			u := &s.Upstreams[i]
			if u.Draining || u.Down || u.Evacuated || u.Cold || u.Counters.PausedFor(now) > 0 || !u.hasRoom(now) || u.Counters.Stalled(now, stallTimeout) || !s.ServiceSplits[target].majority(u.Version) || !u.endsInTime(now, 0) {
				continue
			}
			untilAllowed := u.untilRateAllows(now)
			if untilAllowed > maxReportedRateWait {
				continue
			}
			factor := view.TimeFactorOf(&u.Counters.learned)
			cost, queued := upstreamCost(u, now, 0, view, factor)
			queue := untilAllowed.Seconds() + float64(queued)*serviceSecondsPerToken*factor
			if load.Upstreams == 0 || queue < load.QueueSeconds {
				load.QueueSeconds = queue
			}
			total += untilAllowed.Seconds() + cost - failurePenaltySeconds*u.Counters.FailureRate()
			load.Upstreams++
		}
		if load.Upstreams > 0 {
			load.WaitSeconds = total / float64(load.Upstreams)
			loads[target] = load
		}
	}
	return loads
}

// noServiceUpstreamError returns the error for a request without a remaining candidate.
func noServiceUpstreamError(s *Snapshot, r *Request) error {
	if len(r.Service.AllowedRegions) > 0 && !slices.Contains(r.Service.AllowedRegions, s.Region) {
		return errkind.New(errkind.HomeUnavailable, "the data must stay in the regions %v, none of which can serve %q now", r.Service.AllowedRegions, r.Target)
	}
	if u := firstAllowedByRate(s, r); u != nil {
		err := errkind.New(errkind.Overloaded, "the upstreams of %q take no more requests now: %s", r.Target, exclusionSummary(s, r))
		err.RetryAfter = min(u.Counters.said().rate.announce(r.Now, u.RequestRate)+retryAfterMargin, maxRetryAfter)
		return err
	}
	if wait, ok := shortestPause(s, r); ok {
		err := errkind.New(errkind.Overloaded, "the upstreams of %q take no more requests now: %s", r.Target, exclusionSummary(s, r))
		err.RetryAfter = wait + retryAfterMargin
		return err
	}
	if hasFullUpstream(s, r) {
		err := errkind.New(errkind.Overloaded, "the upstreams of %q take no more requests now: %s", r.Target, exclusionSummary(s, r))
		err.RetryAfter = brittleRetryAfter + rand.N(brittleRetryAfter)
		return err
	}
	return errkind.New(errkind.NoUpstream, "no upstream can serve %q now: %s", r.Target, exclusionSummary(s, r))
}

// hasFullUpstream reports whether an upstream is left out only because it is brittle and its places are taken.
func hasFullUpstream(s *Snapshot, r *Request) bool {
	return slices.ContainsFunc(s.ByTarget[r.Target], func(i int32) bool {
		return exclusionReason(s, &s.Upstreams[i], r) == brittleAndFull
	})
}

// firstAllowedByRate returns the upstream that may get a request from this instance first, of those that
// are left out only for the request rate that they name; nil if there is none.
func firstAllowedByRate(s *Snapshot, r *Request) (first *Upstream) {
	var wait time.Duration
	for _, i := range s.ByTarget[r.Target] {
		u := &s.Upstreams[i]
		if exclusionReason(s, u, r) != atNamedRate {
			continue
		}
		if until := u.untilRateAllows(r.Now); first == nil || until < wait {
			first, wait = u, until
		}
	}
	return first
}

// brittleAndFull is the reason of exclusionReason for a brittle upstream whose places are taken.
const brittleAndFull = "brittle with all places taken"

// atNamedRate is the reason of exclusionReason for an upstream that gets as many requests as it takes.
const atNamedRate = "at the request rate that they name"

// exclusionSummary counts the upstreams of the local region by the reason why they cannot
// serve the request.
func exclusionSummary(s *Snapshot, r *Request) string {
	candidates := s.ByTarget[r.Target]
	reasons := map[string]int{}
	for _, i := range candidates {
		reasons[exclusionReason(s, &s.Upstreams[i], r)]++
	}
	text := fmt.Sprintf("%d listed in the region", len(candidates))
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		text += fmt.Sprintf(", %d %s", reasons[reason], reason)
	}
	return text
}

// exclusionReason returns the first reason why the upstream cannot serve the request.
func exclusionReason(s *Snapshot, u *Upstream, r *Request) string {
	switch {
	case u.Draining:
		return "leaving"
	case u.Down:
		return "paused after failures"
	case contains(r.Tried, u.ID):
		return "tried"
	case u.Evacuated:
		return "evacuated"
	case !u.endsInTime(r.Now, r.Service.Remaining):
		return "about to end"
	case u.Counters.PausedFor(r.Now) > 0:
		return askedPause
	case u.Counters.Stalled(r.Now, stallTimeout):
		// Operators read this value in the error; elsewhere "silent" is used of peers only.
		return "silent"
	case u.Cold:
		return "cold"
	case u.CountsAsCold(time.Unix(0, r.Now)):
		return "waiting for a health check after a lost connection"
	case !s.ServiceSplits[r.Target].allows(r.ID, u.Version):
		return "of another version"
	case !u.hasRoom(r.Now):
		return brittleAndFull
	case u.untilRateAllows(r.Now) > 0:
		return atNamedRate
	default:
		return "available, but passed over because a state changed during the pick"
	}
}
