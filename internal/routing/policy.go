package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"heatherloom/internal/external"
)

// Request holds the properties of a request that routing depends on.
type Request struct {
	ID string
	// Target is model@version or the name of a service.
	Target string
	// BoundRegion is the only region in which the request may run; empty for any.
	BoundRegion string
	// Visited are the entry instances that already handled the request.
	Visited []string
	// Tried are the upstreams and peers that already failed to serve the request.
	Tried []string
	// Prefix holds the hashes of the leading blocks of the prompt, see package
	// promptprefix, and PromptTokens is the estimated length of the prompt.
	Prefix       []uint64
	PromptTokens int64
	// BodyBytes is the length of the request body.
	BodyBytes int64
	// Now is the time of the pick in Unix nanoseconds.
	Now int64
	// Service is set for requests on host routes.
	Service *ServiceRequest
}

// Choice is the result of a pick. Exactly one index is set; the other is -1.
type Choice struct {
	Upstream int32
	Peer     int32
	// PrefillTokens is the estimated number of prompt tokens that the upstream has to compute
	// for the request, and QueuedTokens the number queued ahead of them.
	PrefillTokens int64
	QueuedTokens  int64
	// ColdReserved is true if the pick reserved a place at an upstream that is or may become cold, which the attempt must
	// take by Counters.ColdReservation.
	ColdReserved bool
}

const none = int32(-1)

// Policy chooses where a request runs. Pick does not allocate unless it fails. It
// returns an *errkind.Error of kind HomeUnavailable or NoUpstream if there is no
// candidate. A Policy is safe for concurrent use if each caller has its own Scratch.
type Policy interface {
	Name() string
	Pick(s *Snapshot, r *Request, x *Scratch) (Choice, error)
}

// Scratch is the working memory of one pick. It may be reused for later picks.
type Scratch struct {
	rng     *rand.Rand
	matches [maxMatches]match
	// found is the used part of matches.
	found []match
	// shared describes the shared parts of the current prompt.
	shared sharedParts
}

// NewScratch returns a Scratch whose random choices are derived from seed.
func NewScratch(seed uint64) *Scratch {
	return &Scratch{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Names of the policies.
const (
	NameDefault          = "default"
	NameRoundRobin       = "round-robin"
	NameLeastOutstanding = "least-outstanding"
	NamePowerOfTwo       = "power-of-two"
)

// PolicyNames returns the names that NewPolicy accepts.
func PolicyNames() []string {
	return []string{NameDefault, NameRoundRobin, NameLeastOutstanding, NamePowerOfTwo}
}

// NewPolicy returns the policy with the given name. Only the default policy uses w and
// index.
func NewPolicy(name string, w Weights, index *PrefixIndex) (Policy, error) {
	switch name {
	case NameDefault:
		return &weighted{weights: w, index: index}, nil
	case NameRoundRobin:
		return &roundRobin{}, nil
	case NameLeastOutstanding:
		return leastOutstanding{}, nil
	case NamePowerOfTwo:
		return powerOfTwo{}, nil
	}
	return nil, fmt.Errorf("unknown policy %q; allowed policies are %s", name, strings.Join(PolicyNames(), ", "))
}

// FallbackPolicy returns the policy that is used if none is configured: least-outstanding with
// ties broken in the order of the snapshot.
func FallbackPolicy() Policy { return leastOutstanding{ordered: true} }

// queueLength returns the number of requests at the upstream. Load reports lag, so the
// running requests are at least the attempts that this instance has in flight.
func queueLength(u *Upstream) int64 {
	return max(u.Counters.InFlight.Load(), int64(u.Load.Running)) + int64(u.Load.Waiting)
}

// pickRemotePeer picks an allowed entry instance of another region, starting at a random
// one. The baseline policies use it only if no upstream of this region is available.
func pickRemotePeer(s *Snapshot, r *Request, x *Scratch) (Choice, error) {
	if !mayForward(r) || len(s.Peers) == 0 {
		return Choice{}, noCandidateError(r)
	}
	start := x.rng.IntN(len(s.Peers))
	for k := range s.Peers {
		i := (start + k) % len(s.Peers)
		if allowsPeer(s, &s.Peers[i], r) {
			return Choice{Upstream: none, Peer: int32(i)}, nil
		}
	}
	return Choice{}, noCandidateError(r)
}

func upstreamChoice(i int32, r *Request) (Choice, error) {
	return Choice{Upstream: i, Peer: none, PrefillTokens: r.PromptTokens}, nil
}

// IsEngine reports whether the upstream is a model engine.
func (u *Upstream) IsEngine() bool { return u.Role == external.RoleEngine }
