package soak

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/standin/faultproxy"
	"heatherloom/platform/standin"
)

const (
	// dutyLease is the time for which a former holder may still act.
	dutyLease   = 3 * time.Second
	usageWindow = 2 * time.Second
	usageDue    = 8 * time.Second
	// dutyCallsPerSecond is the rate limit of the duty API.
	dutyCallsPerSecond = 50
	// dutySettleTime is the time without faults before a window after which its usage must be accepted
	// in time: a lease ends after 2.5 s, the next holder waits for dutyLease, and an instance that
	// released the duty because it did not reach the API does not compete for 10 s.
	dutySettleTime = 16 * time.Second
	// maxDutyRecoveryTime is the time after the last fault within which recoveryWindows in a row that began
	// after it must be accepted in time.
	maxDutyRecoveryTime = dutySettleTime + usageDue + recoveryWindows*usageWindow
	recoveryWindows     = 2
	// slowDutyDelay is longer than a holder waits for a response.
	slowDutyDelay = 2 * time.Second
)

// dutyFaultSeries are the faults of the duty API and of holders of duties.
var dutyFaultSeries = []fault{
	{"duty_api_silent", dutyFault(standin.DutyFaults{Silent: true})},
	{"duty_api_busy", dutyFault(standin.DutyFaults{Unavailable: true})},
	{"duty_api_reset", dutyFault(standin.DutyFaults{Reset: true})},
	{"duty_api_slow", dutyFault(standin.DutyFaults{Delay: slowDutyDelay})},
	{"duty_api_responses_lost", dutyFault(standin.DutyFaults{DropResponses: true})},
	{"duty_holder_killed", onHolder(restartNode)},
	{"duty_holder_paused", onHolder(pauseNode)},
	{"duty_holder_paused_during_report", onHolder(pauseDuringReport)},
	{"duty_holder_without_api_silent", onHolder(dutyLinkFault(faultproxy.BlackHole()))},
	{"duty_holder_without_api_cut", onHolder(dutyLinkFault(faultproxy.Faults{Cut: true}))},
	{"duty_holder_without_store", onHolder(storeLinkFaultOf(faultproxy.BlackHole()))},
}

// dutySettings returns the section of an instance that reaches the duty API over a link.
func dutySettings(link *faultproxy.Proxy) string {
	return fmt.Sprintf("[duties]\napi = http://%s\nnames = %s\nrate = %d\nlease = %s\nusage_window = %s\nusage_due = %s\n",
		link.Address(), external.DutyUsageReport, dutyCallsPerSecond, dutyLease, usageWindow, usageDue)
}

// startDutyLink starts the link of an instance to the duty API.
func startDutyLink(api *standin.DutyAPI, id string) (*faultproxy.Proxy, error) {
	address, err := api.AddressFor(id)
	if err != nil {
		return nil, err
	}
	return faultproxy.Start(freePort, address)
}

func dutyFault(f standin.DutyFaults) func(*injector) (string, func()) {
	return func(d *injector) (string, func()) {
		end := d.cluster.dutyFaults.begin()
		d.cluster.duties.SetFaults(f)
		return "duty api", func() {
			d.cluster.duties.SetFaults(standin.DutyFaults{})
			end()
		}
	}
}

// onHolder injects a fault into the instance that sent the last call to the duty API.
func onHolder(inject func(*injector, *node) func()) func(*injector) (string, func()) {
	return func(d *injector) (string, func()) {
		calls := d.cluster.duties.Calls()
		if len(calls) == 0 {
			return "", nil
		}
		for _, e := range d.cluster.nodes {
			if e.id == calls[len(calls)-1].Machine {
				return e.id, inject(d, e)
			}
		}
		return "", nil
	}
}

func restartNode(d *injector, e *node) func() {
	if !e.mu.TryLock() {
		return nil
	}
	end := e.faults.begin()
	e.kill()
	return func() {
		d.restart(e)
		end()
		e.mu.Unlock()
	}
}

// pauseNode stops a process; nil if another fault has.
func pauseNode(d *injector, e *node) func() {
	if !e.mu.TryLock() {
		return nil
	}
	end := e.faults.begin()
	e.signal(syscall.SIGSTOP)
	return func() {
		e.signal(syscall.SIGCONT)
		end()
		e.mu.Unlock()
	}
}

