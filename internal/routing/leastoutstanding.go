package routing

// leastOutstanding picks the upstream with the shortest queue. Ties are broken at random,
// so that the work is shared, or in the order of the snapshot if ordered is true.
type leastOutstanding struct {
	ordered bool
}

func (leastOutstanding) Name() string { return NameLeastOutstanding }

func (p leastOutstanding) Pick(s *Snapshot, r *Request, x *Scratch) (Choice, error) {
	candidates := s.ByTarget[r.Target]
	if !allowsLocalRegion(s, r) || len(candidates) == 0 {
		return pickRemotePeer(s, r, x)
	}
	best := none
	var shortest int64
	start := 0
	if !p.ordered {
		start = x.rng.IntN(len(candidates))
	}
	for k := range candidates {
		i := candidates[(start+k)%len(candidates)]
		u := &s.Upstreams[i]
		if !allowsUpstream(u, r) {
			continue
		}
		if queue := queueLength(u); best == none || queue < shortest {
			best = i
			shortest = queue
		}
	}
	if best == none {
		return pickRemotePeer(s, r, x)
	}
	return upstreamChoice(best, r)
}
