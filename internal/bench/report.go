package bench

import (
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherloom/internal/errkind"
	"heatherloom/internal/standin"
)

// Latencies are recorded in microseconds of model time with three digits.
const (
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	histogramSize = 3
)

// minAccountSamples is the least number of first tokens for which an account's p99 is
// compared.
const minAccountSamples = 30

// noisyLateMillis is the lateness of the bench itself, in model time, from which its
// latencies say more about the machine than about the policy. It is a tenth of the
// floor of the p99 of the time to first token.
const noisyLateMillis = 50

// Result is what one policy made of the load. Times are model time.
type Result struct {
	Policy   string
	Requests int
	Totals   standin.ModelTotals
	// FirstToken and BetweenTokens are in microseconds.
	FirstToken, BetweenTokens *hdrhistogram.Histogram
	// Accounts holds the time to first token of each client account.
	Accounts []*hdrhistogram.Histogram
	SentAway int64
	// LinkBytes is what all links between regions carried, heartbeats included.
	LinkBytes int64
	Outcomes  map[string]int
	// Wrongful are the refusals for a rate that the client account did not exceed.
	Wrongful int
	// LateSend is how late the bench itself sent, at p99.
	LateSend *hdrhistogram.Histogram
	samples  []sample
}

// Report holds the results of all policies of a plan.
type Report struct {
	Plan Plan
	// Floor is the time to first token without queues and with ideal caches.
	Floor   *hdrhistogram.Histogram
	Results []Result
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestMicros, histogramSize) }

func summarize(p Plan, c *cluster, samples []sample, warm traffic) Result {
	sent := c.traffic()
	r := Result{
		Requests: len(samples), Totals: c.totals(), SentAway: sent.forwarded - warm.forwarded, LinkBytes: sent.linkBytes - warm.linkBytes,
		FirstToken: newHistogram(), BetweenTokens: newHistogram(), LateSend: newHistogram(),
		Outcomes: map[string]int{}, samples: samples,
	}
	for range p.Profile.Accounts {
		r.Accounts = append(r.Accounts, newHistogram())
	}
	for i := range samples {
		r.add(p, &samples[i])
	}
	r.Wrongful = wrongfulRefusals(p, samples)
	return r
}

func (r *Result) add(p Plan, s *sample) {
	micros := func(d time.Duration) int64 {
		return min(max(int64(float64(d.Microseconds())*p.Model.TimeScale), 1), highestMicros)
	}
	r.Outcomes[s.outcome]++
	_ = r.LateSend.RecordValue(micros(s.sent - s.arrival.at))
	if s.arrival.answer == 0 || s.refused {
		return
	}
	// A request without a first token counts with the time that its caller waited.
	first := s.first
	if first == 0 {
		first = s.end
	}
	_ = r.FirstToken.RecordValue(micros(first))
	_ = r.Accounts[s.arrival.account].RecordValue(micros(first))
	for _, gap := range s.gaps {
		_ = r.BetweenTokens.RecordValue(micros(gap))
	}
}

// bucket is the exact token bucket of an account over the whole deployment.
type bucket struct {
	rate, burst, tokens float64
	last                time.Duration
}

func (b *bucket) refill(at time.Duration) {
	b.tokens = math.Min(b.tokens+(at-b.last).Seconds()*b.rate, b.burst)
	b.last = at
}

// wrongfulRefusals replays the requests of each account in the order in which they were
// sent. A refusal is wrongful if the exact bucket had a token for the request; it takes
// that token, as admitted requests do, so that one token makes one refusal wrongful. The
// bucket starts empty, as those of the entry instances do.
func wrongfulRefusals(p Plan, samples []sample) int {
	ordered := slices.Clone(samples)
	slices.SortFunc(ordered, func(a, b sample) int { return int(a.sent - b.sent) })
	buckets := make([]bucket, len(p.Profile.Accounts))
	for i := range buckets {
		buckets[i].rate, buckets[i].burst = p.limits(i)
	}
	wrongful := 0
	for i := range ordered {
		b := &buckets[ordered[i].arrival.account]
		b.refill(ordered[i].sent)
		refused := ordered[i].outcome == string(errkind.RateLimited)
		if refused && b.tokens < 1 {
			continue
		}
		b.tokens--
		if refused {
			wrongful++
		}
	}
	return wrongful
}

// WorstAccount returns the highest p99 of the time to first token over the client
// accounts, in milliseconds.
func (r *Result) WorstAccount() float64 {
	worst := 0.0
	for _, h := range r.Accounts {
		if h.TotalCount() >= minAccountSamples {
			worst = math.Max(worst, millis(h, 99))
		}
	}
	return worst
}

