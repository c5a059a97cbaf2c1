package routing

import "heatherloom/internal/promptprefix"

// weighted is the default policy. It filters the candidates, scores each in prompt
// tokens to compute before the first token of the answer, and takes the cheapest.
type weighted struct {
	weights Weights
	index   *PrefixIndex
}

func (*weighted) Name() string { return NameDefault }

// scored is a candidate with its cost.
type scored struct {
	index  int32
	cost   float64
	tokens int64
	ahead  int64
	// guessed tokens of the prompt are assumed to be cached, and not known from a request.
	guessed int64
}

// Pick compares the upstreams that hold a prefix of the prompt and a bounded random
// sample of the others, so that the cost does not grow with their number and late load
// reports do not send all instances to the same upstream.
func (p *weighted) Pick(s *Snapshot, r *Request, x *Scratch) (Choice, error) {
	best := scored{index: none}
	x.found = p.index.matches(r.Now, r.Prefix, x.matches[:0])
	if staysLocal(s, r) {
		p.compareCached(s, r, x, &best)
		p.compareSample(s, r, x, &best)
	}
	if i := p.spill(s, r, x, &best); i != none {
		return Choice{Upstream: none, Peer: i, Tokens: r.Tokens}, nil
	}
	if best.index == none {
		return Choice{}, noChoice(r)
	}
	return Choice{Upstream: best.index, Peer: none, Tokens: best.tokens, Ahead: best.ahead}, nil
}

// compareCached scores the upstreams that hold a prefix of the prompt.
func (p *weighted) compareCached(s *Snapshot, r *Request, x *Scratch, best *scored) {
	for _, m := range x.found {
		i, ok := s.ByNumber[m.number]
		if ok && s.Upstreams[i].serves(r.Target) {
			p.compare(s, r, i, int64(m.blocks)*promptprefix.BlockTokens, best)
		}
	}
}

func (p *weighted) compareSample(s *Snapshot, r *Request, x *Scratch, best *scored) {
	candidates := s.ByTarget[r.Target]
	if len(candidates) == 0 {
		return
	}
	start := x.rng.IntN(len(candidates))
	step := 1
	if len(candidates) > p.weights.Sample {
		step = 1 + x.rng.IntN(len(candidates)-1)
	}
	left := p.weights.Sample
	for k := 0; k < len(candidates) && left > 0; k++ {
		i := candidates[(start+k*step)%len(candidates)]
		if p.compare(s, r, i, 0, best) {
			left--
		}
	}
}

// compare scores one upstream and reports whether the filter allows it.
func (p *weighted) compare(s *Snapshot, r *Request, i int32, cached int64, best *scored) bool {
	u := &s.Upstreams[i]
	if !allowsUpstream(u, r) {
		return false
	}
	tokens := max(r.Tokens-cached, 0)
	ahead := queueTokens(u)
	cost := float64(ahead) + p.weights.Prefill*float64(tokens) + runningCost(u, &p.weights) + p.weights.Spread*u.Preference
	cost *= rampFactor(u, r.Now, &p.weights)
	if best.index == none || cost < best.cost {
		*best = scored{index: i, cost: cost, tokens: tokens, ahead: ahead}
	}
	return true
}

// spill returns the peer to send the request to, or none if it stays here. A request
// leaves its region without need only if that saves more than it costs.
func (p *weighted) spill(s *Snapshot, r *Request, x *Scratch, best *scored) int32 {
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
	local := float64(best.tokens+best.ahead) * perToken
	if best.ahead < p.weights.SpillTokens || s.Peers[chosen].Remote.Engines == 0 || local <= cheapest*p.weights.SpillRatio {
		return none
	}
	return chosen
}

// unknownRegionSeconds is the cost of a region that has announced no engine. It is
// used only if no other can serve the request.
const unknownRegionSeconds = 60

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
		cost := remoteSeconds(peer, r, &p.weights, perToken, cachedAt(peer, x))
		if r.Tokens > 0 && peer.Remote.Engines == 0 {
			cost += unknownRegionSeconds
		}
		if chosen == none || cost < cheapest {
			chosen = int32(i)
			cheapest = cost
		}
	}
	return chosen, cheapest
}

// cachedAt returns the prompt tokens that an earlier request over the peer left in a
// cache behind it.
func cachedAt(p *Peer, x *Scratch) int64 {
	number := p.Counters.Number()
	for _, m := range x.found {
		if m.number == number {
			return int64(m.blocks) * promptprefix.BlockTokens
		}
	}
	return 0
}

func (u *Upstream) serves(target string) bool { return contains(u.Targets, target) }
