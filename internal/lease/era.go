package lease

import (
	"context"
	"errors"
	"fmt"
	"time"

	"heatherloom/internal/external"
)

// EraCalls are the calls of a Store that numbers its restores from older copies: each also returns
// the era of the store that responded. Revisions and lease IDs are as the store knows them.
type EraCalls interface {
	GetInEra(ctx context.Context, key string) (e external.Entry, era int64, err error)
	CommitInEra(ctx context.Context, conditions []external.Condition, writes []external.Write) (ok bool, revision, era int64, err error)
	GrantLeaseInEra(ctx context.Context, ttl time.Duration) (lease, era int64, err error)
	RenewLeaseInEra(ctx context.Context, lease int64) (era int64, err error)
	RevokeLeaseInEra(ctx context.Context, lease int64) error
}

// EraStore is a Store whose revisions and lease IDs are extended by the era of the store
// (external.ExtendByEra). They never decrease and are never issued twice, also if the store is
// restored from an older copy. It is as safe for concurrent use as its calls.
type EraStore struct{ calls EraCalls }

var _ Store = (*EraStore)(nil)

// NewEraStore returns a Store that makes the given calls.
func NewEraStore(calls EraCalls) *EraStore { return &EraStore{calls: calls} }

// errEra reports a value that cannot be extended by the era.
var errEra = errors.New("the era, revision or lease ID of a response is out of range")

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
	e.Lease, err = extend(era, e.Lease)
	return e, err
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
		w.Lease = want.split(w.Lease)
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
	id, era, err := s.calls.GrantLeaseInEra(ctx, ttl)
	if err != nil {
		return 0, err
	}
	return extend(era, id)
}

// RenewLease implements Store. A response of another era than that of the grant is
// external.ErrLeaseNotFound, because the ID may belong to another lease by now.
func (s *EraStore) RenewLease(ctx context.Context, extended int64) error {
	want, id := external.SplitEra(extended)
	era, err := s.calls.RenewLeaseInEra(ctx, id)
	if err == nil && era != want {
		return external.ErrLeaseNotFound
	}
	return err
}

// RevokeLease implements Store. In another era than that of the grant it may end another lease,
// which its holder notices at the next renewal.
func (s *EraStore) RevokeLease(ctx context.Context, extended int64) error {
	_, id := external.SplitEra(extended)
	return s.calls.RevokeLeaseInEra(ctx, id)
}
