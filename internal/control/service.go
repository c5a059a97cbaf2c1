package control

import (
	"math"
	"time"

	"heatherloom/internal/opconfig"
	"heatherloom/internal/rollout"
	"heatherloom/internal/routing"
)

// EvacuationEvent delivers the failure domains that must not receive requests.
type EvacuationEvent struct {
	Domains map[string]struct{}
}

// apply marks the upstreams of a domain whose evacuation ended as cold: their caches and
// connections may have been lost.
func (e EvacuationEvent) apply(t *tables, now time.Time) {
	for _, row := range t.sortedUpstreams {
		domain := row.instance.FailureDomain
		_, before := t.evacuated[domain]
		_, after := e.Domains[domain]
		if before && !after {
			row.setCold(now.Add(t.config.Services[row.instance.Service].ColdFor))
		}
	}
	t.evacuated = e.Domains
}

// setCold records until when the upstream is cold, as this instance learned from the store or from the upstream itself.
func (row *upstreamRow) setCold(until time.Time) {
	row.ownColdUntil = max(row.ownColdUntil, until.UnixNano())
	row.setReportedCold(until)
}

// setReportedCold records until when the upstream is cold according to another instance. It is not passed on to others:
// the time of each message would be added to it.
func (row *upstreamRow) setReportedCold(until time.Time) {
	row.coldUntil = latest(row.coldUntil, until)
	row.counters.RecordColdUntil(until)
}

// maxMessageAge is how long ago a peer is assumed to have sent a message at most: the timeout of a heartbeat.
const maxMessageAge = time.Second

// mergeCold applies the remaining cold times that a peer reported between two times; the first is zero if it is not
// known. An instance without access to the store has no other way to learn of evacuations and cold upstreams.
//
// Where a health check tells whether an upstream is cold, the times count from the earliest time at which the peer may
// have reported them: the check at their end shows if that is too early, but nothing shows an instance that they last
// too long.
func (t *tables) mergeCold(cold map[string]time.Duration, from, received time.Time) {
	for id, remaining := range cold {
		row, ok := t.upstreams[id]
		if !ok {
			continue
		}
		row.restarted = row.restarted || !received.Before(row.coldUntil)
		told := received
		if t.mayBecomeCold(row) {
			told = from
			if from.IsZero() {
				told = received.Add(-maxMessageAge)
			}
		}
		row.setReportedCold(told.Add(remaining))
	}
}

// RestartReport tells that an upstream ended, or started again, as one instance noticed.
type RestartReport struct {
	Upstream string
	// NoticedAt is when that was.
	NoticedAt time.Time
	// ColdFor is how long the upstream remains cold after NoticedAt; 0 if it has not responded since it ended.
	ColdFor time.Duration
	// Hops is how many instances passed the report on.
	Hops uint32
}

// RestartsReportedEvent delivers what another instance of the region reported. The reporter has also recorded it in the
// counters of the upstreams, which act before the next tick.
type RestartsReportedEvent struct {
	Reports []RestartReport
}

func (e RestartsReportedEvent) apply(t *tables, now time.Time) {
	for _, r := range e.Reports {
		if row, ok := t.upstreams[r.Upstream]; ok && r.ColdFor > 0 {
			row.restarted = row.restarted || !now.Before(row.coldUntil)
			row.setReportedCold(r.NoticedAt.Add(r.ColdFor))
		}
	}
}

// ServiceRolloutsEvent delivers the service rollouts requested by the operators.
type ServiceRolloutsEvent struct {
	Rollouts []rollout.ServiceRollout
}

func (e ServiceRolloutsEvent) apply(t *tables, _ time.Time) { t.serviceRollouts = e.Rollouts }

const (
	// canaryFraction is the fraction of Identity.CanaryShare that is actually sent to a
	// candidate. The rest allows for uneven traffic across instances.
	canaryFraction = 0.5
	// maxFailedAttempts is the number of failed attempts at a candidate, over all instances,
	// after which none sends to it. The operators allow at most fifty in a rollout.
	maxFailedAttempts = 40
)

