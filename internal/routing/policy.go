package routing

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"heatherloom/internal/external"
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
	// Prefix holds the hashes of the leading blocks of the prompt, see package
	// promptprefix, and Tokens its estimated length.
	Prefix []uint64
	Tokens int64
	// Bytes is the length of the body.
	Bytes int64
	// Now is the time of the pick in Unix nanoseconds.
	Now int64
	// Service is set for the requests of host routes.
	Service *ServiceRequest
}

// Choice is the result of a pick. Exactly one index is set; the other is -1.
type Choice struct {
	Upstream int32
	Peer     int32
	// Tokens are the prompt tokens that the upstream probably has to compute, and
	// Ahead those that it has to compute before them.
	Tokens int64
	Ahead  int64
}

const none = int32(-1)

// Policy chooses where a request runs. Pick does not allocate unless it fails; it
// returns an *errkind.Error of kind HomeUnavailable or NoUpstream if there is no
// candidate. A Policy is safe for concurrent use with a Scratch for each caller.
type Policy interface {
	Name() string
	Pick(s *Snapshot, r *Request, x *Scratch) (Choice, error)
}

// Scratch is the working space of one pick. It may be reused for the next.
type Scratch struct {
	rng     *rand.Rand
	matches [maxMatches]match
	// found is the used part of matches.
	found []match
	// shared are the shared parts of the prompt in hand.
	shared sharedParts
}

// NewScratch returns a working space whose random choices follow from seed.
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

// PolicyNames returns the names that NewPolicy knows.
func PolicyNames() []string {
	return []string{NameDefault, NameRoundRobin, NameLeastOutstanding, NamePowerOfTwo}
}

// NewPolicy returns the policy with the given name. Only the default policy uses
// the weights and the index.
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
	return nil, fmt.Errorf("policy %q does not exist; allowed are %s", name, strings.Join(PolicyNames(), ", "))
}

// Fallback returns the policy that is used if none is set: the least outstanding, with
// equal queues in the order of the snapshot.
func Fallback() Policy { return leastOutstanding{ordered: true} }

// queueLength corrects the lagging report by the attempts that this instance
// itself has in flight.
func queueLength(u *Upstream) int64 {
	return max(u.Counters.InFlight.Load(), int64(u.Load.Running)) + int64(u.Load.Waiting)
}

// baselinePeer is the choice of the baselines, which leave the region only without an
// upstream: the allowed entry instances in turn from a random one.
func baselinePeer(s *Snapshot, r *Request, x *Scratch) (Choice, error) {
	if !mayForward(r) || len(s.Peers) == 0 {
		return Choice{}, noChoice(r)
	}
	start := x.rng.IntN(len(s.Peers))
	for k := range s.Peers {
		i := (start + k) % len(s.Peers)
		if allowsPeer(s, &s.Peers[i], r) {
			return Choice{Upstream: none, Peer: int32(i)}, nil
		}
	}
	return Choice{}, noChoice(r)
}

func upstreamChoice(i int32, r *Request) (Choice, error) {
	return Choice{Upstream: i, Peer: none, Tokens: r.Tokens}, nil
}

// IsEngine reports whether the upstream is a model engine.
func (u *Upstream) IsEngine() bool { return u.Role == external.RoleEngine }
