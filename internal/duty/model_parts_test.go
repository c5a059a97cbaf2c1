package duty

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"heatherloom/internal/external"
)

const (
	storeTimeout = 1200 * time.Millisecond
	// graceAfterOutage is how long calls do not count for R2 to R5 after their sender was unfrozen or
	// its link was restored.
	graceAfterOutage = 300 * time.Millisecond
	usualLatency     = 50 * time.Millisecond
)

// outage is the last time during which a process was frozen or a link was cut.
type outage struct{ until, earlier time.Duration }

func (o *outage) begin(now, d time.Duration) {
	if !o.active(now) {
		o.earlier = o.until
	}
	o.until = max(o.until, now+d)
}

func (o *outage) active(now time.Duration) bool { return now < o.until }

// justOver reports whether the outage, or the one before it, ended within the grace period.
func (o *outage) justOver(now time.Duration) bool {
	return (now >= o.until && now < o.until+graceAfterOutage) || (now >= o.earlier && now < o.earlier+graceAfterOutage)
}

type modelItem struct {
	value           string
	revision, lease int64
}

type modelLease struct{ ttl, end time.Duration }

type modelBackup struct {
	items               map[string]modelItem
	leases              map[int64]modelLease
	revision, lastLease int64
}

// What a restore does with the leases of a copy and their keys.
const (
	leasesVanishWithKeys = iota
	leasesVanish
	leasesRevive
	restoreKinds
)

type modelStore struct {
	*play
	modelBackup
	era         int64
	restoreKind int
	downUntil   time.Duration
	// pausesLeases is true if leases do not run while the store is down.
	pausesLeases bool
	backups      []modelBackup
}

func (s *modelStore) copyData() modelBackup {
	b := s.modelBackup
	b.items, b.leases = maps.Clone(s.items), maps.Clone(s.leases)
	return b
}

func (s *modelStore) backUp() {
	s.expire()
	s.backups = append(s.backups, s.copyData())
	s.after(time.Second, s.backUp)
}

func (s *modelStore) restore(age int) {
	s.expire()
	s.modelBackup = s.backups[max(0, len(s.backups)-1-age)]
	s.modelBackup = s.copyData()
	s.era++
	for id, l := range s.leases {
		if s.restoreKind == leasesRevive {
			l.end = s.now + l.ttl
			s.leases[id] = l
			continue
		}
		delete(s.leases, id)
		if s.restoreKind == leasesVanishWithKeys {
			maps.DeleteFunc(s.items, func(_ string, i modelItem) bool { return i.lease == id })
		}
	}
}

func (s *modelStore) goDown(d time.Duration) {
	s.expire()
	if s.pausesLeases {
		for id, l := range s.leases {
			l.end += d
			s.leases[id] = l
		}
	}
	s.downUntil = s.now + d
}

func (s *modelStore) expire() {
	for id, l := range s.leases {
		if s.now >= l.end {
			s.endLease(id)
		}
	}
}

func (s *modelStore) endLease(id int64) {
	delete(s.leases, id)
	maps.DeleteFunc(s.items, func(_ string, i modelItem) bool { return i.lease == id })
}

// storeCalls are the calls of one coroutine of a process to the store.
type storeCalls struct {
	p *process
	c *coroutine
}

// call executes effect in the store with the faults of a store and a network: no effect, a lost
// response, an effect long after the caller has given up, and freezes of the caller.
func (s storeCalls) call(effect func(*modelStore) error) error {
	store, sim := s.p.store, s.c.sim
	s.p.maybeFreeze(s.c)
	var err error
	responded := false
	done := s.c.waker()
	respond := func(e error) {
		if !s.p.storeLink.active(sim.now) {
			err, responded = e, true
			done()
		}
	}
	arrive := func() {
		if sim.now < store.downUntil {
			if sim.chance(0.5) {
				respond(external.ErrUnavailable)
			}
			return
		}
		store.expire()
		before := store.revision
		result := effect(store)
		if store.revision != before {
			store.trace("%s writes revision %x: usage %s", s.p.id, store.revision, store.items[usageKey].value)
		}
		if !sim.chance(s.p.faults) {
			sim.after(s.p.latency(), func() { respond(result) })
		}
	}
	delay := s.p.latency()
	if s.p.storeLink.active(sim.now) {
		// The bytes of a store call may be delivered when the link is restored.
		delay += s.p.storeLink.until - sim.now
	}
	switch {
	case sim.chance(s.p.faults):
	case sim.chance(s.p.faults):
		sim.after(delay+sim.upTo(8*time.Second), arrive)
	default:
		sim.after(delay, arrive)
	}
	s.c.block(storeTimeout)
	if !responded {
		return external.ErrUnavailable
	}
	return err
}

