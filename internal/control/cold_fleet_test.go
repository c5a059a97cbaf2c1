package control

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"heatherloom/internal/clock"
	"heatherloom/internal/routing"
)

const (
	fleetStep   = 10 * time.Millisecond
	fleetLength = 60 * time.Second
	// maxBacklog is the number of requests that wait at most while an instance is frozen.
	maxBacklog = 10
	// maxSendDelay bounds the time from a pick to the send, and maxReportDelay that of a report which is not late.
	maxSendDelay   = 30 * time.Millisecond
	maxReportDelay = 40 * time.Millisecond
	// fleetCheckInterval is the time from the detection of a paused upstream to its first health check, and
	// maxFleetCheckInterval the longest time between two. fleetDialTimeout and fleetCheckTimeout are the timeouts.
	fleetCheckInterval    = 400 * time.Millisecond
	maxFleetCheckInterval = 2 * time.Second
	fleetDialTimeout      = 300 * time.Millisecond
	fleetCheckTimeout     = 500 * time.Millisecond
	// reportLoss and lateReports are the fractions of reports that are lost and that take up to a second.
	reportLoss  = 0.02
	lateReports = 0.02
)

var (
	coldFleetSeeds = flag.Uint64("cold.fleet.seeds", 3, "number of seeds of TestColdLimitHoldsInLargeRegions for each size")
	coldFleetIdle  = flag.Duration("cold.fleet.idle", 0, "how long connections stay idle; 0 to draw it")
	coldFleetFirst = flag.Uint64("cold.fleet.first", 0, "first seed of TestColdLimitHoldsInLargeRegions")
)

// fleetSender is an instance with at most one connection to the upstream.
type fleetSender struct {
	id       string
	tables   *tables
	snapshot *routing.Snapshot
	policy   routing.ServicePolicy
	scratch  *routing.Scratch
	// usedAt is when the connection was last used; zero for none.
	usedAt time.Time
	// broken is true if the upstream closed the connection and this instance has not run since.
	broken      bool
	frozenUntil time.Time
	// ranAt is when the instance last ran.
	ranAt       time.Time
	cutOffUntil time.Time
	nextRead    time.Time
	heartbeatAt time.Time
	// checkAt is when the next health check is due, checkInterval the time to the one after it, and checked the
	// one in progress; nil for none.
	checkAt       time.Time
	checkInterval time.Duration
	checked       *fleetCheck
	sends         []fleetSend
	reports       []fleetReport
	// told holds the reports that are known, like peer.RestartReporter.
	toldEnd, toldCold time.Time
	// late is how late the instance runs, and messages are those that it has not applied.
	late     lateness
	messages []fleetMessage
	// runAt and tickAt are when it runs and ticks next if it is late.
	runAt, tickAt time.Time
}

type fleetSend struct {
	at          time.Time
	reservation *routing.ColdReservation
	upstream    string
}

type fleetReport struct {
	at, expires time.Time
	report      RestartReport
}

// coldFleet is one upstream of a region with many instances, each of which sends to it now and then.
type coldFleet struct {
	rng     *rand.Rand
	now     time.Time
	server  coldServer
	senders []*fleetSender
	listed  []string
	// rate is how many requests a second an instance gets, and idleTimeout how long its connection stays idle.
	rate        float64
	idleTimeout time.Duration
	storeAway   time.Time
	steps       int
	events      []fleetEvent
	// closeShare is the share of the responses that close their connections.
	closeShare float64
	// setLate sets which instances are late.
	setLate func()
	// slowMessages is true if messages take up to maxLateness.
	slowMessages bool
}

type fleetEvent struct {
	at  time.Time
	run func()
}

func newColdFleet(seed uint64, instances int) *coldFleet {
	w := &coldFleet{rng: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1000, 0)}
	w.rate = []float64{0.1, 0.3, 0.6, 1.2}[w.rng.IntN(4)]
	w.idleTimeout = []time.Duration{3 * time.Second, 8500 * time.Millisecond}[w.rng.IntN(2)]
	if *coldFleetIdle > 0 {
		w.idleTimeout = *coldFleetIdle
	}
	for i := range instances {
		w.listed = append(w.listed, fmt.Sprint("e", i))
	}
	w.start()
	for _, id := range w.listed {
		w.senders = append(w.senders, w.newSender(id))
	}
	w.plan()
	return w
}