// serviceSplits returns the traffic split of each service with a rollout. The share of a
// candidate also holds in a region without an upstream of the running version: requests that
// do not belong to the candidate go to another region or are rejected.
func serviceSplits(t *tables, instances int) map[string]routing.ServiceSplit {
	splits := make(map[string]routing.ServiceSplit, len(t.serviceRollouts))
	for _, r := range t.serviceRollouts {
		split := routing.ServiceSplit{Candidate: r.Version, RolloutID: r.ID()}
		switch {
		case r.State == rollout.Done:
			split.Share = 1
		case r.State == rollout.RolledBack || t.stoppedLocally(r, instances):
		case r.OnlyVersion:
			continue
		default:
			split.Share = canaryFraction * t.identity.CanaryShare
		}
		splits[r.Service] = split
	}
	return splits
}

// stoppedLocally reports whether this instance no longer sends to the candidate of a
// rollout: it made a local stop, or saw its share of maxFailedAttempts. The second is not
// reported to other instances.
func (t *tables) stoppedLocally(r rollout.ServiceRollout, instances int) bool {
	if _, stop := t.rollouts.stops[stopKey{r.ID(), t.identity.ID}]; stop {
		return true
	}
	failed := int64(0)
	for _, row := range t.sortedUpstreams {
		if row.instance.Service == r.Service && row.instance.Version == r.Version {
			failed += row.counters.FailedAttempts().Load()
		}
	}
	return failed >= max(maxFailedAttempts/int64(max(instances, 1)), 1)
}

// HealthCheckPassedEvent reports that a paused upstream passed a health check.
type HealthCheckPassedEvent struct {
	Upstream string
	// Sent is when the check was sent, and ColdFor the remaining cold time that the upstream reported.
	Sent    time.Time
	ColdFor time.Duration
}

func (e HealthCheckPassedEvent) apply(t *tables, now time.Time) {
	row, ok := t.upstreams[e.Upstream]
	if !ok {
		return
	}
	row.awaitsHealthCheck = false
	row.downUntil = now
	row.counters.ConsecutiveFailures.Store(0)
	row.counters.RecordSign(now)
	row.recordColdTime(e.Sent, e.ColdFor)
}

// RestartCheckedEvent reports that an upstream whose connection broke responded to a health check.
type RestartCheckedEvent struct {
	Upstream string
	// Sent is when the check was sent, and ColdFor the remaining cold time that the upstream reported.
	Sent    time.Time
	ColdFor time.Duration
}

func (e RestartCheckedEvent) apply(t *tables, _ time.Time) {
	if row, ok := t.upstreams[e.Upstream]; ok {
		row.recordColdTime(e.Sent, e.ColdFor)
	}
}

// recordColdTime records how long the upstream remains cold, as it said in response to a health check.
func (row *upstreamRow) recordColdTime(sent time.Time, remaining time.Duration) {
	if remaining > 0 {
		row.setCold(routing.ColdUntil(sent, remaining))
		row.restarted = true
	}
	row.counters.RecordColdTime(sent, remaining)
}

// mayBecomeCold reports whether the upstream is cold after a start, which health checks can tell.
func (t *tables) mayBecomeCold(row *upstreamRow) bool {
	service := t.config.Services[row.instance.Service]
	return mayBecomeCold(&service)
}

func mayBecomeCold(s *opconfig.Service) bool {
	return s.ColdFor > 0 && s.ColdRateLimit > 0 && s.HealthPath != ""
}

func evacuated(t *tables, row *upstreamRow) bool {
	_, ok := t.evacuated[row.instance.FailureDomain]
	return ok
}

const (
	// coldRestartPause is how long a restarted instance sends nothing to cold upstreams: what it
	// sent before the restart counts for a second, and is not known any more.
	coldRestartPause = 1100 * time.Millisecond
	// coldNewInstancePause is coldRestartPause for an instance that was not listed before. By then
	// all others have read its row, also those that read every 2 s and lost one call, and have
	// reduced their parts of the limit.
	coldNewInstancePause = 4 * time.Second
)

// pauseColdSends sets when this instance may first send to cold upstreams. It is called with the
// first instance list.
func (t *tables) pauseColdSends(selfListed bool, now time.Time) {
	pause := coldNewInstancePause
	if selfListed {
		pause = coldRestartPause
	}
	t.coldSendsFrom = now.Add(pause)
}

// regionBudget divides the request limits of upstreams over the instances of the region.
type regionBudget struct {
	tables *tables
	now    time.Time
	// latest is the service that was last looked up, which is that of the next upstream in most cases.
	latest opconfig.Service
}