func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

// metric is one figure of a result that policies are compared by.
type metric struct {
	name  string
	value func(*Result) float64
}

// metrics are the figures of the report; times are in milliseconds of model time.
var metrics = []metric{
	{"prefill_tokens", func(r *Result) float64 { return float64(r.Totals.PrefillTokens) }},
	{"cached_tokens", func(r *Result) float64 { return float64(r.Totals.CachedTokens) }},
	{"accelerator_seconds", func(r *Result) float64 { return r.Totals.Busy.Seconds() }},
	{"ttft_p50", func(r *Result) float64 { return millis(r.FirstToken, 50) }},
	{"ttft_p95", func(r *Result) float64 { return millis(r.FirstToken, 95) }},
	{"ttft_p99", func(r *Result) float64 { return millis(r.FirstToken, 99) }},
	{"ttft_p999", func(r *Result) float64 { return millis(r.FirstToken, 99.9) }},
	{"itl_p50", func(r *Result) float64 { return millis(r.BetweenTokens, 50) }},
	{"itl_p95", func(r *Result) float64 { return millis(r.BetweenTokens, 95) }},
	{"itl_p99", func(r *Result) float64 { return millis(r.BetweenTokens, 99) }},
	{"itl_p999", func(r *Result) float64 { return millis(r.BetweenTokens, 99.9) }},
	{"worst_account_ttft_p99", (*Result).WorstAccount},
	{"sent_away", func(r *Result) float64 { return float64(r.SentAway) / float64(max(r.Requests, 1)) }},
	{"link_bytes", func(r *Result) float64 { return float64(r.LinkBytes) }},
	{"late_send_p99", func(r *Result) float64 { return millis(r.LateSend, 99) }},
}

// ratio divides two figures; two zeros are equal.
func ratio(a, b float64) float64 {
	if a == b {
		return 1
	}
	return a / b
}

// WriteText writes the report as lines of key=value.
func (r Report) WriteText(w io.Writer) error {
	p := r.Plan
	if _, err := fmt.Fprintf(w, "plan profile=%s seed=%d duration=%s rate=%.1f time_scale=%g greedy=%g fault=%s\n",
		p.Profile.Name, p.Seed, p.Duration, p.rate(), p.Model.TimeScale, p.Greedy, p.Fault); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "floor ttft_p50=%.6g ttft_p95=%.6g ttft_p99=%.6g\n",
		millis(r.Floor, 50), millis(r.Floor, 95), millis(r.Floor, 99)); err != nil {
		return err
	}
	for i := range r.Results {
		if err := r.Results[i].writeText(w); err != nil {
			return err
		}
	}
	return r.writeRatios(w)
}

func (r *Result) writeText(w io.Writer) error {
	for _, m := range metrics {
		if _, err := fmt.Fprintf(w, "value metric=%s policy=%s value=%.6g\n", m.name, r.Policy, m.value(r)); err != nil {
			return err
		}
	}
	if late := millis(r.LateSend, 99); late > noisyLateMillis {
		if _, err := fmt.Fprintf(w, "note policy=%s the machine was busy: requests were sent %.0f ms late at p99, and latencies are not reliable\n", r.Policy, late); err != nil {
			return err
		}
	}
	counts := map[string]int{"requests": r.Requests, "wrongful_refusals": r.Wrongful, outcomeIncomplete: 0, outcomeWrong: 0}
	for outcome, n := range r.Outcomes {
		counts[outcome] = n
	}
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if _, err := fmt.Fprintf(w, "count metric=%s policy=%s value=%d\n", name, r.Policy, counts[name]); err != nil {
			return err
		}
	}
	return nil
}

// best returns the lowest figure of the baselines, which are all results but the first.
func (r Report) best(m metric) float64 {
	lowest := m.value(&r.Results[1])
	for i := range r.Results[1:] {
		lowest = math.Min(lowest, m.value(&r.Results[i+1]))
	}
	return lowest
}

// writeRatios divides the figures of the first policy by those of the baseline. Of
// several baselines, the one with the lowest figure counts for each metric.
func (r Report) writeRatios(w io.Writer) error {
	if len(r.Results) < 2 {
		return nil
	}
	for _, m := range metrics {
		value := ratio(m.value(&r.Results[0]), r.best(m))
		if _, err := fmt.Fprintf(w, "ratio metric=%s value=%.4g\n", m.name, value); err != nil {
			return err
		}
	}
	return nil
}
