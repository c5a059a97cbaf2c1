// Package autoscale decides how many upstreams of a service run in each failure domain, and sends the orders.
//
// Decide answers to the load of a service in a region, because requests can be sent to an upstream only from its own
// region, and divides the upstreams among the failure domains of the region. The load is the larger of two: the requests
// that run or wait at the upstreams, against their slots; and the prompt tokens a second that they have to read, against
// what an upstream was observed to read. Requests that were rejected for lack of room count as if they had run.
//
// Too few upstreams cost responses, and an idle upstream costs little. Upstreams are therefore ordered within seconds and
// released slowly. A decision knows no network and reads no clock.
package autoscale

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// highUtilization is the utilization above which upstreams are ordered once it has lasted for highFor, and
	// targetUtilization the one for which the number is chosen.
	highUtilization   = 0.75
	targetUtilization = 0.6
	// highFor is one second, less the jitter of loads that are collected once a second.
	highFor = 900 * time.Millisecond
	// lowUtilization is the utilization below which upstreams are released once it has lasted for lowPeriods times
	// the time in which a new upstream becomes warm. A release of maxReleasedShare raises it to 0.46 at most, far
	// from highUtilization.
	lowUtilization   = 0.4
	lowPeriods       = 2
	maxReleasedShare = 1.0 / 8
	// peakWindow is how long a peak of the load limits releases, to keptPeakShare of what the peak needed. At that share
	// the same peak uses 0.71 of the capacity, so that it causes no order; 0.75 released and ordered in turns under
	// bursts once a minute. 60 s released between the peaks of demand that repeats every 150 s.
	peakWindow    = 120 * time.Second
	keptPeakShare = 0.85
	// waitingPerUpstream is the mean number of waiting requests per upstream from which more are ordered at once.
	// With random arrivals, 0.75 wait at a utilization of 0.6.
	waitingPerUpstream = 1.0
	// minRejectedShare is the share of rejected requests from which more upstreams are ordered at once. Single
	// rejections have other causes.
	minRejectedShare = 0.01
	// helpfulUtilization is the utilization from which another upstream helps requests that wait or are rejected.
	// Below it they have another cause, such as a lost link.
	helpfulUtilization = 0.5
	// maxRejectedFactor bounds the load that is derived from rejected requests: callers repeat them.
	maxRejectedFactor = 4
	// deliverySlack is the time that an order and the rows of the new upstreams take on their way.
	deliverySlack = 5 * time.Second
	// maxSampleGap is the time without a sample after which the utilization in between is not known. Rounds take up to
	// 3.7 s while the API is slow.
	maxSampleGap = 5 * time.Second
	// assumedReadRate is the number of prompt tokens a second that an upstream is assumed to read until it is
	// observed. One that decodes nothing reads 56,600.
	assumedReadRate = 45_000
	// minReadRate and maxReadRate bound the observed rate: a slow link must not look like an upstream that reads
	// nothing, nor short prompts like one that reads without limit.
	minReadRate = assumedReadRate / 3
	maxReadRate = 56_600
	// readRateRise and readRateFall are the weights of a higher and a lower sample in the moving average of the observed
	// rate. A sample is too low while prompts of other instances, which are known a second late, are queued ahead.
	readRateRise = 0.2
	readRateFall = 0.05
)

// Bounds are the limits of a service.
type Bounds struct {
	// Min and Max bound the upstreams in each failure domain.
	Min, Max int
	// Startup is the time from an order until an upstream serves, and Cold how long it is cold then.
	Startup, Cold time.Duration
}

// warmUp is the time from an order until an upstream is warm.
func (b Bounds) warmUp() time.Duration { return b.Startup + b.Cold }

// Domain counts the upstreams of a service in a failure domain.
type Domain struct {
	Name string
	// Serving are warm and available, Cold have just started, and Unavailable are listed, but get no requests.
	Serving, Cold, Unavailable int
	// Leaving are about to end. They do not count among the upstreams that run.
	Leaving int
}

