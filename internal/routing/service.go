package routing

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"heatherloom/internal/errkind"
	"heatherloom/internal/rollout"
)

// PromptPart is one part of a prompt. Requests that share the first parts can use what
// an upstream has cached of them.
type PromptPart struct {
	ID     uint64
	Tokens int64
}

// ServiceRequest is what a pick needs to know of a request on a host route.
type ServiceRequest struct {
	// Homes are the regions that may run the request; empty for any.
	Homes []string
	// Objective is the time within which the first part of the answer is on time.
	Objective time.Duration
	// Parts are the parts of the prompt; Request.Prefix has a hash for each of them.
	Parts []PromptPart
	// Remaining is the time until the deadline.
	Remaining time.Duration
}

// VersionSplit divides the requests of a service between two versions.
type VersionSplit struct {
	// Candidate is the version under rollout, and Move the id of the rollout.
	Candidate string
	Move      string
	// Share is the part of the requests, from 0 to 1, that goes to the candidate.
	Share float64
}

// allows reports whether a request with the given id may run on a version.
func (v VersionSplit) allows(requestID, version string) bool {
	if v.Candidate == "" {
		return true
	}
	return (version == v.Candidate) == v.selects(requestID)
}

// selects reports whether a request with the given id belongs to the candidate.
func (v VersionSplit) selects(requestID string) bool {
	return v.Candidate != "" && rollout.Selects(requestID, v.Share)
}

const (
	// stalledAfter is the silence of an upstream with waiting requests after which it gets
	// no further ones: half of the shortest objective of a stream.
	stalledAfter = 400 * time.Millisecond
	// serviceSecondsPerToken is used until the first answers arrive: 56,600 tokens a
	// second, the slower prefill rate of the two sites with a margin.
	serviceSecondsPerToken = 1.0 / 45000
	// runningSeconds is how much each running request delays the first token of the next.
	runningSeconds = 0.0015
	// slotSeconds is the time between two ends in a full batch of an engine: 64 answers of up
	// to 400 tokens, at steps of 10 to 45 ms.
	slotSeconds = 0.1
	// plainSeconds is the estimated work of a request to a plain service.
	plainSeconds = 0.02
	// sharedWeight multiplies the time to read the shared parts of a prompt at an upstream
	// that does not hold them: the reading also delays the others there, and evicts parts
	// that they would have used.
	sharedWeight = 2.5
	// failureSeconds is the cost of an upstream that fails all its requests.
	failureSeconds = 2.0
	// spillMargin is what another region has to save, in seconds, before a request leaves
	// its own: crossing costs bandwidth, and reports of other regions are a second old.
	spillMargin = 0.1
	// spillShare is the part of the objective up to which the own region is always kept.
	spillShare = 0.25
)

// ServicePolicy chooses where requests of host routes run: the upstream with the
// shortest estimated time to the first part of the answer, or an entry instance of
// another region that promises a clearly shorter one.
type ServicePolicy struct {
	Index *PrefixIndex
}

// Name implements Policy.
func (ServicePolicy) Name() string { return "service" }

// Pick implements Policy.
func (p ServicePolicy) Pick(s *Snapshot, r *Request, x *Scratch) (Choice, error) {
	best := scored{index: none}
	x.shared = sharedHome(s, r)
	if len(r.Service.Homes) == 0 || slices.Contains(r.Service.Homes, s.Region) {
		x.found = p.Index.matches(r.Now, r.Prefix, x.matches[:0])
		split := s.Rollouts[r.Target]
		p.best(s, r, x, split, &best)
		if best.index == none && split.selects(r.ID) {
			// No upstream of the candidate can take the request, so that it runs on the version before.
			split.Share = 0
			p.best(s, r, x, split, &best)
		}
	}
	peer, remote := cheapestRegion(s, r, x)
	if err := refuseLate(s, r, x, &best, peer, remote); err != nil {
		return Choice{}, err
	}
	if peer != none && (best.index == none || leaves(best.cost, remote, r.Service.Objective) || x.shared.drawsTo(s, &s.Peers[peer], &best, remote)) {
		return Choice{Upstream: none, Peer: peer, Tokens: r.Tokens}, nil
	}
	if best.index == none {
		return Choice{}, noServiceChoice(s, r)
	}
	u := &s.Upstreams[best.index]
	if u.Cold && !u.Counters.TakeCold(r.Now, u.ColdSends) {
		return Choice{}, noServiceChoice(s, r)
	}
	return Choice{Upstream: best.index, Peer: none, Tokens: best.tokens, Ahead: best.ahead}, nil
}

const (
	// lateShare is the part of the objective that the estimated wait behind other requests
	// may take. Estimates leave out the tokens that are made between the chunks of a
	// prompt, by which the first part comes up to two and a half times as late.
	lateShare = 0.4
	// longestComeBack bounds the time after which a refused caller is told to come back.
	longestComeBack = 2 * time.Second
)

