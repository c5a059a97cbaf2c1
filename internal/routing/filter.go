package routing

import "heatherloom/internal/errkind"

// allowsUpstream is the filter of upstreams: health, leaving and failed attempts.
func allowsUpstream(u *Upstream, r *Request) bool {
	return !u.Leaving && !u.Down && !contains(r.Tried, u.ID)
}

// staysLocal is the home region filter of the upstreams of this region.
func staysLocal(s *Snapshot, r *Request) bool {
	return r.BoundRegion == "" || r.BoundRegion == s.Region
}

// maxVisited bounds the entry instances that handle one request: the first one
// and one forward.
const maxVisited = 2

func mayForward(r *Request) bool { return len(r.Visited)+1 < maxVisited }

// allowsPeer is the filter of entry instances of other regions.
func allowsPeer(s *Snapshot, p *Peer, r *Request) bool {
	if p.Draining || p.Region == s.Region {
		return false
	}
	if r.BoundRegion != "" && p.Region != r.BoundRegion {
		return false
	}
	return !contains(r.Visited, p.ID) && !contains(r.Tried, p.ID)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// noChoice returns the refusal of a request that no candidate is left for.
func noChoice(r *Request) error {
	if r.BoundRegion != "" {
		return errkind.New(errkind.HomeUnavailable,
			"no upstream of region %q can serve %q now, and the data may not leave that region", r.BoundRegion, r.Target)
	}
	return errkind.New(errkind.NoUpstream, "no upstream can serve %q now", r.Target)
}
