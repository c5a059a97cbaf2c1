package routing

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// sharedRegionMarginSeconds is how much the region that holds the shared parts has to save
// before a request is forwarded there.
const sharedRegionMarginSeconds = 0.05

// sharedParts describes the shared parts of a prompt, which are all parts but the last.
type sharedParts struct {
	tokens int64
	// region is the region whose upstreams hold the parts; empty if there are no parts.
	region string
}

// locateSharedParts returns the shared parts of a request and the region that all instances
// prefer for them unless it is busy. The region is chosen by rendezvous hashing, weighted
// by the number of upstreams. Otherwise each region would compute the parts again.
func locateSharedParts(s *Snapshot, r *Request) sharedParts {
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
	consider := func(region string, hash uint64, upstreams int) {
		if upstreams == 0 || (len(r.Service.AllowedRegions) > 0 && !slices.Contains(r.Service.AllowedRegions, region)) {
			return
		}
		uniform := (float64(fmix64(key^hash)>>11) + 0.5) / (1 << 53)
		if score := -math.Log(uniform) / float64(upstreams); score < lowest {
			lowest, shared.region = score, region
		}
	}
	consider(s.Region, xxhash.Sum64String(s.Region), countUsable(s, s.ByTarget[r.Target]))
	for _, remote := range s.remoteSizes[r.Target] {
		consider(remote.region, remote.hash, remote.upstreams)
	}
	return shared
}

// regionSize is the largest number of upstreams of a target that an instance of another region reports.
type regionSize struct {
	region    string
	hash      uint64
	upstreams int
}

// indexRegions sets remoteSizes from the peers, so that a request does not look at each of them.
func (s *Snapshot) indexRegions() {
	s.remoteSizes = map[string][]regionSize{}
	for i := range s.Peers {
		p := &s.Peers[i]
		if p.Suspect || p.Region == s.Region {
			continue
		}
		for target, load := range p.Services {
			sizes := s.remoteSizes[target]
			k := slices.IndexFunc(sizes, func(r regionSize) bool { return r.region == p.Region })
			if k < 0 {
				s.remoteSizes[target] = append(sizes, regionSize{p.Region, xxhash.Sum64String(p.Region), load.Upstreams})
			} else {
				sizes[k].upstreams = max(sizes[k].upstreams, load.Upstreams)
			}
		}
	}
}

// countUsable returns the number of available upstreams.
func countUsable(s *Snapshot, candidates []int32) int {
	n := 0
	for _, i := range candidates {
		if u := &s.Upstreams[i]; !u.Draining && !u.Down && !u.Evacuated && !u.Cold {
			n++
		}
	}
	return n
}

// prefillSeconds estimates the time to compute the prompt in the given region.
func (p sharedParts) prefillSeconds(r *Request, region string) float64 {
	tokens := float64(r.PromptTokens)
	if region == p.region {
		return (tokens - float64(p.tokens)) * serviceSecondsPerToken
	}
	return (tokens + (sharedMissFactor-1)*float64(p.tokens)) * serviceSecondsPerToken
}

// shouldForward reports whether a request is forwarded to peer because its region holds the
// shared parts, given the best upstream of the local region and the estimate for the remote
// one in seconds. Without an earlier request of this instance, it is only assumed that the
// local upstream holds the parts, so the assumed tokens count as not cached.
func (p sharedParts) shouldForward(s *Snapshot, peer *Peer, best *scoredUpstream, remote float64) bool {
	if p.region == s.Region || peer.Region != p.region {
		return false
	}
	return remote+sharedRegionMarginSeconds < best.cost+sharedMissFactor*float64(best.assumedCached)*serviceSecondsPerToken
}
