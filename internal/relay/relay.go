// Package relay sends one attempt of a request to an upstream and checks that the response
// belongs to the request and is complete.
package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"heatherloom/internal/drain"
	"heatherloom/internal/errkind"
	"heatherloom/internal/external"
	"heatherloom/internal/retry"
)

const (
	// HeaderRequestID contains the request id. Upstreams echo it, and callers receive it.
	HeaderRequestID = "X-Request-Id"
	// HeaderLastEventID contains the id of the event after which a stream is resumed.
	HeaderLastEventID = "Last-Event-ID"
)

const (
	// idleConnTimeout limits how long a pooled connection may stay idle, so that one whose
	// state a middlebox has dropped is not reused.
	idleConnTimeout = 90 * time.Second
	// writeIdleConnTimeout is below 5 s, the usual time after which servers close an idle
	// connection. A write that races with such a close has an unknown outcome.
	writeIdleConnTimeout = 2 * time.Second
	idleConnsPerHost     = 64
	maxHeaderBytes       = 64 << 10
	// maxRetryAfter bounds the Retry-After value of an upstream that is passed to callers.
	maxRetryAfter = time.Minute
)

// Limits bound an attempt.
type Limits struct {
	// DialTimeout is the timeout for establishing a connection.
	DialTimeout time.Duration
	// FirstByteTimeout is the timeout for the first byte of the response body of an API
	// request. Host routes use Attempt.HostFirstByteTimeout.
	FirstByteTimeout time.Duration
	// ReadIdleTimeout is the timeout between two reads of the response body.
	ReadIdleTimeout time.Duration
	// MaxBufferedBytes bounds the size of a response that is buffered until it is complete.
	MaxBufferedBytes int
	// MaxTotalBufferedBytes bounds the responses that are buffered at the same time. Above it,
	// only those up to a sixteenth of it may grow; 0 for no bound.
	MaxTotalBufferedBytes int64
	// MaxEventBytes bounds the size of one event of a stream.
	MaxEventBytes int
}

// DefaultLimits returns the limits of an entry instance.
func DefaultLimits() Limits {
	return Limits{
		DialTimeout:      2 * time.Second,
		FirstByteTimeout: 60 * time.Second,
		ReadIdleTimeout:  10 * time.Second,
		MaxBufferedBytes: 16 << 20,
		MaxEventBytes:    1 << 20,
	}
}

// ForMemory returns the limits of a process that may use the given number of bytes.
func (l Limits) ForMemory(bytes int64) Limits {
	if bytes <= 0 {
		return l
	}
	l.MaxTotalBufferedBytes = bytes / bufferedMemoryDivisor
	l.MaxEventBytes = min(l.MaxEventBytes, int(bytes/eventMemoryDivisor))
	return l
}

const (
	// bufferedMemoryDivisor leaves room for the copies that growing buffers leave to the garbage
	// collector.
	bufferedMemoryDivisor = 8
	// eventMemoryDivisor bounds one event so that several hundred streams fit into the memory.
	eventMemoryDivisor = 1024
)

// Sink receives a response. Head is called at most once and before Data. An error of
// either means that the caller has disconnected. Data must not retain p.
type Sink interface {
	Head(status int, header http.Header) error
	Data(p []byte) error
}

