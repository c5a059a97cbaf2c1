package routing

// RegionStatus is the state of a peer's region according to its heartbeats.
type RegionStatus struct {
	// Engines is the number of usable engines; 0 if the region can serve no model.
	Engines int64
	// QueueSeconds is the mean wait for the first token of an empty prompt.
	QueueSeconds float64
	// RoundTripSeconds is the round-trip time of a heartbeat.
	RoundTripSeconds float64
}

// remoteSeconds is the distance and link scorer. It estimates the time to the first token
// if the request is forwarded to peer p, in whose region the given number of prompt tokens
// is cached.
func remoteSeconds(p *Peer, r *Request, w *Weights, perToken float64, cached int64) float64 {
	transfer := 0.0
	if w.LinkBytesPerSecond > 0 {
		transfer = float64(r.BodyBytes) / w.LinkBytesPerSecond
	}
	engines := float64(max(p.RegionStatus.Engines, 1))
	pendingTokens := float64(p.Counters.PendingTokens.Load()) / engines
	return p.RegionStatus.RoundTripSeconds + transfer + p.RegionStatus.QueueSeconds + (pendingTokens+float64(max(r.PromptTokens-cached, 0)))*perToken
}
