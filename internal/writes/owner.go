package writes

import (
	"context"
	"time"

	"heatherloom/internal/errkind"
	"heatherloom/internal/idempotency"
	"heatherloom/internal/quota"
	"heatherloom/internal/routing"
)

// RunOwned runs a write whose owner slot this instance must hold. It never passes
// the write on, so that two instances with different views cannot loop it.
func (s *Service) RunOwned(ctx context.Context, w *Write) (Answer, *errkind.Error) {
	for {
		ranked, err := s.owned(w)
		if err != nil {
			return Answer{}, err
		}
		result := s.Table.Begin(s.Now(), idempotency.Record{
			ID: w.id(), Fingerprint: Fingerprint(w.Request), Owner: ranked[0], Ranked: ranked,
		})
		switch result.Verdict {
		case idempotency.Run:
			return s.runOnce(ctx, w, result.Record)
		case idempotency.Wait:
			if err := waitForEnd(ctx, result.Ended); err != nil {
				return Answer{}, err
			}
		default:
			return s.recorded(result)
		}
	}
}

// owned returns the ranked slots of a write if this instance may send it now.
func (s *Service) owned(w *Write) ([]quota.Slot, *errkind.Error) {
	snapshot := s.Snapshot()
	ranked, err := rankedSlots(snapshot, w)
	if err != nil {
		return nil, err
	}
	held, ok := s.claimOf(snapshot)
	if !ok || held.slot != ranked[0] {
		return nil, ownerUnavailable("this instance does not hold the slot %s, which owns the key", ranked[0].ID())
	}
	if pulled := s.ready.Load(); pulled == nil || *pulled != held {
		return nil, ownerUnavailable("the holder of the slot %s is still collecting the records of earlier writes", ranked[0].ID())
	}
	return ranked, nil
}

func waitForEnd(ctx context.Context, ended <-chan struct{}) *errkind.Error {
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return unknown("an earlier request with this key still runs; send the same request again to learn its outcome")
	}
}

// recorded answers a write that is not sent.
func (s *Service) recorded(result idempotency.Result) (Answer, *errkind.Error) {
	switch result.Verdict {
	case idempotency.Replay:
		return Answer{Response: copyOf(result.Record.Response), Replayed: true}, nil
	case idempotency.Conflict:
		return Answer{}, errkind.New(errkind.IdempotencyConflict,
			"the key was used for a request with another method, path or body; use a new key for another write")
	case idempotency.Full:
		return Answer{}, errkind.New(errkind.Overloaded, "the owner of the key can record no further write now")
	case idempotency.Undecidable:
		decidable := s.Table.CompleteSince().Add(idempotency.Retention)
		err := unknown("records of earlier writes may have been lost; whether this key was used can be decided from %s on; "+
			"a key that is a UUID of version 7 made more than %s after %s is accepted before",
			decidable.UTC().Format(time.RFC3339), idempotency.ClockMargin, s.Table.CompleteSince().UTC().Format(time.RFC3339))
		err.RetryAfter = max(decidable.Sub(s.Now()), time.Second)
		return Answer{}, err
	default:
		forgotten := result.Record.Ended.Add(idempotency.Retention)
		return Answer{}, unknown("an earlier request with this key was sent and its outcome is not known; "+
			"check at the service whether it took effect; the key stays refused until %s", forgotten.UTC().Format(time.RFC3339))
	}
}

// runOnce sends a write that was recorded as running.
func (s *Service) runOnce(ctx context.Context, w *Write, record idempotency.Record) (Answer, *errkind.Error) {
	run := &ownedRun{service: s, record: record}
	defer run.abandon()
	// The caller's leaving must not end the work on the record.
	work := context.WithoutCancel(ctx)
	if err := run.copyBefore(work); err != nil {
		run.cancel(work)
		return Answer{}, err
	}
	if _, err := s.owned(w); err != nil {
		run.cancel(work)
		return Answer{}, err
	}
	out := &recordedAnswer{}
	if err := s.Dispatcher.Dispatch(ctx, w.Request, out); err != nil {
		if err.Ran == errkind.RanNo {
			run.cancel(work)
		} else {
			run.finish(work, idempotency.Unknown, idempotency.Response{})
		}
		return Answer{}, err
	}
	if len(out.response.Body) > maxRecordedBody {
		run.finish(work, idempotency.Unknown, idempotency.Response{})
	} else {
		run.finish(work, idempotency.Done, copyOf(out.response))
	}
	return Answer{Response: out.response}, nil
}

// ownedRun is one write that this instance sends.
type ownedRun struct {
	service *Service
	record  idempotency.Record
	// asked are the peers that may have a copy, keeps the one that has it for certain.
	asked []routing.Peer
	keeps string
	ended bool
}

// copyBefore stores a copy at the holder of the second slot, or else of the third.
// A region with a single slot has no place for a copy. That is safe, because a new
// holder of its only slot has complete records only from its own start on.
func (r *ownedRun) copyBefore(ctx context.Context) *errkind.Error {
	if len(r.record.Ranked) == 1 {
		return nil
	}
	if r.copyToOne(ctx) {
		return nil
	}
	return ownerUnavailable("no other instance could keep a copy of the record, so the write was not sent")
}

// copyToOne copies the record to the first ranked holder that accepts it.
func (r *ownedRun) copyToOne(ctx context.Context) bool {
	snapshot := r.service.Snapshot()
	for _, slot := range r.record.Ranked[1:] {
		peer, ok := holder(snapshot, slot)
		if !ok {
			continue
		}
		r.asked = append(r.asked, peer)
		if r.service.copyTo(ctx, peer, r.record) {
			r.keeps = peer.ID
			return true
		}
	}
	return false
}

// cancel forgets a write that was certainly not sent. A copy that cannot be removed
// makes a later owner refuse the key, which is safe.
func (r *ownedRun) cancel(ctx context.Context) {
	r.ended = true
	r.service.Table.Cancel(r.record.ID)
	dropped := r.record
	dropped.State = Canceled
	for _, peer := range r.asked {
		r.service.copyTo(ctx, peer, dropped)
	}
}

// finish records the end here and at the copy before the caller hears of it, so that
// a repeat gets the same answer when this instance ends right after.
func (r *ownedRun) finish(ctx context.Context, state idempotency.State, response idempotency.Response) {
	r.ended = true
	now := r.service.Now()
	record, ok := r.service.Table.Finish(now, r.record.ID, state, response)
	if !ok {
		// The records of a new holder were collected meanwhile.
		record = r.record
		record.State, record.Response, record.Ended = state, response, now
		r.service.Table.Store(record)
	}
	r.record = record
	if len(record.Ranked) == 1 {
		return
	}
	for _, peer := range r.asked {
		if peer.ID == r.keeps && r.service.copyTo(ctx, peer, record) {
			return
		}
	}
	r.copyToOne(ctx)
}

// abandon records an unknown outcome if the run ended with a panic.
func (r *ownedRun) abandon() {
	if !r.ended {
		r.finish(context.Background(), idempotency.Unknown, idempotency.Response{})
	}
}