func (s storeCalls) GetInEra(_ context.Context, key string) (e external.Entry, era int64, err error) {
	err = s.call(func(store *modelStore) error {
		i := store.items[key]
		e, era = external.Entry{Key: key, Value: []byte(i.value), ModRevision: i.revision, Lease: i.lease}, store.era
		return nil
	})
	if err != nil {
		return external.Entry{}, 0, err
	}
	return e, era, nil
}

func (s storeCalls) CommitInEra(_ context.Context, conditions []external.Condition, writes []external.Write) (ok bool, revision, era int64, err error) {
	err = s.call(func(store *modelStore) error {
		era = store.era
		for _, c := range conditions {
			if store.items[c.Key].revision != c.ModRevision {
				return nil
			}
		}
		for _, w := range writes {
			if _, exists := store.leases[w.Lease]; w.Lease != 0 && !exists {
				return external.ErrLeaseNotFound
			}
		}
		store.revision++
		for _, w := range writes {
			store.items[w.Key] = modelItem{string(w.Value), store.revision, w.Lease}
		}
		ok, revision = true, store.revision
		return nil
	})
	return ok && err == nil, revision, era, err
}

func (s storeCalls) GrantLeaseInEra(_ context.Context, ttl time.Duration) (id, era int64, err error) {
	err = s.call(func(store *modelStore) error {
		store.lastLease++
		id, era = store.lastLease, store.era
		store.leases[id] = modelLease{ttl, store.now + ttl}
		return nil
	})
	return id, era, err
}

func (s storeCalls) RenewLeaseInEra(_ context.Context, id int64) (era int64, err error) {
	err = s.call(func(store *modelStore) error {
		era = store.era
		l, exists := store.leases[id]
		if !exists {
			return external.ErrLeaseNotFound
		}
		l.end = store.now + l.ttl
		store.leases[id] = l
		return nil
	})
	return era, err
}

func (s storeCalls) RevokeLeaseInEra(_ context.Context, id int64) error {
	return s.call(func(store *modelStore) error { store.endLease(id); return nil })
}

// act is one call that the API has received.
type act struct {
	machine int
	at      time.Duration
}

// modelAPI checks the rules with each call.
type modelAPI struct {
	*play
	checksFence                       bool
	downUntil, silentUntil, slowUntil time.Duration
	accepted                          map[int64]string
	machineOf                         map[int64]int
	highest                           int64
	lastActs                          map[int]time.Duration
	last                              act
}

// process returns the result of a call that the API has received; accept performs it.
func (a *modelAPI) process(p *process, f external.Fence, accept func()) error {
	if a.now < a.downUntil {
		return fmt.Errorf("status 503")
	}
	if a.chance(p.faults / 4) {
		return &external.RateLimitedError{}
	}
	if a.checksFence && f.Token < a.highest {
		return external.ErrStaleFence
	}
	a.lastAccepted = a.now
	accept()
	return nil
}

// acceptUsage checks R1.
func (a *modelAPI) acceptUsage(p *process, f external.Fence, r external.UsageReport) {
	report, _ := json.Marshal(r.Counts)
	a.trace("%s reports %d with %x: %s", p.id, r.Window, f.Token, report)
	before, exists := a.accepted[r.Window]
	switch {
	case !exists:
		a.accepted[r.Window] = string(report)
	case before != string(report):
		a.fail("R1: %s reports %s for window %d, which was reported as %s", p.id, report, r.Window, before)
	default:
		a.stats.repeats++
	}
}

