package peer

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"

	"heatherloom/internal/drain"
	"heatherloom/internal/errkind"
	"heatherloom/internal/idempotency"
	"heatherloom/internal/intake"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/quota"
	"heatherloom/internal/relay"
	"heatherloom/internal/routing"
	"heatherloom/internal/timeline"
	"heatherloom/internal/writes"
)

var errNoWriteRecords = errors.New("this instance keeps no write records")

// RunWrite implements writes.Peers. It sends the write at most once. If the response is
// lost, the outcome is unknown.
func (c *Client) RunWrite(ctx context.Context, p routing.Peer, w *writes.Write) (writes.Result, *errkind.Error) {
	tracker := &sendTracker{}
	release, ok := c.holdCopy(w.Request.Body)
	if !ok {
		return writes.Result{}, errkind.Wrap(intake.ErrNoMemory, errkind.Overloaded, errkind.NotExecuted, "this instance has no memory to pass the request on to the instance that owns the key")
	}
	defer release()
	resp, err := c.ServiceClient(p.PeerAddress).RunWrite(tracker.newContext(ctx), connect.NewRequest(&peerv1.RunWriteRequest{
		Request:        c.forwardRequest(w.Request),
		IdempotencyKey: w.Key,
		Region:         w.Region,
	}))
	if err != nil {
		return writes.Result{}, classifyWriteFailure(ctx, tracker, err)
	}
	c.clock.Observe(timeline.Stamp(resp.Msg.GetEnd().GetClock()))
	w.Request.Counted = w.Request.Counted || resp.Msg.GetEnd().GetCounted()
	if !resp.Msg.GetEnd().GetComplete() {
		return writes.Result{}, decodeError(resp.Msg.GetEnd())
	}
	return writes.Result{
		Response: idempotency.Response{
			Status:  int(resp.Msg.GetStatus()),
			Headers: resp.Msg.GetHeaders(),
			Body:    resp.Msg.GetBody(),
		},
		Replayed: resp.Msg.GetReplayed(),
	}, nil
}

func classifyWriteFailure(ctx context.Context, tracker *sendTracker, err error) *errkind.Error {
	if tracker.unprocessed.Load() || rejectedByPeer(err) {
		return errkind.Wrap(err, errkind.WriteOwnerUnavailable, errkind.NotExecuted, "the instance that owns the key could not be reached")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		return errkind.Wrap(err, errkind.UpstreamTimeout, errkind.ExecutionUnknown, "the deadline of the request passed before the owner of the key responded")
	}
	if ctx.Err() != nil {
		return relay.RequestCanceled(ctx, err, errkind.ExecutionUnknown, false).Err
	}
	return errkind.Wrap(err, errkind.WriteOwnerUnavailable, errkind.ExecutionUnknown, "the response of the instance that owns the key was lost; the write may have been executed, repeat it with the same idempotency key")
}

// decodeError returns the failure that another instance reported.
func decodeError(end *peerv1.ForwardEnd) *errkind.Error {
	e := errkind.New(errkind.Kind(end.GetKind()), "%s", end.GetMessage())
	e.Execution = parseExecution(end.GetRan())
	e.RetryAfter = time.Duration(end.GetRetryAfterMs()) * time.Millisecond
	return e
}

// CopyWrite implements writes.Peers.
func (c *Client) CopyWrite(ctx context.Context, p routing.Peer, r idempotency.Record) (bool, error) {
	resp, err := c.ServiceClient(p.PeerAddress).CopyWrite(ctx, connect.NewRequest(encodeRecord(r)))
	if err != nil {
		return false, err
	}
	return resp.Msg.GetAccepted(), nil
}

// PullWrites implements writes.Peers.
func (c *Client) PullWrites(ctx context.Context, p routing.Peer, slot quota.Slot, division uint64) (writes.PullResponse, error) {
	resp, err := c.ServiceClient(p.PeerAddress).PullWrites(ctx, connect.NewRequest(&peerv1.PullWritesRequest{
		Slot: slot.ID(), Region: slot.Region, Division: division,
	}))
	if err != nil {
		return writes.PullResponse{}, err
	}
	pulled := writes.PullResponse{Slot: resp.Msg.GetSlot(), CompleteSince: fromUnixNanos(resp.Msg.GetCompleteSince())}
	for _, m := range resp.Msg.GetRecords() {
		record, err := decodeRecord(m)
		if err != nil {
			return writes.PullResponse{}, err
		}
		pulled.Records = append(pulled.Records, record)
	}
	return pulled, nil
}

func encodeRecord(r idempotency.Record) *peerv1.CopyWriteRequest {
	return &peerv1.CopyWriteRequest{
		Account:        r.ID.Account,
		IdempotencyKey: r.ID.Key,
		Fingerprint:    r.Fingerprint,
		State:          string(r.State),
		Status:         int32(r.Response.Status),
		Headers:        r.Response.Headers,
		Body:           r.Response.Body,
		Owner:          r.Owner.ID(),
		StartedAt:      toUnixNanos(r.Started),
		EndedAt:        toUnixNanos(r.Ended),
		Region:         r.Owner.Region,
	}
}

