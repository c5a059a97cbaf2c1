package writes

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"heatherloom/internal/idempotency"
	"heatherloom/internal/quota"
	"heatherloom/internal/routing"
)

// Timing holds the timeouts and intervals for copying and collecting records.
type Timing struct {
	// CopyTimeout is the timeout for sending one copy of a record, PullTimeout that for
	// reading the records of the peers.
	CopyTimeout, PullTimeout time.Duration
	// PeerWaitTimeout is how long a new holder waits to learn of the other holders, whose
	// heartbeats arrive every second.
	PeerWaitTimeout time.Duration
	// SettlePeriod is how long instances may disagree on the owner of a key after the slots
	// changed: a configuration takes effect everywhere within 8 s.
	SettlePeriod time.Duration
	// PollInterval is the interval between checks of the claim.
	PollInterval time.Duration
}

// DefaultTiming returns the timing of an entry instance.
func DefaultTiming() Timing {
	return Timing{
		CopyTimeout:     time.Second,
		PullTimeout:     5 * time.Second,
		PeerWaitTimeout: 3 * time.Second,
		SettlePeriod:    10 * time.Second,
		PollInterval:    100 * time.Millisecond,
	}
}

const (
	// sweepInterval is the interval between removals of expired records.
	sweepInterval = time.Minute
	// maxParallelHandOvers bounds the copies that a draining instance sends concurrently.
	maxParallelHandOvers = 16
	// minHandOverCopies is the number of copies with which a record survives one failure.
	minHandOverCopies = 2
)

func (s *Service) timing() Timing {
	if s.Timing == (Timing{}) {
		return DefaultTiming()
	}
	return s.Timing
}

// recordsScope identifies what the collected records are valid for: the slot, the claim on
// it (identified by its UsableFrom in Unix nanoseconds), and the hash of the set of slots by
// which keys are ranked.
type recordsScope struct {
	slot        quota.Slot
	usableFrom  int64
	slotSetHash uint64
}

func (s *Service) currentScope(snapshot *routing.Snapshot) (recordsScope, bool) {
	state := snapshot.Quota
	if !state.Held || state.Division == nil || s.Now().Sub(snapshot.Published) > maxSnapshotAge {
		return recordsScope{}, false
	}
	return recordsScope{slot: state.Own, usableFrom: state.UsableFrom.UnixNano(), slotSetHash: s.slotSetHash(state.Division)}, true
}

// slotSetChange is the hash of the current set of slots and the time at which that set was
// first seen. The time is zero for the set seen first after the start: it counts as settled
// at once, a later one only after SettlePeriod.
type slotSetChange struct {
	slotSetHash uint64
	since       time.Time
}

// MaintainRecords collects the records of each slot that this instance acquires and removes
// expired records, until ctx is done.
func (s *Service) MaintainRecords(ctx context.Context) {
	poll := time.NewTicker(s.timing().PollInterval)
	defer poll.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		s.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		case <-sweep.C:
			s.Table.Sweep(s.Now())
		}
	}
}

func (s *Service) refresh(ctx context.Context) {
	snapshot := s.Snapshot()
	if !snapshot.Quota.Held {
		s.collectedFor.Store(nil)
		return
	}
	held, ok := s.currentScope(snapshot)
	if !ok {
		// The snapshot is stale after a pause; the next one shows whether the claim ended.
		return
	}
	if collected := s.collectedFor.Load(); collected != nil && *collected == held {
		return
	}
	s.collectedFor.Store(nil)
	if !s.slotSetSettled(held.slotSetHash) {
		return
	}
	s.collectRecords(ctx, held.slot)
	if still, ok := s.currentScope(s.Snapshot()); ok && still == held && ctx.Err() == nil {
		s.collectedFor.Store(&held)
	}
}

func (s *Service) slotSetSettled(slotSetHash uint64) bool {
	now := s.Now()
	if s.slotSetChange.slotSetHash == 0 {
		s.slotSetChange = slotSetChange{slotSetHash: slotSetHash}
	}
	if s.slotSetChange.slotSetHash != slotSetHash {
		s.slotSetChange = slotSetChange{slotSetHash: slotSetHash, since: now}
	}
	return now.Sub(s.slotSetChange.since) >= s.timing().SettlePeriod
}

// Ready reports whether the records of earlier writes were collected, so that the
// instance can accept writes with keys of its slot.
func (s *Service) Ready() bool { return s.collectedFor.Load() != nil }

