package routing

import "sync/atomic"

// roundRobin picks the upstreams of the region in turn.
type roundRobin struct {
	next atomic.Uint64
}

func (*roundRobin) Name() string { return NameRoundRobin }

func (p *roundRobin) Pick(s *Snapshot, r *Request, x *Scratch) (Choice, error) {
	candidates := s.ByTarget[r.Target]
	if !allowsLocalRegion(s, r) || len(candidates) == 0 {
		return pickRemotePeer(s, r, x)
	}
	start := p.next.Add(1)
	for k := range candidates {
		i := candidates[(start+uint64(k))%uint64(len(candidates))]
		if allowsUpstream(&s.Upstreams[i], r) {
			return upstreamChoice(i, r)
		}
	}
	return pickRemotePeer(s, r, x)
}
