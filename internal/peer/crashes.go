package peer

import (
	"context"

	"heatherloom/internal/control"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/routing"
)

func encodeCrashes(s *routing.Snapshot) []*peerv1.Crash {
	crashes := make([]*peerv1.Crash, 0, len(s.SharedCrashes))
	for _, c := range s.SharedCrashes {
		crashes = append(crashes, &peerv1.Crash{Fingerprint: uint64(c.Fingerprint), Upstream: c.Upstream, StartedAt: c.StartedAt, SeenAt: c.SeenAt})
	}
	return crashes
}

func postCrashes(ctx context.Context, loop *control.Loop, crashes []*peerv1.Crash) {
	for _, c := range crashes {
		loop.Post(ctx, control.CrashEvent{Crash: quarantine.Crash{
			Fingerprint: quarantine.Fingerprint(c.GetFingerprint()),
			Upstream:    c.GetUpstream(),
			StartedAt:   c.GetStartedAt(),
			SeenAt:      c.GetSeenAt(),
		}})
	}
}
