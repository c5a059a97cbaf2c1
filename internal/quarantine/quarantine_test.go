package quarantine

import (
	"testing"
	"time"
)

// Guards against a request that crashes one upstream after another, against rejecting a
// request whose upstream crashed once and broke several connections, and against entries
// that never expire or are counted again with each heartbeat.
func TestTable(t *testing.T) {
	now := time.Unix(100_000, 0)
	crash := func(f Fingerprint, upstream string, at time.Duration) Crash {
		return Crash{Fingerprint: f, Upstream: upstream, SeenAt: now.Add(at).UnixNano()}
	}
	table := NewTable()
	quarantined := func() int { return len(table.Quarantined()) }
	for _, c := range []Crash{crash(1, "a", 0), crash(1, "a", 0), crash(1, "a", time.Second), crash(2, "b", 0)} {
		table.Add(now, c)
	}
	if quarantined() != 0 {
		t.Fatal("a single crash quarantines a request")
	}
	table.Add(now.Add(time.Second), crash(1, "b", time.Second))
	if _, ok := table.Quarantined()[1]; !ok || quarantined() != 1 {
		t.Fatalf("after two crashes: %v", table.Quarantined())
	}
	late := NewTable()
	for _, c := range table.HeartbeatCrashes(now.Add(time.Minute)) {
		late.Add(now.Add(time.Minute), c)
	}
	if !late.Quarantined()[1].Equal(table.Quarantined()[1]) {
		t.Fatalf("an instance that started later quarantines %v, want %v", late.Quarantined(), table.Quarantined())
	}
	table.Update(now.Add(Duration - time.Second))
	if quarantined() != 1 {
		t.Fatal("the quarantine ended early")
	}
	table.Update(now.Add(Duration + 2*time.Second))
	if quarantined() != 0 {
		t.Fatal("the quarantine did not end")
	}
	table.Add(now, crash(3, "a", -2*Duration))
	if len(table.entries) != 0 {
		t.Fatal("an expired crash was stored")
	}
}

// Guards against the crash of a restarted upstream that counts as a repeated report on its former
// process, and against two reports on the end of one process that count as two crashes.
func TestCrashesAreCountedByProcess(t *testing.T) {
	now := time.Unix(100_000, 0)
	for _, c := range []struct {
		name   string
		second Crash
		want   int
	}{
		{"restarted process", Crash{Upstream: "a", StartedAt: 2, SeenAt: now.Add(time.Second).UnixNano()}, 1},
		{"same process, noticed late", Crash{Upstream: "a", StartedAt: 1, SeenAt: now.Add(30 * time.Second).UnixNano()}, 0},
	} {
		table := NewTable()
		table.Add(now, Crash{Upstream: "a", StartedAt: 1, SeenAt: now.UnixNano()})
		table.Add(now, c.second)
		if got := len(table.Quarantined()); got != c.want {
			t.Errorf("%s: %d requests quarantined, want %d", c.name, got, c.want)
		}
	}
}

// Guards against a request whose crashes are crowded out of the heartbeats, or of the table, by
// those of the requests that were in flight when many upstreams crashed at once.
func TestManyCrashesDoNotHideARequest(t *testing.T) {
	now := time.Unix(100_000, 0)
	table, peer := NewTable(), NewTable()
	for f := range Fingerprint(maxFingerprints) {
		table.Add(now, Crash{Fingerprint: f, Upstream: "a", StartedAt: 1, SeenAt: now.UnixNano()})
	}
	const harmful = Fingerprint(1 << 40)
	for _, upstream := range []string{"b", "c"} {
		table.Add(now, Crash{Fingerprint: harmful, Upstream: upstream, StartedAt: 1, SeenAt: now.UnixNano()})
	}
	if _, ok := table.Quarantined()[harmful]; !ok {
		t.Error("the request is not quarantined in a full table")
	}
	shared := table.HeartbeatCrashes(now)
	for _, c := range shared {
		peer.Add(now, c)
	}
	if _, ok := peer.Quarantined()[harmful]; !ok {
		t.Error("one heartbeat did not tell of the quarantine")
	}
	if len(shared) > maxRecentCrashes+maxOlderCrashes || len(shared) < maxRecentCrashes {
		t.Errorf("%d crashes in a heartbeat", len(shared))
	}
}

// Guards against equal fingerprints of requests whose fields differ but whose
// concatenation is the same.
func TestFingerprint(t *testing.T) {
	seen := map[Fingerprint]bool{}
	for _, part := range [][3]string{{"ab", "c", "x"}, {"a", "bc", "x"}, {"ab", "c", "y"}, {"ab", "c", "x"}} {
		seen[FingerprintOf(part[0], part[1], "POST", "/", []byte(part[2]))] = true
	}
	if len(seen) != 3 {
		t.Fatalf("got %d fingerprints for 3 different requests", len(seen))
	}
}
