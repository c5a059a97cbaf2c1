package gateway

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"heatherloom/internal/errkind"
)

// unreadTimeout bounds the reading of a body that was refused.
const unreadTimeout = time.Second

// refusalBody is the JSON of a refusal.
type refusalBody struct {
	Error refusalDetail `json:"error"`
}

type refusalDetail struct {
	Kind              errkind.Kind      `json:"kind"`
	Message           string            `json:"message"`
	Ran               errkind.Execution `json:"ran"`
	RequestID         string            `json:"request_id"`
	RetryAfterSeconds int64             `json:"retry_after_seconds,omitempty"`
}

// refuse answers with the refusal. If the head of an answer was already sent, it
// ends a stream with an error event and breaks off any other answer, so that the
// caller cannot take it for a whole one.
func refuse(c *call, err *errkind.Error) {
	body := refusalBody{Error: refusalDetail{
		Kind:              err.Kind,
		Message:           err.Message,
		Ran:               err.Execution,
		RequestID:         c.id,
		RetryAfterSeconds: seconds(err.RetryDelay()),
	}}
	raw, marshalErr := json.Marshal(body)
	if marshalErr != nil {
		raw = []byte(`{"error":{"kind":"internal","ran":"unknown"}}`)
	}
	if c.sink.started {
		cutAnswer(c, raw)
		return
	}
	c.w.Header().Set("Content-Type", "application/json")
	if !c.bodyRead && c.r.ContentLength != 0 && c.r.ProtoMajor == 1 {
		// Without it net/http holds the refusal back until it has read up to 256 KB of
		// the body, however slowly that arrives.
		c.w.Header().Set("Connection", "close")
		_ = c.sink.control.SetReadDeadline(time.Now().Add(unreadTimeout))
	}
	if wait := seconds(err.RetryDelay()); wait > 0 {
		c.w.Header().Set("Retry-After", strconv.FormatInt(wait, 10))
	}
	c.w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	c.w.WriteHeader(errkind.ResponseFor(err.Kind).Status)
	_ = c.sink.write(raw)
}

func cutAnswer(c *call, raw []byte) {
	if !c.sink.stream {
		panic(http.ErrAbortHandler)
	}
	_ = c.sink.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", raw))
}

// seconds rounds up, so that a caller does not come back too early.
func seconds(d time.Duration) int64 {
	return int64(math.Ceil(d.Seconds()))
}

// callerSink writes an answer to the caller as it arrives.
type callerSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// timeout bounds the writing of one part.
	timeout time.Duration
	started bool
	stream  bool
	// status is that of the answer, once it has begun.
	status int
	// headAt is the time of the first part of the answer.
	headAt time.Time
}

// newCallerSink clears the deadline that an earlier request of the connection left.
func newCallerSink(w, raw http.ResponseWriter, timeout time.Duration) *callerSink {
	control := http.NewResponseController(raw)
	_ = control.SetWriteDeadline(time.Time{})
	return &callerSink{w: w, control: control, timeout: timeout}
}

// Head implements dispatch.Sink.
func (s *callerSink) Head(status int, header http.Header) error {
	for name, values := range header {
		s.w.Header()[name] = values
	}
	s.started = true
	s.status = status
	s.headAt = time.Now()
	s.w.WriteHeader(status)
	return nil
}

// Data implements dispatch.Sink.
func (s *callerSink) Data(p []byte) error { return s.write(p) }

// write sends one part. The deadline stays set after it, since net/http may write
// the end of the answer later.
func (s *callerSink) write(p []byte) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(s.timeout))
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.control.Flush()
}

func writeJSON(c *call, value any) *errkind.Error {
	raw, err := json.Marshal(value)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, errkind.NotExecuted, "the answer could not be encoded")
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(raw)))
	_ = c.sink.Head(http.StatusOK, header)
	if err := c.sink.write(raw); err != nil {
		return errkind.Wrap(err, errkind.Internal, errkind.NotExecuted, "the answer could not be written")
	}
	return nil
}
