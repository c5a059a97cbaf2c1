package quarantine

import (
	"fmt"
	"testing"
	"time"
)

const (
	harmful = Fingerprint(1 << 40)
	popular = Fingerprint(1 << 41)
	rare    = Fingerprint(1 << 42)
)

var partStart = time.Unix(100_000, 0)

func after(d time.Duration) time.Time { return partStart.Add(d) }

// apart returns the time of the crash number i of several that have no common cause.
func apart(i int) time.Duration { return time.Duration(i) * sameCause }

// partCrash returns the crash of a process under a request, after a time.
func partCrash(process int, request Fingerprint, at time.Duration, parts ...Fingerprint) Crash {
	return Crash{
		Fingerprint: request, Parts: parts, Upstream: fmt.Sprint("u", process), StartedAt: int64(process + 1), SeenAt: after(at).UnixNano(),
	}
}

// Guards against a part that goes on crashing upstreams, and against blaming parts that were in flight
// by chance, that only one request has, or that complete elsewhere.
func TestPartsAreQuarantinedByTheirCrashes(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(*Table)
		at   time.Duration
		want bool
	}{
		{"three crashes under three requests", func(table *Table) {
			for i := range 3 {
				table.Add(after(apart(i)), partCrash(i, Fingerprint(i), apart(i), harmful))
			}
		}, 3 * time.Second, true},
		{"before others could report completions", func(table *Table) {
			for i := range 3 {
				table.Add(after(apart(i)), partCrash(i, Fingerprint(i), apart(i), harmful))
			}
		}, time.Second, false},
		{"three crashes at one time", func(table *Table) {
			for i := range 3 {
				table.Add(after(0), partCrash(i, Fingerprint(i), time.Duration(i)*time.Millisecond, harmful))
			}
		}, 3 * time.Second, false},
		{"six crashes at one time", func(table *Table) {
			for i := range 6 {
				table.Add(after(0), partCrash(i, Fingerprint(i), 0, harmful))
			}
		}, 3 * time.Second, true},
		{"three times at which many processes ended", func(table *Table) {
			for i := range 3 {
				table.Add(after(apart(i)), partCrash(i, Fingerprint(i), apart(i), harmful))
				table.Add(after(apart(i)), partCrash(10+i, Fingerprint(10+i), apart(i)))
				table.Add(after(apart(i)), partCrash(20+i, Fingerprint(20+i), apart(i)))
			}
		}, 3 * time.Second, false},
		{"two crashes", func(table *Table) {
			for i := range 4 {
				table.Add(after(apart(i)), partCrash(i%2, Fingerprint(i), apart(i), harmful))
			}
		}, 3 * time.Second, false},
		{"one request again and again", func(table *Table) {
			for i := range 4 {
				table.Add(after(apart(i)), partCrash(i, 7, apart(i), harmful))
			}
		}, 3 * time.Second, false},
		{"a completion before", func(table *Table) {
			table.Complete(harmful, after(-time.Second))
			for i := range 3 {
				table.Add(after(apart(i)), partCrash(i, Fingerprint(i), apart(i), harmful))
			}
		}, 3 * time.Second, false},
		{"a completion long before", func(table *Table) {
			table.Complete(harmful, after(-time.Minute))
			for i := range 3 {
				table.Add(after(apart(i)), partCrash(i, Fingerprint(i), apart(i), harmful))
			}
		}, 3 * time.Second, true},
		{"a completion after the crashes", func(table *Table) {
			for i := range 3 {
				table.Add(after(apart(i)), partCrash(i, Fingerprint(i), apart(i), harmful))
			}
			table.Complete(harmful, after(time.Second))
		}, 3 * time.Second, false},
		{"a completion after the quarantine began", func(table *Table) {
			for i := range 3 {
				table.Add(after(apart(i)), partCrash(i, Fingerprint(i), apart(i), harmful))
			}
			table.Update(after(3 * time.Second))
			table.SetStored(map[Fingerprint]Stored{harmful: {Until: after(time.Hour)}})
			table.Complete(harmful, after(4*time.Second))
		}, 5 * time.Second, false},
	} {
		table := NewTable()
		c.act(table)
		table.Update(after(c.at))
		if _, got := table.Quarantined()[harmful]; got != c.want {
			t.Errorf("%s: quarantined %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against the quarantine of innocent parts that ran beside a harmful one when several upstreams
// ended, and against a harmful part that is taken for one of them.
func TestCrashesAreAttributedToThePartWithMostOfThem(t *testing.T) {
	table := NewTable()
	for i := range 6 {
		table.Add(after(0), partCrash(i, Fingerprint(i), apart(i), harmful))
		table.Add(after(0), partCrash(i, Fingerprint(100+i), apart(i), popular))
		if i < 4 {
			table.Add(after(0), partCrash(i, Fingerprint(200+i), apart(i), rare))
		}
	}
	table.Complete(popular, after(time.Second))
	table.Update(after(3 * time.Second))
	for part, want := range map[Fingerprint]bool{harmful: true, popular: false, rare: false} {
		if _, got := table.Quarantined()[part]; got != want {
			t.Errorf("part %s: quarantined %v, want %v", part, got, want)
		}
	}
	for i := range 3 {
		table.Add(after(5*time.Second), partCrash(10+i, Fingerprint(300+i), 4*time.Second+apart(i), rare))
	}
	table.Update(after(8 * time.Second))
	if _, got := table.Quarantined()[rare]; !got {
		t.Error("crashes that are not attributed to the harmful part do not count against another part")
	}
}

// Guards against a harmful part whose crashes are crowded out of the heartbeats by those of the many
// requests that were in flight.
func TestHeartbeatsTellOfSuspectedPartsFirst(t *testing.T) {
	table, peer := NewTable(), NewTable()
	for i := range 300 {
		table.Add(after(0), partCrash(i%10, Fingerprint(1000+i), apart(i%10), Fingerprint(5000+i)))
	}
	for i := range 3 {
		table.Add(after(0), partCrash(i, Fingerprint(i), apart(i), harmful))
	}
	shared := table.HeartbeatCrashes(after(time.Second))
	if len(shared) > maxRecentCrashes+maxOlderCrashes {
		t.Errorf("%d crashes in a heartbeat", len(shared))
	}
	for _, c := range shared {
		peer.Add(after(time.Second), c)
	}
	peer.Update(after(3 * time.Second))
	if _, ok := peer.Quarantined()[harmful]; !ok {
		t.Error("one heartbeat did not tell of the part")
	}
	table.Update(after(3 * time.Second))
	restarted := NewTable()
	for _, c := range table.HeartbeatCrashes(after(time.Minute)) {
		restarted.Add(after(time.Minute), c)
	}
	restarted.Update(after(time.Minute))
	if _, ok := restarted.Quarantined()[harmful]; !ok {
		t.Error("an instance that started later did not learn of the part with one heartbeat")
	}
	table.Complete(harmful, after(time.Second))
	for _, c := range table.HeartbeatCrashes(after(time.Second)) {
		for _, part := range c.Parts {
			if part == harmful {
				t.Fatal("a part that completed is still reported")
			}
		}
	}
}

// Guards against the quarantine of an innocent request that was sent to two upstreams which a harmful
// part ended.
func TestAnInnocentRequestIsNotQuarantinedForTheCrashesOfAPart(t *testing.T) {
	table := NewTable()
	const innocent = Fingerprint(9)
	for i := range 3 {
		table.Add(after(0), partCrash(i, Fingerprint(100+i), apart(i), harmful))
		table.Add(after(0), partCrash(min(i, 1), innocent, apart(i), rare))
	}
	table.SetStored(map[Fingerprint]Stored{innocent: {Until: after(time.Hour), Revision: 1}})
	if _, ok := table.Quarantined()[innocent]; !ok {
		t.Fatal("two crashes do not quarantine a request")
	}
	table.Update(after(3 * time.Second))
	if _, ok := table.Quarantined()[innocent]; ok {
		t.Error("the request is quarantined although its crashes are attributed to a part")
	}
	if _, ok := table.Refuted()[innocent]; !ok {
		t.Error("its row remains in the store")
	}
	for i := range 2 {
		table.Add(after(4*time.Second), partCrash(10+i, innocent, 4*time.Second, rare))
	}
	table.Update(after(5 * time.Second))
	if _, ok := table.Quarantined()[innocent]; !ok {
		t.Error("further crashes do not quarantine the request")
	}
}

// Guards against a request that is released because its ends are attributed to a part of other prompts.
func TestARequestIsNotReleasedForEndsThatItExplainsItself(t *testing.T) {
	for _, c := range []struct {
		name string
		// own are the suspected parts of the request's prompt.
		own []Fingerprint
		// shared is the number of its crashes at which requests with the part rare were in flight.
		shared int
		// others is the number of further ends of processes under requests with the part.
		others int
	}{
		{"fewer ends under the part", nil, 3, 0},
		{"as many ends under the part", nil, 4, 0},
		{"a part of its own prompt", []Fingerprint{rare}, 3, 0},
		{"a part of its own prompt with more ends", []Fingerprint{rare}, 3, 1},
	} {
		table := NewTable()
		const request = Fingerprint(7)
		for i := range 4 {
			table.Add(after(0), partCrash(i, request, apart(i), c.own...))
			if i < c.shared {
				table.Add(after(0), partCrash(i, Fingerprint(100+i), apart(i), rare))
			}
		}
		for i := range c.others {
			table.Add(after(0), partCrash(10+i, Fingerprint(200+i), apart(5+i), rare))
		}
		table.SetStored(map[Fingerprint]Stored{request: {Until: after(time.Hour), Revision: 1}})
		for i := range 3 {
			table.Update(after(time.Duration(3+i) * time.Second))
		}
		if _, ok := table.Quarantined()[request]; !ok {
			t.Errorf("%s: the request is not quarantined", c.name)
		}
		if _, ok := table.Refuted()[request]; ok {
			t.Errorf("%s: its row is to be deleted from the store", c.name)
		}
		if _, ok := table.Quarantined()[rare]; ok && c.others == 0 {
			t.Errorf("%s: the part is quarantined although all of its ends are those of the request", c.name)
		}
	}
}

// Guards against harmful requests that are released because one part of other prompts was in flight at
// the ends of several of them, and against the quarantine of that part.
func TestHarmfulRequestsAreNotReleasedForAPartInFlightAtTheEndsOfAllOfThem(t *testing.T) {
	for _, c := range []struct{ requests, endsOfEach int }{{2, 3}, {3, 4}, {1, maxCrashes + 4}} {
		table := NewTable()
		process := 0
		for request := range c.requests {
			for range c.endsOfEach {
				table.Add(after(0), partCrash(process, Fingerprint(request+1), apart(process)))
				table.Add(after(0), partCrash(process, Fingerprint(100+process), apart(process), rare))
				process++
			}
		}
		table.Update(after(20 * time.Second))
		for request := range c.requests {
			if _, ok := table.Quarantined()[Fingerprint(request+1)]; !ok {
				t.Errorf("%d requests with %d ends each: request %d is released", c.requests, c.endsOfEach, request+1)
			}
		}
		if _, ok := table.Quarantined()[rare]; ok {
			t.Errorf("%d requests with %d ends each: the part is quarantined", c.requests, c.endsOfEach)
		}
	}
}

// Guards against a request whose crashes are crowded out by those under suspected parts.
func TestHeartbeatsTellOfRequestsWithoutSuspectedParts(t *testing.T) {
	table, peer := NewTable(), NewTable()
	const request = Fingerprint(7)
	for i := range 300 {
		table.Add(after(0), partCrash(i%10, Fingerprint(1000+i), apart(i%10), Fingerprint(5000+i)))
	}
	table.Add(after(0), partCrash(0, request, 0))
	peer.Add(after(0), partCrash(1, request, apart(1)))
	for at := range heartbeatShareDuration / time.Second {
		for _, c := range table.HeartbeatCrashes(after(at * time.Second)) {
			peer.Add(after(at*time.Second), c)
		}
	}
	if _, ok := peer.Quarantined()[request]; !ok {
		t.Error("the heartbeats of 15 s did not tell of a crash")
	}
}

// sharedEnds adds ends of processes under harmful requests, each beside a sound request, that share a part.
func sharedEnds(table *Table, n int) {
	for i := range n {
		table.Add(after(0), partCrash(i, Fingerprint(i), apart(i), popular, harmful))
		table.Add(after(0), partCrash(i, Fingerprint(100+i), apart(i), popular))
	}
}

// Guards against a shared part that is never released, and a harmful one that is admitted when the other is.
func TestPartsOfTheSamePromptsAreContestedUntilOneCompletes(t *testing.T) {
	for _, c := range []struct {
		name string
		// others is the number of ends under the shared part alone.
		others    int
		contested bool
	}{
		{"as many ends", 0, true},
		{"more ends under the shared part", 2, true},
		{"sufficient ends under the shared part alone", 3, false},
	} {
		table := NewTable()
		sharedEnds(table, 4)
		for i := range c.others {
			table.Add(after(0), partCrash(10+i, Fingerprint(200+i), apart(4+i), popular))
		}
		table.Update(after(3 * time.Second))
		if _, ok := table.Quarantined()[popular]; !ok {
			t.Errorf("%s: requests with both parts are admitted", c.name)
		}
		if got := table.Implicated()[popular]; got != c.contested {
			t.Errorf("%s: contested %v, want %v", c.name, got, c.contested)
		}
		table.Complete(popular, after(4*time.Second))
		if _, ok := table.Quarantined()[popular]; ok {
			t.Errorf("%s: a part that completed is still in quarantine", c.name)
		}
		if _, ok := table.Quarantined()[harmful]; !ok {
			t.Errorf("%s: the harmful part is admitted", c.name)
		}
		if contested, implicated := table.Implicated()[harmful]; contested || !implicated {
			t.Errorf("%s: the harmful part is contested %v, implicated %v", c.name, contested, implicated)
		}
	}
}

// Guards against convicting a shared part before the harmful one, and against probing a harmful part by chance.
func TestAPartIsContestedByPartsWithSeveralOfItsCrashes(t *testing.T) {
	for _, c := range []struct {
		name string
		// others are the second parts of the prompts at the crashes of the part.
		others []Fingerprint
		want   bool
	}{
		{"another part at two of three crashes", []Fingerprint{harmful, 0, harmful}, true},
		{"another part at two of five crashes", []Fingerprint{harmful, 0, harmful, 0, 0}, false},
		{"two other parts at two crashes each", []Fingerprint{harmful, harmful, rare, rare}, true},
		{"another part at each crash", []Fingerprint{11, 12, 13, 14}, false},
	} {
		table := NewTable()
		for i, other := range c.others {
			table.Add(after(0), partCrash(i, Fingerprint(i), apart(i), []Fingerprint{popular, other}[:1+min(other, 1)]...))
		}
		table.Update(after(3 * time.Second))
		if _, ok := table.Quarantined()[popular]; !ok {
			t.Errorf("%s: not quarantined", c.name)
		}
		contested := table.Implicated()[popular]
		if _, implicated := table.Implicated()[harmful]; contested != c.want || implicated != (c.others[0] == harmful) {
			t.Errorf("%s: contested %v, want %v; the harmful part is implicated: %v", c.name, contested, c.want, implicated)
		}
	}
}

// Guards against probing a harmful part, and convicting a popular one, as both were in flight at its crashes.
func TestAPartIsContestedByRarerPartsOfOtherPromptsOnly(t *testing.T) {
	for _, c := range []struct {
		name string
		// ends are those under the popular part, of which the first have harmful requests as well, and requests the
		// popular ones at each.
		ends, requests int
		want           bool
	}{
		{"more requests, as many ends", 4, 3, true},
		{"more requests, fewer ends", 3, 3, true},
		{"more requests, more ends", 5, 3, false},
		{"as many requests", 4, 1, false},
	} {
		table := NewTable()
		for i := range 4 {
			table.Add(after(0), partCrash(i, Fingerprint(i), apart(i), harmful))
		}
		for i := range c.ends {
			for n := range c.requests {
				table.Add(after(0), partCrash(i, Fingerprint(100+10*i+n), apart(i), popular))
			}
		}
		table.Update(after(3 * time.Second))
		if contested, implicated := table.Implicated()[popular]; contested != c.want || !implicated {
			t.Errorf("%s: the popular part is contested %v, want %v", c.name, contested, c.want)
		}
		if contested, implicated := table.Implicated()[harmful]; contested || !implicated {
			t.Errorf("%s: the harmful part is contested %v, implicated %v", c.name, contested, implicated)
		}
	}
}

// Guards against an instance that learns of a quarantine from heartbeats, but not that it is contested.
func TestHeartbeatsTellThatPartsAreContested(t *testing.T) {
	table, peer := NewTable(), NewTable()
	sharedEnds(table, 4)
	table.Update(after(3 * time.Second))
	for _, c := range table.HeartbeatCrashes(after(time.Minute)) {
		peer.Add(after(time.Minute), c)
	}
	peer.Update(after(time.Minute))
	for _, part := range []Fingerprint{popular, harmful} {
		if _, ok := peer.Quarantined()[part]; !ok || !peer.Implicated()[part] {
			t.Errorf("part %s: quarantined %v, contested %v", part, ok, peer.Implicated()[part])
		}
	}
}

// Guards against a quarantine without probes because processes that ended together count as no time.
func TestAQuarantinedPartIsContestedThoughItsCrashesNoLongerSuffice(t *testing.T) {
	table := NewTable()
	for i := range 3 {
		table.Add(after(0), partCrash(i, Fingerprint(i), apart(2*i), popular, harmful))
		table.Add(after(0), partCrash(i, Fingerprint(100+i), apart(2*i), popular))
	}
	table.Update(after(3 * time.Second))
	for i := range 2 {
		table.Add(after(3*time.Second), partCrash(10+i, Fingerprint(200+i), apart(4), harmful))
	}
	table.Update(after(3500 * time.Millisecond))
	if _, ok := table.Quarantined()[popular]; !ok || !table.Implicated()[popular] {
		t.Errorf("quarantined %v, contested %v", ok, table.Implicated()[popular])
	}
}
