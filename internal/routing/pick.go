package routing

import (
	"heatherloom/internal/errkind"
	"heatherloom/internal/platform"
)

// Request is what a pick needs to know of a request.
type Request struct {
	ID string
	// Target is a model@version or the name of a plain service.
	Target string
	// BoundRegion is the region that the request must not leave; empty if it may
	// run anywhere.
	BoundRegion string
	// Visited are the entry instances that already handled the request.
	Visited []string
	// Tried are the upstreams and peers that already failed to serve it.
	Tried []string
}

// Choice is the result of a pick. Exactly one index is set; the other is -1.
type Choice struct {
	Upstream int32
	Peer     int32
}

const none = int32(-1)

// Pick returns the upstream of this region with the shortest queue, or else an
// entry instance of another region. It returns an *errkind.Error of kind
// HomeUnavailable or NoUpstream if there is none.
func Pick(s *Snapshot, r *Request) (Choice, error) {
	if r.BoundRegion == "" || r.BoundRegion == s.Region {
		if i := pickUpstream(s, r); i != none {
			return Choice{Upstream: i, Peer: none}, nil
		}
	}
	if i := pickPeer(s, r); i != none {
		return Choice{Upstream: none, Peer: i}, nil
	}
	if r.BoundRegion != "" {
		return Choice{}, errkind.New(errkind.HomeUnavailable,
			"no upstream of region %q can serve %q now, and the data may not leave that region", r.BoundRegion, r.Target)
	}
	return Choice{}, errkind.New(errkind.NoUpstream, "no upstream can serve %q now", r.Target)
}

func pickUpstream(s *Snapshot, r *Request) int32 {
	best := none
	var bestQueue int64
	for _, i := range s.ByTarget[r.Target] {
		u := &s.Upstreams[i]
		if !usable(u) || contains(r.Tried, u.ID) {
			continue
		}
		queue := queueLength(u)
		if best == none || queue < bestQueue {
			best = i
			bestQueue = queue
		}
	}
	return best
}

func usable(u *Upstream) bool {
	return !u.Leaving && !u.Down
}

// queueLength corrects the lagging report by the attempts that this instance
// itself has in flight.
func queueLength(u *Upstream) int64 {
	return max(u.Counters.InFlight.Load(), int64(u.Load.Running)) + int64(u.Load.Waiting)
}

// maxVisited bounds the entry instances that handle one request: the first one
// and one forward.
const maxVisited = 2

func pickPeer(s *Snapshot, r *Request) int32 {
	if len(r.Visited)+1 >= maxVisited {
		return none
	}
	for i := range s.Peers {
		p := &s.Peers[i]
		if p.Draining || p.Region == s.Region {
			continue
		}
		if r.BoundRegion != "" && p.Region != r.BoundRegion {
			continue
		}
		if contains(r.Visited, p.ID) || contains(r.Tried, p.ID) {
			continue
		}
		return int32(i)
	}
	return none
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// IsEngine reports whether the upstream is a model engine.
func (u *Upstream) IsEngine() bool { return u.Role == platform.RoleEngine }
