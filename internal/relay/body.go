package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"heatherloom/internal/blocks"
	"heatherloom/internal/errkind"
	"heatherloom/internal/retry"
)

const (
	// copyBufferBytes is large enough for several events of a stream.
	copyBufferBytes = 16 << 10
	// drainTimeout bounds the wait for the end of the body after [DONE]. The connection can
	// be reused only if the body was read to its end.
	drainTimeout = 20 * time.Millisecond
)

// maxFramingBytes bounds the bytes of a response, head included, beyond twice its body. Chunks of
// one byte are six times as long as the body and take long to read.
const maxFramingBytes = 1 << 20

var (
	// errResponseTooLarge reports a declared length above the limit, which every upstream would
	// send, and errEndlessBody a body without a declared length that does not end.
	errResponseTooLarge = errors.New("the response exceeds the size limit")
	errNoMemory         = errors.New("too many large responses are buffered at the same time")
	errFraming          = errors.New("the response consists mostly of chunk framing")
	errEndlessBody      = errors.New("the response has no length and does not end within the size limit")
	errNoLength         = errors.New("the response has neither a Content-Length nor chunked encoding")
)

// copyBuffered delivers a non-streaming API response once its whole body has arrived.
func (r *Relay) copyBuffered(w *watchdog, sent *sendTracker, resp *http.Response, a Attempt, sink Sink) Result {
	share := r.memory.newShare()
	defer share.release()
	body, err := r.readBody(w, sent, share, resp, a.Method, false)
	if err != nil {
		return classifyBodyError(w, err, false)
	}
	if a.Completion && resp.StatusCode == http.StatusOK && !belongsTo(body.Bytes(), a.RequestID) {
		return upstreamFault(errkind.ResponseMismatched, errkind.ExecutionUnknown, retry.Failed, nil, "the upstream returned the completion of another request")
	}
	header := filterHeader(resp.Header)
	setContentLength(header, resp, a.Method, body.Len())
	return DeliverBuffered(sink, resp.StatusCode, header, body.Blocks()...)
}

// DeliverBuffered writes a complete response, whose body is the concatenation of blocks, to sink.
func DeliverBuffered(sink Sink, status int, header http.Header, blocks ...[]byte) Result {
	if err := sink.Head(status, header); err != nil {
		return CallerDisconnected(err, errkind.Executed, true)
	}
	for _, block := range blocks {
		if err := sink.Data(block); err != nil {
			return CallerDisconnected(err, errkind.Executed, true)
		}
	}
	return Result{Started: true}
}

// setContentLength sets Content-Length, so that the caller can detect a truncated response.
func setContentLength(header http.Header, resp *http.Response, method string, length int) {
	if method == http.MethodHead {
		if resp.ContentLength >= 0 {
			header.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
		}
		return
	}
	if resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(length))
	}
}

// readBody reads the whole body. allowUnframed allows a body that is delimited by the close
// of its connection; a connection reset is always an error. share counts the bytes that are
// held, and sent those that arrive on the connection.
func (r *Relay) readBody(w *watchdog, sent *sendTracker, share *bufferShare, resp *http.Response, method string, allowUnframed bool) (*blocks.Buffer, error) {
	if method == http.MethodHead {
		return &blocks.Buffer{}, nil
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked && !allowUnframed {
		return nil, errNoLength
	}
	if resp.ContentLength > int64(r.limits.MaxBufferedBytes) {
		return nil, errResponseTooLarge
	}
	body := &blocks.Buffer{}
	for {
		size := body.Next(resp.ContentLength)
		if !share.grow(size) {
			return nil, errNoMemory
		}
		n, err := body.ReadSome(resp.Body, size)
		if n > 0 {
			w.extend(r.limits.ReadIdleTimeout)
		}
		if body.Len() > r.limits.MaxBufferedBytes {
			return nil, errEndlessBody
		}
		if sent.received()-2*int64(body.Len()) > maxFramingBytes {
			return nil, errFraming
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// copyStream forwards server-sent events as they arrive. The stream is complete only if it
// ends with [DONE].
func (r *Relay) copyStream(w *watchdog, resp *http.Response, a Attempt, sink Sink) Result {
	copier := &EventCopier{
		Status:        resp.StatusCode,
		Header:        filterHeader(resp.Header),
		Position:      a.StreamPosition,
		MaxEventBytes: r.limits.MaxEventBytes,
		Sink:          sink,
		OnFirstEvent:  a.OnExecution,
	}
	if a.Completion {
		copier.RequestID = a.RequestID
	}
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			// The time that a slow caller takes does not count against the upstream.
			if !w.pause() {
				return classifyBodyError(w, errNoProgress, a.StreamPosition.Started)
			}
			if failure := copier.Write(buf[:n]); failure != nil {
				return StreamFailure(failure, a.StreamPosition.Started)
			}
			w.extend(r.limits.ReadIdleTimeout)
		}
		if copier.Done() {
			w.extendFinal(drainTimeout)
			_, _ = io.CopyN(io.Discard, resp.Body, copyBufferBytes)
			return Result{Started: true}
		}
		if err != nil {
			return classifyBodyError(w, err, a.StreamPosition.Started)
		}
	}
}

// StreamFailure classifies an error of an EventCopier.
func StreamFailure(err error, started bool) Result {
	var sinkErr sinkError
	if errors.As(err, &sinkErr) {
		return CallerDisconnected(sinkErr.err, errkind.Executed, started)
	}
	kind := errkind.ResponseIncomplete
	outcome := retry.Truncated
	if errors.Is(err, errWrongRequestID) {
		kind = errkind.ResponseMismatched
	}
	if !started {
		outcome = retry.Failed
	}
	result := upstreamFault(kind, errkind.Executed, outcome, err, "the stream of the upstream was interrupted: %v", err)
	if errors.Is(err, errUploadUnfinished) {
		result.Err.Execution = errkind.ExecutionUnknown
	}
	result.Started = started
	return result
}

// classifyBodyError classifies an error that occurred after the head of the response.
func classifyBodyError(w *watchdog, err error, started bool) Result {
	if result, ended := w.requestEnded(err, errkind.Executed, started); ended {
		return result
	}
	result := upstreamFault(errkind.ResponseIncomplete, errkind.Executed, retry.Truncated, err, "the response of the upstream was truncated")
	result.ConnectionBroken = connectionBroke(err) && !errors.Is(err, io.EOF)
	if !connectionBroke(err) && !started {
		result.Outcome = retry.Failed
	}
	switch {
	case w.timedOut():
		result = upstreamFault(errkind.UpstreamTimeout, errkind.Executed, retry.TimedOut, err, "the upstream stopped sending during its response")
	case errors.Is(err, errResponseTooLarge):
		result = upstreamFault(errkind.ResponseIncomplete, errkind.Executed, retry.NotRetryable, err, "the response of the upstream exceeds the size limit")
		result.UpstreamFault = false
	case errors.Is(err, errNoMemory):
		result.Err.Message = "this instance buffers too many large responses to hold this one"
		result.UpstreamFault = false
	}
	result.Started = started
	return result
}
