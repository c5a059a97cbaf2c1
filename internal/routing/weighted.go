package routing

import "heatherloom/internal/promptprefix"

// weighted is the default policy. It filters the candidates, scores each by the prompt
// tokens to compute before the first token of the response, and picks the cheapest.
type weighted struct {
	weights Weights
	index   *PrefixIndex
}

func (*weighted) Name() string { return NameDefault }

// scoredUpstream is a candidate upstream and its cost.
type scoredUpstream struct {
	index  int32
	cost   float64
	tokens int64
	queued int64
	// queueSeconds is the estimated time in the queue of the upstream; set for services of host routes.
	queueSeconds float64
	// overloaded is true if the request would wait there for longer than a learned estimate may be; see rejectOverload.
	overloaded bool
	// assumedCached is the number of prompt tokens that are assumed to be cached because the
	// upstream owns them, without a request in the index that shows it.
	assumedCached int64
}

// Pick compares the upstreams that hold a prefix of the prompt and a random sample of
// bounded size of the others. The cost therefore does not grow with the number of upstreams,
// and stale load reports do not send all instances to the same one.
func (p *weighted) Pick(s *Snapshot, r *Request, x *Scratch) (Choice, error) {
	best := scoredUpstream{index: none}
	x.found = p.index.matches(r.Now, r.Prefix, x.matches[:0])
	if allowsLocalRegion(s, r) {
		p.compareCached(s, r, x, &best)
		p.compareSample(s, r, x, &best)
	}
	if i := p.spillPeer(s, r, x, &best); i != none {
		return Choice{Upstream: none, Peer: i, PrefillTokens: r.PromptTokens}, nil
	}
	if best.index == none {
		return Choice{}, noCandidateError(r)
	}
	return Choice{Upstream: best.index, Peer: none, PrefillTokens: best.tokens, QueuedTokens: best.queued}, nil
}

// compareCached scores the upstreams that hold a prefix of the prompt.
func (p *weighted) compareCached(s *Snapshot, r *Request, x *Scratch, best *scoredUpstream) {
	for _, m := range x.found {
		i, ok := s.ByHolderID[m.holder]
		if ok && s.Upstreams[i].serves(r.Target) {
			p.compare(s, r, i, int64(m.blocks)*promptprefix.BlockTokens, best)
		}
	}
}

// compareSample scores a random sample of the upstreams that serve the target.
func (p *weighted) compareSample(s *Snapshot, r *Request, x *Scratch, best *scoredUpstream) {
	candidates := s.ByTarget[r.Target]
	if len(candidates) == 0 {
		return
	}
	start := x.rng.IntN(len(candidates))
	step := 1
	if len(candidates) > p.weights.SampleSize {
		step = 1 + x.rng.IntN(len(candidates)-1)
	}
	remaining := p.weights.SampleSize
	for k := 0; k < len(candidates) && remaining > 0; k++ {
		i := candidates[(start+k*step)%len(candidates)]
		if p.compare(s, r, i, 0, best) {
			remaining--
		}
	}
}

// compare scores one upstream, replaces best if it is cheaper, and reports whether the
// filter allows it.
func (p *weighted) compare(s *Snapshot, r *Request, i int32, cached int64, best *scoredUpstream) bool {
	u := &s.Upstreams[i]
	if !allowsUpstream(u, r) {
		return false
	}
	tokens := max(r.PromptTokens-cached, 0)
	queued := queueTokens(u)
	cost := float64(queued) + p.weights.PrefillFactor*float64(tokens) + runningCost(u, &p.weights) + p.weights.SpreadCost*u.PreferencePenalty
	cost *= rampFactor(u, r.Now, &p.weights)
	if best.index == none || cost < best.cost {
		*best = scoredUpstream{index: i, cost: cost, tokens: tokens, queued: queued}
	}
	return true
}

// spillPeer returns the peer to forward the request to, or none if the request stays in this
// region. If the region can serve it, it is only forwarded if that saves more than it costs.
func (p *weighted) spillPeer(s *Snapshot, r *Request, x *Scratch, best *scoredUpstream) int32 {
	if !mayForward(r) || len(s.Peers) == 0 {
		return none
	}
	perToken := initialSecondsPerToken
	if best.index != none {
		perToken = s.Upstreams[best.index].Counters.SecondsPerToken()
	}
	chosen, cheapest := p.cheapestPeer(s, r, x, perToken)
	if best.index == none || chosen == none {
		return chosen
	}
	local := float64(best.tokens+best.queued) * perToken
	if best.queued < p.weights.SpillTokens || s.Peers[chosen].RegionStatus.Engines == 0 || local <= cheapest*p.weights.SpillRatio {
		return none
	}
	return chosen
}

// unknownRegionPenaltySeconds is added to the cost of a region that has reported no engines,
// so that it is only used if no other region can serve the request.
const unknownRegionPenaltySeconds = 60

// cheapestPeer returns the allowed peer with the lowest estimated time to the first token,
// and that time in seconds.
func (p *weighted) cheapestPeer(s *Snapshot, r *Request, x *Scratch, perToken float64) (int32, float64) {
	chosen := none
	cheapest := 0.0
	start := x.rng.IntN(len(s.Peers))
	for k := range s.Peers {
		i := (start + k) % len(s.Peers)
		peer := &s.Peers[i]
		if !allowsPeer(s, peer, r) {
			continue
		}
		cost := remoteSeconds(peer, r, &p.weights, perToken, cachedTokensAt(peer, x))
		if r.PromptTokens > 0 && peer.RegionStatus.Engines == 0 {
			cost += unknownRegionPenaltySeconds
		}
		if chosen == none || cost < cheapest {
			chosen = int32(i)
			cheapest = cost
		}
	}
	return chosen, cheapest
}

// cachedTokensAt returns the number of prompt tokens that an earlier request forwarded to
// the peer left in a cache of its region.
func cachedTokensAt(p *Peer, x *Scratch) int64 {
	holder := p.Counters.HolderID()
	for _, m := range x.found {
		if m.holder == holder {
			return int64(m.blocks) * promptprefix.BlockTokens
		}
	}
	return 0
}

func (u *Upstream) serves(target string) bool { return contains(u.Targets, target) }
