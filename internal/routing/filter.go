package routing

import "heatherloom/internal/errkind"

// allowsUpstream filters upstreams: it rejects those that are down or draining, or that
// already failed to serve the request.
func allowsUpstream(u *Upstream, r *Request) bool {
	return !u.Draining && !u.Counters.SaysLeaving() && !u.Down && !contains(r.Tried, u.ID)
}

// allowsLocalRegion reports whether the request may run in the region of this instance.
func allowsLocalRegion(s *Snapshot, r *Request) bool {
	return r.BoundRegion == "" || r.BoundRegion == s.Region
}

// maxEntryInstances limits how many entry instances handle one request: the one that
// received it and one that it is forwarded to.
const maxEntryInstances = 2

func mayForward(r *Request) bool { return len(r.Visited)+1 < maxEntryInstances }

// allowsPeer filters the entry instances of other regions.
func allowsPeer(s *Snapshot, p *Peer, r *Request) bool {
	return p.Region != s.Region && acceptsForward(p, r)
}

// acceptsForward reports whether the request may be forwarded to the entry instance of any region.
func acceptsForward(p *Peer, r *Request) bool {
	if p.Draining || (r.BoundRegion != "" && p.Region != r.BoundRegion) {
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

// noCandidateError returns the error for a request without a remaining candidate.
func noCandidateError(r *Request) error {
	if r.BoundRegion != "" {
		return errkind.New(errkind.HomeUnavailable,
			"no upstream in region %q can serve %q now, and the data must not leave that region", r.BoundRegion, r.Target)
	}
	return errkind.New(errkind.NoUpstream, "no upstream can serve %q now", r.Target)
}
