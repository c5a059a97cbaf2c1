package standin

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"heatherloom/internal/promptprefix"
)

func fastModel() ModelParams {
	p := DefaultModelParams()
	p.TimeScale = 50
	p.EventLoss = 0
	return p
}

func promptText(seed byte, blocks int) promptprefix.Prompt {
	content := make([]byte, blocks*promptprefix.BlockBytes)
	for i := range content {
		content[i] = seed + byte(i/promptprefix.BlockBytes)
	}
	return promptprefix.HashContent("lantern@1", content)
}

func wholeAnswer(t *testing.T, s *sequence) {
	t.Helper()
	for range cap(s.tokens) {
		select {
		case <-s.tokens:
		case <-time.After(5 * time.Second):
			t.Fatal("the model sent no token within 5 s")
		}
	}
}

// Guards against a model that computes cached prompts again, keeps more than its cache
// holds, or drops the beginning of a prompt before its end.
func TestModelCachesPrefixes(t *testing.T) {
	g := NewWithT(t)
	p := fastModel()
	p.CacheTokens = 20 * promptprefix.BlockTokens
	b := newBatch(p)
	defer b.stop()
	prompt := promptText(1, 16)
	wholeAnswer(t, b.submit(context.Background(), 0, prompt, 2))
	g.Expect(b.sums().PrefillTokens).To(Equal(int64(prompt.Tokens)))
	wholeAnswer(t, b.submit(context.Background(), 0, prompt, 2))
	g.Expect(b.sums().PrefillTokens).To(BeNumerically("<", prompt.Tokens+promptprefix.BlockTokens))
	other := promptText(100, 8)
	wholeAnswer(t, b.submit(context.Background(), 0, other, 2))
	b.mu.Lock()
	defer b.mu.Unlock()
	g.Expect(b.cache.blocks).To(HaveLen(20))
	g.Expect(b.cache.match(prompt.Hashes)).To(Equal(12))
}

// Guards against a step that takes other than its parameters say, and against canceled
// requests that keep their place in the batch.
func TestModelTimesAndCancel(t *testing.T) {
	g := NewWithT(t)
	b := newBatch(fastModel())
	defer b.stop()
	ctx, cancel := context.WithCancel(context.Background())
	gone := b.submit(ctx, 0, promptText(9, 100), 1000)
	cancel()
	wholeAnswer(t, b.submit(context.Background(), 0, promptText(1, 2), 3))
	g.Expect(gone.left).To(BeNumerically(">", 0))
	p := b.params
	tokens := promptText(1, 2).Tokens
	least := 4*p.StepBase + time.Duration(tokens)*p.PrefillToken
	g.Expect(b.sums().Busy).To(BeNumerically(">=", least))
	g.Expect(b.sums().Busy).To(BeNumerically("<=", least+3*(p.StepBase+512*p.PrefillToken)))
}

// Guards against priorities that are ignored: a waiting request with a lower number
// starts first.
func TestModelPriorities(t *testing.T) {
	g := NewWithT(t)
	p := fastModel()
	p.MaxRunning = 1
	b := newBatch(p)
	defer b.stop()
	first := b.submit(context.Background(), 0, promptText(1, 30), 1)
	late := b.submit(context.Background(), 5, promptText(2, 30), 1)
	early := b.submit(context.Background(), 1, promptText(3, 30), 1)
	wholeAnswer(t, first)
	wholeAnswer(t, early)
	g.Expect(late.tokens).To(BeEmpty())
	wholeAnswer(t, late)
}

// Guards against load reports and cache events without their lag.
func TestModelReportsLate(t *testing.T) {
	g := NewWithT(t)
	p := fastModel()
	p.LoadLag = 10 * time.Second
	b := newBatch(p)
	defer b.stop()
	wholeAnswer(t, b.submit(context.Background(), 0, promptText(1, 2), 1))
	now := time.Now()
	g.Expect(b.load(now).running).To(BeZero())
	b.mu.Lock()
	defer b.mu.Unlock()
	g.Expect(b.events.after(0, now.Add(-time.Second))).To(BeEmpty())
	g.Expect(b.events.after(0, now)).To(HaveLen(1))
}
