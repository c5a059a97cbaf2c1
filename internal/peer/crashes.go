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

// encodeCrashes encodes those of the crashes to share that selected selects by their hashes. Their ages are sent
// because the wall clocks of two instances may differ by more than the time for which a crash counts.
func encodeCrashes(s *routing.Snapshot, now time.Time, selected func(hash uint64) bool) (crashes []*peerv1.Crash) {
	for i := range s.SharedCrashes {
		c := &s.SharedCrashes[i]
		if !selected(crashHash(c)) {
			continue
		}
		age := now.Sub(time.Unix(0, c.SeenAt)).Milliseconds()
		crash := &peerv1.Crash{
			Fingerprint: uint64(c.Fingerprint), AtService: uint64(c.AtService), AtHost: uint64(c.AtHost),
			Upstream: c.Upstream, StartedAt: c.StartedAt, SeenAt: c.SeenAt, AgeMs: max(age, 1),
		}
		for _, part := range c.Parts {
			crash.Parts = append(crash.Parts, uint64(part))
		}
		crashes = append(crashes, crash)
	}
	return crashes
}

// maxCompletedParts bounds the completions in one message.
const maxCompletedParts = 64

func encodeCompletedParts(s *routing.Snapshot, now time.Time, selected func(hash uint64) bool) (completed []*peerv1.PartCompletion) {
	// The random iteration order of the map selects them if there are more.
	for part, at := range s.CompletedParts {
		if len(completed) < maxCompletedParts && selected(completionHash(part, at)) {
			completed = append(completed, &peerv1.PartCompletion{Part: uint64(part), AgeMs: max(now.Sub(at).Milliseconds(), 0)})
		}
	}
	return completed
}

// postCompletedParts posts completions that a peer reported.
func postCompletedParts(ctx context.Context, loop *control.Loop, completed []*peerv1.PartCompletion) {
	if len(completed) == 0 {
		return
	}
	now := clock.Now()
	event := control.PartsCompletedEvent{Completed: map[quarantine.Fingerprint]time.Time{}}
	for _, c := range completed {
		event.Completed[quarantine.Fingerprint(c.GetPart())] = now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond)
	}
	loop.Post(ctx, event)
}

// postCrashes posts crashes that the peer at an address reported.
func postCrashes(ctx context.Context, loop *control.Loop, crashes []*peerv1.Crash, reports *SentReports, address string) {
	if len(crashes) == 0 {
		return
	}
	now := clock.Now()
	event := control.CrashesEvent{Crashes: make([]quarantine.Crash, 0, len(crashes))}
	for _, c := range crashes {
		event.Crashes = append(event.Crashes, decodeCrash(c, now))
	}
	reports.Received(address, now, crashHashes(event.Crashes))
	loop.Post(ctx, event)
}

func decodeCrash(c *peerv1.Crash, now time.Time) quarantine.Crash {
	seenAt := c.GetSeenAt()
	if c.GetAgeMs() > 0 {
		seenAt = now.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond).UnixNano()
	}
	crash := quarantine.Crash{
		Fingerprint: quarantine.Fingerprint(c.GetFingerprint()),
		AtService:   quarantine.Fingerprint(c.GetAtService()),
		AtHost:      quarantine.Fingerprint(c.GetAtHost()),
		Upstream:    c.GetUpstream(),
		StartedAt:   c.GetStartedAt(),
		SeenAt:      seenAt,
	}
	for _, part := range c.GetParts() {
		crash.Parts = append(crash.Parts, quarantine.Fingerprint(part))
	}
	return crash
}
