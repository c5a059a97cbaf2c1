package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"heatherloom/internal/errkind"
	"heatherloom/internal/intake"
)

// requestBody is the body of a request, with the memory that it holds until the request ends.
type requestBody struct {
	bytes []byte
	share *intake.Share
}

// release returns the memory of the body, which must not be used afterwards.
func (b requestBody) release() { b.share.Release() }

// readRequestBody reads a body of up to limit bytes within the timeout, and ends early if the context of the request
// does. The error is an *http.MaxBytesError, intake.ErrNoMemory or what the connection failed with; the rest of the
// body is then unread.
func readRequestBody(budget *intake.Budget, sink *callerSink, r *http.Request, limit int64, timeout time.Duration) (requestBody, error) {
	if r.ContentLength == 0 && r.ProtoMajor == 1 {
		return requestBody{}, nil
	}
	if r.ContentLength > limit {
		return requestBody{}, &http.MaxBytesError{Limit: limit}
	}
	endReads := func() { _ = sink.control.SetReadDeadline(time.Now()) }
	_ = sink.control.SetReadDeadline(time.Now().Add(timeout))
	stop := context.AfterFunc(r.Context(), endReads)
	share := budget.NewShare(intake.RequestConn(r), endReads)
	raw, err := readInto(share, r, http.MaxBytesReader(sink.w, r.Body, limit))
	// A read deadline left set would cancel the request context when it expires.
	if stop() && err == nil {
		_ = sink.control.SetReadDeadline(time.Time{})
	}
	if err != nil {
		share.Release()
		return requestBody{}, err
	}
	return requestBody{bytes: raw, share: share}, nil
}

// readInto reads the body of a request whose memory counts in share.
func readInto(share *intake.Share, r *http.Request, body io.Reader) ([]byte, error) {
	if r.ProtoMajor != 1 && !share.Grow(streamBytes+headerBytes(r.Header)) {
		return nil, intake.ErrNoMemory
	}
	return intake.ReadBody(share, body, r.ContentLength)
}

// streamBytes is what an HTTP/2 stream holds beside the head and the body of its request. A connection with one request
// at a time counts what these hold.
const streamBytes = 8 << 10

// headerBytes returns the length of the header fields.
func headerBytes(h http.Header) (n int64) {
	for name, values := range h {
		for _, value := range values {
			n += int64(len(name) + len(value))
		}
	}
	return n
}

// isTooLarge reports whether a body exceeded its limit.
func isTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}

// noMemoryError rejects a request whose body finds no memory. Requests that stall give up theirs by the time of the
// retry.
func noMemoryError() *errkind.Error {
	err := errkind.New(errkind.Overloaded, "this instance has no memory for the body of the request; use another instance")
	err.RetryAfter = intake.StallTime
	return err
}
