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

// ModelParams are the parameters of the engine model. Times are model time, which runs
// TimeScale times as fast as the clock. docs/bench.md says where the figures come from.
type ModelParams struct {
	// Model is the model@version that the engine serves.
	Model string
	// TimeScale is the number of model seconds in a second.
	TimeScale float64
	// StepTokens is the number of tokens that one step of the batch can compute.
	StepTokens int
	// StepBase is the time of a step without work, PrefillToken the time that each
	// prompt token adds and DecodeToken the time that each running answer adds.
	StepBase     time.Duration
	PrefillToken time.Duration
	DecodeToken  time.Duration
	// MaxRunning bounds the requests of a batch; the others wait.
	MaxRunning int
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// LoadLag is the age of the figures of a load report.
	LoadLag time.Duration
	// EventLag is the delay of cache events, and EventLoss the part that is lost.
	EventLag  time.Duration
	EventLoss float64
	// Seed determines which events are lost.
	Seed uint64
}

// DefaultModelParams returns the parameters of docs/bench.md at normal speed.
func DefaultModelParams() ModelParams {
	return ModelParams{
		TimeScale:    1,
		StepTokens:   512,
		StepBase:     6 * time.Millisecond,
		PrefillToken: 45 * time.Microsecond,
		DecodeToken:  50 * time.Microsecond,
		MaxRunning:   64,
		CacheTokens:  128 << 10,
		LoadLag:      time.Second,
		EventLag:     time.Second,
		EventLoss:    0.01,
	}
}

// ModelTotals are the sums of an engine since its start.
type ModelTotals struct {
	// PrefillTokens are the prompt tokens computed, and CachedTokens those found in the cache.
	PrefillTokens int64
	CachedTokens  int64
	DecodeTokens  int64
	// Busy is the model time of all steps.
	Busy time.Duration
}

// sequence is one request in the model.
type sequence struct {
	ctx      context.Context
	priority int
	arrival  int64
	prompt   promptprefix.Prompt
	// computed are the prompt tokens done or cached.
	computed int
	// left are the tokens still to decode.
	left int
	// tokens receives a value for each token of the answer.
	tokens chan struct{}
}

func (s *sequence) prefilled() bool { return s.computed >= s.prompt.Tokens }

// sequenceQueue orders waiting requests by priority, lower first, and arrival.
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

// batch is the continuous batching of an engine.
type batch struct {
	params ModelParams
	wake   chan struct{}
	done   chan struct{}

	mu       sync.Mutex
	waiting  sequenceQueue
	running  []*sequence
	cache    *prefixCache
	arrivals int64
	totals   ModelTotals
	reports  []loadReport
	events   eventLog
}

// loadReport is the load at one time.
type loadReport struct {
	at      time.Time
	running int
	waiting int
}

// maxReports bounds the reports kept; a report older than LoadLag is kept as well.
const maxReports = 1024

func newBatch(p ModelParams) *batch {
	b := &batch{
		params: p,
		wake:   make(chan struct{}, 1),
		done:   make(chan struct{}),
		cache:  newPrefixCache(p.CacheTokens / promptprefix.BlockTokens),
	}
	b.events.rng = rand.New(rand.NewPCG(p.Seed, 1))
	b.events.loss = p.EventLoss
	go b.run()
	return b
}

func (b *batch) stop() { close(b.done) }

// scaled converts model time to clock time.
func (b *batch) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / b.params.TimeScale)
}

// submit adds a request that answers with so many tokens.
func (b *batch) submit(ctx context.Context, priority int, prompt promptprefix.Prompt, answer int) *sequence {
	s := &sequence{ctx: ctx, priority: priority, prompt: prompt, left: answer, tokens: make(chan struct{}, answer)}
	b.mu.Lock()
	b.arrivals++
	s.arrival = b.arrivals
	heap.Push(&b.waiting, s)
	b.report()
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return s
}

// run makes steps while there is work. The end of a step is computed from the end of
// the one before it, so that late timers do not slow the model down.
func (b *batch) run() {
	clock := time.Now()
	for {
		cost := b.startStep()
		if cost == 0 {
			select {
			case <-b.wake:
				clock = time.Now()
				continue
			case <-b.done:
				return
			}
		}
		clock = clock.Add(b.scaled(cost))
		select {
		case <-time.After(time.Until(clock)):
		case <-b.done:
			return
		}
		b.endStep()
	}
}

// startStep plans the next step and returns its model time; 0 if there is no work.
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
	budget := max(b.params.StepTokens-decodes, 0)
	prefill := 0
	for _, s := range b.running {
		part := min(s.prompt.Tokens-s.computed, budget-prefill)
		if part > 0 {
			s.computed += part
			prefill += part
		}
	}
	cost := b.params.StepBase + time.Duration(prefill)*b.params.PrefillToken + time.Duration(decodes)*b.params.DecodeToken
	b.totals.PrefillTokens += int64(prefill)
	b.totals.DecodeTokens += int64(decodes)
	b.totals.Busy += cost
	return cost
}

func (b *batch) dropCanceled() {
	gone := func(s *sequence) bool { return s.ctx.Err() != nil }
	b.running = slices.DeleteFunc(b.running, gone)
	if slices.ContainsFunc(b.waiting, gone) {
		b.waiting = slices.DeleteFunc(b.waiting, gone)
		heap.Init(&b.waiting)
	}
}

// admit moves requests into the batch while there is room and prompt work fits the
// next step. The last token of a prompt is always computed.
func (b *batch) admit() {
	unfinished := 0
	for _, s := range b.running {
		unfinished += s.prompt.Tokens - s.computed
	}
	for len(b.waiting) > 0 && len(b.running) < b.params.MaxRunning && unfinished < b.params.StepTokens {
		s := heap.Pop(&b.waiting).(*sequence)
		cached := min(b.cache.match(s.prompt.Hashes)*promptprefix.BlockTokens, s.prompt.Tokens-1)
		s.computed = max(cached, 0)
		b.totals.CachedTokens += int64(s.computed)
		unfinished += s.prompt.Tokens - s.computed
		b.running = append(b.running, s)
	}
	b.report()
}

// endStep delivers the tokens of the step. A prompt enters the cache when it is whole.
func (b *batch) endStep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.running {
		if !s.prefilled() {
			continue
		}
		if len(s.prompt.Hashes) > 0 && s.left == cap(s.tokens) {
			stored, removed := b.cache.insert(s.prompt.Hashes)
			b.events.add(time.Now(), stored, removed)
		}
		s.left--
		s.tokens <- struct{}{}
	}
	b.running = slices.DeleteFunc(b.running, func(s *sequence) bool { return s.left <= 0 })
	b.report()
}

// report records the load; the caller holds the lock.
func (b *batch) report() {
	b.reports = append(b.reports, loadReport{at: time.Now(), running: len(b.running), waiting: len(b.waiting)})
	if len(b.reports) > 2*maxReports {
		b.reports = slices.Delete(b.reports, 0, maxReports)
	}
}

// load returns the load as it was LoadLag ago.
func (b *batch) load(now time.Time) loadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	visible := now.Add(-b.scaled(b.params.LoadLag))
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

func (b *batch) sums() ModelTotals {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totals
}
