package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"heatherloom/internal/clock"
	"heatherloom/internal/standin/faultproxy"
	"heatherloom/platform/standin"
)

const (
	// shortestPause and longestPause bound the time between two faults of a series.
	shortestPause = 200 * time.Millisecond
	longestPause  = 2500 * time.Millisecond
	// longestFault exceeds the 5 s after which a key that was taken away must not work at an
	// instance that hears nothing.
	longestFault = 9 * time.Second
	// linkDelay is one way between two regions.
	linkDelay = 55 * time.Millisecond
	// longAnswer is the time of a slow store, and slowServer that of a slow server.
	longAnswer = 400 * time.Millisecond
	slowServer = 700 * time.Millisecond
)

// fault is one kind of fault. inject starts it, says what it meets, and returns how to end
// it; a nil end means that the fault does not fit at the moment.
type fault struct {
	name   string
	inject func(d *disturber) (target string, end func())
}

// series of faults run beside each other, so that their faults overlap.
var series = [][]fault{
	{
		{"process_killed", restart(func(d *disturber, e *entry) { e.kill() })},
		{"process_killed_twice", restart(killTwice)},
		{"process_paused", pause},
		{"process_ended", endProcess},
		{"settings_signal", hangUp},
		{"all_processes_killed", killAll},
	},
	{
		{"store_link_silent", storeLink(faultproxy.BlackHole())},
		{"store_link_one_way", storeLink(faultproxy.Faults{ToClient: faultproxy.Direction{Silent: true}})},
		{"store_link_cut", storeLink(faultproxy.Faults{Cut: true})},
		{"peer_link_silent", peerLink(faultproxy.BlackHole())},
		{"peer_link_one_way", peerLink(faultproxy.Faults{ToTarget: faultproxy.Direction{Silent: true}})},
		{"peer_link_cut", peerLink(faultproxy.Faults{Cut: true})},
		{"peer_link_slow", peerLink(faultproxy.Latency(linkDelay))},
	},
	{
		{"server_full", serverFault(standin.ServerFaults{Full: true})},
		{"server_fails", serverFault(standin.ServerFaults{Fail: true})},
		{"server_answer_lost", serverFault(standin.ServerFaults{LoseAnswer: true})},
		{"server_answer_cut", serverFault(standin.ServerFaults{CutAnswer: true})},
		{"server_slow", serverFault(standin.ServerFaults{Delay: slowServer})},
		{"server_link_silent", serverLink(faultproxy.BlackHole())},
		{"server_link_half_open", serverLink(faultproxy.Faults{HalfOpen: true})},
		{"server_link_cut", serverLink(faultproxy.Faults{Cut: true})},
		{"server_link_slow", serverLink(faultproxy.Latency(linkDelay))},
		{"server_connections_reset", resetServer},
		{"server_connections_silent", silenceServer},
		{"server_replaced", replaceServer},
	},
	{
		{"route_moved", func(d *disturber) (string, func()) { d.operators.move(); return "", func() {} }},
		{"keys_replaced", func(d *disturber) (string, func()) { d.operators.replaceKeys(); return "", func() {} }},
		{"domain_evacuated", evacuate},
	},
	{
		{"store_busy", storeFault(standin.StoreFaults{Busy: true})},
		{"store_answers_lost", storeFault(standin.StoreFaults{LoseAnswers: true})},
		{"store_slow", storeFault(standin.StoreFaults{Delay: longAnswer})},
		{"store_compacted", func(d *disturber) (string, func()) { d.site.store.Compact(); return "", func() {} }},
	},
}

// seriesPause stretches the pauses of a series. Rules with a time bound hold only where
// instance and store were undisturbed for some seconds; without it that is hardly ever so.
var seriesPause = []time.Duration{3, 3, 1, 1, 12}

// disturber injects the faults of one series.
type disturber struct {
	site      *site
	operators *operators
	rng       *rand.Rand
	log       *faultLog
	failures  chan<- error
}

// run injects faults until ctx ends, and ends all of them.
func (d *disturber) run(ctx context.Context, faults []fault, stretch time.Duration) {
	var active sync.WaitGroup
	defer active.Wait()
	for ctx.Err() == nil {
		f := faults[d.rng.IntN(len(faults))]
		lasts := time.Duration(d.rng.Int64N(int64(longestFault)))
		pause := shortestPause + time.Duration(d.rng.Int64N(int64(longestPause-shortestPause)))
		if target, end := f.inject(d); end != nil {
			d.log.add(f.name, target, lasts)
			active.Go(func() {
				clock.Sleep(ctx, lasts)
				end()
			})
		}
		clock.Sleep(ctx, stretch*pause)
	}
}

func (d *disturber) someEntry() *entry { return d.site.entries[d.rng.IntN(len(d.site.entries))] }

// restart ends a process and starts it again when the fault ends.
func restart(stop func(*disturber, *entry)) func(*disturber) (string, func()) {
	return func(d *disturber) (string, func()) {
		e := d.someEntry()
		if !e.mu.TryLock() {
			return "", nil
		}
		end := e.disturbed.begin()
		stop(d, e)
		return e.id, func() {
			d.startAgain(e)
			end()
			e.mu.Unlock()
		}
	}
}

