package peer

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"connectrpc.com/connect"

	"heatherloom/internal/dispatch"
	"heatherloom/internal/errkind"
	"heatherloom/internal/intake"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/relay"
	"heatherloom/internal/retry"
	"heatherloom/internal/routing"
	"heatherloom/internal/timeline"
)

var (
	errResponseTooLarge = errors.New("the forwarded response exceeds the size limit")
	// errIncompleteResponse is used for a response without an end message. It is also used if
	// the end message has arrived but the head or the end of the event stream has not, or if
	// the response does not continue an event stream that the caller has begun to receive.
	errIncompleteResponse = errors.New("the forwarded response is incomplete")
)

// Forward implements dispatch.Forwarder. It sends the request at most once.
func (c *Client) Forward(ctx context.Context, p routing.Peer, r *dispatch.Request, sink dispatch.Sink) relay.Result {
	tracker := &sendTracker{}
	ctx, cancel := context.WithCancel(tracker.newContext(ctx))
	defer cancel()
	f := &forwardedResponse{request: r, sink: sink, limits: c.limits, clock: c.clock}
	release, ok := c.holdCopy(r.Body)
	if !ok {
		return f.failureResult(intake.ErrNoMemory, errkind.Overloaded, errkind.NotExecuted, retry.NotSent)
	}
	stream, err := c.ServiceClient(p.PeerAddress).Forward(ctx, connect.NewRequest(c.forwardRequest(r)))
	release()
	if err != nil {
		return f.classifyFailure(ctx, tracker, err)
	}
	// The context is canceled before Close, which alone would wait for the peer.
	defer stream.Close()
	defer cancel()
	for stream.Receive() {
		if result, ended := f.handlePart(stream.Msg()); ended {
			return result
		}
	}
	err = stream.Err()
	if err == nil {
		err = errIncompleteResponse
	}
	return f.classifyFailure(ctx, tracker, err)
}

func (c *Client) forwardRequest(r *dispatch.Request) *peerv1.ForwardRequest {
	headers := flatten(r.Header)
	if r.StreamPosition != nil && r.StreamPosition.HasLastEventID {
		headers[relay.HeaderLastEventID] = strconv.FormatInt(r.StreamPosition.LastEventID, 10)
	}
	return &peerv1.ForwardRequest{
		RequestId:   r.ID,
		Account:     r.Account,
		Method:      r.Method,
		Path:        r.Path,
		Headers:     headers,
		Body:        r.Body,
		Visited:     append(append([]string{}, r.Visited...), c.selfID),
		Deadline:    r.Deadline.UnixNano(),
		BoundRegion: r.BoundRegion,
		Target:      r.Target,
		Stream:      r.Stream,
		Repeatable:  r.Repeatable,
		Attempts:    int32(r.Attempts),
		Crashes:     int32(r.Crashes),
		Clock:       uint64(c.clock.Now()),
		Terms:       encodeRouteParams(r),
		Counted:     r.Counted,
	}
}

// forwardedResponse receives the parts of a forwarded response. A response that is not
// streamed is buffered until its end message, which proves that it is complete.
type forwardedResponse struct {
	request *dispatch.Request
	sink    dispatch.Sink
	limits  relay.Limits
	clock   *timeline.Clock

	hasHead bool
	status  int
	header  http.Header
	body    []byte
	copier  *relay.EventCopier
	// numbered is set for streams that end with the end message instead of [DONE].
	numbered bool
}

// handlePart handles one part and reports whether the response ended with it.
func (f *forwardedResponse) handlePart(m *peerv1.ForwardResponse) (relay.Result, bool) {
	switch part := m.GetPart().(type) {
	case *peerv1.ForwardResponse_Head:
		f.handleHead(part.Head)
	case *peerv1.ForwardResponse_Data:
		return f.handleData(part.Data)
	case *peerv1.ForwardResponse_End:
		return f.handleEnd(part.End), true
	}
	return relay.Result{}, false
}

func (f *forwardedResponse) handleHead(h *peerv1.ForwardHead) {
	f.hasHead = true
	f.status = int(h.GetStatus())
	f.header = unflatten(h.GetHeaders())
	f.request.SetLeavingUpstream(h.GetLeavingUpstream())
	if f.request.StreamPosition == nil || !relay.IsEventStream(f.status, f.header) {
		// The other instance counted the request when it got this head.
		f.request.Counted = true
		return
	}
	f.numbered = f.request.RouteParams != nil
	f.copier = &relay.EventCopier{
		Status:        f.status,
		Header:        f.header,
		Position:      f.request.StreamPosition,
		MaxEventBytes: f.limits.MaxEventBytes,
		Sink:          f.sink,
		Numbered:      f.numbered,
		OnFirstEvent:  func() { f.request.Counted = true },
	}
	if !f.numbered && f.request.IsCompletion() {
		f.copier.RequestID = f.request.ID
	}
}

func (f *forwardedResponse) handleData(p []byte) (relay.Result, bool) {
	if f.copier != nil {
		if err := f.copier.Write(p); err != nil {
			return relay.StreamFailure(err, f.started()), true
		}
		return relay.Result{}, false
	}
	f.body = append(f.body, p...)
	if len(f.body) > f.limits.MaxBufferedBytes {
		return f.failureResult(errResponseTooLarge, errkind.ResponseIncomplete, errkind.Executed, retry.NotRetryable), true
	}
	return relay.Result{}, false
}

