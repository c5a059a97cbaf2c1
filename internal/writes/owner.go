package writes

import (
	"context"
	"time"

	"heatherloom/internal/errkind"
	"heatherloom/internal/idempotency"
	"heatherloom/internal/quota"
	"heatherloom/internal/routing"
)

// RunAsOwner sends a write, or returns the result of an earlier request with its key. It
// fails if this instance does not hold the slot that owns the key. It never forwards the
// write, so that two instances with different views cannot forward it in a loop.
func (s *Service) RunAsOwner(ctx context.Context, w *Write) (Result, *errkind.Error) {
	for {
		ranked, err := s.checkOwnership(w)
		if err != nil {
			return Result{}, err
		}
		result := s.Table.Begin(s.Now(), idempotency.Record{
			ID: w.id(), Fingerprint: Fingerprint(w.Request), Owner: ranked[0], RankedSlots: ranked,
		})
		switch result.Decision {
		case idempotency.DecisionRun:
			return s.sendAndRecord(ctx, w, result.Record)
		case idempotency.DecisionWait:
			if err := waitForCompletion(ctx, result.Ended); err != nil {
				return Result{}, err
			}
		default:
			return s.resultOf(result)
		}
	}
}

// checkOwnership returns the ranked slots of a write if this instance may send it now.
func (s *Service) checkOwnership(w *Write) ([]quota.Slot, *errkind.Error) {
	snapshot := s.Snapshot()
	ranked, err := rankedSlots(snapshot, w)
	if err != nil {
		return nil, err
	}
	held, ok := s.currentScope(snapshot)
	if !ok || held.slot != ranked[0] {
		return nil, ownerUnavailable("this instance does not hold slot %s, which owns the key; this request was not sent and may be repeated with the same key; an earlier request with the key may have been sent", ranked[0].ID())
	}
	if collected := s.collectedFor.Load(); collected == nil || *collected != held {
		return nil, ownerUnavailable("the holder of slot %s is still collecting the records of earlier writes; this request was not sent, repeat it shortly with the same key; an earlier request with the key may have been sent", ranked[0].ID())
	}
	return ranked, nil
}

func waitForCompletion(ctx context.Context, ended <-chan struct{}) *errkind.Error {
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return outcomeUnknown("an earlier request with this key is still running; retry the same request to get its outcome")
	}
}

// resultOf returns the result of a write that is not sent.
func (s *Service) resultOf(result idempotency.Result) (Result, *errkind.Error) {
	switch result.Decision {
	case idempotency.DecisionReplay:
		return Result{Response: cloneResponse(result.Record.Response), Replayed: true}, nil
	case idempotency.DecisionConflict:
		return Result{}, errkind.New(errkind.IdempotencyConflict,
			"the key was already used for a request with a different method, path or body; use a new key for a different write")
	case idempotency.DecisionTableFull:
		return Result{}, errkind.New(errkind.Overloaded, "the owner of the key cannot record any more writes at the moment")
	case idempotency.DecisionRecordsIncomplete:
		completeAt := s.Table.CompleteSince().Add(idempotency.Retention)
		err := outcomeUnknown("records of earlier writes may have been lost; whether this key was used can be decided from %s onwards; "+
			"a version 7 UUID key generated more than %s after %s is accepted before then",
			completeAt.UTC().Format(time.RFC3339), idempotency.MaxClockSkew, s.Table.CompleteSince().UTC().Format(time.RFC3339))
		err.RetryAfter = max(completeAt.Sub(s.Now()), time.Second)
		return Result{}, err
	default:
		expires := result.Record.Ended.Add(idempotency.Retention)
		return Result{}, outcomeUnknown("an earlier request with this key may have been sent and its outcome is not known, as no response is recorded for it (lost or too large); "+
			"check with the service whether it took effect; the key is rejected until %s", expires.UTC().Format(time.RFC3339))
	}
}

