// Package writes runs writes that carry an idempotency key at most once over all
// entry instances.
//
// Rendezvous hashing ranks three slots for a key. Only the instance that holds the
// first one, the owner, sends the write. It records the write and copies the record
// to the holder of another ranked slot before the first byte may leave, so that the
// owner's successor knows of every write that may have run.
package writes

import (
	"context"
	"encoding/binary"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"heatherloom/internal/dispatch"
	"heatherloom/internal/errkind"
	"heatherloom/internal/idempotency"
	"heatherloom/internal/quota"
	"heatherloom/internal/relay"
	"heatherloom/internal/routing"
)

const (
	// HeaderReplayed marks an answer that an earlier request with the key received.
	HeaderReplayed = "Idempotent-Replayed"
	// Canceled is the state in a copy message that removes the copy of a write that
	// was certainly not sent.
	Canceled idempotency.State = "cancelled"
	// maxSnapshotAge is the age above which a snapshot does not prove that the slot is
	// held: the process was paused. Snapshots are published every 50 ms.
	maxSnapshotAge = 2 * time.Second
	// maxRecordedBody bounds the answer that is kept for a replay. A repeat of a write
	// with a larger answer is told that the outcome is not known any more.
	maxRecordedBody = 1 << 20
)

// Write is a write with an idempotency key.
type Write struct {
	Key string
	// Region is the region whose slots are ranked; empty if the key chooses it.
	Region  string
	Request *dispatch.Request
}

func (w *Write) id() idempotency.ID {
	return idempotency.ID{Account: w.Request.Account, Key: w.Key}
}

// Answer is the answer to a write.
type Answer struct {
	idempotency.Response
	// Replayed is true if an earlier request with the key received it first.
	Replayed bool
}

// Pulled is what an instance answers to the new holder of a slot.
type Pulled struct {
	Records []idempotency.Record
	// CompleteSince is the time since which the records are complete.
	CompleteSince time.Time
	// Slot is the slot that the instance holds, as domain/index; empty for none.
	Slot string
}

// Peers reaches other entry instances. RunWrite sends the write at most once.
type Peers interface {
	RunWrite(ctx context.Context, p routing.Peer, w *Write) (Answer, *errkind.Error)
	// CopyWrite reports whether the peer keeps the record.
	CopyWrite(ctx context.Context, p routing.Peer, r idempotency.Record) (bool, error)
	PullWrites(ctx context.Context, p routing.Peer, slot quota.Slot, division uint64) (Pulled, error)
}

// Dispatcher sends a write to an upstream.
type Dispatcher interface {
	Dispatch(ctx context.Context, r *dispatch.Request, sink dispatch.Sink) *errkind.Error
}

// Service runs the writes of one instance. It is safe for concurrent use.
type Service struct {
	Snapshot   func() *routing.Snapshot
	Dispatcher Dispatcher
	Peers      Peers
	Table      *idempotency.Table
	Now        func() time.Time
	// FirstClaim reports whether the slot that this instance holds was never claimed
	// before; nil for never.
	FirstClaim func() bool
	// Claimed returns the slots that are claimed in the store; nil if that is not known.
	Claimed func(ctx context.Context) ([]quota.Slot, error)
	// Timing may be zero for the defaults.
	Timing Timing
	// Log may be nil.
	Log *logrus.Entry

	// ready is the claim for which the records were pulled; nil for none.
	ready    atomic.Pointer[claim]
	division atomic.Pointer[hashedDivision]
	settling settling
}

// hashedDivision keeps the hash of a division, which costs a pass over all slots.
type hashedDivision struct {
	division *quota.Division
	hash     uint64
}

func (s *Service) divisionHash(d *quota.Division) uint64 {
	if known := s.division.Load(); known != nil && known.division == d {
		return known.hash
	}
	hash := d.Hash()
	s.division.Store(&hashedDivision{division: d, hash: hash})
	return hash
}

