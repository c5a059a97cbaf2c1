// Package peer implements the RPC client and server of entry instances over connect-go.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/dispatch"
	"heatherloom/internal/drain"
	"heatherloom/internal/errkind"
	"heatherloom/internal/intake"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/peer/peerv1/peerv1connect"
	"heatherloom/internal/promptprefix"
	"heatherloom/internal/quota"
	"heatherloom/internal/relay"
	"heatherloom/internal/retry"
	"heatherloom/internal/routing"
	"heatherloom/internal/storefeed"
	"heatherloom/internal/telemetry"
	"heatherloom/internal/timeline"
	"heatherloom/internal/usage"
	"heatherloom/internal/writes"
)

// ConfigSource supplies the configuration to peers.
type ConfigSource interface {
	// Since returns the changes from revision from to the latest one, or the full
	// configuration.
	Since(from int64) (*peerv1.PullConfigResponse, error)
}

// EventSource supplies recent events to peers.
type EventSource interface {
	// Since returns events, encoded as JSON, with a clock reading above since.
	Since(since uint64) [][]byte
}

// Server serves the peer listener.
type Server struct {
	peerv1connect.UnimplementedPeerServiceHandler
	Identity   control.Identity
	Loop       *control.Loop
	Dispatcher *dispatch.Dispatcher
	Config     ConfigSource
	Events     EventSource
	// Ledger lends tokens of this instance's slot; nil for none.
	Ledger *quota.Ledger
	// MemberCache is shared with the Heartbeater of the instance; nil sends full member
	// messages.
	MemberCache *MemberCache
	// SentReports is shared with the Heartbeater of the instance; nil repeats all reports to each peer.
	SentReports *SentReports
	// Writes executes writes with an idempotency key; nil to reject them.
	Writes *writes.Service
	// Secret authenticates peers.
	Secret string
	// Log receives one line for each forwarded request and for each write that a peer sends
	// to the owner of its key; nil for none.
	Log *logrus.Entry
	// HostReport returns the report on the host routes; nil if the instance serves none.
	HostReport HostReportFunc
	// Restarts applies what other instances report of restarted upstreams; nil to ignore it.
	Restarts *RestartReporter
	// Rejections are the requests of callers for which there was no room; nil for none.
	Rejections *routing.Rejections
	// Changes holds what this instance reads from the store, for the others of its failure domain; nil for none.
	Changes *storefeed.ChangeLog
	// Usage keeps counts of usage and answers questions about them; nil if the instance counts none.
	Usage *usage.Reporter
	// Budget bounds the memory for requests that peers pass on; nil for no bound.
	Budget *intake.Budget
	// Timeline and Drain may be nil.
	Timeline *timeline.Recorder
	Drain    *drain.Controller
}

// compressMinBytes leaves the parts of a token stream and heartbeats uncompressed. Compressing each part
// took five times the processor time of all other work on the stream.
const compressMinBytes = 64 << 10

func handlerOptions(secret string) []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithInterceptors(authInterceptor{secret: secret}),
		connect.WithCompressMinBytes(compressMinBytes),
	}
}

// Handler returns the HTTP handler of the peer listener.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	path, handler := peerv1connect.NewPeerServiceHandler(s, handlerOptions(s.Secret)...)
	mux.Handle(path, handler)
	return withIntake(mux, authInterceptor{secret: s.Secret}, s.Budget)
}

// Heartbeat records the sender and responds with this instance's own member message. It
// asks for the members whose digest it does not know; a sender among these is not recorded.
func (s *Server) Heartbeat(ctx context.Context, req *connect.Request[peerv1.HeartbeatRequest]) (*connect.Response[peerv1.HeartbeatResponse], error) {
	s.Timeline.Clock().Observe(timeline.Stamp(req.Msg.GetClock()))
	sender := s.MemberCache.expand(req.Msg.GetSelf())
	known, wanted := s.MemberCache.expandAll(req.Msg.GetKnown())
	if sender == nil {
		wanted = append(wanted, req.Msg.GetSelf().GetDigest())
	}
	postMember(ctx, s.Loop, sender, time.Time{}, known, req.Msg)
	now := clock.Now()
	s.SentReports.Observe(sender.GetPeerAddress(), sender.GetIncarnation(), now)
	postCrashes(ctx, s.Loop, req.Msg.GetCrashes(), s.SentReports, sender.GetPeerAddress())
	postCompletedParts(ctx, s.Loop, req.Msg.GetCompletedParts())
	postRollouts(ctx, s.Loop, req.Msg.GetMoves())
	postLocalStops(ctx, s.Loop, req.Msg.GetVersionFaults())
	s.postSamples(ctx, sender, req.Msg.GetSamples())
	snapshot := s.Loop.Snapshot()
	self := SelfMember(s.Identity, snapshot)
	if compacted := s.MemberCache.compact(self); !slices.Contains(req.Msg.GetWanted(), compacted.GetDigest()) {
		self = compacted
	}
	selected := s.SentReports.Select(sender.GetPeerAddress(), now)
	resp := &peerv1.HeartbeatResponse{
		Self:    self,
		Wanted:  wanted,
		Crashes: encodeCrashes(snapshot, now, selected),

		CompletedParts: encodeCompletedParts(snapshot, now, selected),

		Clock: uint64(s.Timeline.Clock().Now()),

		Moves:         encodeRollouts(snapshot),
		VersionFaults: encodeLocalStops(snapshot),
	}
	if report := s.HostReport.of(snapshot); report != nil {
		report.addToResponse(resp, snapshot, sender, now)
	}
	if s.Usage != nil {
		resp.UsageClock = clock.Now().UnixNano()
	}
	return connect.NewResponse(resp), nil
}