// collectRecords collects the records of the region and sets the time since which they are
// complete.
func (s *Service) collectRecords(ctx context.Context, own quota.Slot) {
	required := s.requiredSlots(ctx, own)
	s.waitForHolders(ctx, required)
	snapshot := s.Snapshot()
	responses := s.collectFromPeers(ctx, snapshot, own)
	// A copy stored on this instance may be of a write that an earlier holder sent.
	responses = append(responses, PullResponse{Records: s.Table.All(s.Now())})
	for _, response := range responses {
		for _, record := range response.Records {
			s.storeCollected(snapshot, own, record)
		}
	}
	since := s.completeSince(required, responses)
	s.Table.SetCompleteSince(since)
	if s.Log != nil {
		s.Log.WithField("event", "writes_collected").WithField("slot", own.ID()).
			WithField("complete_since", since).Info("collected the records of earlier writes from the peers that responded; complete_since tells from when they are complete")
	}
}

// requiredSlots returns the other slots of the region that may have had a holder.
func (s *Service) requiredSlots(ctx context.Context, own quota.Slot) []string {
	snapshot := s.Snapshot()
	slots := snapshot.Quota.Division.Slots()
	if s.ClaimedSlots != nil {
		if claimed, err := s.ClaimedSlots(ctx); err == nil {
			slots = claimed
		}
	} else if s.firstClaim() {
		slots = slices.DeleteFunc(slices.Clone(slots), func(slot quota.Slot) bool {
			_, ok := slotHolder(snapshot, slot)
			return !ok
		})
	}
	var required []string
	for _, slot := range slots {
		if slot.Region == own.Region && slot != own {
			required = append(required, slot.ID())
		}
	}
	return required
}

func (s *Service) firstClaim() bool { return s.FirstClaim != nil && s.FirstClaim() }

func (s *Service) waitForHolders(ctx context.Context, required []string) {
	ctx, cancel := context.WithTimeout(ctx, s.timing().PeerWaitTimeout)
	defer cancel()
	for !holdersKnown(s.Snapshot(), required) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.timing().PollInterval):
		}
	}
}

func holdersKnown(snapshot *routing.Snapshot, required []string) bool {
	for _, id := range required {
		if !slices.ContainsFunc(snapshot.Peers, func(p routing.Peer) bool { return p.Slot == id }) {
			return false
		}
	}
	return true
}

// collectFromPeers requests the records of all other instances of the region. Peers that do
// not respond are omitted.
func (s *Service) collectFromPeers(ctx context.Context, snapshot *routing.Snapshot, own quota.Slot) []PullResponse {
	ctx, cancel := context.WithTimeout(ctx, s.timing().PullTimeout)
	defer cancel()
	slotSetHash := s.slotSetHash(snapshot.Quota.Division)
	var mu sync.Mutex
	var responses []PullResponse
	var pulls sync.WaitGroup
	for _, peer := range snapshot.Peers {
		if peer.Region != own.Region {
			continue
		}
		pulls.Go(func() {
			response, err := s.Peers.PullWrites(ctx, peer, own, slotSetHash)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, response)
		})
	}
	pulls.Wait()
	return responses
}

// storeCollected stores a collected record if the own slot is ranked for its key.
func (s *Service) storeCollected(snapshot *routing.Snapshot, own quota.Slot, record idempotency.Record) {
	ranked := snapshot.Quota.Division.WriteSlots(record.ID.Account, record.ID.Key, record.Owner.Region)
	if !slices.Contains(ranked, own) {
		return
	}
	record.Owner, record.RankedSlots = ranked[0], ranked
	if ranked[0] == own {
		s.Table.Adopt(s.Now(), record)
		return
	}
	s.Table.Store(record)
}

// completeSince returns the time since which no record can be missing. Each record is at the
// owner and at one copy holder, so if one of the two is gone, none is missing if the holder
// of every required slot responded and was complete itself. If one did not respond, records
// count as complete only from now on. Without a required slot, only a slot that was never
// claimed before has no earlier records.
func (s *Service) completeSince(required []string, responses []PullResponse) time.Time {
	var since time.Time
	responded := map[string]bool{}
	for _, response := range responses {
		responded[response.Slot] = true
		// Only the holders of required slots decide completeness; records of other
		// instances are still used.
		if !slices.Contains(required, response.Slot) {
			continue
		}
		if response.CompleteSince.After(since) {
			since = response.CompleteSince
		}
	}
	for _, id := range required {
		if !responded[id] {
			return s.Now()
		}
	}
	if len(required) == 0 && !s.firstClaim() {
		return s.Now()
	}
	return since
}