// sendAndRecord copies the record of a write that was recorded as running, sends the write,
// and records its outcome.
func (s *Service) sendAndRecord(ctx context.Context, w *Write, record idempotency.Record) (Result, *errkind.Error) {
	run := &execution{service: s, record: record}
	defer run.finishOnPanic()
	// The record must be completed even if the caller disconnects.
	detached := context.WithoutCancel(ctx)
	if err := run.copyBeforeSend(detached); err != nil {
		run.cancel(detached)
		return Result{}, err
	}
	if _, err := s.checkOwnership(w); err != nil {
		run.cancel(detached)
		return Result{}, err
	}
	recorder := &responseRecorder{}
	w.Request.OutcomeRecorded = true
	if err := s.Dispatcher.Dispatch(ctx, w.Request, recorder); err != nil {
		if err.Execution == errkind.NotExecuted {
			run.cancel(detached)
		} else {
			run.finish(detached, idempotency.StateUnknown, idempotency.Response{})
		}
		return Result{}, err
	}
	if len(recorder.response.Body) > maxRecordedBodyBytes {
		run.finish(detached, idempotency.StateUnknown, idempotency.Response{})
	} else {
		run.finish(detached, idempotency.StateDone, cloneResponse(recorder.response))
	}
	return Result{Response: recorder.response}, nil
}

// execution is one write that this instance sends.
type execution struct {
	service *Service
	record  idempotency.Record
	// contacted are the peers that may have a copy, and copyHolder is the ID of the one
	// that acknowledged it.
	contacted  []routing.Peer
	copyHolder string
	finished   bool
}

// copyBeforeSend stores a copy at the holder of the second slot, or else of the
// third. With a single slot no copy is possible, and the write is sent without one. That is
// safe, because a new holder of that slot rejects keys that may be older than its collection
// of the records.
func (r *execution) copyBeforeSend(ctx context.Context) *errkind.Error {
	if len(r.record.RankedSlots) == 1 {
		return nil
	}
	if r.copyToFirstHolder(ctx) {
		return nil
	}
	return ownerUnavailable("no other instance could store a copy of the record, so this request was not sent and may be repeated with the same key")
}

// copyToFirstHolder copies the record to the first ranked holder that accepts it.
func (r *execution) copyToFirstHolder(ctx context.Context) bool {
	snapshot := r.service.Snapshot()
	for _, slot := range r.record.RankedSlots[1:] {
		peer, ok := slotHolder(snapshot, slot)
		if !ok {
			continue
		}
		r.contacted = append(r.contacted, peer)
		if r.service.sendCopy(ctx, peer, r.record) {
			r.copyHolder = peer.ID
			return true
		}
	}
	return false
}

// cancel removes the record of a write that was certainly not sent. A copy that cannot
// be removed makes a later owner reject the key, which is safe.
func (r *execution) cancel(ctx context.Context) {
	r.finished = true
	r.service.Table.Cancel(r.record.ID)
	canceled := r.record
	canceled.State = StateCanceled
	for _, peer := range r.contacted {
		r.service.sendCopy(ctx, peer, canceled)
	}
}

// finish records the outcome locally and at the copy holder before the caller receives
// it, so that a retry gets the same response if this instance crashes right after.
func (r *execution) finish(ctx context.Context, state idempotency.State, response idempotency.Response) {
	r.finished = true
	now := r.service.Now()
	record, ok := r.service.Table.Finish(now, r.record.ID, state, response)
	if !ok {
		// The record was replaced when the records for a new claim were collected.
		record = r.record
		record.State, record.Response, record.Ended = state, response, now
		r.service.Table.Store(record)
	}
	r.record = record
	if len(record.RankedSlots) == 1 {
		return
	}
	for _, peer := range r.contacted {
		if peer.ID == r.copyHolder && r.service.sendCopy(ctx, peer, record) {
			return
		}
	}
	r.copyToFirstHolder(ctx)
}

// finishOnPanic records an unknown outcome if the write panicked.
func (r *execution) finishOnPanic() {
	if !r.finished {
		r.finish(context.Background(), idempotency.StateUnknown, idempotency.Response{})
	}
}
