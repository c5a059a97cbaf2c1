package routing

import "time"

// Weights are the weights of the default policy; see the settings section [policy].
type Weights struct {
	// PrefillFactor multiplies the prompt tokens to compute for the request itself. A value
	// above 1 accounts for the work that a cache hit saves other requests.
	PrefillFactor float64
	// RunningCost is the cost of a running decode, in prompt tokens.
	RunningCost float64
	// SampleSize is the number of upstreams without a cached prefix that are compared.
	SampleSize int
	// SpreadCost is the additional cost, in prompt tokens, of the upstream that this instance
	// prefers least compared with the one that it prefers most.
	SpreadCost float64
	// RampDuration is how long the cost of an upstream is raised after it came up, and
	// RampCost the relative increase at the start of that time.
	RampDuration time.Duration
	RampCost     float64
	// SpillRatio is the ratio of the cost of this region to that of another one above which
	// a request is forwarded.
	SpillRatio float64
	// SpillTokens is the number of prompt tokens that must be queued at the best upstream of
	// this region before a request is forwarded.
	SpillTokens int64
	// LinkBytesPerSecond is the bandwidth to other regions.
	LinkBytesPerSecond float64
}

// Presets of the weights.
const (
	PresetDerwent = "derwent"
	PresetGuild   = "guild"
)

// PresetWeights returns the weights of a preset. Derwent favors tail latency and the
// worst-served client account. Guild favors low cost: saved prompt tokens count for more,
// and requests are forwarded to other regions later.
func PresetWeights(preset string) Weights {
	w := Weights{
		PrefillFactor:      2,
		RunningCost:        16,
		SampleSize:         8,
		SpreadCost:         3000,
		RampDuration:       10 * time.Second,
		RampCost:           0.5,
		SpillRatio:         3,
		SpillTokens:        30_000, // 1.8 s, more than three times the target of 0.52 s for the first token
		LinkBytesPerSecond: 250e6,
	}
	if preset == PresetGuild {
		w.PrefillFactor = 3
		w.SpillRatio = 4
		w.LinkBytesPerSecond = 17.5e6
	}
	return w
}
