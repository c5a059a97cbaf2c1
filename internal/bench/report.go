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

// Latencies are recorded in microseconds of model time with three significant digits.
const (
	maxMicros       = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// minAccountSamples is the minimum number of TTFT samples for which the p99 of an account
// is compared.
const minAccountSamples = 30

// maxSendDelayMillis is the p99 send delay of the bench itself, in model time, above which
// the latencies reflect the load of the machine rather than the policy. It is a tenth of
// the lower bound of the p99 of the time to first token.
const maxSendDelayMillis = 50

// Result is the result of one policy. Times are in model time.
type Result struct {
	Policy   string
	Requests int
	Totals   standin.SimulationTotals
	// TTFT and InterTokenLatency are in microseconds.
	TTFT, InterTokenLatency *hdrhistogram.Histogram
	// Accounts holds the time to first token of each client account.
	Accounts []*hdrhistogram.Histogram
	// Forwarded is the number of requests forwarded to another region.
	Forwarded int64
	// LinkBytes is the number of bytes on all links between regions, heartbeats included.
	LinkBytes int64
	Outcomes  map[string]int
	// WrongfulRejections is the number of rejections for a rate limit that the client
	// account did not exceed.
	WrongfulRejections int
	// SendDelay is the delay between the planned and the actual send time of the bench.
	SendDelay *hdrhistogram.Histogram
	samples   []sample
}

// Report holds the results of all policies of a plan.
type Report struct {
	Plan Plan
	// MinTTFT is the lower bound of the time to first token, without queues and with ideal
	// caches.
	MinTTFT *hdrhistogram.Histogram
	Results []Result
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, histogramDigits) }

func summarize(p Plan, c *cluster, samples []sample, warmUp traffic) Result {
	sent := c.traffic()
	r := Result{
		Requests: len(samples), Totals: c.totals(), Forwarded: sent.forwarded - warmUp.forwarded, LinkBytes: sent.linkBytes - warmUp.linkBytes,
		TTFT: newHistogram(), InterTokenLatency: newHistogram(), SendDelay: newHistogram(),
		Outcomes: map[string]int{}, samples: samples,
	}
	for range p.Profile.Accounts {
		r.Accounts = append(r.Accounts, newHistogram())
	}
	for i := range samples {
		r.add(p, &samples[i])
	}
	r.WrongfulRejections = wrongfulRejections(p, samples)
	return r
}

func (r *Result) add(p Plan, s *sample) {
	micros := func(d time.Duration) int64 {
		return min(max(int64(float64(d.Microseconds())*p.Simulation.TimeScale), 1), maxMicros)
	}
	r.Outcomes[s.outcome]++
	_ = r.SendDelay.RecordValue(micros(s.sent - s.arrival.at))
	if s.arrival.answerTokens == 0 || s.rejected {
		return
	}
	// A request without a first token counts with its whole latency.
	ttft := s.ttft
	if ttft == 0 {
		ttft = s.latency
	}
	_ = r.TTFT.RecordValue(micros(ttft))
	_ = r.Accounts[s.arrival.account].RecordValue(micros(ttft))
	for _, gap := range s.tokenGaps {
		_ = r.InterTokenLatency.RecordValue(micros(gap))
	}
}

// tokenBucket is the exact token bucket of an account over the whole deployment.
type tokenBucket struct {
	rate, burst, tokens float64
	last                time.Duration
}

func (b *tokenBucket) refill(at time.Duration) {
	b.tokens = math.Min(b.tokens+(at-b.last).Seconds()*b.rate, b.burst)
	b.last = at
}

// wrongfulRejections replays the requests of each account in the order in which they were
// sent. A rejection is wrongful if the exact bucket had a token for the request; it consumes
// that token, as an admitted request does, so that each token makes at most one rejection
// wrongful. The bucket starts empty, as those of the entry instances do.
func wrongfulRejections(p Plan, samples []sample) int {
	ordered := slices.Clone(samples)
	slices.SortFunc(ordered, func(a, b sample) int { return int(a.sent - b.sent) })
	buckets := make([]tokenBucket, len(p.Profile.Accounts))
	for i := range buckets {
		buckets[i].rate, buckets[i].burst = p.limits(i)
	}
	wrongful := 0
	for i := range ordered {
		b := &buckets[ordered[i].arrival.account]
		b.refill(ordered[i].sent)
		rejected := ordered[i].outcome == string(errkind.RateLimited)
		if rejected && b.tokens < 1 {
			continue
		}
		b.tokens--
		if rejected {
			wrongful++
		}
	}
	return wrongful
}