// Running is the number of upstreams that an order for the failure domain counts.
func (d Domain) Running() int { return d.Serving + d.Cold + d.Unavailable }

// Load is the load of a service in a region.
type Load struct {
	// Running and Waiting are the requests at the upstreams.
	Running, Waiting float64
	// SlotsPerUpstream is the number of requests that an upstream runs at once; 0 if unknown.
	SlotsPerUpstream float64
	// Arrivals are the requests sent to upstreams, and Rejected those for which there was no room, each a second.
	Arrivals, Rejected float64
	// PromptTokens is the number of prompt tokens a second that upstreams have to read, without cached ones.
	PromptTokens float64
	// ReadRate is the number of prompt tokens a second that one upstream was observed to read; 0 if unknown.
	ReadRate float64
	// Complete is false if so many instances did not respond that the load may be higher.
	Complete bool
}

// Pool is a service in a region at one time.
type Pool struct {
	Service, Region string
	Bounds          Bounds
	Domains         []Domain
	Load            Load
}

// Order is the number of upstreams of a service that should run in a failure domain.
type Order struct {
	Service, FailureDomain string
	Desired                int
	// Running is the number that ran at the latest decision.
	Running int
	// Reason tells why Desired last changed.
	Reason string
}

// State is what decisions remember. The zero value remembers nothing, as after a change of the holder of the duty.
type State struct {
	pools map[poolKey]*poolState
}

type poolKey struct{ service, region string }

type poolState struct {
	// knownSince is the time of the first sample, and sampledAt that of the latest one. observedSince is since when there
	// was no gap between samples.
	knownSince, sampledAt, observedSince time.Time

	domains map[string]*domainState
	// highSince and lowSince are since when the utilization has been high or low; zero if it is not.
	highSince, lowSince time.Time
	needs               []need
	readRate            float64
}

// need is the number of upstreams that the load of a time needs.
type need struct {
	at    time.Time
	count int
}

// domainState is the order for a failure domain.
type domainState struct {
	Domain
	desired int
	// decided is false until desired may be ordered.
	decided bool
	reason  string
	// shortSince is since when fewer upstreams run than are desired, without one that was added; zero if enough run.
	shortSince time.Time
}

// Decide returns the orders that are correct at a time, for all pools of which the state knows, sorted. A pool that is not
// in the input keeps its numbers: without a load nothing is ordered or released.
//
// The first order for a failure domain is the number that runs. Unless the load needs more, it is given only when upstreams
// that a former holder of the duty may have ordered are warm, so that it does not cancel them.
func Decide(now time.Time, state *State, pools []Pool) []Order {
	if state.pools == nil {
		state.pools = map[poolKey]*poolState{}
	}
	for _, p := range pools {
		key := poolKey{p.Service, p.Region}
		if state.pools[key] == nil {
			state.pools[key] = &poolState{knownSince: now, domains: map[string]*domainState{}}
		}
		state.pools[key].decide(now, p)
	}
	var orders []Order
	for key, s := range state.pools {
		for _, d := range s.domains {
			if d.decided {
				orders = append(orders, Order{
					Service: key.service, FailureDomain: d.Name, Desired: d.desired, Running: d.Running(), Reason: d.reason,
				})
			}
		}
	}
	slices.SortFunc(orders, func(a, b Order) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})
	return orders
}

func (s *poolState) decide(now time.Time, p Pool) {
	if now.Sub(s.sampledAt) > maxSampleGap {
		s.highSince, s.lowSince, s.observedSince = time.Time{}, time.Time{}, now
	}
	s.sampledAt = now
	s.updateDomains(now, p.Domains)
	s.observeReadRate(p.Load.ReadRate)
	u := s.usageOf(now, p)
	s.needs = append(s.needs, need{now, u.need})
	s.needs = slices.DeleteFunc(s.needs, func(n need) bool { return now.Sub(n.at) > peakWindow })
	s.enforceBounds(now, p.Bounds)
	s.orderMore(now, p.Bounds, u)
	s.release(now, p, u)
	if now.Sub(s.knownSince) >= p.Bounds.warmUp()+deliverySlack {
		for _, d := range s.domains {
			d.decided = true
		}
	}
}

