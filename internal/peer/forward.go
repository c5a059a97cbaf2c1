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
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/relay"
	"heatherloom/internal/retry"
	"heatherloom/internal/routing"
	"heatherloom/internal/timeline"
)

var (
	errAnswerTooLarge = errors.New("the forwarded answer exceeds the size limit")
	errNoEnd          = errors.New("the forwarded answer has no end")
)

// Forward implements dispatch.Forwarder. It sends the request at most once.
func (c *Client) Forward(ctx context.Context, p routing.Peer, r *dispatch.Request, sink dispatch.Sink) relay.Result {
	send := &forwardSend{}
	ctx, cancel := context.WithCancel(send.with(ctx))
	defer cancel()
	f := &forwardedAnswer{request: r, sink: sink, limits: c.limits, clock: c.clock}
	stream, err := c.At(p.PeerAddress).Forward(ctx, connect.NewRequest(c.forwardRequest(r)))
	if err != nil {
		return f.failure(ctx, send, err)
	}
	// Canceling first ends the stream at once; Close alone waits for the peer.
	defer stream.Close()
	defer cancel()
	for stream.Receive() {
		if result, ended := f.take(stream.Msg()); ended {
			return result
		}
	}
	err = stream.Err()
	if err == nil {
		err = errNoEnd
	}
	return f.failure(ctx, send, err)
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
		Terms:       termsOf(r),
	}
}

// forwardedAnswer receives the parts of a forwarded answer. A plain answer is held
// until its end message, which proves that it is whole.
type forwardedAnswer struct {
	request *dispatch.Request
	sink    dispatch.Sink
	limits  relay.Limits
	clock   *timeline.Clock

	hasHead bool
	status  int
	header  http.Header
	body    []byte
	copier  *relay.EventCopier
	// numbered streams end with their end message instead of [DONE].
	numbered bool
}

// take handles one part and reports whether the answer ended with it.
func (f *forwardedAnswer) take(m *peerv1.ForwardResponse) (relay.Result, bool) {
	switch part := m.GetPart().(type) {
	case *peerv1.ForwardResponse_Head:
		f.head(part.Head)
	case *peerv1.ForwardResponse_Data:
		return f.data(part.Data)
	case *peerv1.ForwardResponse_End:
		return f.end(part.End), true
	}
	return relay.Result{}, false
}

func (f *forwardedAnswer) head(h *peerv1.ForwardHead) {
	f.hasHead = true
	f.status = int(h.GetStatus())
	f.header = unflatten(h.GetHeaders())
	if f.request.StreamPosition == nil || !relay.IsEventStream(f.status, f.header) {
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
	}
	if !f.numbered && f.request.IsCompletion() {
		f.copier.RequestID = f.request.ID
	}
}

func (f *forwardedAnswer) data(p []byte) (relay.Result, bool) {
	if f.copier != nil {
		if err := f.copier.Write(p); err != nil {
			return relay.StreamFailure(err, f.started()), true
		}
		return relay.Result{}, false
	}
	f.body = append(f.body, p...)
	if len(f.body) > f.limits.MaxBufferedBytes {
		return f.failed(errAnswerTooLarge, errkind.AnswerIncomplete, errkind.Executed, retry.NotRetryable), true
	}
	return relay.Result{}, false
}

func (f *forwardedAnswer) end(end *peerv1.ForwardEnd) relay.Result {
	f.clock.Observe(timeline.Stamp(end.GetClock()))
	result := f.endResult(end)
	result.Attempts = int(end.GetAttempts())
	if result.Outcome == retry.NotSent && result.Attempts > 0 {
		result.Outcome = retry.Rejected
	}
	result.Crashes = int(end.GetCrashes())
	return result
}

func (f *forwardedAnswer) endResult(end *peerv1.ForwardEnd) relay.Result {
	if !end.GetComplete() {
		return f.refused(end)
	}
	if f.copier != nil {
		if f.numbered {
			return f.endNumbered()
		}
		if !f.copier.Done() {
			return f.failed(errNoEnd, errkind.AnswerIncomplete, errkind.Executed, retry.Truncated)
		}
		return relay.Result{Started: true}
	}
	if !f.hasHead || f.started() {
		return f.failed(errNoEnd, errkind.AnswerIncomplete, errkind.Executed, retry.Truncated)
	}
	return relay.DeliverBuffered(f.sink, f.status, f.header, f.body)
}

func (f *forwardedAnswer) endNumbered() relay.Result {
	if err := f.copier.Finish(); err != nil {
		return relay.StreamFailure(err, f.started())
	}
	return relay.Result{Started: true}
}

// refused returns the failure that the other instance reported.
func (f *forwardedAnswer) refused(end *peerv1.ForwardEnd) relay.Result {
	e := endError(end)
	return relay.Result{Err: e, Outcome: outcomeOf(e, f.started()), Started: f.started()}
}

func (f *forwardedAnswer) started() bool {
	return f.request.StreamPosition != nil && f.request.StreamPosition.Started
}

// ranOf returns RanUnknown for a text that is none of the three values.
func ranOf(text string) errkind.Execution {
	switch ran := errkind.Execution(text); ran {
	case errkind.NotExecuted, errkind.Executed:
		return ran
	default:
		return errkind.ExecutionUnknown
	}
}

// outcomeOf tells whether a further instance may have more success.
func outcomeOf(e *errkind.Error, started bool) retry.Outcome {
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

// failure classifies a broken forward. Unless it is certain that the peer did not
// process the request, an upstream may have run it.
func (f *forwardedAnswer) failure(ctx context.Context, send *forwardSend, err error) relay.Result {
	if send.unsent.Load() || refusedByPeer(err) {
		return f.failed(err, errkind.UpstreamFailed, errkind.NotExecuted, retry.NotSent)
	}
	ran := errkind.ExecutionUnknown
	if f.hasHead {
		ran = errkind.Executed
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		return f.failed(err, errkind.UpstreamTimeout, ran, retry.CallerGone)
	}
	if ctx.Err() != nil {
		return relay.CallerDisconnected(err, ran, f.started())
	}
	if f.started() {
		return f.failed(err, errkind.AnswerIncomplete, ran, retry.Truncated)
	}
	return f.failed(err, errkind.UpstreamFailed, ran, retry.Failed)
}

// refusedByPeer reports whether the peer rejected the call before it looked at the request.
func refusedByPeer(err error) bool {
	code := connect.CodeOf(err)
	return connect.IsWireError(err) && (code == connect.CodeUnauthenticated || code == connect.CodeUnimplemented)
}

func (f *forwardedAnswer) failed(err error, kind errkind.Kind, ran errkind.Execution, outcome retry.Outcome) relay.Result {
	e := errkind.Wrap(err, kind, ran, "the entry instance of the other region did not deliver the answer")
	return relay.Result{Err: e, Outcome: outcome, Started: f.started(), UpstreamFault: true}
}

// flatten joins the values of a header, which RFC 9110 allows for all headers that
// instances exchange.
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
