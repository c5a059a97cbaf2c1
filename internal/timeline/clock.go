package timeline

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	counterBits = 16
	counterMask = 1<<counterBits - 1
	// maxClockSkew bounds how far a received reading may be ahead of the local wall clock.
	// Without it, one instance with a wrong clock would advance the clocks of all others.
	maxClockSkew = time.Minute
)

// Stamp is a reading of a hybrid logical clock: 48 bits of Unix milliseconds and a 16-bit
// counter. If one event can have influenced another, its stamp is lower.
type Stamp uint64

// StampOf returns the lowest stamp of the millisecond of t.
func StampOf(t time.Time) Stamp { return Stamp(t.UnixMilli()) << counterBits }

// Time returns the millisecond of the stamp in UTC.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> counterBits)).UTC() }

// String formats the stamp as milliseconds.counter.
func (s Stamp) String() string {
	return strconv.FormatUint(uint64(s>>counterBits), 10) + "." + strconv.FormatUint(uint64(s&counterMask), 10)
}

// ParseStamp parses the format of String. The counter is optional.
func ParseStamp(text string) (Stamp, error) {
	millis, counter, hasCounter := strings.Cut(text, ".")
	high, err := strconv.ParseUint(millis, 10, 64-counterBits)
	if err != nil {
		return 0, fmt.Errorf("clock reading %q must be milliseconds.counter", text)
	}
	if !hasCounter {
		return Stamp(high << counterBits), nil
	}
	low, err := strconv.ParseUint(counter, 10, counterBits)
	if err != nil {
		return 0, fmt.Errorf("clock reading %q must be milliseconds.counter", text)
	}
	return Stamp(high<<counterBits | low), nil
}

// MarshalText implements encoding.TextMarshaler. A JSON number would lose the low
// bits in readers that use 64-bit floating point.
func (s Stamp) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Stamp) UnmarshalText(text []byte) error {
	parsed, err := ParseStamp(string(text))
	if err != nil {
		return err
	}
	*s = parsed
	return nil
}

// Clock is a hybrid logical clock. It is safe for concurrent use. A nil *Clock
// returns 0 from Now and ignores received readings.
type Clock struct {
	wall func() time.Time
	last atomic.Uint64
}

// NewClock returns a clock that is based on the given wall clock.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a new reading, above all earlier ones.
func (c *Clock) Now() Stamp {
	if c == nil {
		return 0
	}
	return c.advance(c.wall(), 0)
}

// Observe advances the clock above a reading received with a message. It reports false
// and leaves the clock unchanged if the reading is more than one minute ahead of the wall
// clock.
func (c *Clock) Observe(received Stamp) bool {
	if c == nil {
		return false
	}
	wall := c.wall()
	if received > StampOf(wall.Add(maxClockSkew)) {
		return false
	}
	c.advance(wall, received)
	return true
}

// advance moves the clock above its last reading and above received. A counter that
// overflows carries into the milliseconds.
func (c *Clock) advance(wall time.Time, received Stamp) Stamp {
	for {
		last := c.last.Load()
		next := max(uint64(StampOf(wall)), last+1, uint64(received)+1)
		if c.last.CompareAndSwap(last, next) {
			return Stamp(next)
		}
	}
}
