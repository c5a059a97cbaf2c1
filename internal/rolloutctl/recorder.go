package rolloutctl

import (
	"sync"
	"time"

	"heatherloom/internal/dispatch"
	"heatherloom/internal/rollout"
	"heatherloom/internal/routing"
)

// stopCheckEvery is the number of successful requests of the candidate on a route after
// which its latency is compared. Failures are judged one by one.
const stopCheckEvery = 10

// Recorder counts the attempts of this instance for rollouts under way and decides
// about its local stops. It is safe for concurrent use.
type Recorder struct {
	Instance string
	// Stop is told of each local stop once. It is called without a lock held.
	Stop func(rollout.Stop)

	mu      sync.Mutex
	samples rollout.Samples
	// failures counts the failures in a row by move.
	failures map[string]int
	stopped  map[string]bool
}

// NewRecorder returns an empty recorder.
func NewRecorder(instance string, stop func(rollout.Stop)) *Recorder {
	return &Recorder{
		Instance: instance,
		Stop:     stop,
		samples:  rollout.Samples{},
		failures: map[string]int{},
		stopped:  map[string]bool{},
	}
}

// Observe counts one attempt.
func (r *Recorder) Observe(o dispatch.Observation) {
	if reason := r.add(o); reason != "" {
		r.Stop(rollout.Stop{Move: o.Move, Instance: r.Instance, Reason: reason, SeenAt: time.Now().UnixNano()})
	}
}

// add returns why the instance must stop sending to the version, or "".
func (r *Recorder) add(o dispatch.Observation) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	sample := r.samples[o.SampleKey]
	sample.Add(o.Failed, o.FirstByte, o.LoadClass)
	r.samples[o.SampleKey] = sample
	if !o.Candidate || r.stopped[o.Move] {
		return ""
	}
	r.failures[o.Move]++
	if !o.Failed {
		r.failures[o.Move] = 0
		if sample.Requests%stopCheckEvery != 0 {
			return ""
		}
	}
	reason := rollout.LocalStop(r.samples.Routes(o.Move, o.Step), r.failures[o.Move])
	r.stopped[o.Move] = reason != ""
	return reason
}

// List returns the samples of this instance.
func (r *Recorder) List() []rollout.KeyedSample {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.samples.List("")
}

// keep drops the samples of moves that are not under way.
func (r *Recorder) keep(s *routing.Snapshot) {
	active := map[string]bool{}
	for _, m := range s.Moves {
		active[m.ID()] = !m.Final()
	}
	for _, o := range s.Orders {
		active[o.ID()] = !o.Final()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.samples {
		if !active[key.Move] {
			delete(r.samples, key)
			delete(r.failures, key.Move)
			delete(r.stopped, key.Move)
		}
	}
}
