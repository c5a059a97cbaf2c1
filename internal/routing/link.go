package routing

// Remote is what heartbeats tell of the region of a peer.
type Remote struct {
	// Engines is the number of usable engines; 0 if the region can serve no model.
	Engines int64
	// QueueSeconds is the mean wait for the first token of an empty prompt.
	QueueSeconds float64
	// RoundTripSeconds is the time of one heartbeat and its answer.
	RoundTripSeconds float64
}

// remoteSeconds is the distance and link scorer: the estimated time to the first token
// over peer p, behind which so many of the prompt's tokens are cached.
func remoteSeconds(p *Peer, r *Request, w *Weights, perToken float64, cached int64) float64 {
	transfer := 0.0
	if w.LinkBytesPerSecond > 0 {
		transfer = float64(r.Bytes) / w.LinkBytesPerSecond
	}
	engines := float64(max(p.Remote.Engines, 1))
	own := float64(p.Counters.PendingTokens.Load()) / engines
	return p.Remote.RoundTripSeconds + transfer + p.Remote.QueueSeconds + (own+float64(max(r.Tokens-cached, 0)))*perToken
}
