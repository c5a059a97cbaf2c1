package peer

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
)

// singleSendTransport sends each request with a sendTracker at most once. Otherwise
// net/http repeats a request with GetBody after RST_STREAM with PROTOCOL_ERROR, which a
// peer may send after it has begun to process the request.
type singleSendTransport struct {
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t singleSendTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	tracker, ok := req.Context().Value(sendTrackerKey{}).(*sendTracker)
	if !ok {
		return t.next.RoundTrip(req)
	}
	single := req.Clone(tracker.withTrace(req.Context()))
	single.GetBody = nil
	resp, err := t.next.RoundTrip(single)
	if err != nil && tracker.provesUnprocessed(err) {
		tracker.unprocessed.Store(true)
	}
	return resp, err
}

type sendTrackerKey struct{}

// sendTracker records whether the HTTP request of one call reached the peer.
type sendTracker struct {
	connected atomic.Bool
	// unprocessed is set once it is certain that the peer did not process the request.
	unprocessed atomic.Bool
}

func (t *sendTracker) newContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, sendTrackerKey{}, t)
}

func (t *sendTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// unprocessedErrors are prefixes of the errors by which net/http reports that the peer did
// not process a stream: GOAWAY with a lower stream id, REFUSED_STREAM (RFC 9113, section
// 8.7), and a connection that was closed before the stream was opened. Their types
// are not exported.
var unprocessedErrors = []string{
	"http2: Transport received Server's graceful shutdown GOAWAY",
	"http2: client conn not usable",
	"http2: client conn could not be established",
}

const cannotRetryPrefix = "http2: Transport: cannot retry err ["

// provesUnprocessed reports whether err shows that the peer did not process the request.
func (t *sendTracker) provesUnprocessed(err error) bool {
	if !t.connected.Load() {
		return true
	}
	text := strings.TrimPrefix(err.Error(), cannotRetryPrefix)
	for _, prefix := range unprocessedErrors {
		if strings.HasPrefix(text, prefix) {
			return true
		}
	}
	stream, rest, ok := strings.Cut(text, ";")
	return ok && strings.HasPrefix(stream, "stream error: stream ID ") &&
		strings.HasPrefix(rest, " REFUSED_STREAM; received from peer")
}