// Attempt is one attempt of a request on one upstream.
type Attempt struct {
	RequestID string
	// Address is the host:port of the upstream.
	Address string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	// StreamPosition is the position in the stream, shared by all attempts of the request.
	// It is nil if the caller did not request a stream.
	StreamPosition *StreamPosition
	// Repeatable allows the transport to resend the request after a connection failure.
	Repeatable bool
	// Completion is true if the JSON of the response contains the request id as well.
	Completion bool
	// Protocol is set for requests of host routes, whose headers, request target and
	// response are forwarded unchanged. Nil selects the rules of API requests. The fields
	// below are used only with Protocol.
	Protocol Protocol
	// Host is the host name that the caller requested.
	Host string
	// UpstreamID is the id of the upstream at Address.
	UpstreamID string
	// Account is the client account; empty on routes without authentication.
	Account string
	// Priority is 0 for the most urgent requests.
	Priority int
	// Deadline is the deadline set by the caller or the route.
	Deadline time.Time
	// HostFirstByteTimeout is the timeout for the first byte of the response, after which ReserveRetry is
	// asked; 0 for Deadline.
	HostFirstByteTimeout time.Duration
	// Caller ends when the caller of a request that is not canceled with it has left. The attempt ends then if no
	// byte of it was sent, or if the upstream does not acknowledge any within callerLeftGrace. Nil if the
	// context of the attempt ends with the caller.
	Caller context.Context
	// ReserveRetry is called before the attempt is given up because the upstream is silent. If it returns
	// false, no retry is allowed, and the attempt goes on, until its deadline at most. It is not called if
	// nothing was sent, must not block, and runs on another goroutine, but not after Do has returned. Nil to
	// give up always.
	ReserveRetry func() bool
	// MaySend is called when the attempt has a connection, before a byte of it is sent there, again if the
	// transport sends it once more because the connection before broke. If it returns false, nothing is sent on
	// that connection and the attempt ends. Nil to send always.
	MaySend func(again bool) bool
	// OnSent is called each time the request was written to a connection, completely or not; nil to
	// ignore it. The transport may write a request more than once.
	OnSent func()
	// OnMetadata is called when the head of a response to the request arrives from the upstream;
	// nil to ignore it. Responses that name another request or upstream are left out.
	OnMetadata func(ResponseMetadata)
	// OnExecution is called when the upstream has begun to execute the request: at each response's first event, at
	// the head of a response that is not a stream, or when the connection breaks after a request that is not streamed
	// was sent completely, because it has probably been executed. Nil to ignore it. It runs on the goroutine of Do
	// and may be called more than once.
	OnExecution func()
}

func (a *Attempt) recordExecution() {
	if a.OnExecution != nil {
		a.OnExecution()
	}
}

// Result is the outcome of an attempt.
type Result struct {
	// Err is nil if the complete response was delivered.
	Err     *errkind.Error
	Outcome retry.Outcome
	// Started is true if the head was passed to the sink.
	Started bool
	// UpstreamFault is true if the upstream caused the failure.
	UpstreamFault bool
	// EndedByClose is true if only the end of the connection marked the end of the response, so that
	// an upstream that ended in the middle of it may have closed the connection.
	EndedByClose bool
	// ConnectionBroken is true if the connection broke during the response.
	ConnectionBroken bool
	// Refused is true if Attempt.MaySend kept the attempt from being sent.
	Refused bool
	// ErrorResponse is a complete response of the upstream with a 5xx status. It is
	// delivered if no further attempt is made.
	ErrorResponse *BufferedResponse
	// Load is the load reported with the response; nil if there was none.
	Load *external.Load
	// Attempts and Crashes are the counts of the other instance for a forwarded request.
	Attempts int
	Crashes  int
	// Resends is how often the request was sent to the upstream again within the attempt, after
	// a pooled connection broke before the response.
	Resends int
}

// Relay sends attempts to upstreams over pooled connections. It is safe for concurrent
// use.
type Relay struct {
	limits     Limits
	memory     bufferMemory
	pool       *connPool
	repeatable *http.Transport
	writes     *http.Transport
}

// New returns a Relay without open connections.
func New(limits Limits) *Relay {
	pool := newConnPool(net.Dialer{Timeout: limits.DialTimeout, KeepAlive: 15 * time.Second})
	return &Relay{
		limits:     limits,
		memory:     bufferMemory{limit: limits.MaxTotalBufferedBytes},
		pool:       pool,
		repeatable: newTransport(pool, idleConnTimeout),
		writes:     newTransport(pool, writeIdleConnTimeout),
	}
}

// OnIdleClose sets a function that is called when an upstream closes an idle connection. It must return at once.
func (r *Relay) OnIdleClose(f func(IdleClose)) {
	r.pool.onIdleClose.Store(&f)
}

// newTransport returns a transport whose connections stay idle for maxIdle, or for the time that the upstream states.
func newTransport(pool *connPool, maxIdle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return pool.dial(ctx, network, address, maxIdle)
		},
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		// The default of net/http is 10 MB per response.
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Do makes the attempt and writes the response to sink. A non-streaming response is
// delivered only once it is complete; a stream is delivered event by event.
//
// net/http may pick a pooled connection that another attempt has just sealed, in which case
// no byte of the request was sent. On host routes, where an invalid response seals its
// connection, the attempt is then repeated on another connection.
func (r *Relay) Do(ctx context.Context, a Attempt, sink Sink) Result {
	result := r.doOnce(ctx, a, sink)
	for range maxSealedConnRetries {
		if a.Protocol == nil || result.Err == nil || result.Outcome != retry.NotSent || !errors.Is(result.Err.Cause, errSealed) || result.Refused {
			break
		}
		result = r.doOnce(ctx, a, sink)
	}
	return result
}

