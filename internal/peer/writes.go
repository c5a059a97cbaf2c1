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

	"heatherloom/internal/errkind"
	"heatherloom/internal/idempotency"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/quota"
	"heatherloom/internal/relay"
	"heatherloom/internal/routing"
	"heatherloom/internal/timeline"
	"heatherloom/internal/writes"
)

var errNoWrites = errors.New("this instance keeps no records of writes")

// RunWrite implements writes.Peers. It sends the write at most once. An answer that
// was lost leaves the outcome unknown.
func (c *Client) RunWrite(ctx context.Context, p routing.Peer, w *writes.Write) (writes.Result, *errkind.Error) {
	send := &forwardSend{}
	resp, err := c.At(p.PeerAddress).RunWrite(send.with(ctx), connect.NewRequest(&peerv1.RunWriteRequest{
		Request:        c.forwardRequest(w.Request),
		IdempotencyKey: w.Key,
		Region:         w.Region,
	}))
	if err != nil {
		return writes.Result{}, runWriteFailure(ctx, send, err)
	}
	c.clock.Observe(timeline.Stamp(resp.Msg.GetEnd().GetClock()))
	if !resp.Msg.GetEnd().GetComplete() {
		return writes.Result{}, endError(resp.Msg.GetEnd())
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

func runWriteFailure(ctx context.Context, send *forwardSend, err error) *errkind.Error {
	if send.unsent.Load() || refusedByPeer(err) {
		return errkind.Wrap(err, errkind.WriteOwnerUnavailable, errkind.NotExecuted, "the instance that owns the key could not be reached")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		return errkind.Wrap(err, errkind.UpstreamTimeout, errkind.ExecutionUnknown, "the deadline of the request passed before the owner of the key answered")
	}
	if ctx.Err() != nil {
		return relay.CallerDisconnected(err, errkind.ExecutionUnknown, false).Err
	}
	return errkind.Wrap(err, errkind.WriteOwnerUnavailable, errkind.ExecutionUnknown, "the answer of the instance that owns the key was lost")
}

// endError returns the failure that another instance reported.
func endError(end *peerv1.ForwardEnd) *errkind.Error {
	e := errkind.New(errkind.Kind(end.GetKind()), "%s", end.GetMessage())
	e.Execution = ranOf(end.GetRan())
	e.RetryAfter = time.Duration(end.GetRetryAfterMs()) * time.Millisecond
	return e
}

// CopyWrite implements writes.Peers.
func (c *Client) CopyWrite(ctx context.Context, p routing.Peer, r idempotency.Record) (bool, error) {
	resp, err := c.At(p.PeerAddress).CopyWrite(ctx, connect.NewRequest(copyMessage(r)))
	if err != nil {
		return false, err
	}
	return resp.Msg.GetAccepted(), nil
}

// PullWrites implements writes.Peers.
func (c *Client) PullWrites(ctx context.Context, p routing.Peer, slot quota.Slot, division uint64) (writes.PullResponse, error) {
	resp, err := c.At(p.PeerAddress).PullWrites(ctx, connect.NewRequest(&peerv1.PullWritesRequest{
		Slot: slot.ID(), Region: slot.Region, Division: division,
	}))
	if err != nil {
		return writes.PullResponse{}, err
	}
	pulled := writes.PullResponse{Slot: resp.Msg.GetSlot(), CompleteSince: timeOf(resp.Msg.GetCompleteSince())}
	for _, m := range resp.Msg.GetRecords() {
		record, err := recordOf(m)
		if err != nil {
			return writes.PullResponse{}, err
		}
		pulled.Records = append(pulled.Records, record)
	}
	return pulled, nil
}

func copyMessage(r idempotency.Record) *peerv1.CopyWriteRequest {
	return &peerv1.CopyWriteRequest{
		Account:        r.ID.Account,
		IdempotencyKey: r.ID.Key,
		Fingerprint:    r.Fingerprint,
		State:          string(r.State),
		Status:         int32(r.Response.Status),
		Headers:        r.Response.Headers,
		Body:           r.Response.Body,
		Owner:          r.Owner.ID(),
		StartedAt:      nanoseconds(r.Started),
		EndedAt:        nanoseconds(r.Ended),
		Region:         r.Owner.Region,
	}
}

func recordOf(m *peerv1.CopyWriteRequest) (idempotency.Record, error) {
	owner, err := slotOf(m.GetOwner(), m.GetRegion())
	if err != nil {
		return idempotency.Record{}, err
	}
	state := idempotency.State(m.GetState())
	switch state {
	case idempotency.StateRunning, idempotency.StateDone, idempotency.StateUnknown, writes.StateCanceled:
	default:
		return idempotency.Record{}, fmt.Errorf("the state %q of a record is not known", state)
	}
	return idempotency.Record{
		ID:          idempotency.ID{Account: m.GetAccount(), Key: m.GetIdempotencyKey()},
		Fingerprint: m.GetFingerprint(),
		State:       state,
		Response:    idempotency.Response{Status: int(m.GetStatus()), Headers: m.GetHeaders(), Body: m.GetBody()},
		Owner:       owner,
		Started:     timeOf(m.GetStartedAt()),
		Ended:       timeOf(m.GetEndedAt()),
	}, nil
}

// slotOf parses the text form of a slot.
func slotOf(id, region string) (quota.Slot, error) {
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

// nanoseconds returns 0 for the zero time.
func nanoseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func timeOf(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// RunWrite runs a write whose idempotency key this instance owns.
func (s *Server) RunWrite(ctx context.Context, req *connect.Request[peerv1.RunWriteRequest]) (*connect.Response[peerv1.RunWriteResponse], error) {
	s.Timeline.Clock().Observe(timeline.Stamp(req.Msg.GetRequest().GetClock()))
	request := requestOf(req.Msg.GetRequest())
	request.Repeatable = false
	// The owner may forward the write to the region of the service, for which the way
	// to the owner does not count. An owner passes no write to another owner.
	request.Visited = nil
	if deadline, ok := ctx.Deadline(); ok {
		// The timeout of the call does not depend on the clock of the other instance.
		request.Deadline = deadline
	}
	started := time.Now()
	answer, refusal := s.runWrite(ctx, &writes.Write{Key: req.Msg.GetIdempotencyKey(), Region: req.Msg.GetRegion(), Request: request})
	s.logForward(request, refusal, time.Since(started))
	end := endOf(refusal)
	end.Clock = uint64(s.Timeline.Clock().Now())
	return connect.NewResponse(&peerv1.RunWriteResponse{
		Status:   int32(answer.Status),
		Headers:  answer.Headers,
		Body:     answer.Body,
		End:      end,
		Replayed: answer.Replayed,
	}), nil
}

// runWrite counts the write in the drain gate. A panic becomes a refusal.
func (s *Server) runWrite(ctx context.Context, w *writes.Write) (answer writes.Result, err *errkind.Error) {
	if s.Writes == nil {
		return writes.Result{}, errkind.Wrap(errNoWrites, errkind.WriteOwnerUnavailable, errkind.NotExecuted, "this instance runs no writes with a key")
	}
	if refusal := s.Gate.Enter(); refusal != nil {
		return writes.Result{}, refusal
	}
	defer s.Gate.Leave()
	defer func() {
		if v := recover(); v != nil {
			err = errkind.Wrap(fmt.Errorf("panic: %v\n%s", v, debug.Stack()), errkind.Internal, errkind.ExecutionUnknown, "internal error")
		}
	}()
	s.recordForward(timeline.KindForwardIn, w.Request, "as owner of the idempotency key")
	answer, err = s.Writes.RunAsOwner(ctx, w)
	s.recordForward(timeline.KindForwardEnd, w.Request, outcomeText(err))
	return answer, err
}

// CopyWrite keeps the record of a write that another instance sends. An instance
// that refuses requests keeps no further record, since it would be lost with it.
func (s *Server) CopyWrite(_ context.Context, req *connect.Request[peerv1.CopyWriteRequest]) (*connect.Response[peerv1.CopyWriteResponse], error) {
	if s.Writes == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoWrites)
	}
	record, err := recordOf(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if refusal := s.Gate.Enter(); refusal != nil {
		return nil, connect.NewError(connect.CodeUnavailable, refusal)
	}
	defer s.Gate.Leave()
	return connect.NewResponse(&peerv1.CopyWriteResponse{Accepted: s.Writes.StoreCopy(record, req.Msg.GetRegion())}), nil
}

// PullWrites answers the new holder of a slot. It is served until the end of a drain,
// so that the successor of a restarted instance finds all records.
func (s *Server) PullWrites(_ context.Context, req *connect.Request[peerv1.PullWritesRequest]) (*connect.Response[peerv1.PullWritesResponse], error) {
	if s.Writes == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoWrites)
	}
	pulled := s.Writes.HandlePull(req.Msg.GetSlot(), req.Msg.GetRegion(), req.Msg.GetDivision())
	resp := &peerv1.PullWritesResponse{Slot: pulled.Slot, CompleteSince: nanoseconds(pulled.CompleteSince)}
	for _, record := range pulled.Records {
		resp.Records = append(resp.Records, copyMessage(record))
	}
	return connect.NewResponse(resp), nil
}

var _ writes.Peers = (*Client)(nil)