func (d *disturber) startAgain(e *entry) {
	if err := e.start(); err != nil {
		d.failures <- err
	}
}

// killTwice kills the process again as soon as it has started anew.
func killTwice(d *disturber, e *entry) {
	e.kill()
	d.startAgain(e)
	time.Sleep(time.Duration(d.rng.Int64N(int64(time.Second))))
	e.kill()
}

func pause(d *disturber) (string, func()) {
	e := d.someEntry()
	if !e.mu.TryLock() {
		return "", nil
	}
	end := e.disturbed.begin()
	e.signal(syscall.SIGSTOP)
	return e.id, func() {
		e.signal(syscall.SIGCONT)
		end()
		e.mu.Unlock()
	}
}

// endProcess ends a process as the platform does before planned work.
func endProcess(d *disturber) (string, func()) {
	e := d.someEntry()
	if !e.mu.TryLock() {
		return "", nil
	}
	end := e.planned.begin()
	return e.id, func() {
		e.terminate()
		d.startAgain(e)
		end()
		e.mu.Unlock()
	}
}

func hangUp(d *disturber) (string, func()) {
	e := d.someEntry()
	if !e.mu.TryLock() {
		return "", nil
	}
	defer e.mu.Unlock()
	e.signal(syscall.SIGHUP)
	return e.id, func() {}
}

// killAll kills all processes that nothing else happens to.
func killAll(d *disturber) (string, func()) {
	if d.rng.IntN(3) > 0 {
		// Requests that nobody can serve show little.
		return "", nil
	}
	var ends []func()
	for _, e := range d.site.entries {
		if !e.mu.TryLock() {
			continue
		}
		end := e.disturbed.begin()
		e.kill()
		ends = append(ends, func() {
			d.startAgain(e)
			end()
			e.mu.Unlock()
		})
	}
	return fmt.Sprint(len(ends), " processes"), func() {
		for _, end := range ends {
			end()
		}
	}
}

func storeLink(f faultproxy.Faults) func(*disturber) (string, func()) {
	return func(d *disturber) (string, func()) {
		e := d.someEntry()
		return e.id, disturbLink(&e.disturbed, e.storeLink, f)
	}
}

// peerLink disturbs the link from all others to an instance. The rules with a time bound
// hold all the same.
func peerLink(f faultproxy.Faults) func(*disturber) (string, func()) {
	return func(d *disturber) (string, func()) {
		e := d.someEntry()
		return e.id, disturbLink(&e.parted, e.peerLink, f)
	}
}

func serverLink(f faultproxy.Faults) func(*disturber) (string, func()) {
	return func(d *disturber) (string, func()) {
		one := d.site.liveServer(d.rng)
		return one.Plan.ID, disturbLink(&one.disturbed, one.link, f)
	}
}

// disturbLink sets the faults of a link and returns how to lift them.
func disturbLink(s *spans, link *faultproxy.Proxy, f faultproxy.Faults) func() {
	end := s.begin()
	link.Set(f)
	return func() {
		link.Set(faultproxy.Faults{})
		end()
	}
}

func serverFault(f standin.ServerFaults) func(*disturber) (string, func()) {
	return func(d *disturber) (string, func()) {
		one := d.site.liveServer(d.rng)
		end := one.disturbed.begin()
		one.Set(f)
		return one.Plan.ID, func() {
			one.Set(standin.ServerFaults{})
			end()
		}
	}
}

func resetServer(d *disturber) (string, func()) {
	one := d.site.liveServer(d.rng)
	one.disturbed.mark()
	one.link.Break()
	return one.Plan.ID, func() {}
}

func silenceServer(d *disturber) (string, func()) {
	one := d.site.liveServer(d.rng)
	one.disturbed.mark()
	one.link.SilenceOpen()
	return one.Plan.ID, func() {}
}

// replaceServer starts a server, and lets an older one of its service and region leave.
func replaceServer(d *disturber) (string, func()) {
	old := d.site.liveServer(d.rng)
	if _, err := d.site.addServer(old.Plan.Service, region(old.Plan.Domain)); err != nil {
		d.failures <- err
		return "", nil
	}
	d.operators.announceLeaving(old)
	// The server serves on, so that an instance that still sends to it shows.
	return old.Plan.ID, func() {
		time.AfterFunc(drainWithin, func() { d.site.store.DeleteServer(old.Plan.ID) })
	}
}

func evacuate(d *disturber) (string, func()) {
	where := domain(regions[d.rng.IntN(len(regions))])
	takeBack, ok := d.operators.evacuate(where)
	if !ok {
		return "", nil
	}
	return where, takeBack
}

func storeFault(f standin.StoreFaults) func(*disturber) (string, func()) {
	return func(d *disturber) (string, func()) {
		end := d.site.disturbed.begin()
		d.site.store.Set(f)
		return "store", func() {
			d.site.store.Set(standin.StoreFaults{})
			end()
		}
	}
}

// faultLog counts the faults and writes each to a file.
type faultLog struct {
	mu     sync.Mutex
	file   *os.File
	counts map[string]int
}

func (l *faultLog) add(name, target string, lasts time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name]++
	fmt.Fprintf(l.file, "time=%s fault=%s target=%q lasts_ms=%d\n", time.Now().UTC().Format(time.RFC3339Nano), name, target, lasts.Milliseconds())
}