// maxSealedConnRetries bounds how often one attempt is repeated because its connection was
// sealed.
const maxSealedConnRetries = 3

// doOnce makes the attempt without repeating it after a sealed connection.
func (r *Relay) doOnce(ctx context.Context, a Attempt, sink Sink) Result {
	sent := &sendTracker{onSent: a.OnSent, maySend: a.MaySend}
	mayGiveUp := func() bool { return a.ReserveRetry == nil || sent.unsent() || a.ReserveRetry() }
	w := newWatchdog(ctx, firstByteTimeout(a, r.limits), mayGiveUp)
	defer w.stop()
	defer endWithCaller(w, sent, a.Caller)()
	req, err := newUpstreamRequest(sent.withTrace(w.ctx), a)
	if err != nil {
		return Result{Err: errkind.Wrap(err, errkind.Internal, errkind.NotExecuted, "the upstream request could not be created"), Outcome: retry.NotRetryable}
	}
	resp, err := r.transport(a).RoundTrip(req)
	if err != nil {
		result := r.classifySendError(w, sent, a, err)
		if a.StreamPosition == nil && sent.sentWhole() && brokeWhileExecuting(result) {
			a.recordExecution()
		}
		result.Resends = sent.resends()
		return result
	}
	defer sent.release()
	defer resp.Body.Close()
	sent.recordKeepAlive(resp.Header)
	resp.Body = trackedBody{ReadCloser: resp.Body, sent: sent, endsWithConnection: endsWithConnection(resp, a.Method)}
	if a.Protocol != nil && sent.unwritten() {
		return unsolicitedResponse(sent)
	}
	result := r.handleResponse(w, sent, resp, a, sink)
	result.Resends = sent.resends()
	result.EndedByClose = endsWithConnection(resp, a.Method)
	if result.Outcome == retry.TimedOut {
		r.pool.dropIdle(a.Address)
	}
	return result
}

// brokeWhileExecuting reports whether a request that was sent completely has probably been executed although
// no response arrived. One that was given up because the upstream was silent may have waited in its queue.
func brokeWhileExecuting(result Result) bool {
	switch result.Outcome {
	case retry.Crashed, retry.Failed:
		return result.Err.Execution != errkind.NotExecuted
	case retry.RequestEnded:
		return result.Err.Execution != errkind.NotExecuted && result.Err.Kind != errkind.UpstreamTimeout
	default:
		return false
	}
}

// callerLeftGrace is the time in which an upstream of the region acknowledges what was sent if its link works.
const callerLeftGrace = 100 * time.Millisecond

// endWithCaller ends an attempt when its caller leaves, as Attempt.Caller says, until the returned function is
// called.
func endWithCaller(w *watchdog, sent *sendTracker, caller context.Context) (stop func()) {
	if caller == nil {
		return func() {}
	}
	ended := context.AfterFunc(caller, func() {
		if errors.Is(context.Cause(caller), drain.ErrInterrupted) {
			return
		}
		if sent.abandon() {
			w.cancel(errCallerLeft)
			return
		}
		select {
		case <-w.ctx.Done():
		case <-time.After(callerLeftGrace):
			if sent.pending() {
				w.cancel(errCallerLeft)
			}
		}
	})
	return func() { ended() }
}

// endsWithConnection reports whether only the end of the connection marks the end of the response.
func endsWithConnection(resp *http.Response, method string) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && method != http.MethodHead
}

// unsolicitedResponse returns the result of an attempt whose connection had a response before any byte of the
// request was written. It belongs to an earlier request.
func unsolicitedResponse(sent *sendTracker) Result {
	if sent.sealAndCheckUnsent() {
		return upstreamFault(errkind.UpstreamFailed, errkind.NotExecuted, retry.NotSent, errSealed, "the connection had a response to no request")
	}
	return upstreamFault(errkind.ResponseMismatched, errkind.ExecutionUnknown, retry.Failed, nil, "the upstream responded before the request was sent")
}