func (w *coldFleet) newSender(id string) *fleetSender {
	s := (&coldSchedule{rng: w.rng, now: w.now}).newSender(id)
	return &fleetSender{id: id, tables: s.tables, policy: s.policy, scratch: s.scratch, nextRead: w.now}
}

func (w *coldFleet) random(limit time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(limit)))
}

func (w *coldFleet) start() {
	w.server = coldServer{id: "u0", born: w.now, up: true, rowBackAt: w.now.Add(w.random(800 * time.Millisecond)), row: w.server.row}
	if w.server.row == nil {
		w.server.rowBackAt = w.now
	}
}

func (w *coldFleet) crash(down time.Duration) {
	w.server.up, w.server.startAt = false, w.now.Add(down)
	for _, s := range w.senders {
		s.broken = s.broken || w.hasConnection(s)
	}
}

func (w *coldFleet) hasConnection(s *fleetSender) bool {
	return !s.usedAt.IsZero() && w.now.Sub(s.usedAt) < w.idleTimeout
}

// plan draws the next time at which the upstream crashes while it is warm, and what happens shortly before and after.
func (w *coldFleet) plan() {
	at := w.now.Add(7*time.Second + w.random(2*time.Second))
	for range w.rng.IntN(4) {
		w.events = append(w.events, fleetEvent{at.Add(-w.random(4 * time.Second)), w.impair})
	}
	downs := []time.Duration{0, 300 * time.Millisecond, time.Second, 4 * time.Second}
	var crash func()
	crash = func() {
		if w.closeShare > 0 && !slices.ContainsFunc(w.senders, w.hasConnection) {
			// A restart that no instance can notice is a case of its own, of which KNOWN-RED.txt tells.
			w.events = append(w.events, fleetEvent{w.now.Add(fleetStep), crash})
			return
		}
		w.crash(w.random(downs[w.rng.IntN(len(downs))] + time.Millisecond))
	}
	w.events = append(w.events, fleetEvent{at, crash})
	if w.rng.IntN(3) == 0 {
		w.events = append(w.events, fleetEvent{at.Add(w.random(5 * time.Second)), crash})
	}
	w.events = append(w.events, fleetEvent{at.Add(5 * time.Second), w.plan})
}

// impair makes some instances know less.
func (w *coldFleet) impair() {
	some := func(f func(i int)) {
		for range 1 + w.rng.IntN(len(w.senders)/4) {
			f(w.rng.IntN(len(w.senders)))
		}
	}
	switch w.rng.IntN(5) {
	case 0:
		some(func(i int) { w.senders[i].frozenUntil = w.now.Add(w.random(6 * time.Second)) })
	case 1:
		some(func(i int) { w.senders[i] = w.newSender(w.senders[i].id) })
	case 2:
		some(func(i int) { w.senders[i].cutOffUntil = w.now.Add(w.random(8 * time.Second)) })
	case 3:
		w.storeAway = w.now.Add(w.random(10 * time.Second))
	default:
		some(func(i int) { w.senders[i].nextRead = w.now.Add(w.random(2 * time.Second)) })
	}
}

// runEvents runs the events that are due.
func (w *coldFleet) runEvents() {
	due := w.events
	w.events = nil
	for _, e := range due {
		if w.now.Before(e.at) {
			w.events = append(w.events, e)
		} else {
			e.run()
		}
	}
}

