package timeline

import (
	"encoding/json"
	"sort"
	"strings"
	"sync"
)

// Capacities of the two ring buffers of a process. One event takes 144 bytes plus its text,
// so both buffers together take 2.9 MB of the 64 MB limit on control memory.
const (
	// DefaultRequestEvents is the number of events with a request id that are kept.
	DefaultRequestEvents = 16384
	// DefaultStateEvents is the number of other events that are kept. They have a separate
	// buffer, because request events would overwrite them within minutes.
	DefaultStateEvents = 4096
)

// maxDetailBytes bounds the detail of an event. Details may contain text from callers,
// such as an unknown model name of up to 8 MB, the body limit.
const maxDetailBytes = 200

// ring is a ring buffer of the latest events in clock order.
type ring struct {
	events  []Event
	written uint64
}

func (r *ring) add(e Event) {
	r.events[r.written%uint64(len(r.events))] = e
	r.written++
}

// overwritten returns the number of events that newer ones have overwritten.
func (r *ring) overwritten() uint64 {
	if size := uint64(len(r.events)); r.written > size {
		return r.written - size
	}
	return 0
}

// since returns a copy of the events above since, oldest first.
func (r *ring) since(since Stamp) []Event {
	size := uint64(len(r.events))
	oldest := r.overwritten()
	count := int(r.written - oldest)
	skip := sort.Search(count, func(i int) bool { return r.events[(oldest+uint64(i))%size].Clock > since })
	events := make([]Event, 0, count-skip)
	for i := oldest + uint64(skip); i < r.written; i++ {
		events = append(events, r.events[i%size])
	}
	return events
}

// Recorder keeps the latest events of one process. It is safe for concurrent use.
// A nil *Recorder records nothing.
type Recorder struct {
	instance string
	clock    *Clock

	mu       sync.Mutex
	requests ring
	state    ring
}

// NewRecorder returns a recorder for the instance. It keeps requestEvents events with a
// request id and stateEvents events without one.
func NewRecorder(instance string, clock *Clock, requestEvents, stateEvents int) *Recorder {
	return &Recorder{
		instance: instance,
		clock:    clock,
		requests: ring{events: make([]Event, requestEvents)},
		state:    ring{events: make([]Event, stateEvents)},
	}
}

// Clock returns the clock of the recorder; nil for a nil recorder.
func (r *Recorder) Clock() *Clock {
	if r == nil {
		return nil
	}
	return r.clock
}

// Record stores e with the clock reading, wall time and instance of this process.
// The oldest event in the same ring buffer is overwritten when the buffer is full.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	if len(e.Detail) > maxDetailBytes {
		e.Detail = strings.ToValidUTF8(strings.Clone(e.Detail[:maxDetailBytes]), "")
	}
	e.Instance = r.instance
	e.Wall = r.clock.wall().UTC()
	// The clock is read under the lock, so that each ring buffer is in clock order.
	r.mu.Lock()
	e.Clock = r.clock.advance(e.Wall, 0)
	if e.Request != "" {
		r.requests.add(e)
	} else {
		r.state.add(e)
	}
	r.mu.Unlock()
}

// Since returns the events with a clock reading above since, oldest first.
func (r *Recorder) Since(since Stamp) []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	requests, state := r.requests.since(since), r.state.since(since)
	r.mu.Unlock()
	return Merge(requests, state)
}

// Overwritten returns the number of events that newer ones have overwritten.
func (r *Recorder) Overwritten() uint64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests.overwritten() + r.state.overwritten()
}

// JSONSource returns the events of a recorder as JSON, for requests of peers.
type JSONSource struct {
	Recorder *Recorder
}

// Since returns the events with a clock reading above since, each encoded as JSON.
func (s JSONSource) Since(since uint64) [][]byte {
	events := s.Recorder.Since(Stamp(since))
	encoded := make([][]byte, 0, len(events))
	for _, e := range events {
		if raw, err := json.Marshal(e); err == nil {
			encoded = append(encoded, raw)
		}
	}
	return encoded
}