// receive checks R2 to R5 with a call that arrives.
func (a *modelAPI) receive(p *process, f external.Fence) {
	if p.frozen.justOver(a.now) || p.apiLink.justOver(a.now) {
		return
	}
	if machine, seen := a.machineOf[f.Token]; seen && machine != p.machine {
		a.fail("R2, R3: machines %d and %d send the token %x", machine, p.machine, f.Token)
	}
	a.machineOf[f.Token] = p.machine
	if f.Token < a.highest {
		a.fail("R4: %s sends the token %x after %x", p.id, f.Token, a.highest)
	}
	if before, acted := a.lastActs[p.machine]; acted && a.last.machine != p.machine && a.now-before < leaseTime {
		a.fail("R5: machine %d acts at %v, after %d at %v and itself at %v", p.machine, a.now, a.last.machine, a.last.at, before)
	}
	a.highest = max(a.highest, f.Token)
	a.lastActs[p.machine], a.last = a.now, act{p.machine, a.now}
}

// delay returns the time that the API takes for a call.
func (a *modelAPI) delay() time.Duration {
	if a.now < a.slowUntil {
		return a.upTo(3 * time.Second)
	}
	return 0
}

// apiCalls are the calls of one coroutine of a process to the API.
type apiCalls struct {
	p *process
	c *coroutine
}

// ReportUsage implements external.DutyAPI.
func (s apiCalls) ReportUsage(_ context.Context, f external.Fence, r external.UsageReport) error {
	return s.call(f, func() { s.p.api.acceptUsage(s.p, f, r) })
}

// OrderCapacity implements external.DutyAPI.
func (s apiCalls) OrderCapacity(_ context.Context, f external.Fence, _ external.CapacityOrder) error {
	return s.call(f, func() { s.p.stats.orders++ })
}

// call makes a call. The process may be frozen between its check of the permit and the write. The
// connection is reset at the timeout, but a frozen process cannot do so.
func (s apiCalls) call(f external.Fence, accept func()) error {
	api, sim := s.p.api, s.c.sim
	s.p.maybeFreeze(s.c)
	var err error
	responded, reset := false, false
	done := s.c.waker()
	process := func() {
		result := api.process(s.p, f, accept)
		if !s.p.apiLink.active(sim.now) && !sim.chance(s.p.faults) {
			err, responded = result, true
			done()
		}
	}
	var deliver func()
	deliver = func() {
		switch {
		case reset:
		case s.p.apiLink.active(sim.now):
			sim.after(s.p.apiLink.until-sim.now+s.p.latency(), deliver)
		default:
			api.receive(s.p, f)
			if sim.now >= api.silentUntil {
				sim.after(api.delay(), process)
			}
		}
	}
	delay := s.p.latency()
	if s.p.frozen.justOver(sim.now) {
		// No sender can prevent that a call which it writes when it is unfrozen is delayed beyond the
		// grace period, so the model has no slow network at that moment.
		delay = min(delay, usualLatency)
	}
	if !sim.chance(s.p.faults) {
		sim.after(delay, deliver)
	}
	s.c.block(maxCallTimeout)
	reset = true
	if !responded {
		return external.ErrUnavailable
	}
	return err
}

// peerCalls are the calls of one coroutine of a process to other instances.
type peerCalls struct {
	p *process
	c *coroutine
}

// with calls do in another process if both can reach each other.
func (s peerCalls) with(i *instance, do func(*process)) {
	other := i.process
	s.c.block(s.p.latency())
	sim := s.c.sim
	if other == nil || other.dead || other.frozen.active(sim.now) || s.p.peerLink.active(sim.now) || other.peerLink.active(sim.now) {
		s.c.block(100 * time.Millisecond)
		return
	}
	do(other)
	s.c.block(s.p.latency())
}

// inform tells two other instances of a report.
func (s peerCalls) inform(r external.UsageReport) {
	others := slices.DeleteFunc(slices.Clone(s.p.instances), func(i *instance) bool { return i == s.p.instance })
	s.c.sim.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, i := range others[:min(2, len(others))] {
		s.with(i, func(other *process) { other.reporter.Remember(r) })
	}
}

// collect returns the reports that the instances remember.
func (s peerCalls) collect() (known []external.UsageReport) {
	known = s.p.reporter.Remembered()
	for _, i := range s.p.instances {
		if i != s.p.instance {
			s.with(i, func(other *process) { known = append(known, other.reporter.Remembered()...) })
		}
	}
	return known
}