// WorstAccountTTFT returns the highest p99 of the time to first token over the client
// accounts, in milliseconds.
func (r *Result) WorstAccountTTFT() float64 {
	worst := 0.0
	for _, h := range r.Accounts {
		if h.TotalCount() >= minAccountSamples {
			worst = math.Max(worst, percentileMillis(h, 99))
		}
	}
	return worst
}

func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

// metric is one metric by which policies are compared.
type metric struct {
	name  string
	value func(*Result) float64
}

// metrics are the metrics of the report; times are in milliseconds of model time.
var metrics = []metric{
	{"prefill_tokens", func(r *Result) float64 { return float64(r.Totals.PrefillTokens) }},
	{"cached_tokens", func(r *Result) float64 { return float64(r.Totals.CachedTokens) }},
	{"accelerator_seconds", func(r *Result) float64 { return r.Totals.Busy.Seconds() }},
	{"ttft_p50", func(r *Result) float64 { return percentileMillis(r.TTFT, 50) }},
	{"ttft_p95", func(r *Result) float64 { return percentileMillis(r.TTFT, 95) }},
	{"ttft_p99", func(r *Result) float64 { return percentileMillis(r.TTFT, 99) }},
	{"ttft_p999", func(r *Result) float64 { return percentileMillis(r.TTFT, 99.9) }},
	{"itl_p50", func(r *Result) float64 { return percentileMillis(r.InterTokenLatency, 50) }},
	{"itl_p95", func(r *Result) float64 { return percentileMillis(r.InterTokenLatency, 95) }},
	{"itl_p99", func(r *Result) float64 { return percentileMillis(r.InterTokenLatency, 99) }},
	{"itl_p999", func(r *Result) float64 { return percentileMillis(r.InterTokenLatency, 99.9) }},
	{"worst_account_ttft_p99", (*Result).WorstAccountTTFT},
	{"sent_away", func(r *Result) float64 { return float64(r.Forwarded) / float64(max(r.Requests, 1)) }},
	{"link_bytes", func(r *Result) float64 { return float64(r.LinkBytes) }},
	{"late_send_p99", func(r *Result) float64 { return percentileMillis(r.SendDelay, 99) }},
}

// ratio returns a/b, or 1 if both are equal, zeros included.
func ratio(a, b float64) float64 {
	if a == b {
		return 1
	}
	return a / b
}

// WriteText writes the report as lines of key=value pairs.
func (r Report) WriteText(w io.Writer) error {
	p := r.Plan
	if _, err := fmt.Fprintf(w, "plan profile=%s seed=%d duration=%s rate=%.1f time_scale=%g greedy=%g fault=%s\n",
		p.Profile.Name, p.Seed, p.Duration, p.rate(), p.Simulation.TimeScale, p.GreedyFactor, p.Fault); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "floor ttft_p50=%.6g ttft_p95=%.6g ttft_p99=%.6g\n",
		percentileMillis(r.MinTTFT, 50), percentileMillis(r.MinTTFT, 95), percentileMillis(r.MinTTFT, 99)); err != nil {
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
	if late := percentileMillis(r.SendDelay, 99); late > maxSendDelayMillis {
		if _, err := fmt.Fprintf(w, "note policy=%s the machine was overloaded: requests were sent %.0f ms late at p99, and latencies are not reliable\n", r.Policy, late); err != nil {
			return err
		}
	}
	counts := map[string]int{"requests": r.Requests, "wrongful_refusals": r.WrongfulRejections, outcomeIncomplete: 0, outcomeWrong: 0}
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

// bestBaseline returns the lowest value of a metric over the baselines, which are all
// results except the first.
func (r Report) bestBaseline(m metric) float64 {
	lowest := m.value(&r.Results[1])
	for i := range r.Results[1:] {
		lowest = math.Min(lowest, m.value(&r.Results[i+1]))
	}
	return lowest
}

// writeRatios writes the ratio of each metric between the first policy and the baseline. Of
// several baselines, the one with the lowest value of the metric is used.
func (r Report) writeRatios(w io.Writer) error {
	if len(r.Results) < 2 {
		return nil
	}
	for _, m := range metrics {
		value := ratio(m.value(&r.Results[0]), r.bestBaseline(m))
		if _, err := fmt.Fprintf(w, "ratio metric=%s value=%.4g\n", m.name, value); err != nil {
			return err
		}
	}
	return nil
}
