package rolloutctl

import (
	"sync"
	"time"

	"heatherloom/internal/dispatch"
	"heatherloom/internal/rollout"
	"heatherloom/internal/routing"
)

// stopCheckInterval is the number of requests to the candidate on a route between two
// comparisons of its latency. A failed request is followed by a comparison at once.
const stopCheckInterval = 10

// Recorder counts the attempts of this instance for rollouts in progress and decides on
// its local stops. It is safe for concurrent use.
type Recorder struct {
	Instance string
	// OnLocalStop is called once for each local stop, without a lock held.
	OnLocalStop func(rollout.Stop)

	mu      sync.Mutex
	samples rollout.Samples
	// consecutiveFailures is indexed by rollout id, as is stopped.
	consecutiveFailures map[string]int
	stopped             map[string]bool
}

// NewRecorder returns an empty recorder.
func NewRecorder(instance string, onLocalStop func(rollout.Stop)) *Recorder {
	return &Recorder{
		Instance:            instance,
		OnLocalStop:         onLocalStop,
		samples:             rollout.Samples{},
		consecutiveFailures: map[string]int{},
		stopped:             map[string]bool{},
	}
}

// Observe records one attempt.
func (r *Recorder) Observe(o dispatch.RolloutObservation) {
	if reason := r.addAttempt(o); reason != "" {
		r.OnLocalStop(rollout.Stop{RolloutID: o.RolloutID, Instance: r.Instance, Reason: reason, SeenAt: time.Now().UnixNano()})
	}
}

// addAttempt records one attempt and returns why the instance must stop sending to the
// candidate, or "".
func (r *Recorder) addAttempt(o dispatch.RolloutObservation) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	sample := r.samples[o.SampleKey]
	sample.Add(o.Failed, o.FirstByte, o.LoadClass)
	r.samples[o.SampleKey] = sample
	if !o.Candidate || r.stopped[o.RolloutID] {
		return ""
	}
	r.consecutiveFailures[o.RolloutID]++
	if !o.Failed {
		r.consecutiveFailures[o.RolloutID] = 0
		if sample.Requests%stopCheckInterval != 0 {
			return ""
		}
	}
	reason := rollout.LocalStopReason(r.samples.Routes(o.RolloutID, o.Step), r.consecutiveFailures[o.RolloutID])
	r.stopped[o.RolloutID] = reason != ""
	return reason
}

// List returns the samples of this instance.
func (r *Recorder) List() []rollout.KeyedSample {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.samples.List("")
}

// prune drops the samples of rollouts that are not in progress.
func (r *Recorder) prune(s *routing.Snapshot) {
	active := map[string]bool{}
	for _, known := range s.ModelRollouts {
		active[known.ID()] = !known.Final()
	}
	for _, o := range s.ServiceRollouts {
		active[o.ID()] = !o.Final()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.samples {
		if !active[key.RolloutID] {
			delete(r.samples, key)
			delete(r.consecutiveFailures, key.RolloutID)
			delete(r.stopped, key.RolloutID)
		}
	}
}
