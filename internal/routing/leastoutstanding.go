package routing

// leastOutstanding takes the upstream with the shortest queue. Of equal queues it takes
// a random one, so that they share the work, or the first one if ordered is true.
type leastOutstanding struct {
	ordered bool
}

func (leastOutstanding) Name() string { return NameLeastOutstanding }

func (p leastOutstanding) Pick(s *Snapshot, r *Request, x *Scratch) (Choice, error) {
	candidates := s.ByTarget[r.Target]
	if !staysLocal(s, r) || len(candidates) == 0 {
		return baselinePeer(s, r, x)
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
		return baselinePeer(s, r, x)
	}
	return upstreamChoice(best, r)
}
