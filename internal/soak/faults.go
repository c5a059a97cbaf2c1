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
	// minFaultPause and maxFaultPause bound the time between two faults of a series.
	minFaultPause = 200 * time.Millisecond
	maxFaultPause = 2500 * time.Millisecond
	// maxFaultDuration exceeds the 5 s after which an isolated instance must reject a revoked
	// key.
	maxFaultDuration = 9 * time.Second
	// oneWayDelay is the one-way delay between two regions.
	oneWayDelay     = 55 * time.Millisecond
	slowStoreDelay  = 400 * time.Millisecond
	slowServerDelay = 700 * time.Millisecond
)

// fault is one kind of fault. inject starts it and returns its target and a function that
// ends it; a nil end means that the fault cannot be injected at the moment.
type fault struct {
	name   string
	inject func(d *injector) (target string, end func())
}

// faultSeries run concurrently, so that their faults overlap.
var faultSeries = [][]fault{
	{
		{"process_killed", restartAfter(func(d *injector, e *node) { e.kill() })},
		{"process_killed_twice", restartAfter(killTwice)},
		{"process_paused", pauseProcess},
		{"process_ended", shutDownProcess},
		{"settings_signal", sendHangup},
		{"all_processes_killed", killAll},
	},
	{
		{"store_link_silent", storeLinkFault(faultproxy.BlackHole())},
		{"store_link_one_way", storeLinkFault(faultproxy.Faults{ToClient: faultproxy.DirectionFaults{Silent: true}})},
		{"store_link_cut", storeLinkFault(faultproxy.Faults{Cut: true})},
		{"peer_link_silent", peerLinkFault(faultproxy.BlackHole())},
		{"peer_link_one_way", peerLinkFault(faultproxy.Faults{ToTarget: faultproxy.DirectionFaults{Silent: true}})},
		{"peer_link_cut", peerLinkFault(faultproxy.Faults{Cut: true})},
		{"peer_link_slow", peerLinkFault(faultproxy.Latency(oneWayDelay))},
		{"links_to_servers_silent", linksToServersFault(faultproxy.BlackHole())},
		{"links_to_servers_cut", linksToServersFault(faultproxy.Faults{Cut: true})},
		{"links_to_servers_refused", linksToServersFault(faultproxy.Faults{Refuse: true})},
	},
	{
		{"server_full", serverFault(standin.ServerFaults{Overloaded: true})},
		{"server_fails", serverFault(standin.ServerFaults{Fail: true})},
		{"server_answer_lost", serverFault(standin.ServerFaults{DropResponse: true})},
		{"server_answer_cut", serverFault(standin.ServerFaults{TruncateResponse: true})},
		{"server_slow", serverFault(standin.ServerFaults{Delay: slowServerDelay})},
		{"server_link_silent", serverLinkFault(faultproxy.BlackHole())},
		{"server_link_half_open", serverLinkFault(faultproxy.Faults{HalfOpen: true})},
		{"server_link_cut", serverLinkFault(faultproxy.Faults{Cut: true})},
		{"server_link_slow", serverLinkFault(faultproxy.Latency(oneWayDelay))},
		{"server_connections_reset", resetServerConnections},
		{"server_connections_silent", silenceServerConnections},
		{"server_replaced", replaceServer},
		{"server_says_it_leaves", announceLeaving},
		{"server_asks_for_a_pause", askForPause},
	},
	{
		{"route_moved", func(d *injector) (string, func()) { d.operator.reroute(); return "", func() {} }},
		{"keys_replaced", func(d *injector) (string, func()) { d.operator.rotateKeys(); return "", func() {} }},
		{"domain_evacuated", evacuateDomain},
	},
	{
		{"store_busy", storeFault(standin.StoreFaults{Unavailable: true})},
		{"store_answers_lost", storeFault(standin.StoreFaults{DropResponses: true})},
		{"store_slow", storeFault(standin.StoreFaults{Delay: slowStoreDelay})},
		{"store_restored", restoreStore},
		{"store_compacted", func(d *injector) (string, func()) { d.cluster.store.Compact(); return "", func() {} }},
	},
	dutyFaultSeries,
}

// pauseFactors multiply the pauses of each series. Rules with a time bound apply only after
// instance and store had no fault for some seconds; without the factors that hardly ever occurs.
var pauseFactors = []time.Duration{3, 3, 1, 1, 12, 4}

