package duty

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"heatherloom/internal/external"
	"heatherloom/internal/lease"
)

// A fixed seed makes failures reproducible. -rapid.checks sets the number of sequences.
var _ = errors.Join(flag.Set("rapid.seed", "20261206"), flag.Set("rapid.checks", "300"), flag.Set("rapid.nofailfile", "true"))

var printTrace = flag.Bool("duty.trace", false, "print what happened in a sequence that fails")

const (
	// faultyTime is the part of a sequence in which faults begin. Each lasts up to maxFault. healthyTime is
	// the time after that: a stand-down, the end of a lease, a reading of the feed, the settling time and
	// two windows take 30 s.
	faultyTime  = 60 * time.Second
	maxFault    = 10 * time.Second
	healthyTime = 40 * time.Second
	// minRestoreInterval separates restores. R5 does not hold if two of them end two terms within the
	// validity of a lease.
	minRestoreInterval = 4 * time.Second
)

// instance is a name with its links; its process may be restarted, also on another machine.
type instance struct {
	*play
	id                                   string
	machine                              int
	frozen, storeLink, apiLink, peerLink outage
	process                              *process
}

type process struct {
	*instance
	machine    int
	holder     *Holder
	reporter   modelReporter
	drift      int
	clockError time.Duration
	dead       bool
	draining   bool
	loops      []*coroutine
}

// play is one sequence.
type play struct {
	*simulation
	store     *modelStore
	api       *modelAPI
	instances []*instance
	machines  int
	// duty is the duty of the sequence.
	duty    external.Duty
	faults  float64
	freezes float64
	// networkSlowUntil is when messages stop to take up to 0.9 s.
	networkSlowUntil time.Duration
	lastRestore      time.Duration
	lastAccepted     time.Duration
	failure          string
	history          []string
	stats            *modelStats
	log              *logrus.Entry
}

// modelStats show that the sequences cover what they are meant to.
type modelStats struct{ terms, windows, repeats, orders, restores, freezes int }

func (p *play) fail(format string, args ...any) {
	if p.failure == "" {
		p.failure = fmt.Sprintf("%v: ", p.now) + fmt.Sprintf(format, args...)
	}
}

// trace records what happens in the sequence, see printTrace.
func (p *play) trace(format string, args ...any) {
	if *printTrace {
		p.history = append(p.history, fmt.Sprintf("%12v ", p.now)+fmt.Sprintf(format, args...))
	}
}

func newPlay(seed uint64, instances int, faults, freezes float64, stats *modelStats) *play {
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := &play{simulation: &simulation{rng: rand.New(rand.NewPCG(seed, 0))}, faults: faults, freezes: freezes, stats: stats, log: logrus.NewEntry(log)}
	p.store = &modelStore{play: p, modelBackup: modelBackup{items: map[string]modelItem{}, leases: map[int64]modelLease{}}}
	p.store.restoreKind, p.store.pausesLeases = p.rng.IntN(restoreKinds), p.chance(0.5)
	p.api = &modelAPI{play: p, checksFence: p.chance(0.5), accepted: map[int64]string{}, machineOf: map[int64]int{}, lastActs: map[int]time.Duration{}}
	p.duty = []external.Duty{external.DutyUsageReport, external.DutyAutoscaler}[p.rng.IntN(2)]
	p.store.backUp()
	for n := range instances {
		i := &instance{play: p, id: string(rune('a' + n))}
		p.instances = append(p.instances, i)
		i.start(true)
	}
	return p
}

// latency returns the time that a message takes, without partitions.
func (p *play) latency() time.Duration {
	if p.now < p.networkSlowUntil {
		return p.upTo(900 * time.Millisecond)
	}
	return time.Millisecond + p.upTo(usualLatency)
}