// PullConfig returns the configuration changes after the caller's revision.
func (s *Server) PullConfig(_ context.Context, req *connect.Request[peerv1.PullConfigRequest]) (*connect.Response[peerv1.PullConfigResponse], error) {
	resp, err := s.Config.Since(req.Msg.GetFromRevision())
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(resp), nil
}

// PullEvents returns the recent events of this instance.
func (s *Server) PullEvents(_ context.Context, req *connect.Request[peerv1.PullEventsRequest]) (*connect.Response[peerv1.PullEventsResponse], error) {
	return connect.NewResponse(&peerv1.PullEventsResponse{Events: s.Events.Since(req.Msg.GetSince())}), nil
}

// Forward serves a request that another entry instance forwards.
func (s *Server) Forward(ctx context.Context, req *connect.Request[peerv1.ForwardRequest], stream *connect.ServerStream[peerv1.ForwardResponse]) error {
	if err := arrivedWhole(ctx); err != nil {
		return err
	}
	s.Timeline.Clock().Observe(timeline.Stamp(req.Msg.GetClock()))
	request := decodeRequest(req.Msg)
	if deadline, ok := ctx.Deadline(); ok {
		// The timeout of the call does not depend on the clock of the other instance.
		request.Deadline = deadline
	}
	started := time.Now()
	failure := s.Drain.Acquire(drainDemand(request))
	if failure == nil {
		defer s.Drain.Release()
		s.recordForward(timeline.KindForwardReceived, request, "from "+strings.Join(request.Visited, ", "))
		sink := &streamSink{stream: stream, request: request}
		failure = s.serveForward(ctx, request, sink)
		s.recordOutcome(ctx, request, failure, time.Since(started), sink.started)
	}
	s.logForward(request, failure, time.Since(started))
	end := encodeEnd(failure)
	s.recordForward(timeline.KindForwardEnded, request, outcomeText(failure))
	end.Clock = uint64(s.Timeline.Clock().Now())
	end.Attempts = int32(request.Attempts) - req.Msg.GetAttempts()
	end.Crashes = int32(request.Crashes) - req.Msg.GetCrashes()
	end.Counted = request.Counted
	return stream.Send(&peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_End{End: end}})
}

// drainDemand describes a request to the drain controller.
func drainDemand(r *dispatch.Request) drain.Demand {
	return drain.Demand{Kind: durationKind(r), Longest: time.Until(r.Deadline), Repeatable: r.Repeatable, Stream: r.Stream}
}

// durationKind groups requests that are expected to take equally long.
func durationKind(r *dispatch.Request) string {
	if r.RouteParams != nil {
		return r.RouteParams.Route
	}
	return r.Target
}

// recordOutcome tells the drain controller of the end of a request.
func (s *Server) recordOutcome(ctx context.Context, r *dispatch.Request, err *errkind.Error, took time.Duration, started bool) {
	if err == nil {
		s.Drain.Observe(durationKind(r), took)
	} else if errors.Is(context.Cause(ctx), drain.ErrInterrupted) {
		s.Drain.CountInterrupted(err.Execution, started)
	}
}

// logForward logs the end of a request that a peer sent with Forward or RunWrite.
func (s *Server) logForward(r *dispatch.Request, err *errkind.Error, elapsed time.Duration) {
	if s.Log == nil {
		return
	}
	fields := logrus.Fields{
		"event":   "forward",
		"request": r.ID,
		"account": r.Account,
		"target":  r.Target,
		"ms":      elapsed.Milliseconds(),
		"tried":   r.AttemptSummary(),
	}
	if reason := r.NoRetryReason(); reason != retry.StopNone {
		fields[telemetry.FieldNoRetry] = reason
	}
	if err == nil {
		s.Log.WithFields(fields).Info("request from a peer complete")
		return
	}
	if r.Interrupted() || err.Kind == errkind.RequestQuarantined {
		fields["fingerprint"] = r.Fingerprint()
		fields["content"] = r.ContentFingerprints()
		fields["prompt_parts"] = r.PromptPartIDs()
	}
	fields["kind"] = err.Kind
	fields["ran"] = err.Execution
	fields["message"] = err.Message
	if err.Cause != nil {
		fields["cause"] = err.Cause.Error()
	}
	s.Log.WithFields(fields).Info("request from a peer rejected or aborted")
}