// refuseLate refuses a request that would wait behind others for too long everywhere. The
// work for an answer that comes too late would make those behind it late as well: under
// more load than the engines bear, nearly all answers were cut at their deadlines.
func refuseLate(s *Snapshot, r *Request, x *Scratch, best *scored, peer int32, remote float64) error {
	if r.Service.Objective == 0 || len(r.Service.Parts) == 0 {
		return nil
	}
	wait := -1.0
	if best.index != none {
		wait = float64(best.ahead) * serviceSecondsPerToken
	}
	if peer != none {
		elsewhere := remote - x.shared.readSeconds(r, s.Peers[peer].Region)
		if wait < 0 || elsewhere < wait {
			wait = elsewhere
		}
	}
	limit := lateShare * r.Service.Objective.Seconds()
	if wait <= limit {
		return nil
	}
	err := errkind.New(errkind.Overloaded, "the engines of %q are %.0f ms behind, more than the %.0f ms that leave time for the answer",
		r.Target, wait*1000, limit*1000)
	err.RetryAfter = min(time.Duration((wait-limit)*float64(time.Second))+hostSettle, longestComeBack)
	return err
}

// hostSettle is added to the time after which the queue should be short enough.
const hostSettle = 100 * time.Millisecond

// leaves reports whether a request leaves its region, given the estimates in seconds.
func leaves(local, remote float64, objective time.Duration) bool {
	return local > spillShare*objective.Seconds() && local > remote+spillMargin
}

// best finds the cheapest upstream of the own region.
func (p ServicePolicy) best(s *Snapshot, r *Request, x *Scratch, split VersionSplit, best *scored) {
	candidates := s.ByTarget[r.Target]
	if len(candidates) == 0 {
		return
	}
	start := x.rng.IntN(len(candidates))
	owner := sharedOwner(s, r, candidates)
	shared := x.shared.tokens
	for k := range candidates {
		i := candidates[(start+k)%len(candidates)]
		u := &s.Upstreams[i]
		if !allowsService(u, r, split) {
			continue
		}
		cached := p.cached(u, r, x)
		guessed := int64(0)
		if i == owner {
			guessed = max(shared-cached, 0)
			cached += guessed
		}
		tokens := r.Tokens - cached
		cost, ahead := serviceSeconds(u, r.Now, tokens)
		cost += (sharedWeight - 1) * float64(max(shared-cached, 0)) * serviceSecondsPerToken
		if best.index == none || cost < best.cost {
			*best = scored{index: i, cost: cost, tokens: tokens, ahead: ahead, guessed: guessed}
		}
	}
}

// sharedOwner returns the upstream that all instances of the region send requests with the
// same shared parts to while it is free, by rendezvous hash. All parts but the last are
// shared. An instance knows only what it sent itself, so that without an owner each
// instance would have the parts read at an upstream of its own.
func sharedOwner(s *Snapshot, r *Request, candidates []int32) int32 {
	if len(r.Prefix) < 2 {
		return none
	}
	key := r.Prefix[len(r.Prefix)-2]
	owner, heaviest := none, uint64(0)
	for _, i := range candidates {
		u := &s.Upstreams[i]
		if !u.Engine || u.Leaving || u.Down || u.Evacuated {
			continue
		}
		if weight := mix(key ^ u.idHash); owner == none || weight > heaviest {
			owner, heaviest = i, weight
		}
	}
	return owner
}

// mix spreads the bits of a hash (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// cached returns the tokens of the prompt that the upstream probably holds.
func (p ServicePolicy) cached(u *Upstream, r *Request, x *Scratch) int64 {
	number := u.Counters.Number()
	for _, m := range x.found {
		if m.number != number {
			continue
		}
		tokens := int64(0)
		for _, part := range r.Service.Parts[:min(m.blocks, len(r.Service.Parts))] {
			tokens += part.Tokens
		}
		return min(tokens, r.Tokens)
	}
	return 0
}

// allowsService is the filter of upstreams for requests of host routes.
func allowsService(u *Upstream, r *Request, split VersionSplit) bool {
	if !allowsUpstream(u, r) || u.Evacuated || u.Counters.Stalled(r.Now, stalledAfter) {
		return false
	}
	if u.Cold && !u.Counters.coldFree(r.Now, u.ColdSends) {
		return false
	}
	return split.allows(r.ID, u.Version)
}

// coldFree reports whether TakeCold would succeed.
func (c *Counters) coldFree(now int64, limit int) bool {
	w := &c.cold
	w.mu.Lock()
	defer w.mu.Unlock()
	used := 0
	for _, at := range w.sends {
		if now-at < int64(coldSpan) {
			used++
		}
	}
	return used < limit
}

// serviceSeconds estimates the time to the first part of the answer in seconds, and the
// prompt tokens that are computed before those of the request.
func serviceSeconds(u *Upstream, now, tokens int64) (cost float64, ahead int64) {
	running, waiting := u.Counters.others(now)
	failing := failureSeconds * u.Counters.FailureRate()
	if !u.Engine {
		queue := u.Counters.InFlight.Load() + running + waiting
		return plainSeconds*float64(queue)/float64(max(u.Slots, 1)) + failing, 0
	}
	ahead = u.Counters.PendingTokens.Load() + int64(float64(waiting)*u.Counters.MeanTokens())
	ahead += slotTokens(u, u.Counters.InFlight.Load()+running+waiting)
	running += u.Counters.InFlight.Load() - u.Counters.Pending.Load()
	return float64(ahead+tokens)*serviceSecondsPerToken + runningSeconds*float64(running) + failing, ahead
}