func (i *instance) start(elsewhere bool) {
	if elsewhere {
		i.machines++
		i.machine = i.machines
		i.frozen = outage{}
	}
	p := &process{instance: i, machine: i.machine, drift: i.rng.IntN(39) - 19}
	p.clockError = []time.Duration{0, 80 * time.Millisecond, -80 * time.Millisecond, maxClockError, -maxClockError}[i.rng.IntN(5)]
	i.process = p
	began := i.now
	now := func() time.Time { return time.Unix(0, 0).Add(began + (i.now-began)*time.Duration(1000+p.drift)/1000) }
	loop := func(interval time.Duration, prepare func(c *coroutine) (step func())) {
		p.loops = append(p.loops, i.simulation.start(func() time.Duration { return i.frozen.until }, func(c *coroutine) {
			for step := prepare(c); ; c.block(interval) {
				step()
			}
		}))
	}
	ctx := context.Background()
	loop(50*time.Millisecond, func(c *coroutine) func() {
		p.holder = New(Config{
			Store: lease.NewEraStore(storeCalls{p, c}), Duty: i.duty, Instance: i.id, Started: int64(began),
			LeaseTime: leaseTime, Live: i.live, Now: now, Log: i.log,
		})
		token := int64(0)
		return func() {
			if p.draining {
				p.holder.Release(ctx)
			}
			p.holder.Step(ctx)
			if term, held := p.holder.Term(); held && term.Token != token {
				token = term.Token
				i.stats.terms++
				i.trace("%s acquires the duty with %x", i.id, token)
			}
		}
	})
	loop(100*time.Millisecond+i.upTo(time.Second), func(c *coroutine) func() {
		return func() {
			if e, era, err := (storeCalls{p, c}).GetInEra(ctx, Key(i.duty)); err == nil {
				p.holder.Observe(e, era)
			}
		}
	})
	loop(100*time.Millisecond, func(c *coroutine) func() {
		peers := peerCalls{p, c}
		p.reporter = newMinimalReporter(reporterDeps{
			permit: p.holder.Permit, outcome: p.holder.ReportOutcome,
			store: lease.NewEraStore(storeCalls{p, c}), api: apiCalls{p, c}, inform: peers.inform, collect: peers.collect,
			wall:   func() time.Duration { return i.now + maxClockError + p.clockError },
			counts: func(int64) map[string]int64 { return map[string]int64{"account": i.rng.Int64()} },
		})
		if i.duty == external.DutyUsageReport {
			return func() { p.reporter.Step(ctx) }
		}
		return func() {
			if f, _, ok := p.holder.Permit(); ok {
				p.holder.ReportOutcome(apiCalls{p, c}.OrderCapacity(ctx, f, external.CapacityOrder{}))
			}
		}
	})
}

func (i *instance) live() (ids []string) {
	for _, other := range i.instances {
		if other.process != nil && !other.process.draining {
			ids = append(ids, other.id)
		}
	}
	return ids
}

func (i *instance) kill() {
	if i.process == nil {
		return
	}
	i.process.dead = true
	for _, c := range i.process.loops {
		c.kill()
	}
	i.process = nil
}

// killFor kills the process and starts another one.
func (i *instance) killFor(d time.Duration, elsewhere bool) {
	i.kill()
	i.after(d, func() {
		if i.process == nil {
			i.start(elsewhere)
		}
	})
}

func (i *instance) freeze(d time.Duration) {
	i.trace("%s is frozen for %v", i.id, d)
	i.frozen.begin(i.now, d)
	i.stats.freezes++
}

// maybeFreeze freezes the process between its last decision and a call.
func (p *process) maybeFreeze(c *coroutine) {
	if p.chance(p.freezes) {
		p.freeze(p.upTo(6 * time.Second))
		c.block(0)
	}
}

