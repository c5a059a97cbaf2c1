package standin

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"heatherloom/internal/promptprefix"
)

func fastParams() SimulationParams {
	p := DefaultSimulationParams()
	p.TimeScale = 50
	p.CacheEventLossRate = 0
	return p
}

func testPrompt(seed byte, blocks int) promptprefix.Prompt {
	content := make([]byte, blocks*promptprefix.BlockBytes)
	for i := range content {
		content[i] = seed + byte(i/promptprefix.BlockBytes)
	}
	return promptprefix.HashContent("lantern@1", content)
}

func awaitResponse(t *testing.T, s *sequence) {
	t.Helper()
	for range cap(s.tokens) {
		select {
		case <-s.tokens:
		case <-time.After(5 * time.Second):
			t.Fatal("the batch delivered no token within 5 s")
		}
	}
}

// Guards against a simulation that recomputes cached prompts, exceeds its cache capacity, or
// evicts the beginning of a prompt before its end.
func TestModelCachesPrefixes(t *testing.T) {
	g := NewWithT(t)
	p := fastParams()
	p.CacheTokens = 20 * promptprefix.BlockTokens
	b := newBatch(p)
	defer b.stop()
	prompt := testPrompt(1, 16)
	awaitResponse(t, b.submit(context.Background(), 0, prompt, 2))
	g.Expect(b.currentTotals().PrefillTokens).To(Equal(int64(prompt.Tokens)))
	awaitResponse(t, b.submit(context.Background(), 0, prompt, 2))
	g.Expect(b.currentTotals().PrefillTokens).To(BeNumerically("<", prompt.Tokens+promptprefix.BlockTokens))
	other := testPrompt(100, 8)
	awaitResponse(t, b.submit(context.Background(), 0, other, 2))
	b.mu.Lock()
	defer b.mu.Unlock()
	g.Expect(b.cache.blocks).To(HaveLen(20))
	g.Expect(b.cache.match(prompt.Hashes)).To(Equal(12))
}

// Guards against steps whose duration does not follow the parameters, and against canceled
// requests that stay in the batch.
func TestModelTimesAndCancel(t *testing.T) {
	g := NewWithT(t)
	b := newBatch(fastParams())
	defer b.stop()
	ctx, cancel := context.WithCancel(context.Background())
	canceled := b.submit(ctx, 0, testPrompt(9, 100), 1000)
	cancel()
	awaitResponse(t, b.submit(context.Background(), 0, testPrompt(1, 2), 3))
	g.Expect(canceled.remaining).To(BeNumerically(">", 0))
	p := b.params
	tokens := testPrompt(1, 2).Tokens
	least := 4*p.StepOverhead + time.Duration(tokens)*p.PrefillTimePerToken
	g.Expect(b.currentTotals().Busy).To(BeNumerically(">=", least))
	g.Expect(b.currentTotals().Busy).To(BeNumerically("<=", least+3*(p.StepOverhead+512*p.PrefillTimePerToken)))
}

// Guards against ignored priorities: a waiting request with a lower number starts first.
func TestModelPriorities(t *testing.T) {
	g := NewWithT(t)
	p := fastParams()
	p.MaxRunning = 1
	b := newBatch(p)
	defer b.stop()
	first := b.submit(context.Background(), 0, testPrompt(1, 30), 1)
	late := b.submit(context.Background(), 5, testPrompt(2, 30), 1)
	early := b.submit(context.Background(), 1, testPrompt(3, 30), 1)
	awaitResponse(t, first)
	awaitResponse(t, early)
	g.Expect(late.tokens).To(BeEmpty())
	awaitResponse(t, late)
}

// Guards against load reports and cache events without their configured lag.
func TestModelReportsLate(t *testing.T) {
	g := NewWithT(t)
	p := fastParams()
	p.LoadReportLag = 10 * time.Second
	b := newBatch(p)
	defer b.stop()
	awaitResponse(t, b.submit(context.Background(), 0, testPrompt(1, 2), 1))
	now := time.Now()
	g.Expect(b.load(now).running).To(BeZero())
	b.mu.Lock()
	defer b.mu.Unlock()
	g.Expect(b.events.after(0, now.Add(-time.Second))).To(BeEmpty())
	g.Expect(b.events.after(0, now)).To(HaveLen(1))
}
