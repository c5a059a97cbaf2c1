package routing

// rampFactor is the ramp scorer. It raises the cost of an upstream that has just come up,
// so that its empty queue does not attract all requests at once.
func rampFactor(u *Upstream, now int64, w *Weights) float64 {
	age := now - u.Counters.UpSince.Load()
	if w.RampDuration <= 0 || age >= int64(w.RampDuration) {
		return 1
	}
	return 1 + w.RampCost*(1-float64(max(age, 0))/float64(w.RampDuration))
}
