package routing

import "time"

// meanPromptTokens is the assumed length of a prompt that another instance sent.
const meanPromptTokens = 1500

// queueTokens is the queue scorer. It returns the number of prompt tokens queued at the
// upstream. The load report lags, so this instance counts its own pending attempts itself
// and takes only the rest from the report.
func queueTokens(u *Upstream) int64 {
	others := max(int64(u.Load.Waiting)-u.Counters.Pending.Load(), 0)
	return u.Counters.PendingTokens.Load() + others*meanPromptTokens
}

// runningCost is the part of the queue scorer for running decodes, in prompt tokens.
func runningCost(u *Upstream, w *Weights) float64 {
	return w.RunningCost * float64(max(u.Counters.InFlight.Load(), int64(u.Load.Running)))
}

// EngineQueue returns the number of usable engines of this region and their mean time to
// the first token of an empty prompt.
func (s *Snapshot) EngineQueue() (engines int64, wait time.Duration) {
	seconds := 0.0
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if !u.IsEngine() || u.Down || u.Draining {
			continue
		}
		engines++
		seconds += float64(queueTokens(u)) * u.Counters.SecondsPerToken()
	}
	if engines == 0 {
		return 0, 0
	}
	return engines, time.Duration(seconds / float64(engines) * float64(time.Second))
}