// faultKinds are the events of a sequence. Each gets the instance that it concerns and a duration.
var faultKinds = []struct {
	name string
	do   func(p *play, i *instance, d time.Duration)
}{
	{"kill", func(_ *play, i *instance, d time.Duration) { i.killFor(d, false) }},
	{"kill, start on another machine", func(_ *play, i *instance, d time.Duration) { i.killFor(d, true) }},
	{"kill all", func(p *play, _ *instance, d time.Duration) {
		for _, i := range p.instances {
			i.killFor(d, false)
		}
	}},
	{"kill the holder", func(p *play, i *instance, d time.Duration) { p.holderOr(i).killFor(d, false) }},
	{"freeze", func(_ *play, i *instance, d time.Duration) { i.freeze(d) }},
	{"freeze the holder", func(p *play, i *instance, d time.Duration) { p.holderOr(i).freeze(d) }},
	{"drain", func(_ *play, i *instance, d time.Duration) {
		if i.process != nil {
			i.process.draining = true
			i.after(2*time.Second, func() { i.killFor(d, false) })
		}
	}},
	{"cut from the store", func(p *play, i *instance, d time.Duration) { i.storeLink.begin(p.now, d) }},
	{"cut the holder from the store", func(p *play, i *instance, d time.Duration) { p.holderOr(i).storeLink.begin(p.now, d) }},
	{"cut from the API", func(p *play, i *instance, d time.Duration) { i.apiLink.begin(p.now, d) }},
	{"cut from the peers", func(p *play, i *instance, d time.Duration) { i.peerLink.begin(p.now, d) }},
	{"store down", func(p *play, _ *instance, d time.Duration) { p.store.goDown(d) }},
	{"API down", func(p *play, _ *instance, d time.Duration) { p.api.downUntil = p.now + d }},
	{"API silent", func(p *play, _ *instance, d time.Duration) { p.api.silentUntil = p.now + d }},
	{"API slow", func(p *play, _ *instance, d time.Duration) { p.api.slowUntil = p.now + d }},
	{"network slow", func(p *play, _ *instance, d time.Duration) { p.networkSlowUntil = p.now + d }},
	{"restore", func(p *play, _ *instance, d time.Duration) { p.restore(d) }},
	{"restore", func(p *play, _ *instance, d time.Duration) { p.restore(d) }},
	{"restore", func(p *play, _ *instance, d time.Duration) { p.restore(d) }},
}

// restore replaces the store by a backup that is at least as old as age.
func (p *play) restore(age time.Duration) {
	if p.lastRestore > 0 && p.now-p.lastRestore < minRestoreInterval {
		return
	}
	p.lastRestore = p.now
	p.stats.restores++
	p.store.restore(int(age / time.Second))
}

// holderOr returns the instance that may make calls, or else i.
func (p *play) holderOr(i *instance) *instance {
	for _, other := range p.instances {
		if other.process != nil && other.process.holder != nil {
			if _, held := other.process.holder.Term(); held {
				return other
			}
		}
	}
	return i
}

// heal ends the faults of single calls and starts all instances. Outages end by themselves within
// maxFault.
func (p *play) heal() {
	p.faults, p.freezes = 0, 0
	for _, i := range p.instances {
		if i.process == nil {
			i.start(false)
		}
	}
}

func (p *play) end() {
	p.stats.windows += len(p.api.accepted)
	for _, i := range p.instances {
		i.kill()
	}
}

// Guards against violations of R1 to R5 (docs/design/duties.md) with kills, freezes, partitions, lost and
// late calls, outages and restores of the store from older copies, and against a duty that stays vacant
// after them.
func TestModelOfDuties(t *testing.T) {
	stats, sequences := &modelStats{}, 0
	rapid.Check(t, func(t *rapid.T) {
		sequences++
		p := newPlay(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "instances"),
			rapid.SampledFrom([]float64{0, 0.02, 0.1, 0.25}).Draw(t, "faults"), rapid.SampledFrom([]float64{0, 0.005, 0.02}).Draw(t, "freezes"), stats)
		defer p.end()
		for range rapid.IntRange(0, 20).Draw(t, "events") {
			at := time.Duration(rapid.IntRange(0, int(faultyTime/time.Millisecond)).Draw(t, "at")) * time.Millisecond
			kind := faultKinds[rapid.IntRange(0, len(faultKinds)-1).Draw(t, "kind")]
			target := rapid.IntRange(0, len(p.instances)-1).Draw(t, "instance")
			d := time.Duration(rapid.IntRange(1, int(maxFault/time.Millisecond)).Draw(t, "milliseconds")) * time.Millisecond
			p.after(at, func() {
				p.trace("%s: instance %d, %v", kind.name, target, d)
				kind.do(p, p.instances[target], d)
			})
		}
		p.runUntil(faultyTime)
		p.heal()
		p.runUntil(faultyTime + maxFault + healthyTime)
		if p.now-p.lastAccepted > 2*usageWindow {
			p.fail("no call was accepted since %v", p.lastAccepted)
		}
		if p.failure != "" {
			t.Fatalf("%s%s", strings.Join(append(p.history, ""), "\n"), p.failure)
		}
	})
	t.Logf("%d sequences: %+v", sequences, *stats)
	if !t.Failed() && (stats.terms < 3*sequences || stats.windows < 5*sequences || stats.repeats < sequences/2 || stats.orders < 50*sequences || stats.restores < sequences/2 || stats.freezes < sequences) {
		t.Errorf("%d sequences cover only %+v", sequences, *stats)
	}
}
