package quota

import (
	"math"
	"sync"
	"time"

	"heatherloom/internal/opconfig"
)

const (
	// demandSpan is the time over which demand is averaged. It follows a shift of traffic
	// within two reports, which peers send each second.
	demandSpan = 2 * time.Second
	// idleShare is the part of a rate that is divided evenly over the instances, so that
	// one without recent requests can admit the first ones.
	idleShare = 0.3
	// usedSlack is the part of the slack that enlarges the buckets. The rest covers shares that follow a shift of traffic with a delay.
	usedSlack = 0.5
	// MaxShareWait is the longest RetryAfter for which a caller waits instead of being
	// refused: half of the shortest objective of a stream.
	MaxShareWait = 400 * time.Millisecond
	// forgetAfter is when an account without requests is dropped from the table.
	forgetAfter = 30 * time.Second
)

// Shares divide the rate of each client account over the instances by their demand. It
// keeps one bucket for each account and is safe for concurrent use.
//
// The share of an instance is its own demand, with an even part of idleShare of the rate,
// out of that of all instances. Its own demand counts as old as the reports of the others
// are, so that the shares add up to one while traffic grows. A shift of traffic between
// instances exceeds the rate by what moved within that age, which the slack covers.
// The share of an instance that ended is free once its peers no longer count it as live.
type Shares struct {
	// started is when the buckets began to fill.
	started time.Time
	// slack is what all instances together may admit beyond rate and burst in a window.
	slack float64
	mu    sync.Mutex
	rows  map[string]*shareRow
}

type shareRow struct {
	// level is the content of the bucket at the time at; below 0 after a request that is
	// larger than the bucket.
	level float64
	at    time.Time
	// average is that of the demand, in units per second, at demandAt.
	average  float64
	demandAt time.Time
	// lagged follows the demand with the delay of the others' reports.
	lagged float64
}

// NewShares returns empty buckets that begin to fill now. slack is what all instances
// together may admit beyond the rate and burst of an account in any window; 0 for none.
func NewShares(now time.Time, slack float64) *Shares {
	return &Shares{started: now, slack: slack, rows: map[string]*shareRow{}}
}

// Others is what is known of the other instances.
type Others struct {
	// Demand is the sum of their demands for the account, in units per second.
	Demand float64
	// Age is the mean age of the reports behind Demand.
	Age time.Duration
	// Instances counts all instances, with this one.
	Instances int
}

// ShareDecision is the answer of Shares.Admit.
type ShareDecision struct {
	Admitted bool
	// RetryAfter is the time until the bucket holds enough for the request.
	RetryAfter time.Duration
	// Share is the part of the rate that this instance has.
	Share float64
}

// Admit takes cost from the bucket of the account. An account with a rate of 0 has no
// limit. A request that is larger than the bucket is admitted while the bucket is full.
func (s *Shares) Admit(now time.Time, a opconfig.Account, cost float64, others Others) ShareDecision {
	if a.Rate <= 0 {
		return ShareDecision{Admitted: true, Share: 1}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[a.Name]
	if !ok {
		row = &shareRow{at: s.started, demandAt: now}
		s.rows[a.Name] = row
	}
	row.observe(now, cost, others.Age)
	share := shareOf(a, row.lagged, others)
	capacity := share * (math.Max(a.Burst, 1) + usedSlack*s.slack)
	row.fill(now, share*a.Rate, capacity)
	need := math.Min(cost, capacity)
	if row.level >= need {
		row.level -= cost
		return ShareDecision{Admitted: true, Share: share}
	}
	wait := (need - row.level) / (share * a.Rate)
	return ShareDecision{RetryAfter: time.Duration(wait * float64(time.Second)), Share: share}
}

// shareOf returns the part of the rate of an instance with the given own demand.
func shareOf(a opconfig.Account, own float64, others Others) float64 {
	instances := float64(max(others.Instances, 1))
	idle := idleShare * a.Rate
	return (own + idle/instances) / (own + others.Demand + idle)
}

// observe adds a request to the demand, an average with exponential decay. The own demand
// counts with the delay of the others' reports: when traffic grows everywhere at once, the
// shares would add up to more than the rate if each instance compared its present demand
// with what the others had before.
func (r *shareRow) observe(now time.Time, cost float64, delay time.Duration) {
	before := r.demand(now)
	kept := 0.0
	if delay > 0 {
		kept = math.Exp(-max(now.Sub(r.demandAt), 0).Seconds() / delay.Seconds())
	}
	r.average = before + cost/demandSpan.Seconds()
	r.demandAt = now
	r.lagged = kept*r.lagged + (1-kept)*r.average
}

func (r *shareRow) demand(now time.Time) float64 {
	age := max(now.Sub(r.demandAt), 0)
	return r.average * math.Exp(-age.Seconds()/demandSpan.Seconds())
}

func (r *shareRow) fill(now time.Time, rate, capacity float64) {
	elapsed := max(now.Sub(r.at), 0)
	r.level = math.Min(capacity, r.level+rate*elapsed.Seconds())
	r.at = now
}

// Demands returns the demand of this instance by client account, to tell its peers.
func (s *Shares) Demands(now time.Time) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	demands := make(map[string]float64, len(s.rows))
	for name, row := range s.rows {
		if now.Sub(row.demandAt) > forgetAfter {
			continue
		}
		demands[name] = row.demand(now)
	}
	return demands
}
