// Package writes runs writes that carry an idempotency key at most once across all
// entry instances.
//
// Rendezvous hashing ranks three slots for a key. Only the instance that holds the
// first one, the owner, sends the write. It records the write and copies the record
// to the holder of another ranked slot before it sends the first byte upstream, so that
// the owner's successor knows of every write that may have been executed.
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
	// HeaderReplayed marks a response that was recorded for an earlier request with the
	// same key.
	HeaderReplayed = "Idempotent-Replayed"
	// StateCanceled is the state in a message that removes the copy of a write that was
	// certainly not sent. It is never stored.
	StateCanceled idempotency.State = "cancelled"
	// maxSnapshotAge is the age above which a snapshot no longer proves that the slot is
	// held, because the process was paused. Snapshots are published every 50 ms.
	maxSnapshotAge = 2 * time.Second
	// maxRecordedBodyBytes bounds the response body that is stored for a replay. A retry
	// of a write with a larger response gets an unknown outcome.
	maxRecordedBodyBytes = 1 << 20
)

// Write is a write with an idempotency key.
type Write struct {
	Key string
	// Region is the region whose slots are ranked; if it is empty, the key selects it.
	Region  string
	Request *dispatch.Request
}

func (w *Write) id() idempotency.ID {
	return idempotency.ID{Account: w.Request.Account, Key: w.Key}
}

// Result is the response to a write.
type Result struct {
	idempotency.Response
	// Replayed is true if the response was recorded for an earlier request with the key.
	Replayed bool
}

// PullResponse is the response of an instance to the new holder of a slot.
type PullResponse struct {
	Records []idempotency.Record
	// CompleteSince is the time since which the records are complete; zero if none was ever
	// missing.
	CompleteSince time.Time
	// Slot is the slot that the instance holds, as domain/index; empty for none.
	Slot string
}

// Peers calls other entry instances. RunWrite sends the write at most once.
type Peers interface {
	RunWrite(ctx context.Context, p routing.Peer, w *Write) (Result, *errkind.Error)
	// CopyWrite reports whether the peer stored the record.
	CopyWrite(ctx context.Context, p routing.Peer, r idempotency.Record) (bool, error)
	PullWrites(ctx context.Context, p routing.Peer, slot quota.Slot, slotSetHash uint64) (PullResponse, error)
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
	// before; nil means false.
	FirstClaim func() bool
	// ClaimedSlots returns the slots that are claimed in the store; nil if there is no source
	// for them.
	ClaimedSlots func(ctx context.Context) ([]quota.Slot, error)
	// Timing may be zero for the defaults.
	Timing Timing
	// Log may be nil.
	Log *logrus.Entry

	// collectedFor is the scope for which records were collected; nil for none.
	collectedFor     atomic.Pointer[recordsScope]
	slotSetHashCache atomic.Pointer[cachedSlotSetHash]
	slotSetChange    slotSetChange
}

// cachedSlotSetHash caches the hash of a division, which takes a pass over all slots.
type cachedSlotSetHash struct {
	division *quota.Division
	hash     uint64
}

func (s *Service) slotSetHash(d *quota.Division) uint64 {
	if cached := s.slotSetHashCache.Load(); cached != nil && cached.division == d {
		return cached.hash
	}
	hash := d.Hash()
	s.slotSetHashCache.Store(&cachedSlotSetHash{division: d, hash: hash})
	return hash
}

// Fingerprint identifies the content of a write, so that reuse of a key for a different
// write is detected.
func Fingerprint(r *dispatch.Request) uint64 {
	digest := xxhash.New()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.Path), r.Body} {
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = digest.Write(part)
	}
	return digest.Sum64()
}

