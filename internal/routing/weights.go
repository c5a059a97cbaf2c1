package routing

import "time"

// Weights are the weights of the default policy, see the settings section [policy].
type Weights struct {
	// Prefill multiplies the prompt tokens that a request itself has to compute. Above
	// 1 it values the work saved for other requests.
	Prefill float64
	// Running is the cost of a running decode, in prompt tokens.
	Running float64
	// Sample is the number of upstreams without a cached prefix that are compared.
	Sample int
	// Spread is the cost, in prompt tokens, of the upstream that this instance prefers
	// least over the one that it prefers most.
	Spread float64
	// Ramp is how long an upstream counts as cold after it came up, and RampCost the
	// factor by which its cost grows at the start of it, less 1.
	Ramp     time.Duration
	RampCost float64
	// SpillRatio is how many times the cost of another region the cost of this one has
	// to be before a request is sent away.
	SpillRatio float64
	// SpillTokens are the prompt tokens that have to wait at the best upstream of this
	// region before a request is sent away.
	SpillTokens int64
	// LinkBytesPerSecond is the bandwidth to other regions.
	LinkBytesPerSecond float64
}

// Presets of the weights.
const (
	PresetDerwent = "derwent"
	PresetGuild   = "guild"
)

// PresetWeights returns the weights of a preset. Derwent weights tail latency and the
// worst-served client account; Guild weights cost, so that saved prompt tokens count
// for more and a request leaves its region later.
func PresetWeights(preset string) Weights {
	w := Weights{
		Prefill:            2,
		Running:            16,
		Sample:             8,
		Spread:             3000,
		Ramp:               10 * time.Second,
		RampCost:           0.5,
		SpillRatio:         3,
		SpillTokens:        30_000, // 1.8 s, more than three times the first token target of 0.52 s
		LinkBytesPerSecond: 250e6,
	}
	if preset == PresetGuild {
		w.Prefill = 3
		w.SpillRatio = 4
		w.LinkBytesPerSecond = 17.5e6
	}
	return w
}