// injector injects the faults of one series.
type injector struct {
	cluster  *cluster
	operator *operator
	rng      *rand.Rand
	log      *faultLog
	failures chan<- error
}

// run injects faults until ctx ends, and then waits until all of them have ended.
func (d *injector) run(ctx context.Context, faults []fault, pauseFactor time.Duration) {
	var active sync.WaitGroup
	defer active.Wait()
	for ctx.Err() == nil {
		f := faults[d.rng.IntN(len(faults))]
		duration := time.Duration(d.rng.Int64N(int64(maxFaultDuration)))
		pause := minFaultPause + time.Duration(d.rng.Int64N(int64(maxFaultPause-minFaultPause)))
		if target, end := f.inject(d); end != nil {
			d.log.record(f.name, target, duration)
			active.Go(func() {
				clock.Sleep(ctx, duration)
				end()
			})
		}
		clock.Sleep(ctx, pauseFactor*pause)
	}
}

func (d *injector) randomNode() *node { return d.cluster.nodes[d.rng.IntN(len(d.cluster.nodes))] }

// restartAfter stops a process and starts it again when the fault ends.
func restartAfter(stop func(*injector, *node)) func(*injector) (string, func()) {
	return func(d *injector) (string, func()) {
		e := d.randomNode()
		if !e.mu.TryLock() {
			return "", nil
		}
		end := e.faults.begin()
		stop(d, e)
		return e.id, func() {
			d.restart(e)
			end()
			e.mu.Unlock()
		}
	}
}

func (d *injector) restart(e *node) {
	if err := e.start(); err != nil {
		d.failures <- err
	}
}

// killTwice kills the process, restarts it and kills it again within a second.
func killTwice(d *injector, e *node) {
	e.kill()
	d.restart(e)
	time.Sleep(time.Duration(d.rng.Int64N(int64(time.Second))))
	e.kill()
}

func pauseProcess(d *injector) (string, func()) {
	e := d.randomNode()
	return e.id, pauseNode(d, e)
}

// shutDownProcess terminates a process as the platform does before planned maintenance.
func shutDownProcess(d *injector) (string, func()) {
	e := d.randomNode()
	if !e.mu.TryLock() {
		return "", nil
	}
	end := e.plannedShutdowns.begin()
	return e.id, func() {
		e.terminate()
		d.restart(e)
		end()
		e.mu.Unlock()
	}
}

func sendHangup(d *injector) (string, func()) {
	e := d.randomNode()
	if !e.mu.TryLock() {
		return "", nil
	}
	defer e.mu.Unlock()
	e.signal(syscall.SIGHUP)
	return e.id, func() {}
}

