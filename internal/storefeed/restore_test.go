package storefeed

import (
	"testing"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/rollout"
)

func (v *view) write(at time.Duration, e external.Entry) {
	v.apply(external.WatchEvent{Entry: e}, start.Add(at), time.Time{})
}

// Guards against an upstream that left and gets requests again, and against one that is dropped
// although it runs, because the store was restored from a copy.
func TestRestoredStoreDoesNotReviveUpstreams(t *testing.T) {
	copied := []external.Entry{entry("a", "live", 1), entry("b", "live", 2), entry("d", "live", 3)}
	v := testView()
	v.replace(copied, start, time.Time{})
	v.write(0, entry("a", "leaving", 4))
	v.apply(external.WatchEvent{Entry: external.Entry{Key: "b", ModRevision: 5}, Deleted: true}, start, time.Time{})
	v.write(0, entry("e", "live", 6))
	v.restore(copied, start)
	if got := ids(v); got != "a=leaving d=live e=live " {
		t.Errorf("after the restore: %q", got)
	}
	v.replace(copied, start.Add(time.Second), time.Time{})
	if got := ids(v); got != "a=leaving d=live e=live " {
		t.Errorf("after another full read: %q", got)
	}
	v.write(time.Second, entry("e", "leaving", 4))
	v.write(time.Second, entry("b", "live", 5))
	v.expire(start.Add(upstreamRestoreGrace))
	if got := ids(v); got != "a=live b=live d=live e=leaving " {
		t.Errorf("after the grace period: %q", got)
	}
}

