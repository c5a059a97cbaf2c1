package routing

// powerOfTwo takes the shorter queue of two random upstreams.
type powerOfTwo struct{}

func (powerOfTwo) Name() string { return NamePowerOfTwo }

func (powerOfTwo) Pick(s *Snapshot, r *Request, x *Scratch) (Choice, error) {
	candidates := s.ByTarget[r.Target]
	if !staysLocal(s, r) || len(candidates) == 0 {
		return baselinePeer(s, r, x)
	}
	a := randomUpstream(s, r, x, candidates, none)
	if a == none {
		return baselinePeer(s, r, x)
	}
	b := randomUpstream(s, r, x, candidates, a)
	if b != none && queueLength(&s.Upstreams[b]) < queueLength(&s.Upstreams[a]) {
		a = b
	}
	return upstreamChoice(a, r)
}

// randomUpstream returns the first allowed candidate other than not from a random one.
func randomUpstream(s *Snapshot, r *Request, x *Scratch, candidates []int32, not int32) int32 {
	start := x.rng.IntN(len(candidates))
	for k := range candidates {
		i := candidates[(start+k)%len(candidates)]
		if i != not && allowsUpstream(&s.Upstreams[i], r) {
			return i
		}
	}
	return none
}
