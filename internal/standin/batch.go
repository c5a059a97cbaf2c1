package standin

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"heatherloom/internal/promptprefix"
)

// SimulationParams are the parameters of the engine simulation. Times are in model time, which
// runs TimeScale times as fast as the wall clock. docs/bench.md gives the sources of the
// values.
type SimulationParams struct {
	// Model is the model@version that the engine serves.
	Model string
	// TimeScale is the number of model seconds per wall clock second.
	TimeScale float64
	// MaxBatchedTokens is the token budget of one batch step.
	MaxBatchedTokens int
	// StepOverhead is the fixed time of a step, PrefillTimePerToken the time added by each
	// prompt token and DecodeTimePerToken the time added by each decoding request.
	StepOverhead        time.Duration
	PrefillTimePerToken time.Duration
	DecodeTimePerToken  time.Duration
	// MaxRunning is the maximum number of requests in the batch; others wait.
	MaxRunning int
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
	// LoadReportLag is the delay of the load report.
	LoadReportLag time.Duration
	// CacheEventLag is the delay of cache events, and CacheEventLossRate the fraction of
	// them that is lost.
	CacheEventLag      time.Duration
	CacheEventLossRate float64
	// Seed determines which events are lost.
	Seed uint64
}

// DefaultSimulationParams returns the parameters of docs/bench.md with a time scale of 1.
func DefaultSimulationParams() SimulationParams {
	return SimulationParams{
		TimeScale:           1,
		MaxBatchedTokens:    512,
		StepOverhead:        6 * time.Millisecond,
		PrefillTimePerToken: 45 * time.Microsecond,
		DecodeTimePerToken:  50 * time.Microsecond,
		MaxRunning:          64,
		CacheTokens:         128 << 10,
		LoadReportLag:       time.Second,
		CacheEventLag:       time.Second,
		CacheEventLossRate:  0.01,
	}
}

// SimulationTotals are the cumulative counters of an engine since its start.
type SimulationTotals struct {
	// PrefillTokens are the computed prompt tokens, and CachedTokens those served from the
	// cache.
	PrefillTokens int64
	CachedTokens  int64
	DecodeTokens  int64
	// Busy is the total model time of all steps.
	Busy time.Duration
}

// sequence is one request in the simulated engine.
type sequence struct {
	ctx      context.Context
	priority int
	arrival  int64
	prompt   promptprefix.Prompt
	// computed is the number of prompt tokens that are computed or cached.
	computed int
	// remaining is the number of tokens still to decode.
	remaining int
	// tokens receives a value for each decoded token.
	tokens chan struct{}
}

func (s *sequence) prefilled() bool { return s.computed >= s.prompt.Tokens }

// sequenceQueue is a heap of waiting requests, ordered by priority, lower first, and then
// by arrival.
type sequenceQueue []*sequence

func (q sequenceQueue) Len() int { return len(q) }
func (q sequenceQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}
func (q sequenceQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *sequenceQueue) Push(x any)   { *q = append(*q, x.(*sequence)) }
func (q *sequenceQueue) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	*q = (*q)[:last]
	return s
}

// batch simulates the continuous batching of an engine.
type batch struct {
	params SimulationParams
	wake   chan struct{}
	done   chan struct{}

	mu       sync.Mutex
	waiting  sequenceQueue
	running  []*sequence
	cache    *prefixCache
	arrivals int64
	totals   SimulationTotals
	reports  []loadReport
	events   eventLog
}

// loadReport is the load at a point in time.
type loadReport struct {
	at      time.Time
	running int
	waiting int
}

// maxReports is the minimum number of reports kept when older ones are dropped.
const maxReports = 1024

func newBatch(p SimulationParams) *batch {
	b := &batch{
		params: p,
		wake:   make(chan struct{}, 1),
		done:   make(chan struct{}),
		cache:  newPrefixCache(p.CacheTokens / promptprefix.BlockTokens),
	}
	b.events.rng = rand.New(rand.NewPCG(p.Seed, 1))
	b.events.loss = p.CacheEventLossRate
	go b.run()
	return b
}

func (b *batch) stop() { close(b.done) }

// scaled converts model time to wall clock time.
func (b *batch) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / b.params.TimeScale)
}

