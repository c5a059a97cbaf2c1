package peer

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"heatherloom/internal/peer/peerv1"
)

// maxCachedMembers bounds the cache: twice the 920 members that the design allows for. A
// member takes about 0.5 KB.
const maxCachedMembers = 2048

// MemberCache caches member messages by digest, so that heartbeats carry a digest in place of
// the fields that do not change. Full member messages took three quarters of the bytes of
// a heartbeat. It is safe for concurrent use. A nil MemberCache sends full messages.
type MemberCache struct {
	mu      sync.Mutex
	members map[uint64]*peerv1.Member
}

// NewMemberCache returns an empty MemberCache.
func NewMemberCache() *MemberCache { return &MemberCache{members: map[uint64]*peerv1.Member{}} }

// staticFields returns the fields of a member that its digest covers: all but those that
// change while a process runs.
func staticFields(m *peerv1.Member) *peerv1.Member {
	static := proto.Clone(m).(*peerv1.Member)
	static.ConfigRevision, static.Draining, static.ConfigAgeMs, static.SilentMs, static.Digest = 0, false, 0, 0, 0
	static.Engines, static.QueueUs = 0, 0
	return static
}

// withDynamicFields returns static, which may hold only a digest, with the dynamic
// fields of m.
func withDynamicFields(static, m *peerv1.Member) *peerv1.Member {
	member := proto.Clone(static).(*peerv1.Member)
	member.ConfigRevision, member.Draining, member.ConfigAgeMs, member.SilentMs = m.ConfigRevision, m.Draining, m.ConfigAgeMs, m.SilentMs
	member.Engines, member.QueueUs = m.Engines, m.QueueUs
	return member
}

// store caches the static fields of a full member message and returns their digest, which
// is computed here and not taken from the sender.
func (r *MemberCache) store(m *peerv1.Member) uint64 {
	static := staticFields(m)
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(static)
	if err != nil {
		return 0
	}
	digest := xxhash.Sum64(raw)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.members[digest]; !ok {
		if len(r.members) >= maxCachedMembers {
			clear(r.members)
		}
		r.members[digest] = static
	}
	return digest
}

// compact returns the member with its digest in place of the fields that the digest covers.
func (r *MemberCache) compact(m *peerv1.Member) *peerv1.Member {
	if r == nil {
		return m
	}
	if digest := r.store(m); digest != 0 {
		return withDynamicFields(&peerv1.Member{Digest: digest}, m)
	}
	return m
}

func (r *MemberCache) compactAll(members []*peerv1.Member) []*peerv1.Member {
	var compacted []*peerv1.Member
	for _, m := range members {
		compacted = append(compacted, r.compact(m))
	}
	return compacted
}

// expand returns the full member message for m; nil if its digest is not known.
func (r *MemberCache) expand(m *peerv1.Member) *peerv1.Member {
	if m.GetId() != "" {
		if r != nil {
			r.store(m)
		}
		return m
	}
	if r == nil || m == nil {
		return nil
	}
	r.mu.Lock()
	static := r.members[m.GetDigest()]
	r.mu.Unlock()
	if static == nil {
		return nil
	}
	return withDynamicFields(static, m)
}

// expandAll returns the members whose fields are known, and the digests of the others.
func (r *MemberCache) expandAll(members []*peerv1.Member) (expanded []*peerv1.Member, wanted []uint64) {
	for _, m := range members {
		if member := r.expand(m); member != nil {
			expanded = append(expanded, member)
		} else {
			wanted = append(wanted, m.GetDigest())
		}
	}
	return expanded, wanted
}

// followUp returns the request that follows resp, the response to req: it carries the full
// members that the peer wants, and asks for the peer's own member message if self is nil.
// It returns nil if nothing is missing.
func (r *MemberCache) followUp(req *peerv1.HeartbeatRequest, resp *peerv1.HeartbeatResponse, self *peerv1.Member) *peerv1.HeartbeatRequest {
	if len(resp.GetWanted()) == 0 && self != nil {
		return nil
	}
	next := &peerv1.HeartbeatRequest{Self: req.Self}
	if self == nil {
		next.Wanted = []uint64{resp.GetSelf().GetDigest()}
	}
	for i, m := range append([]*peerv1.Member{req.Self}, req.Known...) {
		if m.GetId() != "" || !slices.Contains(resp.GetWanted(), m.GetDigest()) {
			continue
		}
		full := r.expand(m)
		switch {
		case full == nil:
		case i == 0:
			next.Self = full
		default:
			next.Known = append(next.Known, full)
		}
	}
	return next
}
