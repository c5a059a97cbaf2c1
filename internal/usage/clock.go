package usage

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minCorrection is the difference to other clocks up to which the own clock is not corrected. It is a
	// fiftieth of a window of 5 s, and above the errors of measurements over a link.
	minCorrection = 100 * time.Millisecond
	// differenceAge is how long a measured difference counts. Clocks drift little, and an instance of a large
	// fleet reaches only a few others in each round of heartbeats.
	differenceAge = 2 * time.Minute
	// maxRoundTrip is the round trip up to which a measurement counts; it errs by at most half of it.
	maxRoundTrip = 500 * time.Millisecond
)

// Clock dates events in true time: by a clock that was set once, when the process started, and then
// corrected by the median difference to the clocks of other instances. Steps of the wall clock
// change nothing. It is safe for concurrent use.
type Clock struct {
	correction atomic.Int64

	mu sync.Mutex
	// differences are those of other instances' clocks to the own one.
	differences map[string]difference
}

type difference struct {
	ahead time.Duration
	at    time.Time
}

// NewClock returns a clock without a correction.
func NewClock() *Clock { return &Clock{differences: map[string]difference{}} }

// Date returns the true time of an event. local is its time by package clock, which is set when the
// process starts.
func (c *Clock) Date(local time.Time) time.Time {
	return local.Round(0).Add(time.Duration(c.correction.Load()))
}

// Correction returns what Date adds to the local time.
func (c *Clock) Correction() time.Duration { return time.Duration(c.correction.Load()) }

// Difference returns how far the clock of another instance was ahead of the own uncorrected one when it was last
// observed; ok is false if that is not known.
func (c *Clock) Difference(instance string) (ahead time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.differences[instance]
	return d.ahead, ok
}

// Compared reports whether the clock was compared with that of another instance lately. Without that, Date may differ
// from the dates of others by maxSkew.
func (c *Clock) Compared(local time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.differences {
		if local.Sub(d.at) <= differenceAge {
			return true
		}
	}
	return false
}

// Observe records the uncorrected clock reading of another instance in a response that arrived at a
// local time, after a round trip of the given length.
func (c *Clock) Observe(instance string, reading, local time.Time, roundTrip time.Duration) {
	if instance == "" || roundTrip < 0 || roundTrip > maxRoundTrip {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.differences[instance] = difference{ahead: reading.Round(0).Sub(local.Round(0).Add(-roundTrip / 2)), at: local}
	for id, d := range c.differences {
		if local.Sub(d.at) > differenceAge {
			delete(c.differences, id)
		}
	}
	ahead := make([]time.Duration, 0, len(c.differences))
	for _, d := range c.differences {
		ahead = append(ahead, d.ahead)
	}
	c.correction.Store(int64(correction(ahead)))
}

// correction returns the median of the differences and of 0, the difference of the own clock to itself,
// so that two instances meet in the middle instead of taking each other's time.
func correction(ahead []time.Duration) time.Duration {
	all := append([]time.Duration{0}, ahead...)
	slices.Sort(all)
	middle := len(all) / 2
	median := all[middle]
	if len(all)%2 == 0 {
		median = all[middle-1] + (all[middle]-all[middle-1])/2
	}
	if median > -minCorrection && median < minCorrection {
		return 0
	}
	return median
}