// submit queues a request whose response has the given number of tokens.
func (b *batch) submit(ctx context.Context, priority int, prompt promptprefix.Prompt, maxTokens int) *sequence {
	s := &sequence{ctx: ctx, priority: priority, prompt: prompt, remaining: maxTokens, tokens: make(chan struct{}, maxTokens)}
	b.mu.Lock()
	b.arrivals++
	s.arrival = b.arrivals
	heap.Push(&b.waiting, s)
	b.recordLoad()
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return s
}

// run executes steps while there is work. The end of a step is computed from the end of
// the previous one, so that late timers do not slow the simulation down.
func (b *batch) run() {
	stepEnd := time.Now()
	for {
		cost := b.startStep()
		if cost == 0 {
			select {
			case <-b.wake:
				stepEnd = time.Now()
				continue
			case <-b.done:
				return
			}
		}
		stepEnd = stepEnd.Add(b.scaled(cost))
		select {
		case <-time.After(time.Until(stepEnd)):
		case <-b.done:
			return
		}
		b.endStep()
	}
}

// startStep plans the next step and returns its duration in model time; 0 if there is no
// work.
func (b *batch) startStep() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropCanceled()
	b.admit()
	if len(b.running) == 0 {
		return 0
	}
	decodes := 0
	for _, s := range b.running {
		if s.prefilled() {
			decodes++
		}
	}
	budget := max(b.params.MaxBatchedTokens-decodes, 0)
	prefill := 0
	for _, s := range b.running {
		chunk := min(s.prompt.Tokens-s.computed, budget-prefill)
		if chunk > 0 {
			s.computed += chunk
			prefill += chunk
		}
	}
	cost := b.params.StepOverhead + time.Duration(prefill)*b.params.PrefillTimePerToken + time.Duration(decodes)*b.params.DecodeTimePerToken
	b.totals.PrefillTokens += int64(prefill)
	b.totals.DecodeTokens += int64(decodes)
	b.totals.Busy += cost
	return cost
}

func (b *batch) dropCanceled() {
	canceled := func(s *sequence) bool { return s.ctx.Err() != nil }
	b.running = slices.DeleteFunc(b.running, canceled)
	if slices.ContainsFunc(b.waiting, canceled) {
		b.waiting = slices.DeleteFunc(b.waiting, canceled)
		heap.Init(&b.waiting)
	}
}

// admit moves waiting requests into the batch while it has room and the next step has
// token budget for their prompts. The last token of a prompt is always computed.
func (b *batch) admit() {
	pendingPrefill := 0
	for _, s := range b.running {
		pendingPrefill += s.prompt.Tokens - s.computed
	}
	for len(b.waiting) > 0 && len(b.running) < b.params.MaxRunning && pendingPrefill < b.params.MaxBatchedTokens {
		s := heap.Pop(&b.waiting).(*sequence)
		cached := min(b.cache.match(s.prompt.Hashes)*promptprefix.BlockTokens, s.prompt.Tokens-1)
		s.computed = max(cached, 0)
		b.totals.CachedTokens += int64(s.computed)
		pendingPrefill += s.prompt.Tokens - s.computed
		b.running = append(b.running, s)
	}
	b.recordLoad()
}

// endStep delivers the tokens of the step. A prompt is cached when its prefill is complete.
func (b *batch) endStep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.running {
		if !s.prefilled() {
			continue
		}
		if len(s.prompt.Hashes) > 0 && s.remaining == cap(s.tokens) {
			stored, removed := b.cache.insert(s.prompt.Hashes)
			b.events.add(time.Now(), stored, removed)
		}
		s.remaining--
		s.tokens <- struct{}{}
	}
	b.running = slices.DeleteFunc(b.running, func(s *sequence) bool { return s.remaining <= 0 })
	b.recordLoad()
}

// recordLoad records the current load. The caller holds the lock.
func (b *batch) recordLoad() {
	b.reports = append(b.reports, loadReport{at: time.Now(), running: len(b.running), waiting: len(b.waiting)})
	if len(b.reports) > 2*maxReports {
		b.reports = slices.Delete(b.reports, 0, maxReports)
	}
}

// load returns the load as it was LoadReportLag before now.
func (b *batch) load(now time.Time) loadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	visible := now.Add(-b.scaled(b.params.LoadReportLag))
	for i := len(b.reports) - 1; i >= 0; i-- {
		if !b.reports[i].at.After(visible) {
			return b.reports[i]
		}
	}
	return loadReport{}
}

func (b *batch) clearCache() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events.add(time.Now(), nil, b.cache.clear())
}

func (b *batch) currentTotals() SimulationTotals {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totals
}
