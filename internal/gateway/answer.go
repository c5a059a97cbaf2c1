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

// refusalBody is the JSON of a refusal.
type refusalBody struct {
	Error refusalDetail `json:"error"`
}

type refusalDetail struct {
	Kind              errkind.Kind `json:"kind"`
	Message           string       `json:"message"`
	Ran               errkind.Ran  `json:"ran"`
	RequestID         string       `json:"request_id"`
	RetryAfterSeconds int64        `json:"retry_after_seconds,omitempty"`
}

// refuse answers with the refusal. If the head of an answer was already sent, it
// ends a stream with an error event and breaks off any other answer, so that the
// caller cannot take it for a whole one.
func refuse(c *call, err *errkind.Error) {
	body := refusalBody{Error: refusalDetail{
		Kind:              err.Kind,
		Message:           err.Message,
		Ran:               err.Ran,
		RequestID:         c.id,
		RetryAfterSeconds: seconds(err.Wait()),
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
	if wait := seconds(err.Wait()); wait > 0 {
		c.w.Header().Set("Retry-After", strconv.FormatInt(wait, 10))
	}
	c.w.WriteHeader(errkind.AnswerFor(err.Kind).Status)
	_, _ = c.w.Write(raw)
}

func cutAnswer(c *call, raw []byte) {
	if !c.sink.stream {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(c.w, "event: error\ndata: %s\n\n", raw)
	c.sink.flush()
}

// seconds rounds up, so that a caller does not come back too early.
func seconds(d time.Duration) int64 {
	return int64(math.Ceil(d.Seconds()))
}

// callerSink writes an answer to the caller as it arrives.
type callerSink struct {
	w       http.ResponseWriter
	started bool
	stream  bool
	// headAt is the time of the first part of the answer.
	headAt time.Time
}

// Head implements dispatch.Sink.
func (s *callerSink) Head(status int, header http.Header) error {
	for name, values := range header {
		s.w.Header()[name] = values
	}
	s.started = true
	s.headAt = time.Now()
	s.w.WriteHeader(status)
	return nil
}

// Data implements dispatch.Sink.
func (s *callerSink) Data(p []byte) error {
	_, err := s.w.Write(p)
	if s.stream {
		s.flush()
	}
	return err
}

func (s *callerSink) flush() {
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
}

func writeJSON(c *call, value any) *errkind.Error {
	c.w.Header().Set("Content-Type", "application/json")
	c.sink.started = true
	if err := json.NewEncoder(c.w).Encode(value); err != nil {
		return errkind.Wrap(err, errkind.Internal, errkind.RanNo, "the answer could not be written")
	}
	return nil
}
