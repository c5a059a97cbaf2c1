package routing

// powerOfTwo picks the upstream with the shorter queue of two random ones.
type powerOfTwo struct{}

func (powerOfTwo) Name() string { return NamePowerOfTwo }

func (powerOfTwo) Pick(s *Snapshot, r *Request, x *Scratch) (Choice, error) {
	candidates := s.ByTarget[r.Target]
	if !allowsLocalRegion(s, r) || len(candidates) == 0 {
		return pickRemotePeer(s, r, x)
	}
	a := randomUpstream(s, r, x, candidates, none)
	if a == none {
		return pickRemotePeer(s, r, x)
	}
	b := randomUpstream(s, r, x, candidates, a)
	if b != none && queueLength(&s.Upstreams[b]) < queueLength(&s.Upstreams[a]) {
		a = b
	}
	return upstreamChoice(a, r)
}

// randomUpstream returns a random allowed candidate other than excluded.
func randomUpstream(s *Snapshot, r *Request, x *Scratch, candidates []int32, excluded int32) int32 {
	start := x.rng.IntN(len(candidates))
	for k := range candidates {
		i := candidates[(start+k)%len(candidates)]
		if i != excluded && allowsUpstream(&s.Upstreams[i], r) {
			return i
		}
	}
	return none
}
