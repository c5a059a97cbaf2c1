package routing

import "time"

// meanPromptTokens stands for the unknown length of a prompt that another instance sent.
const meanPromptTokens = 1500

// queueTokens is the queue scorer: the prompt tokens that an upstream has to compute
// first. The report lags, so that the own part of it is replaced by the own count.
func queueTokens(u *Upstream) int64 {
	others := max(int64(u.Load.Waiting)-u.Counters.Pending.Load(), 0)
	return u.Counters.PendingTokens.Load() + others*meanPromptTokens
}

// runningCost is the part of the queue scorer for decodes that run, in prompt tokens.
func runningCost(u *Upstream, w *Weights) float64 {
	return w.Running * float64(max(u.Counters.InFlight.Load(), int64(u.Load.Running)))
}

// EngineQueue returns the number of engines that can take work and the mean wait for
// the first token of an empty prompt at them.
func (s *Snapshot) EngineQueue() (engines int64, wait time.Duration) {
	seconds := 0.0
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if !u.IsEngine() || u.Down || u.Leaving {
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