// Fingerprint identifies the content of a write, so that a key that is used for two
// different writes is noticed.
func Fingerprint(r *dispatch.Request) uint64 {
	digest := xxhash.New()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.Path), r.Body} {
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = digest.Write(part)
	}
	return digest.Sum64()
}

// Run runs the write here or at its owner and delivers the answer to sink. The Ran
// of an error tells about this request, not about earlier ones with the same key.
func (s *Service) Run(ctx context.Context, w *Write, sink dispatch.Sink) *errkind.Error {
	ctx, cancel := context.WithDeadline(ctx, w.Request.Deadline)
	defer cancel()
	answer, err := s.answer(ctx, w)
	if err != nil {
		return err
	}
	header := http.Header{}
	for name, value := range answer.Headers {
		header.Set(name, value)
	}
	if answer.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	return relay.DeliverWhole(sink, answer.Status, header, answer.Body).Err
}

func (s *Service) answer(ctx context.Context, w *Write) (Answer, *errkind.Error) {
	snapshot := s.Snapshot()
	ranked, err := rankedSlots(snapshot, w)
	if err != nil {
		return Answer{}, err
	}
	owner := ranked[0]
	if snapshot.Slots.Held && snapshot.Slots.Own == owner {
		return s.RunOwned(ctx, w)
	}
	peer, ok := holder(snapshot, owner)
	if !ok {
		return Answer{}, ownerUnavailable("no reachable instance holds the slot %s, which owns the key", owner.ID())
	}
	return s.Peers.RunWrite(ctx, peer, w)
}

// rankedSlots returns the slots that may own or keep the record of a write.
func rankedSlots(snapshot *routing.Snapshot, w *Write) ([]quota.Slot, *errkind.Error) {
	if snapshot.Slots.Division == nil {
		return nil, ownerUnavailable("this instance does not know the slots yet")
	}
	ranked := snapshot.Slots.Division.WriteSlots(w.Request.Account, w.Key, w.Region)
	if len(ranked) == 0 {
		return nil, ownerUnavailable("the configuration defines no slots for the region %q", w.Region)
	}
	bound := w.Request.BoundRegion
	if bound != "" && ranked[0].Region != bound {
		return nil, errkind.New(errkind.HomeUnavailable,
			"the route belongs to region %q, but the data of the client account may not leave %q", ranked[0].Region, bound)
	}
	return ranked, nil
}

// holder returns the peer that holds a slot. Of two that name it, the one that was
// started later holds it.
func holder(snapshot *routing.Snapshot, slot quota.Slot) (routing.Peer, bool) {
	var best routing.Peer
	id := slot.ID()
	for _, p := range snapshot.Peers {
		if p.Slot == id && (best.ID == "" || p.Incarnation > best.Incarnation) {
			best = p
		}
	}
	return best, best.ID != ""
}

func ownerUnavailable(format string, args ...any) *errkind.Error {
	return errkind.New(errkind.WriteOwnerUnavailable, format, args...)
}

func unknown(format string, args ...any) *errkind.Error {
	err := errkind.New(errkind.OutcomeUnknown, format, args...)
	err.Ran = errkind.RanUnknown
	return err
}

// recordedAnswer collects the answer of an upstream.
type recordedAnswer struct {
	response idempotency.Response
}

// Head implements dispatch.Sink.
func (a *recordedAnswer) Head(status int, header http.Header) error {
	a.response.Status = status
	a.response.Headers = make(map[string]string, len(header))
	for name, values := range header {
		a.response.Headers[name] = strings.Join(values, ", ")
	}
	return nil
}

// Data implements dispatch.Sink.
func (a *recordedAnswer) Data(p []byte) error {
	a.response.Body = append(a.response.Body, p...)
	return nil
}

func copyOf(r idempotency.Response) idempotency.Response {
	return idempotency.Response{Status: r.Status, Headers: maps.Clone(r.Headers), Body: slices.Clone(r.Body)}
}