func (r *Relay) transport(a Attempt) *http.Transport {
	if a.Repeatable {
		return r.repeatable
	}
	return r.writes
}

func (r *Relay) handleAPIResponse(w *watchdog, sent *sendTracker, resp *http.Response, a Attempt, sink Sink) Result {
	if got := resp.Header.Get(HeaderRequestID); got != a.RequestID {
		return upstreamFault(errkind.ResponseMismatched, errkind.ExecutionUnknown, retry.Failed, nil, "the upstream sent a response for another request")
	}
	if resp.StatusCode < http.StatusOK {
		return upstreamFault(errkind.UpstreamFailed, errkind.ExecutionUnknown, retry.Failed, nil, "the upstream switched protocols")
	}
	if a.Completion && resp.StatusCode == http.StatusTooManyRequests {
		return overloadedResult(resp)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		a.recordExecution()
		return upstreamFault(errkind.UpstreamFailed, errkind.ExecutionUnknown, retry.Failed, nil, "the upstream failed with status %d", resp.StatusCode)
	}
	if a.StreamPosition != nil && IsEventStream(resp.StatusCode, resp.Header) {
		return r.copyStream(w, resp, a, sink)
	}
	a.recordExecution()
	if a.StreamPosition != nil && a.StreamPosition.HasLastEventID {
		return upstreamFault(errkind.ResponseIncomplete, errkind.Executed, retry.Failed, nil, "the upstream could not resume the stream")
	}
	return r.copyBuffered(w, sent, resp, a, sink)
}

// overloadedResult returns the result for an engine that responded with 429.
func overloadedResult(resp *http.Response) Result {
	result := upstreamFault(errkind.Overloaded, errkind.ExecutionUnknown, retry.Failed, nil, "the upstream is not accepting more requests")
	result.UpstreamFault = false
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		result.Err.RetryAfter = min(time.Duration(seconds)*time.Second, maxRetryAfter)
	}
	return result
}

// IsEventStream reports whether a response is a stream of server-sent events.
func IsEventStream(status int, header http.Header) bool {
	media, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return status == http.StatusOK && err == nil && media == "text/event-stream"
}

// newAPIRequest creates the upstream request of an API call. The body of a write has no
// GetBody, so that net/http does not resend it after a pooled connection breaks.
func newAPIRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	var body io.Reader = bytes.NewReader(a.Body)
	if !a.Repeatable {
		body = io.NopCloser(body)
	}
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Address+a.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(a.Body))
	if len(a.Body) == 0 {
		req.Body = emptyBody(a)
	}
	if a.Header != nil {
		req.Header = a.Header.Clone()
	}
	req.Header.Set(HeaderRequestID, a.RequestID)
	req.Header.Del(HeaderLastEventID)
	if a.StreamPosition != nil && a.StreamPosition.HasLastEventID {
		req.Header.Set(HeaderLastEventID, strconv.FormatInt(a.StreamPosition.LastEventID, 10))
	}
	return req, nil
}

// emptyBody returns the body of a request without content. For a write it is not
// http.NoBody, since net/http resends requests that have no body.
func emptyBody(a Attempt) io.ReadCloser {
	if a.Repeatable {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(nil))
}

// classifySendError classifies an error that occurred before the head of the response. The
// request counts as not executed only if provably no byte of it was sent.
func (r *Relay) classifySendError(w *watchdog, sent *sendTracker, a Attempt, err error) Result {
	execution := errkind.ExecutionUnknown
	outcome := retry.Crashed
	if sent.sealAndCheckUnsent() {
		execution = errkind.NotExecuted
		outcome = retry.NotSent
	}
	if result, ended := w.requestEnded(err, execution, false); ended {
		return result
	}
	if w.timedOut() {
		r.pool.dropIdle(a.Address)
		if outcome == retry.Crashed {
			outcome = retry.TimedOut
		}
		return upstreamFault(errkind.UpstreamTimeout, execution, outcome, err, "the upstream sent no response within %s", firstByteTimeout(a, r.limits))
	}
	if refused := sent.wasRefused(); refused && outcome == retry.NotSent {
		result := upstreamFault(errkind.UpstreamFailed, execution, outcome, err, "the upstream may have started again, and other requests use all that it may get")
		result.Refused, result.UpstreamFault = true, false
		return result
	} else if refused {
		return upstreamFault(errkind.UpstreamFailed, execution, outcome, err, "the connection to the upstream broke before a response")
	}
	if outcome == retry.NotSent {
		return upstreamFault(errkind.UpstreamFailed, execution, outcome, err, "the upstream could not be reached")
	}
	if !connectionBroke(err) && !sent.endedInsideLine() {
		return upstreamFault(errkind.UpstreamFailed, execution, retry.Failed, err, "the upstream sent bytes that are not a response")
	}
	return upstreamFault(errkind.UpstreamFailed, execution, outcome, err, "the connection to the upstream broke before a response")
}

