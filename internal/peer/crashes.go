package peer

import (
	"context"
	"time"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/routing"
)

// encodeCrashes encodes the crashes to share. Their ages are sent because the wall clocks of two
// instances may differ by more than the time for which a crash counts.
func encodeCrashes(s *routing.Snapshot, now time.Time) []*peerv1.Crash {
	crashes := make([]*peerv1.Crash, 0, len(s.SharedCrashes))
	for _, c := range s.SharedCrashes {
		age := now.Sub(time.Unix(0, c.SeenAt)).Milliseconds()
		crashes = append(crashes, &peerv1.Crash{
			Fingerprint: uint64(c.Fingerprint), Upstream: c.Upstream, StartedAt: c.StartedAt, SeenAt: c.SeenAt, AgeMs: max(age, 1),
		})
	}
	return crashes
}

func postCrashes(ctx context.Context, loop *control.Loop, crashes []*peerv1.Crash) {
	now := clock.Now()
	for _, c := range crashes {
		loop.Post(ctx, control.CrashEvent{Crash: decodeCrash(c, now)})
	}
}

func decodeCrash(c *peerv1.Crash, now time.Time) quarantine.Crash {
	seenAt := c.GetSeenAt()
	if c.GetAgeMs() > 0 {
		seenAt = now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond).UnixNano()
	}
	return quarantine.Crash{
		Fingerprint: quarantine.Fingerprint(c.GetFingerprint()),
		Upstream:    c.GetUpstream(),
		StartedAt:   c.GetStartedAt(),
		SeenAt:      seenAt,
	}
}