func (w *coldFleet) step() {
	w.now = w.now.Add(fleetStep)
	w.steps++
	if !w.server.startAt.IsZero() && !w.now.Before(w.server.startAt) {
		w.start()
	}
	if !w.server.rowBackAt.IsZero() && !w.now.Before(w.server.rowBackAt) {
		w.server.rowBackAt = time.Time{}
		(&coldSchedule{now: w.now}).writeRowOf(&w.server)
	}
	for i, s := range w.senders {
		if !w.now.Before(s.frozenUntil) && w.runsNow(s) {
			w.run(s, w.ticksNow(s, (w.steps+i)%5 == 0))
		}
	}
}

func (w *coldFleet) run(s *fleetSender, tick bool) {
	if frozen := w.now.Sub(s.ranAt) - fleetStep; frozen > 0 && s.snapshot != nil && !s.ranAt.IsZero() {
		for range min(int(w.rate*frozen.Seconds()), maxBacklog) {
			w.pick(s)
		}
	}
	s.ranAt = w.now
	row := s.tables.upstreams[w.server.id]
	if s.broken {
		s.broken, s.usedAt = false, time.Time{}
		if row != nil {
			row.counters.SuspectRestart(w.now)
		}
	}
	w.receive(s)
	if !w.now.Before(s.nextRead) && w.now.After(w.storeAway) {
		(&coldSchedule{now: w.now, listed: w.listed, server: w.server}).read(&coldSender{tables: s.tables})
		s.nextRead = w.now.Add(1100*time.Millisecond + w.random(300*time.Millisecond))
	}
	if !w.now.Before(s.heartbeatAt) {
		w.heartbeat(s)
		s.heartbeatAt = w.now.Add(time.Second)
	}
	w.check(s)
	w.transmit(s)
	if s.snapshot != nil && w.rng.Float64() < w.rate*fleetStep.Seconds() {
		w.pick(s)
	}
	if tick {
		w.applyMessages(s)
		for _, step := range tickSteps {
			step(s.tables, w.now)
		}
		s.snapshot = buildSnapshot(s.tables, w.now)
	}
}

// receive applies the reports that have arrived.
func (w *coldFleet) receive(s *fleetSender) {
	waiting := s.reports[:0]
	for _, r := range s.reports {
		if w.now.Before(r.at) {
			waiting = append(waiting, r)
			continue
		}
		row := s.tables.upstreams[r.report.Upstream]
		if w.now.After(r.expires) || row == nil || !s.isNew(r.report, row) {
			continue
		}
		if r.report.ColdFor > 0 {
			row.counters.RecordColdUntil(r.report.NoticedAt.Add(r.report.ColdFor))
		} else {
			row.counters.SuspectReportedRestart(r.report.NoticedAt)
		}
		w.post(s, RestartsReportedEvent{Reports: []RestartReport{r.report}})
	}
	s.reports = waiting
}

func (s *fleetSender) isNew(r RestartReport, row *upstreamRow) bool {
	known, at, slack := &s.toldEnd, r.NoticedAt, 2*time.Second
	if r.ColdFor > 0 {
		known, at, slack = &s.toldCold, r.NoticedAt.Add(r.ColdFor), 300*time.Millisecond
	}
	isNew := at.Sub(*known) >= slack || (r.ColdFor == 0 && r.NoticedAt.After(*known) && row.counters.CheckedSince(*known))
	if isNew {
		*known = at
	}
	return isNew
}

func (w *coldFleet) report(s *fleetSender, r RestartReport) {
	if !s.isNew(r, s.tables.upstreams[r.Upstream]) || w.now.Before(s.cutOffUntil) {
		return
	}
	for _, other := range w.senders {
		if other == s || w.now.Before(other.cutOffUntil) || w.rng.Float64() < reportLoss {
			continue
		}
		delay := w.random(maxReportDelay)
		if w.slowMessages {
			delay = w.messageTime()
		}
		if w.rng.Float64() < lateReports {
			delay = w.random(time.Second)
		}
		other.reports = append(other.reports, fleetReport{at: w.now.Add(delay), expires: w.now.Add(time.Second), report: r})
	}
}

