package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
)

// sseEvent is one complete server-sent event.
type sseEvent struct {
	// data is nil if the event has no data line.
	data []byte
	name []byte
	// id is valid only if hasID is true.
	id    int64
	hasID bool
	// badID is true if the id of the event is not a non-negative integer.
	badID bool
}

var (
	errEventTooLarge = errors.New("an event exceeds the size limit")
	// errEventFraming reports input that clients could split into different events: a
	// carriage return that is not part of a line ending, or a byte order mark.
	errEventFraming = errors.New("the framing of an event is ambiguous")
)

var (
	doneData      = []byte("[DONE]")
	errorName     = []byte("error")
	byteOrderMark = []byte("\xef\xbb\xbf")
)

// eventEnd returns the length of the first complete event in p including its empty line,
// or 0 if p contains no complete event. from is the offset up to which an earlier call
// found no end; next is the offset to pass to the next call.
func eventEnd(p []byte, from int) (end, next int) {
	line := from
	for {
		i := bytes.IndexByte(p[line:], '\n')
		if i < 0 {
			return 0, line
		}
		text := p[line : line+i]
		line += i + 1
		if len(text) == 0 || (len(text) == 1 && text[0] == '\r') {
			return line, 0
		}
	}
}

// parseEvent parses one complete event. The result references the bytes of raw.
func parseEvent(raw []byte) (sseEvent, error) {
	var e sseEvent
	for len(raw) > 0 {
		line, rest, _ := bytes.Cut(raw, []byte{'\n'})
		raw = rest
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if bytes.IndexByte(line, '\r') >= 0 || bytes.HasPrefix(line, byteOrderMark) {
			return e, errEventFraming
		}
		field, value, _ := bytes.Cut(line, []byte{':'})
		e.set(field, bytes.TrimPrefix(value, []byte{' '}))
	}
	return e, nil
}

func (e *sseEvent) set(field, value []byte) {
	switch string(field) {
	case "data":
		e.addData(value)
	case "event":
		e.name = value
	case "id":
		id, err := strconv.ParseInt(string(value), 10, 64)
		e.id = id
		e.hasID = err == nil && id >= 0
		e.badID = !e.hasID
	}
}

func (e *sseEvent) addData(value []byte) {
	if e.data == nil {
		e.data = value
		if e.data == nil {
			e.data = []byte{}
		}
		return
	}
	joined := make([]byte, 0, len(e.data)+1+len(value))
	joined = append(joined, e.data...)
	joined = append(joined, '\n')
	e.data = append(joined, value...)
}

func (e *sseEvent) isDone() bool { return bytes.Equal(e.data, doneData) }

// completionID returns the id of a completion or of one of its chunks. Engines use the
// request id, some with a prefix such as "chatcmpl-".
func completionID(data []byte) string {
	var part struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(data, &part) != nil {
		return ""
	}
	return part.ID
}

// belongsTo reports whether a completion or one of its chunks has the id of the request.
func belongsTo(data []byte, requestID string) bool {
	if hasIDPrefix(data, requestID) {
		return true
	}
	id := completionID(data)
	if len(id) > len(requestID) {
		cut := len(id) - len(requestID)
		return id[cut:] == requestID && id[cut-1] == '-'
	}
	return id == requestID
}

var idPrefix = []byte(`{"id":"`)

// hasIDPrefix is a fast path for JSON that starts with the id field.
func hasIDPrefix(data []byte, requestID string) bool {
	rest, ok := bytes.CutPrefix(data, idPrefix)
	return ok && len(rest) > len(requestID) && string(rest[:len(requestID)]) == requestID && rest[len(requestID)] == '"'
}