// killAll kills all processes that no other fault of the series has locked.
func killAll(d *injector) (string, func()) {
	if d.rng.IntN(3) > 0 {
		// Requests that no instance can serve check little, so this fault is rare.
		return "", nil
	}
	var ends []func()
	for _, e := range d.cluster.nodes {
		if !e.mu.TryLock() {
			continue
		}
		end := e.faults.begin()
		e.kill()
		ends = append(ends, func() {
			d.restart(e)
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

func storeLinkFault(f faultproxy.Faults) func(*injector) (string, func()) {
	return func(d *injector) (string, func()) {
		e := d.randomNode()
		return e.id, storeLinkFaultOf(f)(d, e)
	}
}

// peerLinkFault injects a fault into the link from all peers to an instance. The rules with
// a time bound apply during it.
func peerLinkFault(f faultproxy.Faults) func(*injector) (string, func()) {
	return func(d *injector) (string, func()) {
		e := d.randomNode()
		return e.id, injectLinkFault(&e.peerLinkFaults, e.peerLink, f)
	}
}

// linksToServersFault injects a fault into the links of an instance to all servers. The rules with a time
// bound apply during it.
func linksToServersFault(f faultproxy.Faults) func(*injector) (string, func()) {
	return func(d *injector) (string, func()) {
		e := d.randomNode()
		return e.id, injectLinkFault(&e.serverLinkFaults, e.serverLinks, f)
	}
}

func serverLinkFault(f faultproxy.Faults) func(*injector) (string, func()) {
	return func(d *injector) (string, func()) {
		srv := d.cluster.randomServer(d.rng)
		return srv.Config.ID, injectLinkFault(&srv.faults, srv.link, f)
	}
}

// injectLinkFault sets the faults of a link and returns a function that clears them.
func injectLinkFault(s *intervals, link interface{ SetFaults(faultproxy.Faults) }, f faultproxy.Faults) func() {
	end := s.begin()
	link.SetFaults(f)
	return func() {
		link.SetFaults(faultproxy.Faults{})
		end()
	}
}

func serverFault(f standin.ServerFaults) func(*injector) (string, func()) {
	return func(d *injector) (string, func()) {
		srv := d.cluster.randomServer(d.rng)
		if f.TruncateResponse && srv.Config.Unframed {
			return "", nil
		}
		end := srv.faults.begin()
		srv.SetFaults(f)
		return srv.Config.ID, func() {
			srv.SetFaults(standin.ServerFaults{})
			end()
		}
	}
}

func resetServerConnections(d *injector) (string, func()) {
	srv := d.cluster.randomServer(d.rng)
	srv.faults.mark()
	srv.link.ResetConnections()
	return srv.Config.ID, func() {}
}

func silenceServerConnections(d *injector) (string, func()) {
	srv := d.cluster.randomServer(d.rng)
	srv.faults.mark()
	srv.link.SilenceConnections()
	return srv.Config.ID, func() {}
}

// replaceServer starts a server and drains an older one of the same service and region.
func replaceServer(d *injector) (string, func()) {
	old := d.cluster.randomServer(d.rng)
	if _, err := d.cluster.addServer(old.Config.Service, regionOf(old.Config.FailureDomain)); err != nil {
		d.failures <- err
		return "", nil
	}
	d.operator.drainServer(old)
	// The server keeps serving, so that requests of an instance that still uses it are recorded.
	return old.Config.ID, func() {
		time.AfterFunc(maxDrainDelay, func() { d.cluster.store.DeleteServer(old.Config.ID) })
	}
}

// announceLeaving makes the responses of a server say that it leaves. Its row does not change.
func announceLeaving(d *injector) (string, func()) {
	srv := d.cluster.randomServer(d.rng)
	end := srv.saysLeaving.begin()
	srv.SetLeaving(true)
	return srv.Config.ID, func() {
		end()
		srv.SetLeaving(false)
	}
}

// pauseSeconds is the time for which a server that rejects requests wants none.
const pauseSeconds = "1.5"

func askForPause(d *injector) (string, func()) {
	srv := d.cluster.randomServer(d.rng)
	end := srv.faults.begin()
	srv.SetRetryAfter(pauseSeconds)
	srv.SetFaults(standin.ServerFaults{Overloaded: true})
	return srv.Config.ID, func() {
		srv.SetFaults(standin.ServerFaults{})
		srv.SetRetryAfter("")
		end()
	}
}

func evacuateDomain(d *injector) (string, func()) {
	target := domainOf(regions[d.rng.IntN(len(regions))])
	cancel, ok := d.operator.evacuate(target)
	if !ok {
		return "", nil
	}
	return target, cancel
}

func storeFault(f standin.StoreFaults) func(*injector) (string, func()) {
	return func(d *injector) (string, func()) {
		end := d.cluster.storeFaults.begin()
		d.cluster.store.SetFaults(f)
		return "store", func() {
			d.cluster.store.SetFaults(standin.StoreFaults{})
			end()
		}
	}
}

// maxRewriteDelay is the time within which the operator and the servers write again what a restored
// store has lost.
const maxRewriteDelay = time.Second

// restoreStore replaces the contents of the store, at the end of the fault, by those at its start.
func restoreStore(d *injector) (string, func()) {
	end := d.cluster.storeFaults.begin()
	restored, delay := d.cluster.store.Backup(), time.Duration(d.rng.Int64N(int64(maxRewriteDelay)))
	return "store", func() {
		latest := d.cluster.store.Backup()
		d.cluster.store.Restore(restored)
		time.Sleep(delay)
		d.cluster.store.Rewrite(restored, latest, "op/", "servers/")
		end()
	}
}

// faultLog counts the injected faults by name and writes each to a file.
type faultLog struct {
	mu     sync.Mutex
	file   *os.File
	counts map[string]int
}

func (l *faultLog) record(name, target string, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name]++
	fmt.Fprintf(l.file, "time=%s fault=%s target=%q lasts_ms=%d\n", time.Now().UTC().Format(time.RFC3339Nano), name, target, duration.Milliseconds())
}