// heartbeat exchanges heartbeats with two instances of the region.
func (w *coldFleet) heartbeat(s *fleetSender) {
	for range 2 {
		peer := w.senders[w.rng.IntN(len(w.senders))]
		if peer == s || peer.snapshot == nil || w.now.Before(s.cutOffUntil) || w.now.Before(peer.cutOffUntil) || w.now.Before(peer.frozenUntil) {
			continue
		}
		request := w.status(s)
		request.Peer.ID = s.id
		there, back := w.messageTime(), w.messageTime()
		sent := w.now
		w.deliver(peer, there, request)
		w.events = append(w.events, fleetEvent{w.now.Add(there), func() {
			if response := w.status(peer); w.now.Sub(sent)+back < time.Second {
				response.RequestSentAt, response.RoundTrip = sent, time.Millisecond
				w.deliver(s, back, response)
			}
		}})
	}
}

// status returns what an instance tells of the upstream with a heartbeat.
func (w *coldFleet) status(s *fleetSender) HeartbeatEvent {
	e := HeartbeatEvent{Peer: routing.Peer{ID: s.id, Region: "a"}, Incarnation: 1, ColdFor: map[string]time.Duration{}}
	if s.snapshot == nil {
		return e
	}
	for i := range s.snapshot.Upstreams {
		u := &s.snapshot.Upstreams[i]
		if cold := u.ColdFor(w.now); cold > 0 {
			e.ColdFor[u.ID] = cold
		}
		if u.Down || u.Counters.SignNoticed() {
			e.Ended = append(e.Ended, u.ID)
		}
	}
	return e
}

// fleetCheck is a health check that is in progress.
type fleetCheck struct {
	sent, answeredAt time.Time
	// paused is true if the upstream is paused, up if it accepted the connection, and coldFor what it told.
	paused, up bool
	coldFor    time.Duration
	// connected is true once the instance has noticed the connection, at once in half of the checks.
	connected bool
	timer     clock.RunTimer
}

// check makes the health checks that are due, like probe.Prober.
func (w *coldFleet) check(s *fleetSender) {
	if s.checked != nil {
		w.continueCheck(s)
	}
	row := s.tables.upstreams[w.server.id]
	if row == nil || s.checked != nil {
		return
	}
	if !row.awaitsHealthCheck && !row.counters.CheckWanted(w.now) {
		s.checkAt, s.checkInterval = time.Time{}, 0
		return
	}
	if s.checkInterval == 0 {
		s.checkAt, s.checkInterval = w.now, fleetCheckInterval
		if row.awaitsHealthCheck {
			s.checkAt = w.now.Add(fleetCheckInterval)
		}
	}
	if w.now.Before(s.checkAt) {
		return
	}
	s.checkInterval = min(2*s.checkInterval, maxFleetCheckInterval)
	s.checkAt = w.now.Add(s.checkInterval)
	s.checked = &fleetCheck{
		sent: w.now, answeredAt: w.now.Add(w.random(maxCheckTime)), paused: row.awaitsHealthCheck, up: w.server.up,
		coldFor: max(scheduleCold-w.now.Sub(w.server.born), 0), timer: clock.StartRunTimer(w.now),
		connected: w.rng.IntN(2) == 0,
	}
	w.continueCheck(s)
}

// continueCheck does what an instance that runs can do about its health check.
func (w *coldFleet) continueCheck(s *fleetSender) {
	c, row := s.checked, s.tables.upstreams[w.server.id]
	c.timer.Observe(w.now)
	dialExpired, dialLate := c.timer.Expired(fleetDialTimeout)
	expired, late := c.timer.Expired(fleetCheckTimeout)
	switch {
	case row == nil, late, !c.connected && dialLate:
		s.checked = nil
	case !c.up, !c.connected && dialExpired:
		s.checked = nil
		if !c.paused {
			row.counters.RecordUnreachable()
			w.report(s, RestartReport{Upstream: w.server.id, NoticedAt: c.sent})
		}
	case expired:
		s.checked = nil
		if !c.paused {
			row.counters.RecordBusyCheck(c.sent)
		}
	case !c.connected:
		c.connected = w.now.After(c.sent)
	case !w.now.Before(c.answeredAt):
		w.endCheck(s, row)
	}
}

