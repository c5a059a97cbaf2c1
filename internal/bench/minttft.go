package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherloom/internal/promptprefix"
)

// minTTFT returns the time to first token of each request if it ran alone on an engine
// that had cached every earlier prompt of its region. No routing within a region can do
// better, except for prefixes that prompts share by chance.
func minTTFT(p Plan, arrivals []arrival) *hdrhistogram.Histogram {
	h := newHistogram()
	cachedDocuments := map[[2]int]bool{}
	wholeBlocks := func(tokens int) int { return tokens / promptprefix.BlockTokens * promptprefix.BlockTokens }
	for i := range arrivals {
		a := &arrivals[i]
		if a.answerTokens == 0 {
			continue
		}
		tokens := p.Profile.SystemTokens + a.documentTokens + p.Profile.QuestionTokens
		cached := wholeBlocks(p.Profile.SystemTokens)
		if key := [2]int{a.region, a.document}; a.kind == kindReview && cachedDocuments[key] {
			cached = wholeBlocks(p.Profile.SystemTokens + a.documentTokens)
		} else if a.kind == kindReview {
			cachedDocuments[key] = true
		}
		_ = h.RecordValue(prefillTime(p, tokens-cached).Microseconds())
	}
	return h
}

// prefillTime returns the time to prefill the given number of tokens in a batch of one.
func prefillTime(p Plan, tokens int) time.Duration {
	steps := (tokens + p.Simulation.MaxBatchedTokens - 1) / p.Simulation.MaxBatchedTokens
	return time.Duration(steps)*p.Simulation.StepOverhead + time.Duration(tokens)*p.Simulation.PrefillTimePerToken
}