func (f *forwardedResponse) handleEnd(end *peerv1.ForwardEnd) relay.Result {
	f.clock.Observe(timeline.Stamp(end.GetClock()))
	f.request.Counted = f.request.Counted || end.GetCounted()
	result := f.endResult(end)
	result.Attempts = int(end.GetAttempts())
	if result.Outcome == retry.NotSent && result.Attempts > 0 {
		result.Outcome = retry.Rejected
	}
	result.Crashes = int(end.GetCrashes())
	return result
}

func (f *forwardedResponse) endResult(end *peerv1.ForwardEnd) relay.Result {
	if !end.GetComplete() {
		return f.reportedFailure(end)
	}
	if f.copier != nil {
		if f.numbered {
			return f.finishNumbered()
		}
		if !f.copier.Done() {
			return f.failureResult(errIncompleteResponse, errkind.ResponseIncomplete, errkind.Executed, retry.Truncated)
		}
		return relay.Result{Started: true}
	}
	if !f.hasHead || f.started() {
		return f.failureResult(errIncompleteResponse, errkind.ResponseIncomplete, errkind.Executed, retry.Truncated)
	}
	return relay.DeliverBuffered(f.sink, f.status, f.header, f.body)
}

func (f *forwardedResponse) finishNumbered() relay.Result {
	if err := f.copier.Finish(); err != nil {
		return relay.StreamFailure(err, f.started())
	}
	return relay.Result{Started: true}
}

// reportedFailure returns the failure that the other instance reported.
func (f *forwardedResponse) reportedFailure(end *peerv1.ForwardEnd) relay.Result {
	e := decodeError(end)
	return relay.Result{Err: e, Outcome: retryOutcome(e, f.started()), Started: f.started()}
}

func (f *forwardedResponse) started() bool {
	return f.request.StreamPosition != nil && f.request.StreamPosition.Started
}

// parseExecution returns ExecutionUnknown for a text that is not a known value.
func parseExecution(text string) errkind.Execution {
	switch execution := errkind.Execution(text); execution {
	case errkind.NotExecuted, errkind.Executed:
		return execution
	default:
		return errkind.ExecutionUnknown
	}
}

// retryOutcome translates a failure that the other instance reported into the outcome of the
// attempt, which determines whether a retry is made. For NotExecuted it returns NotSent, which
// handleEnd replaces by Rejected if the other instance made an attempt.
func retryOutcome(e *errkind.Error, started bool) retry.Outcome {
	switch e.Kind {
	case errkind.RequestQuarantined, errkind.DeadlinePassed, errkind.DeadlineUnreachable, errkind.LoopDetected:
		return retry.NotRetryable
	}
	switch {
	case e.Execution == errkind.NotExecuted:
		return retry.NotSent
	case started:
		return retry.Truncated
	default:
		return retry.Failed
	}
}

// classifyFailure classifies a forward that failed without an end message. Unless it is
// certain that the peer did not process the request, an upstream may have executed it.
func (f *forwardedResponse) classifyFailure(ctx context.Context, tracker *sendTracker, err error) relay.Result {
	if tracker.unprocessed.Load() || rejectedByPeer(err) {
		return f.failureResult(err, errkind.UpstreamFailed, errkind.NotExecuted, retry.NotSent)
	}
	execution := errkind.ExecutionUnknown
	if f.hasHead {
		execution = errkind.Executed
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		return f.failureResult(err, errkind.UpstreamTimeout, execution, retry.RequestEnded)
	}
	if ctx.Err() != nil {
		return relay.RequestCanceled(ctx, err, execution, f.started())
	}
	if f.started() {
		return f.failureResult(err, errkind.ResponseIncomplete, execution, retry.Truncated)
	}
	return f.failureResult(err, errkind.UpstreamFailed, execution, retry.Failed)
}

// rejectedByPeer reports whether the peer rejected the call before it processed the request.
func rejectedByPeer(err error) bool {
	code := connect.CodeOf(err)
	switch code {
	case connect.CodeUnauthenticated, connect.CodeUnimplemented, connect.CodeResourceExhausted:
		return connect.IsWireError(err)
	default:
		return false
	}
}

func (f *forwardedResponse) failureResult(err error, kind errkind.Kind, execution errkind.Execution, outcome retry.Outcome) relay.Result {
	e := errkind.Wrap(err, kind, execution, "the entry instance that the request was forwarded to did not deliver the response")
	return relay.Result{Err: e, Outcome: outcome, Started: f.started(), UpstreamFault: true}
}

// flatten joins the values of each header field, which RFC 9110 allows for all fields
// that instances exchange.
func flatten(h http.Header) map[string]string {
	flat := make(map[string]string, len(h)+1)
	for name, values := range h {
		flat[name] = strings.Join(values, ", ")
	}
	return flat
}

func unflatten(flat map[string]string) http.Header {
	h := make(http.Header, len(flat))
	for name, value := range flat {
		h.Set(name, value)
	}
	return h
}
