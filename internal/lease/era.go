package lease

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"heatherloom/internal/external"
)

// EraCalls are the calls of a Store that numbers its restores from older copies: each also returns
// the era of the store that responded. Revisions and lease IDs are as the store knows them.
type EraCalls interface {
	GetInEra(ctx context.Context, key string) (e external.Entry, era int64, err error)
	CommitInEra(ctx context.Context, conditions []external.Condition, writes []external.Write) (ok bool, revision, era int64, err error)
	// GrantLeaseInEra also returns the TTL that applies, which may be another one than was requested.
	GrantLeaseInEra(ctx context.Context, ttl time.Duration) (lease int64, applied time.Duration, era int64, err error)
	RenewLeaseInEra(ctx context.Context, lease int64) (era int64, err error)
	RevokeLeaseInEra(ctx context.Context, lease int64) error
}

// EraStore is a Store whose revisions are extended by the era of the store (external.ExtendByEra). They
// never decrease and are never issued twice, also if the store is restored from an older copy. Its
// lease IDs are numbers of its own, extended by the era of the grant, because those of the store may
// have any size. It is as safe for concurrent use as its calls.
type EraStore struct {
	calls EraCalls

	mu sync.Mutex
	// ids holds the ID in the store of each lease that this EraStore was granted, by the own one, and granted
	// the own ones, oldest first.
	ids     map[int64]int64
	granted []int64
	// ttls holds the TTL that applies to each lease of ids.
	ttls map[int64]time.Duration
	// last is the number of the latest grant.
	last int64
}

var _ Store = (*EraStore)(nil)

// NewEraStore returns a Store that makes the given calls.
func NewEraStore(calls EraCalls) *EraStore {
	return &EraStore{calls: calls, ids: map[int64]int64{}, ttls: map[int64]time.Duration{}}
}

// maxKnownLeases is how many leases are known at once. A holder has one, and leases that were granted
// without a response are not known.
const maxKnownLeases = 64

// foreignLease is the own ID of each lease that this EraStore was not granted in the era of the response.
const foreignLease = -1

// learn returns the own ID of a lease that the store has granted.
func (s *EraStore) learn(era, id int64, ttl time.Duration) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	own, err := extend(era, s.last)
	if err != nil {
		return 0, err
	}
	s.ids[own], s.ttls[own] = id, ttl
	s.granted = append(s.granted, own)
	if len(s.granted) > maxKnownLeases {
		delete(s.ids, s.granted[0])
		delete(s.ttls, s.granted[0])
		s.granted = s.granted[1:]
	}
	return own, nil
}

// idOf returns the ID in the store of an own one; ok is false if it is not known any more.
func (s *EraStore) idOf(own int64) (id int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok = s.ids[own]
	return id, ok
}

// ownID returns the own ID of a lease that a response of an era names.
func (s *EraStore) ownID(era, id int64) int64 {
	if id == 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, own := range s.granted {
		if granted, _ := external.SplitEra(own); granted == era && s.ids[own] == id {
			return own
		}
	}
	return foreignLease
}

// errEra reports a value that cannot be extended by the era.
var errEra = errors.New("the era or revision of a response is out of range")

func extend(era, revision int64) (int64, error) {
	extended, ok := external.ExtendByEra(era, revision)
	if !ok {
		return 0, errors.Join(external.ErrUnavailable, errEra, fmt.Errorf("era %d, value %d", era, revision))
	}
	return extended, nil
}

// Get implements Store. Both numbers of the entry have the era of the response, which is later than
// that of its last write if the store was restored since.
func (s *EraStore) Get(ctx context.Context, key string) (external.Entry, error) {
	e, era, err := s.calls.GetInEra(ctx, key)
	if err != nil {
		return external.Entry{}, err
	}
	if e.ModRevision, err = extend(era, e.ModRevision); err != nil {
		return external.Entry{}, err
	}
	e.Lease = s.ownID(era, e.Lease)
	return e, nil
}

// Commit implements Store. It returns external.ErrLeaseNotFound also if the response is not of the
// era that the conditions and leases have; the writes may have taken effect then.
func (s *EraStore) Commit(ctx context.Context, conditions []external.Condition, writes []external.Write) (bool, int64, error) {
	var want expectedEra
	plainConditions := make([]external.Condition, len(conditions))
	for n, c := range conditions {
		c.ModRevision = want.split(c.ModRevision)
		plainConditions[n] = c
	}
	plainWrites := make([]external.Write, len(writes))
	for n, w := range writes {
		if w.Lease != 0 {
			want.split(w.Lease)
			id, ok := s.idOf(w.Lease)
			if !ok {
				return false, 0, external.ErrLeaseNotFound
			}
			w.Lease = id
		}
		plainWrites[n] = w
	}
	if want.mixed {
		return false, 0, external.ErrLeaseNotFound
	}
	ok, revision, era, err := s.calls.CommitInEra(ctx, plainConditions, plainWrites)
	switch {
	case err != nil:
		return false, 0, err
	case want.known && era != want.era:
		return false, 0, external.ErrLeaseNotFound
	case !ok:
		return false, 0, nil
	}
	extended, err := extend(era, revision)
	return err == nil, extended, err
}

// expectedEra collects the era of the numbers in a call.
type expectedEra struct {
	era          int64
	known, mixed bool
}

// split returns the number without its era.
func (x *expectedEra) split(extended int64) int64 {
	if extended == 0 {
		return 0
	}
	era, plain := external.SplitEra(extended)
	x.mixed = x.mixed || (x.known && era != x.era)
	x.era, x.known = era, true
	return plain
}

// GrantLease implements Store.
func (s *EraStore) GrantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	id, applied, era, err := s.calls.GrantLeaseInEra(ctx, ttl)
	if err != nil {
		return 0, err
	}
	return s.learn(era, id, applied)
}

// AppliedTTL returns the TTL that applies to a lease; 0 if it is not known.
func (s *EraStore) AppliedTTL(own int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ttls[own]
}

// RenewLease implements Store. A response of another era than that of the grant is
// external.ErrLeaseNotFound, because the ID may belong to another lease by now.
func (s *EraStore) RenewLease(ctx context.Context, own int64) error {
	want, _ := external.SplitEra(own)
	id, ok := s.idOf(own)
	if !ok {
		return external.ErrLeaseNotFound
	}
	era, err := s.calls.RenewLeaseInEra(ctx, id)
	if err == nil && era != want {
		return external.ErrLeaseNotFound
	}
	return err
}

// RevokeLease implements Store. In another era than that of the grant it may end another lease,
// which its holder notices at the next renewal.
func (s *EraStore) RevokeLease(ctx context.Context, own int64) error {
	id, ok := s.idOf(own)
	if !ok {
		return external.ErrLeaseNotFound
	}
	return s.calls.RevokeLeaseInEra(ctx, id)
}
