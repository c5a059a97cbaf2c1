package quarantine

import (
	"sync"
	"time"
)

const (
	// probeInterval is the time between two probes of one instance for the same part. It covers the
	// detection of an upstream that ended silently, which makes a further probe needless.
	probeInterval = 10 * time.Second
	// probeTakeover is how long an instance waits for each instance ranked before it to send a probe.
	probeTakeover = 4 * time.Second
	// probeMemory is how long after the last request with a part the probes for it are remembered.
	probeMemory = time.Minute
)

// Probes decides which requests with a contested part are sent although the part is in quarantine. Only
// requests with the part can show whether it is harmful, so one at a time is let through. It is safe for
// concurrent use, and times are passed in.
type Probes struct {
	mu    sync.Mutex
	parts map[Fingerprint]*probeState
}

type probeState struct {
	// wantedSince is when the first request with the part came, and wantedAt when the last one did.
	wantedSince, wantedAt time.Time
	// notBefore is when the next probe may be sent.
	notBefore time.Time
	running   bool
}

// Begin reports whether a request with a contested part is sent as a probe, whose end is to be told to End.
// rank returns the number of instances that probe for the part before this one.
func (p *Probes) Begin(now time.Time, part Fingerprint, rank func() int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.state(now, part)
	state.wantedAt = now
	if state.running || now.Before(state.notBefore) || now.Sub(state.wantedSince) < time.Duration(rank())*probeTakeover {
		return false
	}
	state.running, state.notBefore = true, now.Add(probeInterval)
	return true
}

// End records the end of a probe. One that reached no upstream does not delay the next.
func (p *Probes) End(now time.Time, part Fingerprint, sent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.state(now, part)
	state.running = false
	if !sent {
		state.notBefore = now
	}
}

func (p *Probes) state(now time.Time, part Fingerprint) *probeState {
	if state, known := p.parts[part]; known && (state.running || now.Sub(state.wantedAt) < probeMemory) {
		return state
	}
	if p.parts == nil {
		p.parts = map[Fingerprint]*probeState{}
	}
	for f, state := range p.parts {
		if !state.running && now.Sub(state.wantedAt) >= probeMemory {
			delete(p.parts, f)
		}
	}
	state := &probeState{wantedSince: now, wantedAt: now}
	p.parts[part] = state
	return state
}
