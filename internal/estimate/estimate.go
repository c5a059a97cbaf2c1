// Package estimate learns how long the upstreams of a service take and how loaded they are, from the responses that
// pass anyway. It answers a load in which the upstreams of one service differ in speed, the speed of all of them
// changes with what they run, and many instances choose at the same moment by reports of different ages: a fixed speed
// overruns the slow ones, and a report that is taken for none once it is old makes a loaded upstream look idle.
//
// It reads no clock: times are Unix nanoseconds of one clock, passed by the calling code.
package estimate

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// serviceMemory is the time in which a service forgets most of what it observed. It is about the time in which
	// the load of a region changes.
	serviceMemory = 5 * time.Second
	// upstreamMemory is the same for the speed of an upstream relative to its service, which lasts as long as it
	// runs on the same machine. One instance may get only a response of it every few seconds.
	upstreamMemory = time.Minute
	// servicePrior and upstreamPrior are how many seconds of expected time it takes to move a factor halfway from 1
	// to what was observed.
	servicePrior  = 1.0
	upstreamPrior = 0.5
	// minFactor and maxFactor bound both factors. The second one also bounds how long an upstream that was slow for
	// another reason is avoided.
	minFactor = 0.2
	maxFactor = 5.0
	// maxObserved caps one observation in seconds, so that one stalled response does not outweigh all others. For the
	// factor of an upstream, which is remembered for longer, an observation counts as at most maxFactor times what was
	// expected.
	maxObserved = 4.0
	// loadMemory is the time in which the mean load of a service forgets most reports.
	loadMemory = time.Second
	// reportLife is the age at which a report of one upstream says no more about it than those of the others. The mean of
	// the service counts in full until its latest report is that old, and no more when that is twice as old: while all
	// requests are rejected for a load that has passed, no response reports that it has.
	reportLife = 2 * time.Second
)

// Service is what an instance has learned about a service in its region. It is safe for concurrent use. The zero value
// has observed nothing.
type Service struct {
	mu   sync.Mutex
	time ratio
	load meanLoad
}

// Upstream is what an instance has learned about one upstream. It is safe for concurrent use. The zero value has
// observed nothing.
type Upstream struct {
	mu   sync.Mutex
	time ratio
	// factor holds the bits of the factor of time; 0 for none, which is 1. learnedAt is when it was stored.
	factor    atomic.Uint64
	learnedAt atomic.Int64
}

// ratio is a moving quotient of observed and expected seconds.
type ratio struct {
	observed, expected float64
	at                 int64
}

func (r *ratio) add(now int64, observed, expected float64, memory time.Duration) {
	remaining := math.Exp(-float64(max(now-r.at, 0)) / float64(memory))
	r.observed = r.observed*remaining + observed
	r.expected = r.expected*remaining + expected
	r.at = max(now, r.at)
}

func (r *ratio) factor(now int64, prior float64, memory time.Duration) float64 {
	remaining := math.Exp(-float64(max(now-r.at, 0)) / float64(memory))
	return min(max((r.observed*remaining+prior)/(r.expected*remaining+prior), minFactor), maxFactor)
}

// meanLoad is a moving mean of load reports.
type meanLoad struct {
	running, waiting, weight float64
	at                       int64
}

// ObserveTime records that an upstream took observed seconds for what a fixed estimate expects to take expected seconds,
// both more than 0.
func (s *Service) ObserveTime(now int64, u *Upstream, observed, expected float64) {
	if observed <= 0 || expected <= 0 {
		return
	}
	observed = min(observed, maxObserved)
	s.mu.Lock()
	factor := s.time.factor(now, servicePrior, serviceMemory)
	s.time.add(now, observed, expected, serviceMemory)
	s.mu.Unlock()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.time.add(now, min(observed, maxFactor*expected*factor), expected*factor, upstreamMemory)
	u.learnedAt.Store(now)
	u.factor.Store(math.Float64bits(u.time.factor(now, upstreamPrior, upstreamMemory)))
}

// ObserveLoad records what an upstream reported with a response.
func (s *Service) ObserveLoad(now int64, running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := math.Exp(-float64(max(now-s.load.at, 0)) / float64(loadMemory))
	s.load.running = s.load.running*remaining + float64(running)
	s.load.waiting = s.load.waiting*remaining + float64(waiting)
	s.load.weight = s.load.weight*remaining + 1
	s.load.at = max(now, s.load.at)
}

// View is what is known of a service at one moment.
type View struct {
	// TimeFactor is what the service takes now relative to the fixed estimates; 1 if nothing is known.
	TimeFactor float64
	// Running and Waiting are the mean numbers of requests at an upstream; 0 if nothing is known or all reports are old.
	Running, Waiting float64
	// learned is true for the view of a Service, and at is its time.
	learned bool
	at      int64
}

// Fixed is the view of a service about which nothing is learned.
func Fixed() View { return View{TimeFactor: 1} }

// View returns what is known at a moment. The time factor returns to 1 as what was observed ages.
func (s *Service) View(now int64) View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := View{TimeFactor: s.time.factor(now, servicePrior, serviceMemory), learned: true, at: now}
	if s.load.weight > 0 {
		remaining := min(max(2-float64(now-s.load.at)/float64(reportLife), 0), 1)
		v.Running, v.Waiting = remaining*s.load.running/s.load.weight, remaining*s.load.waiting/s.load.weight
	}
	return v
}

// Learned reports whether the view is that of a Service.
func (v View) Learned() bool { return v.learned }

// TimeFactorOf returns by how much to multiply a fixed estimate of the time that an upstream takes. The factor of the
// upstream returns to 1 in twice upstreamMemory: one that gets no requests because it was slow teaches nothing.
func (v View) TimeFactorOf(u *Upstream) float64 {
	factor := v.TimeFactor
	if bits := u.factor.Load(); bits != 0 && v.learned {
		remaining := 1 - min(max(float64(v.at-u.learnedAt.Load()), 0)/float64(2*upstreamMemory), 1)
		factor *= 1 + remaining*(math.Float64frombits(bits)-1)
	}
	return min(max(factor, minFactor), maxFactor)
}

// LoadOf returns the expected numbers of requests at an upstream that reported running and waiting ones the given time
// ago: what it reported while that is recent, and the mean of the service later. weight is the weight of the report.
func (v View) LoadOf(running, waiting int, age time.Duration) (expectedRunning, expectedWaiting, weight float64) {
	weight = 1 - min(max(float64(age), 0)/float64(reportLife), 1)
	return weight*float64(running) + (1-weight)*v.Running, weight*float64(waiting) + (1-weight)*v.Waiting, weight
}