// Guards against a rollout that runs again after its end, or never again, because the store was
// restored from a copy and its revisions start over.
func TestRestoredStoreKeepsRollouts(t *testing.T) {
	order, done := entry("order", "v2", 50), entry("state", "v2", 51)
	for _, c := range []struct {
		name      string
		copied    []external.Entry
		writes    []external.Entry
		at        time.Duration
		want      rollout.State
		recorded  bool
		revision  int64
		deadlines bool
	}{
		{"neither in the copy", nil, nil, 0, rollout.Done, false, 0, true},
		{"order in the copy", []external.Entry{entry("order", "v2", 50)}, nil, 0, rollout.Done, false, 0, true},
		{"both in the copy", []external.Entry{order, done}, nil, 0, rollout.Done, true, 51, true},
		{"order written again", nil, []external.Entry{entry("order", "v2", 7)}, time.Second, rollout.Done, false, 0, true},
		{"both written again", nil, []external.Entry{entry("state", "v2", 7), entry("order", "v2", 8)}, time.Second, rollout.Done, true, 7, true},
		{"an older order in the copy", []external.Entry{entry("order", "v1", 3)}, nil, time.Second, rollout.Done, false, 0, true},
		{"an older state in the copy", []external.Entry{entry("order", "v2", 3), entry("state", "v1", 2)}, nil, time.Second, rollout.Done, false, 2, true},
		{"a new order", nil, []external.Entry{entry("order", "v3", 7)}, time.Second, rollout.Serving, false, 0, false},
		{"the same order much later", []external.Entry{order, done}, []external.Entry{entry("order", "v2", 60)}, time.Minute, rollout.Serving, false, 51, false},
	} {
		v := testView()
		v.replace([]external.Entry{order, done}, start, time.Time{})
		v.serviceRollouts()
		v.restore(c.copied, start)
		for _, e := range c.writes {
			v.write(c.at, e)
		}
		got := v.serviceRollouts()
		if len(got) != 1 || got[0].State != c.want || got[0].Recorded != c.recorded || got[0].Revision != c.revision || got[0].Deadline.Equal(start.Add(time.Minute)) != c.deadlines {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

// Guards against orders of the operators that end although they are about to be written again, or
// that never end, and against quarantines and instances that the others forget.
func TestRestoredStoreKeepsWhatIsNotWrittenYet(t *testing.T) {
	const f = "quarantine-00000000000000aa"
	v := testView()
	v.replace([]external.Entry{entry("order", "v2", 1), entry(f, "", 2), entry("entry-x", "", 3)}, start, time.Time{})
	v.restore(nil, start.Add(time.Second))
	v.expire(start.Add(restoreGrace))
	if len(v.serviceRollouts()) != 1 || len(v.quarantines()) != 1 || v.entryInstances() != 1 {
		t.Errorf("forgotten within the grace period: %v", v.rows)
	}
	for _, stored := range v.quarantines() {
		if stored.Revision != 0 {
			t.Errorf("the quarantine counts as stored: %+v", stored)
		}
	}
	v.expire(start.Add(2 * restoreGrace))
	if len(v.serviceRollouts()) != 0 || len(v.quarantines()) != 1 || v.entryInstances() != 1 {
		t.Errorf("after the grace period: %v", v.rows)
	}
	v.write(time.Minute, entry(f, "", 4))
	for _, stored := range v.quarantines() {
		if stored.Revision != 4 || !stored.Until.Equal(start.Add(10*time.Minute)) {
			t.Errorf("the quarantine began anew: %+v", stored)
		}
	}
}

// Guards against API keys that were taken away by a configuration that a restored store has lost, and
// that an instance goes on admitting because it takes the older configuration for the latest one.
func TestRestoredStoreDoesNotConfirmItsConfiguration(t *testing.T) {
	v := testView()
	v.replace([]external.Entry{entry("c", "x", 5)}, start, time.Time{})
	if !v.configConfirmed(start) {
		t.Error("not confirmed before the restore")
	}
	restored := start.Add(time.Second)
	v.restore([]external.Entry{entry("c", "x", 5)}, restored)
	if v.configConfirmed(restored.Add(confirmGrace - time.Millisecond)) {
		t.Error("confirmed although a later one may be lost")
	}
	if !v.configConfirmed(restored.Add(confirmGrace)) {
		t.Error("never confirmed")
	}
	v.write(2*time.Second, entry("c", "xx", 6))
	if !v.configConfirmed(start.Add(2 * time.Second)) {
		t.Error("not confirmed after it was written again")
	}
}

// Guards against keys that are admitted again because a later configuration in the copy is taken for an older one.
func TestRestoredStoreWithALaterConfigurationPutsItInForce(t *testing.T) {
	for _, c := range []struct {
		name         string
		read, copied external.Entry
		want         int64
	}{
		{"written before the copy was made", entry("c", "x", 5), entry("c", "xx", 7), 2},
		{"written again at a lower revision", entry("c", "x", 9), entry("c", "xx", 7), 2},
		{"older", entry("c", "xx", 9), entry("c", "x", 7), 2},
	} {
		v := testView()
		v.replace([]external.Entry{c.read}, start, time.Time{})
		restored := start.Add(time.Second)
		v.restore([]external.Entry{c.copied}, restored)
		if v.config.Revision != c.want {
			t.Errorf("%s: configuration %d is in force, want %d", c.name, v.config.Revision, c.want)
		}
		if v.configConfirmed(restored.Add(confirmGrace - time.Millisecond)) {
			t.Errorf("%s: confirmed although a later one may be lost", c.name)
		}
		if !v.configConfirmed(restored.Add(confirmGrace)) {
			t.Errorf("%s: never confirmed", c.name)
		}
	}
}

// Guards against orders and upstreams that stay as read before although the copy holds later ones.
func TestRestoredStoreWithLaterRowsPutsThemInForce(t *testing.T) {
	read := []external.Entry{entry("a", "live", 1), entry("order", "v1", 2), entry("state", "v1", 3)}
	v := testView()
	v.replace(read, start, time.Time{})
	v.serviceRollouts()
	v.restore([]external.Entry{entry("a", "leaving", 4), entry("order", "v2", 5), entry("state", "v2", 6)}, start.Add(time.Second))
	if got := ids(v); got != "a=leaving " {
		t.Errorf("upstreams: %q", got)
	}
	if got := v.serviceRollouts(); len(got) != 1 || got[0].Version != "v2" || got[0].State != rollout.Done || !got[0].Recorded {
		t.Errorf("rollouts: %+v", got)
	}
}

// Guards against taking the revision of the row in the first copy for that of the retained row.
func TestRowsRetainedThroughTwoRestoresAreNotReplacedByOlderOnes(t *testing.T) {
	v := testView()
	v.replace([]external.Entry{entry("order", "v2", 50)}, start, time.Time{})
	v.restore([]external.Entry{entry("order", "v1", 3)}, start.Add(time.Second))
	v.restore([]external.Entry{entry("order", "v1", 4)}, start.Add(2*time.Second))
	if got := v.serviceRollouts(); len(got) != 1 || got[0].Version != "v2" {
		t.Errorf("rollouts: %+v", got)
	}
}
