package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"heatherloom/internal/errkind"
	"heatherloom/internal/external"
	"heatherloom/internal/retry"
)

// Protocol encodes the request headers that the upstreams of host routes expect, and
// decodes the metadata in their response headers.
type Protocol interface {
	// EncodeAttempt sets the headers that the gateway adds. remaining is the time to the
	// deadline.
	EncodeAttempt(h http.Header, a *Attempt, remaining time.Duration)
	// DecodeResponse reads the metadata of a response from its status and header.
	DecodeResponse(status int, h http.Header) ResponseMetadata
}

// ResponseMetadata is the metadata that an upstream sends with its response.
type ResponseMetadata struct {
	// RequestID is the id of the request that the response belongs to; empty if missing.
	RequestID string
	// Signed is true if the response has the upstream's signature.
	Signed bool
	// NotExecuted is true if the upstream did not execute the request.
	NotExecuted bool
	// Misdirected is true if another upstream listens on the address.
	Misdirected bool
	// Load is the load that the upstream reports; nil if it reports none.
	Load *external.Load
	// Rate is the request rate that the upstream names, in requests a second from all instances
	// together; nil if it names none. RateInvalid is true if it cannot be read.
	Rate        *float64
	RateInvalid bool
	// Brittle is true if the upstream ends when it has to turn away many requests in a second.
	Brittle bool
	// Leaving is true if the upstream says that it leaves.
	Leaving bool
	// RetryAfter is how long the upstream wants no request from this instance, at most MaxUpstreamPause; 0 if it
	// names no time.
	RetryAfter time.Duration
}

// MaxUpstreamPause bounds the time for which an upstream may ask for no requests.
const MaxUpstreamPause = 10 * time.Minute

// BufferedResponse is a response whose body was read completely.
type BufferedResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

func firstByteTimeout(a Attempt, limits Limits) time.Duration {
	if a.Protocol == nil {
		return limits.FirstByteTimeout
	}
	if a.HostFirstByteTimeout > 0 {
		return a.HostFirstByteTimeout
	}
	// The deadline of the context expires first.
	return time.Until(a.Deadline) + time.Second
}

func newUpstreamRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	if a.Protocol == nil {
		return newAPIRequest(ctx, a)
	}
	var body io.Reader = bytes.NewReader(a.Body)
	if !a.Repeatable {
		body = io.NopCloser(body)
	}
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Address, body)
	if err != nil {
		return nil, err
	}
	// Opaque sends the request target exactly as the caller sent it. A target that begins
	// with two slashes needs the address in front, or it would be parsed as a host name.
	req.URL = &url.URL{Scheme: "http", Host: a.Address, Opaque: a.Path}
	if strings.HasPrefix(a.Path, "//") {
		req.URL.Opaque = "//" + a.Address + a.Path
	}
	req.Host = a.Host
	req.ContentLength = int64(len(a.Body))
	if len(a.Body) == 0 {
		req.Body = emptyBody(a)
	}
	req.Header = a.Header.Clone()
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil
	}
	a.Protocol.EncodeAttempt(req.Header, &a, time.Until(a.Deadline))
	return req, nil
}

// handleResponse validates and delivers a response. After an invalid response on a host
// route the connection is not reused, because the bytes that follow may not belong to any
// request.
func (r *Relay) handleResponse(w *watchdog, sent *sendTracker, resp *http.Response, a Attempt, sink Sink) Result {
	if a.Protocol == nil {
		return r.handleAPIResponse(w, sent, resp, a, sink)
	}
	metadata := a.Protocol.DecodeResponse(resp.StatusCode, resp.Header)
	result := r.handleHostResponse(w, sent, resp, metadata, a, sink)
	result.Load = metadata.Load
	if result.Err != nil && result.Outcome != retry.Rejected && result.ErrorResponse == nil {
		sent.seal()
	}
	return result
}

// maxStatus is the highest valid status of a response (RFC 9110, section 15).
const maxStatus = 599

