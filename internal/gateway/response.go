package gateway

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"heatherloom/internal/drain"
	"heatherloom/internal/errkind"
)

// unreadBodyTimeout bounds the reading of the request body after a rejection.
const unreadBodyTimeout = time.Second

// rejectionBody is the JSON body of a rejection.
type rejectionBody struct {
	Error rejectionDetail `json:"error"`
}

type rejectionDetail struct {
	Kind              errkind.Kind      `json:"kind"`
	Message           string            `json:"message"`
	Execution         errkind.Execution `json:"ran"`
	RequestID         string            `json:"request_id"`
	RetryAfterSeconds int64             `json:"retry_after_seconds,omitempty"`
}

// writeRejection responds with the error. If the response headers were already sent, it
// ends a stream with an error event and aborts any other response, so that the caller
// cannot take it for a complete one.
func writeRejection(c *call, err *errkind.Error) {
	body := rejectionBody{Error: rejectionDetail{
		Kind:              err.Kind,
		Message:           err.Message,
		Execution:         err.Execution,
		RequestID:         c.id,
		RetryAfterSeconds: ceilSeconds(err.RetryDelay()),
	}}
	raw, marshalErr := json.Marshal(body)
	if marshalErr != nil {
		raw = []byte(`{"error":{"kind":"internal","ran":"unknown"}}`)
	}
	if c.sink.started {
		abortResponse(c, raw)
		return
	}
	c.w.Header().Set("Content-Type", "application/json")
	if !c.bodyRead && c.r.ContentLength != 0 {
		c.sink.leaveBodyUnread(c.r)
	}
	if wait := ceilSeconds(err.RetryDelay()); wait > 0 {
		c.w.Header().Set("Retry-After", strconv.FormatInt(wait, 10))
	}
	c.w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	c.sink.announceClose()
	c.w.WriteHeader(errkind.ResponseFor(err.Kind).Status)
	_ = c.sink.write(raw)
}

func abortResponse(c *call, raw []byte) {
	if !c.sink.stream {
		panic(http.ErrAbortHandler)
	}
	_ = c.sink.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", raw))
}

// ceilSeconds rounds up, so that a caller does not retry too early.
func ceilSeconds(d time.Duration) int64 {
	return int64(math.Ceil(d.Seconds()))
}

// callerSink writes a response to the caller as it arrives.
type callerSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// timeout bounds a single write.
	timeout time.Duration
	started bool
	stream  bool
	// status is the response status; 0 until the headers are sent.
	status int
	// headSentAt is the time at which the response headers were sent.
	headSentAt time.Time
	drain      *drain.Controller
}

// newCallerSink returns a sink for w. It clears the write deadline left by an earlier
// request on the connection.
func newCallerSink(w, raw http.ResponseWriter, timeout time.Duration, d *drain.Controller) *callerSink {
	control := http.NewResponseController(raw)
	_ = control.SetWriteDeadline(time.Time{})
	return &callerSink{w: w, control: control, timeout: timeout, drain: d}
}

// leaveBodyUnread makes a rejection end the connection of an HTTP/1 request whose body was not read. Otherwise net/http
// delays the rejection until it has read up to 256 KB of the body, however slowly that arrives.
func (s *callerSink) leaveBodyUnread(r *http.Request) {
	if r.ProtoMajor != 1 {
		return
	}
	s.w.Header().Set("Connection", "close")
	_ = s.control.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}

// announceClose makes the caller of a draining instance open its next connection, which can go to
// another instance.
func (s *callerSink) announceClose() {
	if s.drain.Draining() {
		s.w.Header().Set("Connection", "close")
	}
}

// Head implements dispatch.Sink.
func (s *callerSink) Head(status int, header http.Header) error {
	for name, values := range header {
		s.w.Header()[name] = values
	}
	s.announceClose()
	s.started = true
	s.status = status
	s.headSentAt = time.Now()
	s.w.WriteHeader(status)
	return nil
}

// Data implements dispatch.Sink.
func (s *callerSink) Data(p []byte) error { return s.write(p) }

// write writes and flushes p. The deadline stays set afterwards, since net/http may
// write the end of the response later.
func (s *callerSink) write(p []byte) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(s.timeout))
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.control.Flush()
}

// abort ends a response that was started, so that the caller cannot take it for a complete one, and panics with
// http.ErrAbortHandler. Without chunks, in HTTP/1.0, a body may end with its connection, which is reset.
func (s *callerSink) abort(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		s.reset()
	}
	panic(http.ErrAbortHandler)
}

// netConn is a connection that wraps another one, as a tls.Conn does.
type netConn interface{ NetConn() net.Conn }

// reset resets the connection to the caller.
func (s *callerSink) reset() {
	c, _, err := s.control.Hijack()
	if err != nil {
		return
	}
	for wrapped, ok := c.(netConn); ok; wrapped, ok = c.(netConn) {
		c = wrapped.NetConn()
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func writeJSON(c *call, value any) *errkind.Error {
	raw, err := json.Marshal(value)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, errkind.NotExecuted, "the response could not be encoded")
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(raw)))
	_ = c.sink.Head(http.StatusOK, header)
	if err := c.sink.write(raw); err != nil {
		return errkind.Wrap(err, errkind.Internal, errkind.NotExecuted, "the response could not be written")
	}
	return nil
}
