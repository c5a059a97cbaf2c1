package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherloom/internal/promptprefix"
)

// floor returns the time to first token of each request if it ran alone on an engine
// whose region had cached every earlier prompt. No routing within a region can do
// better, except for what a document and a system prompt share with others by chance.
func floor(p Plan, arrivals []arrival) *hdrhistogram.Histogram {
	h := newHistogram()
	seen := map[[2]int]bool{}
	blocks := func(tokens int) int { return tokens / promptprefix.BlockTokens * promptprefix.BlockTokens }
	for i := range arrivals {
		a := &arrivals[i]
		if a.answer == 0 {
			continue
		}
		tokens := p.Profile.SystemTokens + a.tokens + p.Profile.QuestionTokens
		cached := blocks(p.Profile.SystemTokens)
		if key := [2]int{a.region, a.document}; a.kind == kindReview && seen[key] {
			cached = blocks(p.Profile.SystemTokens + a.tokens)
		} else if a.kind == kindReview {
			seen[key] = true
		}
		_ = h.RecordValue(alone(p, tokens-cached).Microseconds())
	}
	return h
}

// alone returns the time to compute so many prompt tokens in a batch of one.
func alone(p Plan, tokens int) time.Duration {
	steps := (tokens + p.Model.StepTokens - 1) / p.Model.StepTokens
	return time.Duration(steps)*p.Model.StepBase + time.Duration(tokens)*p.Model.PrefillToken
}