// idleCloseText is the text of the error that net/http returns, and does not export, if the
// upstream closed the connection before it read the request.
const idleCloseText = "server closed idle connection"

// trailerEndText is the text of the error that net/http returns, and does not export, if the
// connection ended after the last chunk of a body and before the end of the response.
const trailerEndText = "unexpected EOF reading trailer"

// longTrailerText is in the error that net/http returns, and does not export, if a trailer does not fit its
// buffer, and also if the connection ended inside one.
const longTrailerText = "suspiciously long trailer"

// errUploadUnfinished reports a response without a length whose connection ended before the request was sent whole.
var errUploadUnfinished = fmt.Errorf("the connection ended before the upstream had received the whole request: %w", io.ErrUnexpectedEOF)

// trackedBody is the body of a response. A connection that ended inside its trailer is io.ErrUnexpectedEOF, and
// one that ended during the request is errUploadUnfinished if only its end marks the end of the body.
type trackedBody struct {
	io.ReadCloser
	sent               *sendTracker
	endsWithConnection bool
}

// Read implements io.Reader.
func (b trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && strings.Contains(err.Error(), longTrailerText) && b.sent.connectionEnded() {
		err = io.ErrUnexpectedEOF
	}
	if b.endsWithConnection && errors.Is(err, io.EOF) && !b.sent.receivedWhole() {
		err = errUploadUnfinished
	}
	return n, err
}

// connectionBroke reports whether an attempt failed because its connection was closed or reset.
// Otherwise the upstream sent something that is not valid HTTP.
func connectionBroke(err error) bool {
	var operation *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &operation) ||
		strings.Contains(err.Error(), idleCloseText) || strings.Contains(err.Error(), trailerEndText)
}

func upstreamFault(k errkind.Kind, execution errkind.Execution, outcome retry.Outcome, cause error, format string, args ...any) Result {
	e := errkind.New(k, format, args...)
	e.Execution = execution
	e.Cause = cause
	return Result{Err: e, Outcome: outcome, UpstreamFault: true}
}

// CallerDisconnected returns the result of an attempt whose caller closed the connection or
// stopped reading. The outcome RequestEnded is also that of an attempt whose deadline passed;
// requestEnded tells the two apart.
func CallerDisconnected(err error, execution errkind.Execution, started bool) Result {
	left := errkind.Wrap(err, errkind.CallerLeft, execution, "the caller closed the connection")
	left.CallerLeft = true
	return Result{Err: left, Outcome: retry.RequestEnded, Started: started}
}

// RequestCanceled returns the result of an attempt whose context was canceled, because its caller
// disconnected or because this instance stops and interrupts it.
func RequestCanceled(ctx context.Context, err error, execution errkind.Execution, started bool) Result {
	result := CallerDisconnected(err, execution, started)
	if errors.Is(context.Cause(ctx), drain.ErrInterrupted) {
		kind := errkind.Draining
		if execution != errkind.NotExecuted {
			// The status of Draining tells callers of the API to repeat the request.
			kind = errkind.ResponseIncomplete
		}
		result.Err = errkind.Wrap(err, kind, execution, "this instance stops and had to interrupt the request; use another instance")
	}
	return result
}

// allowedHeaders lists the upstream response headers that are passed to API callers.
var allowedHeaders = []string{"Content-Type", "Cache-Control", "Etag", "Last-Modified", "Location", "Allow", "Retry-After"}

func filterHeader(in http.Header) http.Header {
	out := http.Header{}
	for _, name := range allowedHeaders {
		if v := in.Values(name); len(v) > 0 {
			out[http.CanonicalHeaderKey(name)] = v
		}
	}
	return out
}