// slotTokens returns the wait for a free slot as prompt tokens that could be read meanwhile.
func slotTokens(u *Upstream, occupied int64) int64 {
	over := occupied - int64(u.Slots) + 1
	if u.Slots == 0 || over <= 0 {
		return 0
	}
	return int64(float64(over) * slotSeconds / serviceSecondsPerToken)
}

// cheapestRegion returns a peer of the region with the shortest estimated time to the
// first part of the answer, and that time in seconds.
func cheapestRegion(s *Snapshot, r *Request, x *Scratch) (int32, float64) {
	chosen := none
	cheapest := 0.0
	if !mayForward(r) || len(s.Peers) == 0 {
		return none, 0
	}
	start := x.rng.IntN(len(s.Peers))
	for k := range s.Peers {
		i := (start + k) % len(s.Peers)
		peer := &s.Peers[i]
		if peer.Suspect || !allowsPeer(s, peer, r) {
			continue
		}
		if len(r.Service.Homes) > 0 && !slices.Contains(r.Service.Homes, peer.Region) {
			continue
		}
		load, serves := peer.Services[r.Target]
		if !serves || load.Upstreams == 0 {
			continue
		}
		seconds := load.WaitSeconds + peer.Remote.RoundTripSeconds + ownForwardSeconds(peer, load) + x.shared.readSeconds(r, peer.Region)
		if chosen == none || seconds < cheapest {
			chosen, cheapest = int32(i), seconds
		}
	}
	return chosen, cheapest
}

// ExpectedFirst estimates the time to the first part of the answer of a request that was
// placed by c.
func (c Choice) ExpectedFirst() time.Duration {
	return time.Duration(float64(c.Ahead+c.Tokens) * serviceSecondsPerToken * float64(time.Second))
}

// ownForwardSeconds is the wait that this instance's own forwards add to a region before
// the region reports it.
func ownForwardSeconds(p *Peer, load ServiceLoad) float64 {
	return float64(p.Counters.PendingTokens.Load()) * serviceSecondsPerToken / float64(load.Upstreams)
}

// ServiceLoad is what an instance reports of a service in its region.
type ServiceLoad struct {
	// Upstreams that can take work.
	Upstreams int
	// WaitSeconds is the mean estimated wait for the first part of an answer.
	WaitSeconds float64
}

// ServiceLoads returns the load of each service in the own region at the given time.
func (s *Snapshot) ServiceLoads(now int64) map[string]ServiceLoad {
	loads := map[string]ServiceLoad{}
	for target, candidates := range s.ByTarget {
		var load ServiceLoad
		total := 0.0
		for _, i := range candidates {
			u := &s.Upstreams[i]
			if u.Leaving || u.Down || u.Evacuated || u.Cold || u.Counters.Stalled(now, stalledAfter) {
				continue
			}
			cost, _ := serviceSeconds(u, now, 0)
			total += cost - failureSeconds*u.Counters.FailureRate()
			load.Upstreams++
		}
		if load.Upstreams > 0 {
			load.WaitSeconds = total / float64(load.Upstreams)
			loads[target] = load
		}
	}
	return loads
}

// noServiceChoice returns the refusal of a request that no candidate is left for.
func noServiceChoice(s *Snapshot, r *Request) error {
	if len(r.Service.Homes) > 0 && !slices.Contains(r.Service.Homes, s.Region) {
		return errkind.New(errkind.HomeUnavailable, "no region of %v, where the data must stay, can serve %q now", r.Service.Homes, r.Target)
	}
	return errkind.New(errkind.NoUpstream, "no upstream can serve %q now: %s", r.Target, excluded(s, r))
}

// excluded says why the upstreams of the own region cannot take the request.
func excluded(s *Snapshot, r *Request) string {
	candidates := s.ByTarget[r.Target]
	reasons := map[string]int{}
	for _, i := range candidates {
		reasons[exclusion(s, &s.Upstreams[i], r)]++
	}
	text := fmt.Sprintf("%d listed in the region", len(candidates))
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		text += fmt.Sprintf(", %d %s", reasons[reason], reason)
	}
	return text
}

// exclusion returns the first reason why the upstream cannot take the request.
func exclusion(s *Snapshot, u *Upstream, r *Request) string {
	switch {
	case u.Leaving:
		return "leaving"
	case u.Down:
		return "paused after failures"
	case contains(r.Tried, u.ID):
		return "tried"
	case u.Evacuated:
		return "evacuated"
	case u.Counters.Stalled(r.Now, stalledAfter):
		return "silent"
	case u.Cold:
		return "cold"
	case !s.Rollouts[r.Target].allows(r.ID, u.Version):
		return "of another version"
	default:
		return "in the region but not allowed by the homes"
	}
}