// serveForward dispatches a forwarded request. A panic becomes an internal error.
func (s *Server) serveForward(ctx context.Context, r *dispatch.Request, sink dispatch.Sink) (err *errkind.Error) {
	defer func() {
		if v := recover(); v != nil {
			err = errkind.Wrap(fmt.Errorf("panic: %v\n%s", v, debug.Stack()), errkind.Internal, errkind.ExecutionUnknown, "internal error")
		}
	}()
	for _, id := range r.Visited {
		if id == s.Identity.ID {
			return errkind.New(errkind.LoopDetected, "instance %q already handled the request", id)
		}
	}
	return s.Dispatcher.Dispatch(ctx, r, sink)
}

func decodeRequest(m *peerv1.ForwardRequest) *dispatch.Request {
	r := &dispatch.Request{
		ID:             m.GetRequestId(),
		Account:        m.GetAccount(),
		Method:         m.GetMethod(),
		Path:           m.GetPath(),
		Header:         unflatten(m.GetHeaders()),
		StreamPosition: decodeStreamPosition(m),
		Attempts:       int(m.GetAttempts()),
		Crashes:        int(m.GetCrashes()),
		Body:           m.GetBody(),
		Target:         m.GetTarget(),
		Stream:         m.GetStream(),
		Repeatable:     m.GetRepeatable(),
		BoundRegion:    m.GetBoundRegion(),
		Counted:        m.GetCounted(),
		Visited:        m.GetVisited(),
		Deadline:       time.Unix(0, m.GetDeadline()),
	}
	decodeRouteParams(r, m.GetTerms())
	if r.RouteParams == nil && r.IsCompletion() {
		r.Prompt = promptprefix.HashBody(r.Target, r.Path, r.Body)
	}
	return r
}

// decodeStreamPosition returns the position of a stream that the sender may have begun;
// nil if the request is not streamed.
func decodeStreamPosition(m *peerv1.ForwardRequest) *relay.StreamPosition {
	if !m.GetStream() {
		return nil
	}
	last, err := strconv.ParseInt(m.GetHeaders()[relay.HeaderLastEventID], 10, 64)
	return &relay.StreamPosition{LastEventID: last, HasLastEventID: err == nil}
}

func encodeEnd(err *errkind.Error) *peerv1.ForwardEnd {
	if err == nil {
		return &peerv1.ForwardEnd{Complete: true}
	}
	return &peerv1.ForwardEnd{
		Kind:         string(err.Kind),
		Ran:          string(err.Execution),
		Message:      err.Message,
		RetryAfterMs: err.RetryDelay().Milliseconds(),
	}
}

// streamSink sends a response as parts of a Forward stream.
type streamSink struct {
	stream  *connect.ServerStream[peerv1.ForwardResponse]
	request *dispatch.Request
	// started is true once the head was sent.
	started bool
}

func (s *streamSink) Head(status int, header http.Header) error {
	s.started = true
	head := &peerv1.ForwardHead{Status: int32(status), Headers: flatten(header), LeavingUpstream: s.request.LeavingUpstream()}
	return s.stream.Send(&peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Head{Head: head}})
}

func (s *streamSink) Data(p []byte) error {
	return s.stream.Send(&peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Data{Data: p}})
}

// SelfMember returns this instance's own member message.
func SelfMember(id control.Identity, s *routing.Snapshot) *peerv1.Member {
	engines, queue := s.EngineQueue()
	return &peerv1.Member{
		Engines:        engines,
		QueueUs:        queue.Microseconds(),
		Id:             id.ID,
		Region:         id.Region,
		FailureDomain:  id.FailureDomain,
		PeerAddress:    id.PeerAddress,
		CallerUrl:      id.CallerURL,
		OperatorUrl:    id.OperatorURL,
		Incarnation:    id.Incarnation,
		ConfigRevision: s.Config.Revision,
		Draining:       s.Draining,
		Slot:           heldSlot(s),
		ConfigAgeMs:    configAge(s, clock.Now()),
	}
}

// heldSlot returns the text form of the slot that this instance holds; empty for none.
func heldSlot(s *routing.Snapshot) string {
	if !s.Quota.Held {
		return ""
	}
	return s.Quota.Own.ID()
}
