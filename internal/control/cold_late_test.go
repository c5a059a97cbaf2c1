package control

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var (
	coldFleetClose     = flag.Float64("cold.fleet.close", 0.7, "share of the responses that close their connections in TestColdLimitHoldsAndEndsWhileInstancesRunLate")
	coldFleetLateClose = flag.Float64("cold.fleet.close.late", 0, "the same in plays with late messages")
)

const (
	// minLateness and maxLateness bound how late the ticks, the messages or all steps of an instance are.
	minLateness = 50 * time.Millisecond
	maxLateness = time.Second
	// maxUnused is how long no instance may treat an upstream as warm after its cold time. Where all processes run late,
	// it is longer by maxLateness: they read the response to a health check when they run the next time.
	maxUnused = time.Second
)

// lateness is what of an instance is late.
type lateness int

const (
	onTime lateness = iota
	// lateTicks delays the control loop only, and lateProcess all that the instance does.
	lateTicks
	lateProcess
)

// fleetMessage is an event that waits for the tick after a time.
type fleetMessage struct {
	at    time.Time
	event Event
}

func (w *coldFleet) lateness() time.Duration {
	return minLateness + w.random(maxLateness-minLateness)
}

// messageTime returns how long a message takes.
func (w *coldFleet) messageTime() time.Duration {
	if w.slowMessages {
		return w.lateness()
	}
	return 0
}

// deliver sends an event to an instance.
func (w *coldFleet) deliver(s *fleetSender, delay time.Duration, e Event) {
	s.messages = append(s.messages, fleetMessage{at: w.now.Add(delay), event: e})
}

// post queues an event of the instance itself.
func (w *coldFleet) post(s *fleetSender, e Event) { w.deliver(s, 0, e) }

// applyMessages applies the events that have arrived.
func (w *coldFleet) applyMessages(s *fleetSender) {
	waiting := s.messages[:0]
	for _, m := range s.messages {
		if w.now.Before(m.at) {
			waiting = append(waiting, m)
			continue
		}
		if e, ok := m.event.(HeartbeatEvent); ok {
			e.ReceivedAt = m.at
			m.event = e
		}
		m.event.apply(s.tables, w.now)
	}
	s.messages = waiting
}

// runsNow reports whether the instance runs in this step.
func (w *coldFleet) runsNow(s *fleetSender) bool {
	if s.late != lateProcess {
		return true
	}
	runs := !w.now.Before(s.runAt)
	if runs {
		s.runAt = w.now.Add(w.lateness())
	}
	return runs
}

// ticksNow reports whether the control loop of an instance that runs ticks, which is due on time if due is true.
func (w *coldFleet) ticksNow(s *fleetSender, due bool) bool {
	switch s.late {
	case lateTicks:
		if w.now.Before(s.tickAt) {
			return false
		}
		s.tickAt = w.now.Add(w.lateness())
	case lateProcess:
	default:
		return due
	}
	return true
}

// usesAsWarm reports whether the instance may send any number of requests to the upstream.
func (w *coldFleet) usesAsWarm(s *fleetSender) bool {
	if s.snapshot == nil || len(s.snapshot.Upstreams) == 0 || w.now.Before(s.frozenUntil) {
		return false
	}
	u := &s.snapshot.Upstreams[0]
	return !u.Down && !u.CountsAsCold(w.now)
}

// Guards against late instances that exceed the limit of an upstream that starts again, and against upstreams that no
// instance uses after their cold time because none of them ends a precaution while it runs late.
func TestColdLimitHoldsAndEndsWhileInstancesRunLate(t *testing.T) {
	for _, c := range []struct {
		name     string
		late     lateness
		share    int
		messages bool
	}{
		{"ticks of some", lateTicks, 3, false},
		{"ticks of all", lateTicks, 1, false},
		{"messages", onTime, 1, true},
		{"ticks and messages of all", lateTicks, 1, true},
		{"processes of some", lateProcess, 3, false},
		{"processes of all", lateProcess, 1, false},
		{"processes and messages of all", lateProcess, 1, true},
	} {
		for _, instances := range []int{8, 24} {
			t.Run(fmt.Sprint(c.name, ", ", instances), func(t *testing.T) {
				t.Parallel()
				for seed := *coldFleetFirst; seed < *coldFleetFirst+*coldFleetSeeds; seed++ {
					w := newColdFleet(seed, instances)
					w.slowMessages = c.messages
					w.rate, w.closeShare = 0.6, *coldFleetClose
					if c.messages {
						w.closeShare = *coldFleetLateClose
					}
					w.setLate = func() {
						for i, s := range w.senders {
							if i%c.share == 0 {
								s.late = c.late
							}
						}
					}
					w.playLate(t, seed)
				}
			})
		}
	}
}

// playLate plays the schedule and checks the limit and its end.
func (w *coldFleet) playLate(t *testing.T, seed uint64) {
	t.Helper()
	start, unusedSince, limit := w.now, w.now, maxUnused
	w.setLate()
	if !slices.ContainsFunc(w.senders, func(s *fleetSender) bool { return s.late != lateProcess }) {
		limit += maxLateness
	}
	for end := w.now.Add(fleetLength); w.now.Before(end); {
		w.setLate()
		w.runEvents()
		w.step()
		w.server.newArrivals()
		if got := w.server.latestSecond(w.now); got > scheduleLimit {
			t.Errorf("seed %d, %s: the upstream got %d requests in a second, at most %d are allowed", seed, w.now.Sub(start), got, scheduleLimit)
			return
		}
		if !w.server.up || w.now.Sub(w.server.born) < scheduleCold {
			unusedSince = w.now
		}
		for _, s := range w.senders {
			if w.usesAsWarm(s) {
				unusedSince = w.now
			}
		}
		if unused := w.now.Sub(unusedSince); unused > limit {
			t.Errorf("seed %d, %s: no instance treats the upstream as warm %s after its cold time", seed, w.now.Sub(start), unused)
			return
		}
	}
}
