package relay

import (
	"errors"
	"net/http"
)

// maxEventlessBytes bounds the comments and empty lines between two events. Upstreams send them
// to keep a connection open, a few bytes every some seconds.
const maxEventlessBytes = 64 << 10

// StreamPosition is the progress of a stream over all attempts of its request.
type StreamPosition struct {
	// Started is true once the head was passed to the sink.
	Started bool
	// LastEventID is the id of the last delivered event; valid if HasLastEventID is true.
	LastEventID    int64
	HasLastEventID bool
	// gap is true if an event was delivered whose id does not follow LastEventID. Resuming
	// such a stream could lose or duplicate events.
	gap bool
}

// Resumable reports whether another upstream can continue after the last event.
func (p *StreamPosition) Resumable() bool { return p.HasLastEventID && !p.gap }

var (
	errWrongRequestID = errors.New("an event belongs to another request")
	errNotResumed     = errors.New("the upstream did not resume the stream after the last event")
	errPartialEvent   = errors.New("the body ended inside an event")
	errEventOrder     = errors.New("an event is out of sequence")
	errNoEvents       = errors.New("the upstream sent too many bytes without an event")
	errUpstreamError  = errors.New("the upstream ended the stream with an error event")
)

// sinkError is an error of the sink, which means that the caller has disconnected.
type sinkError struct{ err error }

func (e sinkError) Error() string { return e.err.Error() }
func (e sinkError) Unwrap() error { return e.err }

// EventCopier forwards complete server-sent events to a sink. An event is delivered only
// if it is complete and belongs to the request.
type EventCopier struct {
	// RequestID is the id that each chunk of a completion must contain; empty if the stream
	// is not a completion.
	RequestID string
	// Status and Header of the response are delivered with the first event.
	Status int
	Header http.Header
	// Position is updated with each delivered event.
	Position *StreamPosition
	// MaxEventBytes bounds the size of one event.
	MaxEventBytes int
	Sink          Sink
	// Numbered is true if the events have consecutive ids and the stream ends with its body
	// instead of [DONE].
	Numbered bool
	// OnFirstEvent is called when the first event of this response was accepted; nil to ignore it. Comments and [DONE]
	// are no events.
	OnFirstEvent func()

	pending []byte
	// eventless is the number of bytes without data since the last event with data.
	eventless int
	scanned   int
	resumed   bool
	// hasEvents is true once an event of this response was accepted.
	hasEvents   bool
	initialized bool
	done        bool
}

// Done reports whether the stream is complete, that is, whether [DONE] was delivered or
// Finish succeeded.
func (c *EventCopier) Done() bool { return c.done }

// ResumedWithoutEvents reports whether the response continues a stream after an event and had none so far.
func (c *EventCopier) ResumedWithoutEvents() bool { return c.resumed && !c.hasEvents }

// Write accepts the next bytes of the stream and delivers the events that are complete.
// Bytes after [DONE] are ignored.
func (c *EventCopier) Write(p []byte) error {
	if c.done {
		return nil
	}
	if !c.initialized {
		c.initialized = true
		c.resumed = c.Position.HasLastEventID
	}
	c.pending = append(c.pending, p...)
	ready := 0
	next := *c.Position
	var failure error
	for failure == nil && !c.done {
		end, scanned := eventEnd(c.pending[ready:], c.scanned)
		c.scanned = scanned
		if end == 0 {
			break
		}
		if failure = c.accept(c.pending[ready:ready+end], &next); failure == nil {
			ready += end
		}
	}
	if err := c.deliver(ready, next); err != nil {
		return err
	}
	if failure == nil && len(c.pending) > c.MaxEventBytes {
		failure = errEventTooLarge
	}
	return failure
}

// deliver passes the first n pending bytes, which are complete events, to the sink.
func (c *EventCopier) deliver(n int, next StreamPosition) error {
	if n == 0 {
		return nil
	}
	if !c.Position.Started {
		c.Position.Started = true
		next.Started = true
		if err := c.Sink.Head(c.Status, c.Header); err != nil {
			return sinkError{err}
		}
	}
	*c.Position = next
	if err := c.Sink.Data(c.pending[:n]); err != nil {
		return sinkError{err}
	}
	c.pending = append(c.pending[:0], c.pending[n:]...)
	return nil
}

// accept validates one complete event and advances next past it.
func (c *EventCopier) accept(raw []byte, next *StreamPosition) error {
	if len(raw) > c.MaxEventBytes {
		return errEventTooLarge
	}
	e, err := parseEvent(raw)
	if err != nil {
		return err
	}
	if string(e.name) == string(errorName) {
		return errUpstreamError
	}
	if e.data == nil {
		c.eventless += len(raw)
		if c.eventless > maxEventlessBytes {
			return errNoEvents
		}
		return nil
	}
	c.eventless = 0
	c.hasEvents = true
	if c.Numbered {
		err := c.advanceNumbered(e, next)
		c.recordEvent(err)
		return err
	}
	if e.isDone() {
		c.done = true
		return nil
	}
	if c.RequestID != "" && !belongsTo(e.data, c.RequestID) {
		return errWrongRequestID
	}
	err = c.advance(e, next)
	c.recordEvent(err)
	return err
}

// recordEvent calls OnFirstEvent at the first event that was accepted.
func (c *EventCopier) recordEvent(err error) {
	if err == nil && c.OnFirstEvent != nil {
		c.OnFirstEvent()
		c.OnFirstEvent = nil
	}
}

// Finish handles the end of the body of a numbered stream. It returns an error if the body
// ended inside an event.
func (c *EventCopier) Finish() error {
	if len(c.pending) > 0 {
		return errPartialEvent
	}
	if !c.Position.Started {
		c.Position.Started = true
		if err := c.Sink.Head(c.Status, c.Header); err != nil {
			return sinkError{err}
		}
	}
	c.done = true
	return nil
}

// advanceNumbered accepts only the event whose id follows the last one, so that the caller
// receives each event exactly once. The first event has the id 1.
func (c *EventCopier) advanceNumbered(e sseEvent, next *StreamPosition) error {
	if !e.hasID || e.id != next.LastEventID+1 {
		return errEventOrder
	}
	next.LastEventID, next.HasLastEventID = e.id, true
	return nil
}

func (c *EventCopier) advance(e sseEvent, next *StreamPosition) error {
	follows := e.hasID && (!next.HasLastEventID || e.id == next.LastEventID+1)
	if !follows && c.resumed {
		return errNotResumed
	}
	if !follows {
		next.gap = true
	}
	if e.hasID {
		next.LastEventID = e.id
		next.HasLastEventID = true
	}
	return nil
}