// HandlePull returns the records that the new holder of a slot asks for.
func (s *Service) HandlePull(slot, region string, slotSetHash uint64) PullResponse {
	snapshot := s.Snapshot()
	pulled := PullResponse{CompleteSince: s.Table.CompleteSince()}
	if snapshot.Quota.Held {
		pulled.Slot = snapshot.Quota.Own.ID()
		// A first holder that has not collected yet has no earlier records of its slot to
		// miss, so its start time must not count.
		if s.collectedFor.Load() == nil && s.firstClaim() {
			pulled.CompleteSince = time.Time{}
		}
	}
	current := snapshot.Quota.Division
	sameSlots := current != nil && s.slotSetHash(current) == slotSetHash
	for _, record := range s.Table.All(s.Now()) {
		if record.Owner.Region != region {
			continue
		}
		// The slots may have changed since the record was made.
		if sameSlots && !containsSlotID(current.WriteSlots(record.ID.Account, record.ID.Key, region), slot) {
			continue
		}
		pulled.Records = append(pulled.Records, record)
	}
	return pulled
}

func containsSlotID(ranked []quota.Slot, id string) bool {
	return slices.ContainsFunc(ranked, func(slot quota.Slot) bool { return slot.ID() == id })
}

// StoreCopy stores the copy that another instance sent and reports whether it is stored.
// Only the holder of a ranked slot stores it; other instances are not asked for it.
func (s *Service) StoreCopy(record idempotency.Record, region string) bool {
	if record.State == StateCanceled {
		s.Table.RemoveCopy(record.ID, record.Started)
		return true
	}
	snapshot := s.Snapshot()
	held, ok := s.currentScope(snapshot)
	if !ok {
		return false
	}
	ranked := snapshot.Quota.Division.WriteSlots(record.ID.Account, record.ID.Key, region)
	if !slices.Contains(ranked, held.slot) || ranked[0] != record.Owner {
		return false
	}
	record.RankedSlots = ranked
	if ranked[0] != held.slot {
		return s.Table.Store(record)
	}
	if record.State == idempotency.StateRunning {
		// A draining instance handed over this copy: the write is either running here now,
		// or an earlier holder sent it.
		if s.Table.Has(record.ID) {
			return true
		}
		s.Table.Adopt(s.Now(), record)
		return true
	}
	return s.Table.Store(record)
}

// sendCopy sends the record to the peer and reports whether the peer stored it.
func (s *Service) sendCopy(ctx context.Context, peer routing.Peer, record idempotency.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, s.timing().CopyTimeout)
	defer cancel()
	accepted, err := s.Peers.CopyWrite(ctx, peer, record)
	return err == nil && accepted
}

// HandOver copies all records to the other ranked holders. A draining instance calls it
// after its last request has finished and before it releases its slot. It returns the
// number of records that fewer than two other holders stored. Unless that is 0, the slot
// must not be released, since a new holder of another slot could then lack a record
// without noticing.
func (s *Service) HandOver(ctx context.Context) int {
	snapshot := s.Snapshot()
	limit := make(chan struct{}, maxParallelHandOvers)
	var transfers sync.WaitGroup
	var tooFewCopies atomic.Int64
	for _, record := range s.Table.All(s.Now()) {
		limit <- struct{}{}
		transfers.Go(func() {
			defer func() { <-limit }()
			if s.handOverRecord(ctx, snapshot, record) < minHandOverCopies {
				tooFewCopies.Add(1)
			}
		})
	}
	transfers.Wait()
	return int(tooFewCopies.Load())
}

// handOverRecord returns the number of other holders that stored the record.
func (s *Service) handOverRecord(ctx context.Context, snapshot *routing.Snapshot, record idempotency.Record) int {
	if snapshot.Quota.Division == nil {
		return 0
	}
	// The slots may have changed since the record was made.
	record.RankedSlots = snapshot.Quota.Division.WriteSlots(record.ID.Account, record.ID.Key, record.Owner.Region)
	if len(record.RankedSlots) == 0 {
		return 0
	}
	record.Owner = record.RankedSlots[0]
	copies := 0
	for _, slot := range record.RankedSlots {
		peer, ok := slotHolder(snapshot, slot)
		if ok && ctx.Err() == nil && s.sendCopy(ctx, peer, record) {
			copies++
		}
	}
	return copies
}
