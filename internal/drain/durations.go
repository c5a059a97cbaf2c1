package drain

import (
	"slices"
	"sync"
	"time"
)

const (
	// durationSamples is the number of durations that are kept for each kind.
	durationSamples = 64
	// minDurationSamples is the number of durations needed for an estimate.
	minDurationSamples = 5
	// durationMaxAge is the age above which durations do not count.
	durationMaxAge = 30 * time.Second
	// highQuantile is the quantile of the durations that an estimate uses.
	highQuantile = 0.9
	// maxDurationKinds is the number of kinds above which all durations are discarded.
	maxDurationKinds = 4096
)

// durationSample is the duration of a request that ended at a time.
type durationSample struct {
	at   time.Time
	took time.Duration
}

// durationRing holds the latest durations of a kind; next is the position of the oldest one.
type durationRing struct {
	samples []durationSample
	next    int
}

// durations keeps how long recent requests of each kind took. The zero value is ready to use.
// It is safe for concurrent use.
type durations struct {
	mu     sync.Mutex
	byKind map[string]*durationRing
}

func (d *durations) observe(now time.Time, kind string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byKind == nil || len(d.byKind) > maxDurationKinds {
		d.byKind = map[string]*durationRing{}
	}
	ring, ok := d.byKind[kind]
	if !ok {
		ring = &durationRing{}
		d.byKind[kind] = ring
	}
	sample := durationSample{at: now, took: took}
	if len(ring.samples) < durationSamples {
		ring.samples = append(ring.samples, sample)
		return
	}
	ring.samples[ring.next] = sample
	ring.next = (ring.next + 1) % durationSamples
}

// high returns how long all but the longest recent requests of a kind took at most; 0 if too few
// are known.
func (d *durations) high(now time.Time, kind string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	ring, ok := d.byKind[kind]
	if !ok {
		return 0
	}
	var recent []time.Duration
	for _, s := range ring.samples {
		if now.Sub(s.at) < durationMaxAge {
			recent = append(recent, s.took)
		}
	}
	if len(recent) < minDurationSamples {
		return 0
	}
	slices.Sort(recent)
	return recent[int(highQuantile*float64(len(recent)-1))]
}
