package peer

import (
	"testing"
	"time"

	"heatherloom/internal/quarantine"
	"heatherloom/internal/routing"
)

// Guards against crashes that are ignored, or shared for good, because the clock of the instance
// that saw them is wrong.
func TestCrashesOfAnInstanceWithAnotherClock(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	for _, offset := range []time.Duration{-24 * time.Hour, 0, 24 * time.Hour} {
		sender := now.Add(offset)
		s := &routing.Snapshot{}
		for _, upstream := range []string{"a", "b"} {
			s.SharedCrashes = append(s.SharedCrashes, quarantine.Crash{Fingerprint: 7, Upstream: upstream, SeenAt: sender.Add(-time.Minute).UnixNano()})
		}
		table := quarantine.NewTable()
		for _, c := range encodeCrashes(s, sender, (*SentReports)(nil).Select("", sender)) {
			table.Add(now, decodeCrash(c, now))
		}
		if until := table.Quarantined()[7]; !until.Equal(now.Add(quarantine.Duration - time.Minute)) {
			t.Errorf("offset %s: the quarantine ends at %s", offset, until)
		}
	}
}