func dutyLinkFault(f faultproxy.Faults) func(*injector, *node) func() {
	return func(d *injector, e *node) func() {
		return injectLinkFault(&e.dutyLinkFaults, e.dutyLink, f)
	}
}

func storeLinkFaultOf(f faultproxy.Faults) func(*injector, *node) func() {
	return func(d *injector, e *node) func() {
		return injectLinkFault(&e.faults, e.storeLink, f)
	}
}

// pauseDuringReport pauses the holder while a report is recorded and not accepted yet, and resumes it no sooner than
// another instance has reported.
func pauseDuringReport(d *injector, _ *node) func() {
	api := d.cluster.duties
	end := d.cluster.dutyFaults.begin()
	api.SetFaults(standin.DutyFaults{Unavailable: true})
	defer func() {
		api.SetFaults(standin.DutyFaults{})
		end()
	}()
	before := len(api.Calls())
	poll(2*usageWindow, func() bool { return len(api.Calls()) > before })
	_, resume := onHolder(pauseNode)(d)
	if resume == nil {
		return nil
	}
	paused := api.Calls()
	return func() {
		poll(dutySettleTime, func() bool {
			calls := api.Calls()[len(paused):]
			return slices.ContainsFunc(calls, func(c standin.DutyCall) bool { return c.Accepted() && c.Machine != paused[len(paused)-1].Machine })
		})
		resume()
	}
}

// poll waits until a condition holds, at most for a time.
func poll(limit time.Duration, ok func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end) && !ok(); {
		time.Sleep(pollInterval)
	}
}

// checkDutyCalls reports calls to the duty API that break the rules R1 to R5, also during faults. No call is exempt,
// although the platform exempts those of instances that were just resumed.
func checkDutyCalls(e *history, report func(string, ...any)) {
	for _, v := range standin.CheckDutyCalls(e.dutyCalls, dutyLease) {
		report("%s", v)
	}
}

// checkUsageWindows reports windows whose usage was not accepted in time though nothing was disturbed.
func checkUsageWindows(e *history, report func(string, ...any)) {
	accepted := map[int64]time.Time{}
	for _, c := range e.dutyCalls {
		if _, known := accepted[c.Window]; c.Accepted() && !known {
			accepted[c.Window] = c.At
		}
	}
	for window := windowOf(e.started) + 1; ; window++ {
		begin := startOfWindow(window)
		due := begin.Add(usageWindow + usageDue)
		if due.After(e.ended) {
			return
		}
		if e.dutiesDisturbed(begin.Add(-dutySettleTime), due) || begin.Before(e.started.Add(dutySettleTime)) {
			continue
		}
		if at, ok := accepted[window]; !ok {
			report("window %d, from %s, was not accepted", window, begin.UTC())
		} else if at.After(due) {
			report("window %d, from %s, was accepted %s after its end", window, begin.UTC(), at.Sub(begin.Add(usageWindow)))
		}
	}
}

// dutiesDisturbed reports whether an instance, its links, the store or the duty API had a fault.
func (e *history) dutiesDisturbed(from, to time.Time) bool {
	if e.storeFaults.overlaps(from, to) || e.dutyFaults.overlaps(from, to) {
		return true
	}
	for _, n := range e.nodes {
		for _, s := range []*intervals{&n.faults, &n.peerLinkFaults, &n.plannedShutdowns, &n.dutyLinkFaults} {
			if s.overlaps(from, to) {
				return true
			}
		}
	}
	return false
}

func windowOf(at time.Time) int64 { return at.UnixNano() / int64(usageWindow) }

func startOfWindow(window int64) time.Time { return time.Unix(0, window*int64(usageWindow)) }

// checkDutyRecovery reports whether recoveryWindows in a row that began after the last fault are
// accepted in time.
func (s *runner) checkDutyRecovery() bool {
	first := windowOf(time.Now()) + 1
	for end := time.Now().Add(maxDutyRecoveryTime); time.Now().Before(end); time.Sleep(pollInterval) {
		accepted, row := s.cluster.duties.Windows(), 0
		for window := first; startOfWindow(window).Before(time.Now()) && row < recoveryWindows; window++ {
			row++
			if c, ok := accepted[window]; !ok || c.At.After(startOfWindow(window).Add(usageWindow+usageDue)) {
				row = 0
			}
		}
		if row == recoveryWindows {
			return true
		}
	}
	return false
}