// endCheck records the response to a health check.
func (w *coldFleet) endCheck(s *fleetSender, row *upstreamRow) {
	c := s.checked
	s.checked = nil
	s.checkAt, s.checkInterval = minCheckTime(s.checkAt, w.now.Add(checkSpacing)), fleetCheckInterval
	if c.coldFor > 0 {
		w.report(s, RestartReport{Upstream: w.server.id, NoticedAt: c.sent, ColdFor: c.coldFor})
	}
	if c.paused {
		w.post(s, HealthCheckPassedEvent{Upstream: w.server.id, Sent: c.sent, ColdFor: c.coldFor})
		return
	}
	row.counters.RecordColdTime(c.sent, c.coldFor)
	w.post(s, RestartCheckedEvent{Upstream: w.server.id, Sent: c.sent, ColdFor: c.coldFor})
}

func (w *coldFleet) pick(s *fleetSender) {
	request := &routing.Request{ID: fmt.Sprint(w.rng.Uint64()), Target: scheduleService, Now: w.now.UnixNano(), Service: &routing.ServiceRequest{Remaining: time.Second}}
	choice, err := s.policy.Pick(s.snapshot, request, s.scratch)
	if err != nil || choice.Upstream < 0 {
		return
	}
	u := &s.snapshot.Upstreams[choice.Upstream]
	s.sends = append(s.sends, fleetSend{at: w.now.Add(w.random(maxSendDelay)), reservation: u.ColdReservation(choice, w.now), upstream: u.ID})
}

// transmit sends what was picked and has a connection by now.
func (w *coldFleet) transmit(s *fleetSender) {
	waiting := s.sends[:0]
	for _, send := range s.sends {
		if w.now.Before(send.at) {
			waiting = append(waiting, send)
			continue
		}
		row := s.tables.upstreams[send.upstream]
		switch {
		case !w.server.up && row != nil:
			row.counters.SuspectRestart(w.now)
			row.counters.ConsecutiveFailures.Add(1)
		case w.server.up && send.reservation.MaySend(w.now, false):
			send.reservation.Sent(w.now)
			s.usedAt = w.now
			if w.rng.Float64() < w.closeShare {
				s.usedAt = time.Time{}
			}
			w.server.arrivals = append(w.server.arrivals, w.now)
		}
		send.reservation.End(w.now)
	}
	s.sends = waiting
}

// newArrivals returns the number of arrivals since the last call.
func (s *coldServer) newArrivals() int {
	n := len(s.arrivals) - s.counted
	s.counted = len(s.arrivals)
	return n
}

// latestSecond returns the number of arrivals in the last second, 0 while the process is warm.
func (s *coldServer) latestSecond(now time.Time) (n int) {
	if now.Sub(s.born) >= scheduleCold {
		s.arrivals, s.counted = s.arrivals[:0], 0
		return 0
	}
	for i := len(s.arrivals) - 1; i >= 0 && now.Sub(s.arrivals[i]) < time.Second; i-- {
		n++
	}
	return n
}

// Guards against an upstream that starts again under its id and is flooded by the many instances of its region, most of
// which have no part of its limit.
func TestColdLimitHoldsInLargeRegions(t *testing.T) {
	for _, instances := range []int{24, 50} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			arrived := 0
			for seed := *coldFleetFirst; seed < *coldFleetFirst+*coldFleetSeeds; seed++ {
				w := newColdFleet(seed, instances)
				for end := w.now.Add(fleetLength); w.now.Before(end); {
					w.runEvents()
					w.step()
					arrived += w.server.newArrivals()
					if got := w.server.latestSecond(w.now); got > scheduleLimit {
						t.Errorf("seed %d, %s: the upstream got %d requests in a second, at most %d are allowed", seed, w.now.Sub(time.Unix(1000, 0)), got, scheduleLimit)
						break
					}
				}
			}
			if arrived == 0 {
				t.Error("no request arrived")
			}
		})
	}
}
