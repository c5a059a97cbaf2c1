package quota

import (
	"math"
	"sync"
	"time"

	"heatherloom/internal/opconfig"
)

const (
	// demandTimeConstant is the time constant of the demand average. The average follows a
	// traffic shift within two of the reports that peers send every second.
	demandTimeConstant = 2 * time.Second
	// baseDemandFraction is the fraction of an account's rate that is added to the demand, in
	// equal parts per instance, before the rate is divided in proportion to it. This lets
	// an instance without recent requests admit its first ones: as one of n instances it gets
	// 1/n of the rate if the others have no demand either, and about 0.23/n if their demand
	// equals the rate.
	baseDemandFraction = 0.3
	// bucketSlackFraction is the fraction of the slack that enlarges the buckets. The rest
	// covers the delay with which shares follow a traffic shift.
	bucketSlackFraction = 0.5
	// MaxShareWait is the longest RetryAfter for which a request waits instead of being
	// rejected: half of the shortest latency objective of a stream.
	MaxShareWait = 400 * time.Millisecond
	// demandRetention is how long after its last request an account is included in Demands.
	demandRetention = 30 * time.Second
)

// ShareLimiter divides the rate of each client account over the instances in proportion to
// their demand. It keeps one token bucket per account and is safe for concurrent use.
//
// Each instance's demand is increased by an equal part of baseDemandFraction of the rate; its
// share is the result relative to the sum over all instances. An instance compares its
// own demand with reports that are some time old, so it delays its own demand by the same age;
// otherwise the shares would add up to more than one while traffic grows. When traffic
// moves between instances, the rate is exceeded by the amount that moved within that age;
// the slack covers this. The share of a stopped instance becomes available once its peers no
// longer consider it live.
type ShareLimiter struct {
	// started is when the buckets began to refill.
	started time.Time
	// slack is the amount that all instances together may admit beyond rate and burst in any
	// window.
	slack float64
	mu    sync.Mutex
	rows  map[string]*shareRow
}

// shareRow is the bucket and the demand of one client account.
type shareRow struct {
	// level is the content of the bucket at updatedAt; negative after a request larger than
	// the bucket.
	level     float64
	updatedAt time.Time
	// average is the average demand at demandAt, in units per second.
	average  float64
	demandAt time.Time
	// delayed is the average demand, delayed by the age of the peers' reports.
	delayed float64
}

// NewShareLimiter returns a ShareLimiter whose buckets are empty and refill from now on.
// slack is the amount that all instances together may admit beyond an account's rate and
// burst in any window; 0 for none.
func NewShareLimiter(now time.Time, slack float64) *ShareLimiter {
	return &ShareLimiter{started: now, slack: slack, rows: map[string]*shareRow{}}
}

// PeerDemand is the state of the other instances with respect to one account.
type PeerDemand struct {
	// Demand is their total demand for the account, in units per second.
	Demand float64
	// Age is the mean age of the reports from which Demand was computed.
	Age time.Duration
	// FleetSize is the number of all instances, including this one.
	FleetSize int
}

// ShareDecision is the result of ShareLimiter.Admit.
type ShareDecision struct {
	Admitted bool
	// RetryAfter is the time until the bucket holds enough for the request.
	RetryAfter time.Duration
	// Share is the fraction of the rate assigned to this instance.
	Share float64
}

// Admit takes cost from the bucket of the account. An account with a rate of 0 is
// unlimited. A request larger than the bucket is admitted when the bucket is full.
func (l *ShareLimiter) Admit(now time.Time, a opconfig.Account, cost float64, peers PeerDemand) ShareDecision {
	if a.Rate <= 0 {
		return ShareDecision{Admitted: true, Share: 1}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	row, ok := l.rows[a.Name]
	if !ok {
		row = &shareRow{updatedAt: l.started, demandAt: now}
		l.rows[a.Name] = row
	}
	row.observe(now, cost, peers.Age)
	share := shareOf(a, row.delayed, peers)
	capacity := share * (math.Max(a.Burst, 1) + bucketSlackFraction*l.slack)
	row.refill(now, share*a.Rate, capacity)
	need := math.Min(cost, capacity)
	if row.level >= need {
		row.level -= cost
		return ShareDecision{Admitted: true, Share: share}
	}
	wait := (need - row.level) / (share * a.Rate)
	return ShareDecision{RetryAfter: time.Duration(wait * float64(time.Second)), Share: share}
}

// shareOf returns the fraction of the rate for an instance whose own demand is given.
func shareOf(a opconfig.Account, own float64, peers PeerDemand) float64 {
	instances := float64(max(peers.FleetSize, 1))
	baseDemand := baseDemandFraction * a.Rate
	return (own + baseDemand/instances) / (own + peers.Demand + baseDemand)
}

// observe adds a request to the demand, an exponentially decaying average. It also updates
// the average delayed by the age of the peers' reports: if each instance compared its current
// demand with older demand of the peers, the shares would add up to more than the rate when
// traffic grows on all instances at once.
func (r *shareRow) observe(now time.Time, cost float64, delay time.Duration) {
	before := r.demand(now)
	retained := 0.0
	if delay > 0 {
		retained = math.Exp(-max(now.Sub(r.demandAt), 0).Seconds() / delay.Seconds())
	}
	r.average = before + cost/demandTimeConstant.Seconds()
	r.demandAt = now
	r.delayed = retained*r.delayed + (1-retained)*r.average
}

func (r *shareRow) demand(now time.Time) float64 {
	age := max(now.Sub(r.demandAt), 0)
	return r.average * math.Exp(-age.Seconds()/demandTimeConstant.Seconds())
}

func (r *shareRow) refill(now time.Time, rate, capacity float64) {
	elapsed := max(now.Sub(r.updatedAt), 0)
	r.level = math.Min(capacity, r.level+rate*elapsed.Seconds())
	r.updatedAt = now
}

// Demands returns this instance's demand by client account, to be reported to peers.
func (l *ShareLimiter) Demands(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	demands := make(map[string]float64, len(l.rows))
	for name, row := range l.rows {
		if now.Sub(row.demandAt) > demandRetention {
			continue
		}
		demands[name] = row.demand(now)
	}
	return demands
}