func (r *Relay) handleHostResponse(w *watchdog, sent *sendTracker, resp *http.Response, metadata ResponseMetadata, a Attempt, sink Sink) Result {
	idMatches := metadata.RequestID == a.RequestID
	if a.OnMetadata != nil && idMatches && !metadata.Misdirected {
		a.OnMetadata(metadata)
	}
	if idMatches {
		sent.recordNamed()
	}
	if metadata.NotExecuted && (idMatches || (metadata.RequestID == "" && sent.followsNamedOnly())) {
		return r.handleRejection(w, resp, metadata, a)
	}
	if !idMatches {
		return upstreamFault(errkind.ResponseMismatched, errkind.ExecutionUnknown, retry.Failed, nil, "the upstream sent a response for another request")
	}
	isStream := a.StreamPosition != nil && IsEventStream(resp.StatusCode, resp.Header)
	if !isStream {
		a.recordExecution()
	}
	success := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus || (success && !metadata.Signed) || resp.Header.Get("Content-Encoding") != "" {
		return upstreamFault(errkind.UpstreamFailed, errkind.ExecutionUnknown, retry.Failed, nil, "the upstream sent a response that is unsigned, encoded, or has an invalid status")
	}
	if isStream {
		return r.copyNumberedStream(w, resp, a, sink)
	}
	if a.StreamPosition != nil && a.StreamPosition.Started {
		return upstreamFault(errkind.ResponseIncomplete, errkind.Executed, retry.Failed, nil, "the upstream could not resume the stream")
	}
	return r.copyHostBuffered(w, sent, resp, a, sink)
}

// handleRejection handles a response which states that the request was not executed. It
// reads the rest of the body so that the connection can be reused.
func (r *Relay) handleRejection(w *watchdog, resp *http.Response, metadata ResponseMetadata, a Attempt) Result {
	w.extendFinal(drainTimeout)
	_, _ = io.CopyN(io.Discard, resp.Body, copyBufferBytes)
	result := upstreamFault(errkind.Overloaded, errkind.NotExecuted, retry.Rejected, nil, "the upstream is not accepting more requests")
	result.UpstreamFault = metadata.Misdirected
	if metadata.Misdirected {
		result.Err.Message = "another upstream listens on the address of " + a.UpstreamID
	}
	return result
}

// copyHostBuffered delivers a non-streaming response of a host route once its whole body
// has arrived. A response with a 5xx status is held back, since the request may be retried.
func (r *Relay) copyHostBuffered(w *watchdog, sent *sendTracker, resp *http.Response, a Attempt, sink Sink) Result {
	share := r.memory.newShare()
	defer share.release()
	body, err := r.readBody(w, sent, share, resp, a.Method, true)
	if err != nil {
		return classifyBodyError(w, err, false)
	}
	header := EndToEndHeaders(resp.Header)
	setContentLength(header, resp, a.Method, body.Len())
	if resp.StatusCode < http.StatusInternalServerError {
		return DeliverBuffered(sink, resp.StatusCode, header, body.Blocks()...)
	}
	result := upstreamFault(errkind.UpstreamFailed, errkind.Executed, retry.Failed, nil, "the upstream failed with status %d", resp.StatusCode)
	result.ErrorResponse = &BufferedResponse{Status: resp.StatusCode, Header: header, Body: body.Bytes()}
	return result
}

// copyNumberedStream forwards the events of a numbered stream. The stream is complete if
// its body ends according to the HTTP framing and not inside an event.
func (r *Relay) copyNumberedStream(w *watchdog, resp *http.Response, a Attempt, sink Sink) Result {
	copier := &EventCopier{
		Status:        resp.StatusCode,
		Header:        EndToEndHeaders(resp.Header),
		Position:      a.StreamPosition,
		MaxEventBytes: r.limits.MaxEventBytes,
		Sink:          sink,
		Numbered:      true,
		OnFirstEvent:  a.OnExecution,
	}
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		// The stream has no idle timeout: a slow caller or upstream is limited only by the
		// deadline.
		if !w.pause() {
			return classifyBodyError(w, errNoProgress, a.StreamPosition.Started)
		}
		if failure := copier.Write(buf[:n]); failure != nil {
			return StreamFailure(failure, a.StreamPosition.Started)
		}
		if errors.Is(err, io.EOF) {
			return finishNumberedStream(copier, endsWithConnection(resp, a.Method))
		}
		if err != nil {
			return classifyBodyError(w, err, a.StreamPosition.Started)
		}
	}
}

// finishNumberedStream handles the end of a numbered stream. One that was resumed, has no event and ends with
// its connection is not complete: the upstream may have ended.
func finishNumberedStream(copier *EventCopier, endsWithConnection bool) Result {
	if endsWithConnection && copier.ResumedWithoutEvents() {
		result := StreamFailure(errNotResumed, copier.Position.Started)
		result.Outcome, result.ConnectionBroken = retry.Truncated, true
		return result
	}
	err := copier.Finish()
	if err == nil {
		return Result{Started: true}
	}
	result := StreamFailure(err, copier.Position.Started)
	if errors.Is(err, errPartialEvent) {
		result.Outcome, result.ConnectionBroken = retry.Truncated, true
	}
	return result
}

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110, section
// 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEndHeaders returns a copy of h without the hop-by-hop headers.
func EndToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