// updateDomains takes over the upstreams that run. A failure domain that is not listed has none.
func (s *poolState) updateDomains(now time.Time, domains []Domain) {
	before := map[string]int{}
	for name, d := range s.domains {
		before[name] = d.Running()
		d.Domain = Domain{Name: name}
	}
	for _, d := range domains {
		if s.domains[d.Name] == nil {
			s.domains[d.Name] = &domainState{reason: "runs already"}
		}
		s.domains[d.Name].Domain = d
	}
	for name, d := range s.domains {
		if !d.decided {
			d.desired = max(d.desired, d.Running())
		}
		switch {
		case d.Running() >= d.desired:
			d.shortSince = time.Time{}
		case d.shortSince.IsZero() || d.Running() > before[name]:
			d.shortSince = now
		}
	}
}

func (s *poolState) observeReadRate(rate float64) {
	if s.readRate == 0 {
		s.readRate = assumedReadRate
	}
	if rate <= 0 {
		return
	}
	gain := readRateRise
	if rate < s.readRate {
		gain = readRateFall
	}
	s.readRate += gain * (min(max(rate, minReadRate), maxReadRate) - s.readRate)
}

// usage is the use of a pool at one time.
type usage struct {
	serving int
	// coming are the upstreams that do not serve yet and are expected to.
	coming int
	// utilization is the share of the capacity of the serving upstreams in use.
	utilization float64
	// need is the number of upstreams at which the utilization would be targetUtilization.
	need int
	// waits is true if requests wait, or are rejected, for lack of room.
	waits bool
	// cause describes the load.
	cause string
}

func (s *poolState) usageOf(now time.Time, p Pool) usage {
	var u usage
	useful := s.useful(now, p.Bounds)
	for _, d := range s.domains {
		u.serving += d.Serving
		u.coming += d.Cold
		if short := d.desired - d.Running(); short > 0 && (len(useful) == 0 || !d.late(now, p.Bounds)) {
			u.coming += short
		}
	}
	l := p.Load
	factor := min(1+l.Rejected/max(l.Arrivals, 1), maxRejectedFactor)
	slots := 0.0
	if l.SlotsPerUpstream > 0 {
		slots = factor * (l.Running + l.Waiting) / l.SlotsPerUpstream
	}
	read := factor * l.PromptTokens / s.readRate
	busy := max(slots, read)
	u.utilization = busy / float64(max(u.serving, 1))
	u.need = int(math.Ceil(busy/targetUtilization - 1e-9))
	rejects := l.Rejected > minRejectedShare*l.Arrivals
	u.waits = rejects || (l.Waiting > 0 && l.Waiting >= waitingPerUpstream*float64(u.serving))
	if u.waits && (u.serving == 0 || u.utilization >= helpfulUtilization) {
		u.need = max(u.need, u.serving+1)
	}
	if u.serving == 0 && (busy > 0 || u.waits) {
		u.need = max(u.need, s.peakNeed())
	}
	what := "slots"
	if read > slots {
		what = "read rate"
	}
	u.cause = fmt.Sprintf("%.0f%% of the %s of %d upstreams in use, %.0f requests wait, %.1f/s rejected",
		100*u.utilization, what, u.serving, l.Waiting, l.Rejected)
	return u
}

// late reports whether upstreams that were ordered, or have ended, should have been there by now.
func (d *domainState) late(now time.Time, b Bounds) bool {
	return !d.shortSince.IsZero() && now.Sub(d.shortSince) > b.warmUp()+deliverySlack
}

