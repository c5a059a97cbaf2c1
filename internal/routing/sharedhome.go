package routing

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// homeMargin is what the home of the shared parts has to save, in seconds, before a request
// goes there.
const homeMargin = 0.05

// sharedParts are the shared parts of a prompt, which is all parts but the last.
type sharedParts struct {
	tokens int64
	// region is the one whose upstreams hold the parts; empty if there are none.
	region string
}

// sharedHome returns the shared parts of a request and the region that all instances send
// requests with the same parts to while it is free, by rendezvous hash weighted with the
// upstreams of each region. Without it, each region reads the parts anew.
func sharedHome(s *Snapshot, r *Request) sharedParts {
	if len(r.Prefix) < 2 {
		return sharedParts{}
	}
	shared := sharedParts{region: s.Region}
	for _, part := range r.Service.Parts[:len(r.Service.Parts)-1] {
		shared.tokens += part.Tokens
	}
	if !mayForward(r) {
		return shared
	}
	key := r.Prefix[len(r.Prefix)-2]
	lowest := math.Inf(1)
	consider := func(region string, upstreams int) {
		if upstreams == 0 || (len(r.Service.Homes) > 0 && !slices.Contains(r.Service.Homes, region)) {
			return
		}
		point := (float64(mix(key^xxhash.Sum64String(region))>>11) + 0.5) / (1 << 53)
		if score := -math.Log(point) / float64(upstreams); score < lowest {
			lowest, shared.region = score, region
		}
	}
	consider(s.Region, usable(s, s.ByTarget[r.Target]))
	for i := range s.Peers {
		p := &s.Peers[i]
		if !p.Suspect && p.Region != s.Region {
			consider(p.Region, p.Services[r.Target].Upstreams)
		}
	}
	return shared
}

// usable counts the upstreams that can take work.
func usable(s *Snapshot, candidates []int32) int {
	n := 0
	for _, i := range candidates {
		if u := &s.Upstreams[i]; !u.Leaving && !u.Down && !u.Evacuated && !u.Cold {
			n++
		}
	}
	return n
}

// readSeconds estimates the time to read the prompt in another region.
func (p sharedParts) readSeconds(r *Request, region string) float64 {
	tokens := float64(r.Tokens)
	if region == p.region {
		return (tokens - float64(p.tokens)) * serviceSecondsPerToken
	}
	return (tokens + (sharedWeight-1)*float64(p.tokens)) * serviceSecondsPerToken
}

// drawsTo reports whether a request goes to the home of its shared parts in another region,
// given the best upstream of the own one and the estimate for the other in seconds. That
// the own upstream holds the parts is only a guess where no request of this instance went
// there before.
func (p sharedParts) drawsTo(s *Snapshot, peer *Peer, best *scored, remote float64) bool {
	if p.region == s.Region || peer.Region != p.region {
		return false
	}
	return remote+homeMargin < best.cost+sharedWeight*float64(best.guessed)*serviceSecondsPerToken
}