func decodeRecord(m *peerv1.CopyWriteRequest) (idempotency.Record, error) {
	owner, err := parseSlot(m.GetOwner(), m.GetRegion())
	if err != nil {
		return idempotency.Record{}, err
	}
	state := idempotency.State(m.GetState())
	switch state {
	case idempotency.StateRunning, idempotency.StateDone, idempotency.StateUnknown, writes.StateCanceled:
	default:
		return idempotency.Record{}, fmt.Errorf("unknown record state %q", state)
	}
	return idempotency.Record{
		ID:          idempotency.ID{Account: m.GetAccount(), Key: m.GetIdempotencyKey()},
		Fingerprint: m.GetFingerprint(),
		State:       state,
		Response:    idempotency.Response{Status: int(m.GetStatus()), Headers: m.GetHeaders(), Body: m.GetBody()},
		Owner:       owner,
		Started:     fromUnixNanos(m.GetStartedAt()),
		Ended:       fromUnixNanos(m.GetEndedAt()),
	}, nil
}

// parseSlot parses the text form of a slot.
func parseSlot(id, region string) (quota.Slot, error) {
	i := strings.LastIndexByte(id, '/')
	if i < 0 {
		return quota.Slot{}, fmt.Errorf("the slot %q is not of the form domain/index", id)
	}
	index, err := strconv.Atoi(id[i+1:])
	if err != nil {
		return quota.Slot{}, fmt.Errorf("the slot %q is not of the form domain/index", id)
	}
	return quota.Slot{Domain: id[:i], Region: region, Index: index}, nil
}

// toUnixNanos returns 0 for the zero time.
func toUnixNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func fromUnixNanos(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// RunWrite executes a write whose idempotency key this instance owns.
func (s *Server) RunWrite(ctx context.Context, req *connect.Request[peerv1.RunWriteRequest]) (*connect.Response[peerv1.RunWriteResponse], error) {
	s.Timeline.Clock().Observe(timeline.Stamp(req.Msg.GetRequest().GetClock()))
	request := decodeRequest(req.Msg.GetRequest())
	request.Repeatable = false
	// The owner may forward the write to the region of the service, so the instances on
	// the way to the owner do not count as visited. An owner passes no write to another
	// owner.
	request.Visited = nil
	if deadline, ok := ctx.Deadline(); ok {
		// The timeout of the call does not depend on the clock of the other instance.
		request.Deadline = deadline
	}
	started := time.Now()
	result, failure := s.runWrite(ctx, &writes.Write{Key: req.Msg.GetIdempotencyKey(), Region: req.Msg.GetRegion(), Request: request})
	s.logForward(request, failure, time.Since(started))
	end := encodeEnd(failure)
	end.Clock = uint64(s.Timeline.Clock().Now())
	end.Counted = request.Counted
	return connect.NewResponse(&peerv1.RunWriteResponse{
		Status:   int32(result.Status),
		Headers:  result.Headers,
		Body:     result.Body,
		End:      end,
		Replayed: result.Replayed,
	}), nil
}

// runWrite executes the write between Acquire and Release of the drain controller,
// so that a drain waits for it. A panic becomes an internal error.
func (s *Server) runWrite(ctx context.Context, w *writes.Write) (result writes.Result, err *errkind.Error) {
	if s.Writes == nil {
		return writes.Result{}, errkind.Wrap(errNoWriteRecords, errkind.WriteOwnerUnavailable, errkind.NotExecuted, "the instance asked as owner of the key keeps no write records; this request was not sent")
	}
	if failure := s.Drain.Acquire(drainDemand(w.Request)); failure != nil {
		return writes.Result{}, failure
	}
	defer s.Drain.Release()
	defer func() {
		if v := recover(); v != nil {
			err = errkind.Wrap(fmt.Errorf("panic: %v\n%s", v, debug.Stack()), errkind.Internal, errkind.ExecutionUnknown, "internal error")
		}
	}()
	s.recordForward(timeline.KindForwardReceived, w.Request, "as owner of the idempotency key")
	started := time.Now()
	result, err = s.Writes.RunAsOwner(ctx, w)
	s.recordOutcome(ctx, w.Request, err, time.Since(started), false)
	s.recordForward(timeline.KindForwardEnded, w.Request, outcomeText(err))
	return result, err
}

// CopyWrite stores the record of a write that another instance sends. A draining instance
// that rejects requests stores no further record, since its records are lost when it stops.
func (s *Server) CopyWrite(_ context.Context, req *connect.Request[peerv1.CopyWriteRequest]) (*connect.Response[peerv1.CopyWriteResponse], error) {
	if s.Writes == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoWriteRecords)
	}
	record, err := decodeRecord(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if failure := s.Drain.Acquire(drain.Demand{}); failure != nil {
		return nil, connect.NewError(connect.CodeUnavailable, failure)
	}
	defer s.Drain.Release()
	return connect.NewResponse(&peerv1.CopyWriteResponse{Accepted: s.Writes.StoreCopy(record, req.Msg.GetRegion())}), nil
}

// PullWrites returns write records to the new holder of a slot. It is served until the end
// of a drain, so that the successor of a restarted instance finds all records.
func (s *Server) PullWrites(_ context.Context, req *connect.Request[peerv1.PullWritesRequest]) (*connect.Response[peerv1.PullWritesResponse], error) {
	if s.Writes == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoWriteRecords)
	}
	pulled := s.Writes.HandlePull(req.Msg.GetSlot(), req.Msg.GetRegion(), req.Msg.GetDivision())
	resp := &peerv1.PullWritesResponse{Slot: pulled.Slot, CompleteSince: toUnixNanos(pulled.CompleteSince)}
	for _, record := range pulled.Records {
		resp.Records = append(resp.Records, encodeRecord(record))
	}
	return connect.NewResponse(resp), nil
}

var _ writes.Peers = (*Client)(nil)