// useful returns the failure domains, by name, in which more upstreams may be ordered and would help: upstreams that were
// ordered there are not late, and some that run get requests.
func (s *poolState) useful(now time.Time, b Bounds) []*domainState {
	return slices.DeleteFunc(s.sorted(), func(d *domainState) bool {
		return d.desired >= b.Max || d.late(now, b) || (d.Unavailable > 0 && d.Serving+d.Cold == 0)
	})
}

// peakNeed returns the highest need in peakWindow.
func (s *poolState) peakNeed() int {
	peak := 0
	for _, n := range s.needs {
		peak = max(peak, n.count)
	}
	return peak
}

// enforceBounds keeps each order between the operators' bounds.
func (s *poolState) enforceBounds(now time.Time, b Bounds) {
	for _, d := range s.domains {
		switch {
		case d.desired < b.Min:
			d.order(now, b.Min, fmt.Sprintf("the minimum is %d", b.Min))
		case d.desired > b.Max:
			d.order(now, b.Max, fmt.Sprintf("the maximum is %d", b.Max))
		}
	}
}

func (d *domainState) order(now time.Time, desired int, reason string) {
	d.desired, d.decided, d.reason = desired, true, reason
	if desired > d.Running() {
		if d.shortSince.IsZero() {
			d.shortSince = now
		}
	} else {
		d.shortSince = time.Time{}
	}
}

// orderMore orders what the load needs beyond the upstreams that serve or are expected. If it would help in no failure
// domain, as while the API is away, the numbers rise in all of them with the load.
func (s *poolState) orderMore(now time.Time, b Bounds, u usage) {
	switch {
	case u.utilization <= highUtilization:
		s.highSince = time.Time{}
	case s.highSince.IsZero():
		s.highSince = now
	}
	isHigh := !s.highSince.IsZero() && now.Sub(s.highSince) >= highFor
	if !isHigh && !u.waits {
		return
	}
	candidates := s.useful(now, b)
	if len(candidates) == 0 {
		candidates = s.sorted()
	}
	for range u.need - u.serving - u.coming {
		least := slices.MinFunc(candidates, func(a, b *domainState) int { return cmp.Compare(a.desired, b.desired) })
		if least.desired >= b.Max {
			return
		}
		least.order(now, least.desired+1, u.cause)
	}
}

// release gives up upstreams if the utilization has been low for long enough. Nothing is released while the peak of
// peakWindow is not known, as after a change of the holder.
func (s *poolState) release(now time.Time, p Pool, u usage) {
	short, total := false, 0
	for _, d := range s.domains {
		total += d.desired
		short = short || d.Running() < d.desired
	}
	if u.utilization >= lowUtilization || u.waits || short || !p.Load.Complete {
		s.lowSince = time.Time{}
		return
	}
	if s.lowSince.IsZero() {
		s.lowSince = now
	}
	if now.Sub(s.lowSince) < lowPeriods*p.Bounds.warmUp() || now.Sub(s.observedSince) < peakWindow {
		return
	}
	// One upstream is kept without any load: a request that finds none waits for a start.
	floor := max(int(math.Ceil(keptPeakShare*float64(s.peakNeed()))), 1)
	n := min(max(int(maxReleasedShare*float64(total)), 1), total-floor, u.serving-floor)
	for range n {
		var most *domainState
		for _, d := range s.sorted() {
			if d.desired > p.Bounds.Min && (most == nil || d.desired > most.desired) {
				most = d
			}
		}
		if most == nil {
			return
		}
		most.order(now, most.desired-1, fmt.Sprintf("%s, and below %.0f%% for %s", u.cause, 100*lowUtilization, now.Sub(s.lowSince).Round(time.Second)))
	}
	if n > 0 {
		s.lowSince = now
	}
}

// sorted returns the failure domains by name, so that decisions do not depend on the order of a map.
func (s *poolState) sorted() []*domainState {
	var sorted []*domainState
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		sorted = append(sorted, s.domains[name])
	}
	return sorted
}
