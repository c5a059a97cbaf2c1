package control

import (
	"context"
	"testing"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/routing"
)

type clockedLoop struct {
	*Loop
	t     *testing.T
	start time.Time
}

func newClockedLoop(t *testing.T) clockedLoop {
	return clockedLoop{NewLoop(Identity{ID: "self", Region: "hobart", FailureDomain: "hobart-1"}), t, time.Now()}
}

// at posts the events and runs a tick at the given offset from the start.
func (l clockedLoop) at(offset time.Duration, events ...Event) *routing.Snapshot {
	for _, e := range events {
		l.Post(context.Background(), e)
	}
	l.tick(l.start.Add(offset))
	return l.Snapshot()
}

func configAt(revision int64) *opconfig.Config { return &opconfig.Config{Revision: revision} }

func response(l clockedLoop, id, region string, sentAt, confirmed time.Duration, revision int64) HeartbeatEvent {
	return HeartbeatEvent{
		Peer:          routing.Peer{ID: id, Region: region, FailureDomain: region + "-1", ConfigRevision: revision},
		RequestSentAt: l.start.Add(sentAt), ConfigConfirmedAt: l.start.Add(confirmed),
	}
}

// Guards against an isolated instance that admits revoked keys beyond the limit, even
// while peers in its own region respond, and against rejecting requests when only the
// store is unavailable.
func TestIsolationEndsAtTheLimit(t *testing.T) {
	l := newClockedLoop(t)
	l.at(time.Second, ConfigEvent{Config: configAt(3), ConfirmedAt: l.start})
	if s := l.at(89*time.Minute, response(l, "n", "hobart", 80*time.Minute, 0, 3)); s.ConfigStale(s.Published) || s.ConfigAge != 89*time.Minute {
		t.Errorf("after 89 min stale is %v, the age %v", s.ConfigStale(s.Published), s.ConfigAge)
	}
	if s := l.at(91 * time.Minute); !s.ConfigStale(s.Published) {
		t.Error("after 91 min of isolation requests with API keys are still admitted")
	}
	if s := l.at(92*time.Minute, response(l, "far", "burnie", 92*time.Minute, 0, 3)); s.ConfigStale(s.Published) || s.ConfigAge != 92*time.Minute {
		t.Errorf("with a peer of another region stale is %v, the age %v", s.ConfigStale(s.Published), s.ConfigAge)
	}
	if s := l.at(183*time.Minute, HeartbeatEvent{Peer: routing.Peer{ID: "far", Region: "burnie", ConfigRevision: 3}}); !s.ConfigStale(s.Published) {
		t.Error("a heartbeat sent by the peer, which may have been queued, ended the isolation")
	}
}

// Guards against a configuration that reverts to an older revision, and against applying
// a peer's confirmation of a revision that this instance does not have.
func TestRevisionsOnlyRiseAndConfirmationsNeedTheRevision(t *testing.T) {
	l := newClockedLoop(t)
	l.at(0, ConfigEvent{Config: configAt(5), ConfirmedAt: l.start})
	s := l.at(10*time.Second, ConfigEvent{Config: configAt(4), ConfirmedAt: l.start.Add(9 * time.Second)},
		response(l, "far", "burnie", 10*time.Second, 10*time.Second, 6))
	if s.Config.Revision != 5 || s.ConfigAge != time.Second {
		t.Errorf("revision %d, age %v; want 5 and 1 s", s.Config.Revision, s.ConfigAge)
	}
	if s := l.at(12*time.Second, ConfigEvent{Config: configAt(6)}); s.Config.Revision != 6 || s.ConfigAge != 2*time.Second {
		t.Errorf("revision %d, age %v; want 6 and 2 s", s.Config.Revision, s.ConfigAge)
	}
}

// Guards against sending a peer a sequence of deltas with a gap.
func TestHistoryIsContiguous(t *testing.T) {
	l := newClockedLoop(t)
	delta := func(from, to int64) ConfigEvent {
		e := ConfigEvent{Config: configAt(to)}
		for r := from; r <= to; r++ {
			e.Deltas = append(e.Deltas, opconfig.Delta{Revision: r})
		}
		return e
	}
	expect := func(s *routing.Snapshot, first, n int64) {
		t.Helper()
		if got := s.ConfigDeltas; int64(len(got)) != n || (n > 0 && got[0].Revision != first) {
			t.Errorf("history is %v, want %d deltas from %d", got, n, first)
		}
	}
	expect(l.at(0, delta(1, 3)), 1, 3)
	expect(l.at(0, delta(2, 5)), 1, 5)
	expect(l.at(0, delta(8, 9)), 8, 2)
	expect(l.at(0, ConfigEvent{Config: configAt(12)}), 0, 0)
	expect(l.at(0, delta(13, 13+maxHistoryDeltas)), 14, maxHistoryDeltas)
}

// Guards against treating a listed instance that is draining as available, and against
// losing the last copy of the client directory.
func TestLeavingEntriesAndInactiveAccounts(t *testing.T) {
	l := newClockedLoop(t)
	s := l.at(0, response(l, "far", "burnie", 0, 0, 0),
		InstancesEvent{Instances: []external.Instance{{ID: "far", Role: external.RoleEntry, State: external.InstanceDraining, Address: "x:1"}}},
		DirectoryEvent{Inactive: map[string]struct{}{"guild": {}}})
	if len(s.Peers) != 1 || !s.Peers[0].Draining || len(s.ListedPeers) != 1 {
		t.Errorf("peers are %v, listed are %v", s.Peers, s.ListedPeers)
	}
	if s := l.at(time.Minute); len(s.InactiveAccounts) != 1 {
		t.Error("the copy of the client directory was lost")
	}
}

// An instance that restarts during a store outage gets its configuration from a peer, which
// may not have had it confirmed either. Guards against admitting keys under a configuration
// whose age is unknown.
func TestAConfigurationWithoutAConfirmationIsStale(t *testing.T) {
	for _, strict := range []bool{true, false} {
		l := newClockedLoop(t)
		l.tables.identity.StrictIsolation = strict
		s := l.at(time.Second, ConfigEvent{Config: configAt(3)})
		if got := s.ConfigStale(s.Published); got != strict {
			t.Errorf("strict %v: stale is %v without a confirmation", strict, got)
		}
		if s := l.at(2*time.Second, response(l, "n", "hobart", 1900*time.Millisecond, 1800*time.Millisecond, 3)); s.ConfigStale(s.Published) {
			t.Errorf("strict %v: stale after a peer confirmed the revision", strict)
		}
	}
}