// service returns the service of an upstream, until the next call.
func (c *regionBudget) service(row *upstreamRow) *opconfig.Service {
	if name := row.instance.Service; c.latest.Name != name {
		c.latest = c.tables.config.Services[name]
		c.latest.Name = name
	}
	return &c.latest
}

// mayBecomeCold is tables.mayBecomeCold.
func (c *regionBudget) mayBecomeCold(row *upstreamRow) bool { return mayBecomeCold(c.service(row)) }

// coldRequests returns how many requests per second this instance may send to a cold
// upstream; 0 if the upstream is not cold, or shortly after the start of this instance.
func (c *regionBudget) coldRequests(row *upstreamRow, cold bool) int {
	if !cold || c.now.Before(c.tables.coldSendsFrom) {
		return 0
	}
	return c.partOfColdLimit(row)
}

// partOfColdLimit returns this instance's part of the requests per second that a cold upstream tolerates. The limit is
// divided equally. If it is lower than the number of instances, those with the highest rendezvous
// weight send one request, fewer of them if it may have started again under its id.
func (c *regionBudget) partOfColdLimit(row *upstreamRow) int {
	limit := c.totalColdLimit(row)
	if part := math.Floor(limit / float64(c.instances())); part >= 1 {
		return int(part)
	}
	senders := int(limit)
	if row.restarted || !c.now.Before(row.coldUntil) {
		senders -= senders / restartReserve
	}
	if c.tables.rank(row) < senders {
		return 1
	}
	return 0
}

// restartReserve divides the limit of an upstream that may have started again under its id: one such part of it is left
// for requests of instances that have not noticed yet.
const restartReserve = 3

// rateSenders is how many more instances than requests a second of an upstream's rate may send to it.
// Each of them may send one request at any time.
const rateSenders = 4

// requestRate returns the part, in requests a second, that this instance may use of the rate that an
// upstream names; limited is false if it names none. The rate is divided equally over all instances, or
// over those with the highest rendezvous weights if they are many.
func (c *regionBudget) requestRate(row *upstreamRow) (part float64, limited bool) {
	rate, limited := row.counters.NamedRate()
	if !limited {
		return 0, false
	}
	instances := c.instances()
	senders := min(instances, int(min(rate, float64(instances)))+rateSenders)
	if senders < instances && c.tables.rank(row) >= senders {
		return 0, true
	}
	return rate / float64(senders), true
}

// places returns this instance's part of the requests that a brittle upstream runs at once, and how many
// instances have one; 0 shortly after the start of this instance, whose earlier requests may still run.
// The places are divided equally, and the rest goes to the instances with the highest rendezvous weights.
func (c *regionBudget) places(row *upstreamRow) (part, sharers int) {
	instances := c.instances()
	slots := max(row.instance.MaxConcurrency, 1)
	sharers = min(instances, slots)
	if c.now.Before(c.tables.coldSendsFrom) {
		return 0, sharers
	}
	part = slots / instances
	if c.tables.rank(row) < slots%instances {
		part++
	}
	return part, sharers
}

// coldLimit returns how many requests per second this instance may send to an upstream that is cold, or that may
// have started again; 0 if the upstream is neither cold nor may become so.
func (c *regionBudget) coldLimit(row *upstreamRow, cold bool) int {
	if cold {
		return c.coldRequests(row, true)
	}
	if !c.mayBecomeCold(row) {
		return 0
	}
	return c.partOfColdLimit(row)
}

// coldTime returns for how long the upstream is cold after a start, 0 if each instance has a part of its limit.
func (c *regionBudget) coldTime(row *upstreamRow) time.Duration {
	if !c.mayBecomeCold(row) || c.totalColdLimit(row) >= float64(c.instances()) {
		return 0
	}
	return c.service(row).ColdFor
}

// totalColdLimit returns how many requests per second all instances may send to a cold upstream.
func (c *regionBudget) totalColdLimit(row *upstreamRow) float64 {
	t := c.tables
	return math.Floor(c.service(row).ColdRateLimit*t.identity.ColdExcess + t.identity.ColdSlack)
}

// instances returns the number of entry instances of the region.
func (c *regionBudget) instances() int { return len(c.tables.regionInstances()) }
