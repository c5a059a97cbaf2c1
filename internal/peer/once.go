package peer

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
)

// onceTransport sends each request at most once. Without it net/http sends a
// request with GetBody again after RST_STREAM with PROTOCOL_ERROR, which a peer may
// send after it has begun to work.
type onceTransport struct {
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t onceTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	send, ok := req.Context().Value(forwardSendKey{}).(*forwardSend)
	if !ok {
		return t.next.RoundTrip(req)
	}
	once := req.Clone(send.trace(req.Context()))
	once.GetBody = nil
	resp, err := t.next.RoundTrip(once)
	if err != nil && send.neverProcessed(err) {
		send.unsent.Store(true)
	}
	return resp, err
}

type forwardSendKey struct{}

// forwardSend records how the HTTP request of one Forward went.
type forwardSend struct {
	connected atomic.Bool
	// unsent is set once it is certain that the peer did not process the request.
	unsent atomic.Bool
}

func (s *forwardSend) with(ctx context.Context) context.Context {
	return context.WithValue(ctx, forwardSendKey{}, s)
}

func (s *forwardSend) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.connected.Store(true) },
	})
}

// notProcessed are the errors by which net/http reports that the peer did not
// process a stream: GOAWAY with a lower stream id, REFUSED_STREAM (RFC 9113, section
// 8.7), and a connection that was closed before the stream was opened. Their types
// are not exported.
var notProcessed = []string{
	"http2: Transport received Server's graceful shutdown GOAWAY",
	"http2: client conn not usable",
	"http2: client conn could not be established",
}

const cannotRetry = "http2: Transport: cannot retry err ["

func (s *forwardSend) neverProcessed(err error) bool {
	if !s.connected.Load() {
		return true
	}
	text := strings.TrimPrefix(err.Error(), cannotRetry)
	for _, prefix := range notProcessed {
		if strings.HasPrefix(text, prefix) {
			return true
		}
	}
	stream, rest, ok := strings.Cut(text, ";")
	return ok && strings.HasPrefix(stream, "stream error: stream ID ") &&
		strings.HasPrefix(rest, " REFUSED_STREAM; received from peer")
}