// Run runs the write locally or at its owner and delivers the response to sink. An error of
// kind OutcomeUnknown has Execution ExecutionUnknown because of an earlier request with the
// same key that may have been executed, although this request was not sent. The Execution
// field of any other error refers to this request alone: NotExecuted does not rule out that
// an earlier request with the same key was executed.
func (s *Service) Run(ctx context.Context, w *Write, sink dispatch.Sink) *errkind.Error {
	ctx, cancel := context.WithDeadline(ctx, w.Request.Deadline)
	defer cancel()
	result, err := s.routeToOwner(ctx, w)
	if err != nil {
		return err
	}
	header := http.Header{}
	for name, value := range result.Headers {
		header.Set(name, value)
	}
	if result.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	return relay.DeliverBuffered(sink, result.Status, header, result.Body).Err
}

// routeToOwner runs the write here if this instance holds the slot that owns the key, or else
// forwards it to the holder of that slot.
func (s *Service) routeToOwner(ctx context.Context, w *Write) (Result, *errkind.Error) {
	snapshot := s.Snapshot()
	ranked, err := rankedSlots(snapshot, w)
	if err != nil {
		return Result{}, err
	}
	owner := ranked[0]
	if snapshot.Quota.Held && snapshot.Quota.Own == owner {
		return s.RunAsOwner(ctx, w)
	}
	peer, ok := slotHolder(snapshot, owner)
	if !ok {
		return Result{}, ownerUnavailable("no reachable instance holds slot %s, which owns the key; this request was not sent and may be repeated with the same key; an earlier request with the key may have been sent", owner.ID())
	}
	return s.Peers.RunWrite(ctx, peer, w)
}

// rankedSlots returns the slots whose holders may run a write or store its record.
func rankedSlots(snapshot *routing.Snapshot, w *Write) ([]quota.Slot, *errkind.Error) {
	if snapshot.Quota.Division == nil {
		return nil, ownerUnavailable("this instance has no slot configuration yet; this request was not sent and may be repeated with the same key")
	}
	ranked := snapshot.Quota.Division.WriteSlots(w.Request.Account, w.Key, w.Region)
	if len(ranked) == 0 {
		return nil, ownerUnavailable("the configuration defines no slots for region %q; operators must define them; this request was not sent", w.Region)
	}
	boundRegion := w.Request.BoundRegion
	if boundRegion != "" && ranked[0].Region != boundRegion {
		return nil, errkind.New(errkind.HomeUnavailable,
			"the route runs in region %q, but the data of the client account must not leave region %q", ranked[0].Region, boundRegion)
	}
	return ranked, nil
}

// slotHolder returns the peer that holds a slot. If two peers report it, the one that
// was started later holds it.
func slotHolder(snapshot *routing.Snapshot, slot quota.Slot) (routing.Peer, bool) {
	var newest routing.Peer
	id := slot.ID()
	for _, p := range snapshot.Peers {
		if p.Slot == id && (newest.ID == "" || p.Incarnation > newest.Incarnation) {
			newest = p
		}
	}
	return newest, newest.ID != ""
}

func ownerUnavailable(format string, args ...any) *errkind.Error {
	return errkind.New(errkind.WriteOwnerUnavailable, format, args...)
}

func outcomeUnknown(format string, args ...any) *errkind.Error {
	err := errkind.New(errkind.OutcomeUnknown, format, args...)
	err.Execution = errkind.ExecutionUnknown
	return err
}

// responseRecorder is a sink that records the response of an upstream.
type responseRecorder struct {
	response idempotency.Response
}

// Head implements dispatch.Sink.
func (r *responseRecorder) Head(status int, header http.Header) error {
	r.response.Status = status
	r.response.Headers = make(map[string]string, len(header))
	for name, values := range header {
		r.response.Headers[name] = strings.Join(values, ", ")
	}
	return nil
}

// Data implements dispatch.Sink.
func (r *responseRecorder) Data(p []byte) error {
	r.response.Body = append(r.response.Body, p...)
	return nil
}

func cloneResponse(r idempotency.Response) idempotency.Response {
	return idempotency.Response{Status: r.Status, Headers: maps.Clone(r.Headers), Body: slices.Clone(r.Body)}
}
