package storefeed

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/external"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/rollout"
)

// fakeDocuments decodes a value as the state of an upstream, and keys with a special meaning
// as an order, a rollout state, an entry instance or a configuration. The revision of the
// configuration at key "c" is the length of the value.
type fakeDocuments struct{}

func (fakeDocuments) Decode(e external.Entry) (external.Document, error) {
	switch {
	case e.Key == "c":
		config := opconfig.New()
		config.Revision = int64(len(e.Value))
		return external.Document{Config: config}, nil
	case e.Key == "order":
		return external.Document{Rollout: &external.RolloutOrder{Service: "s", Version: string(e.Value), TimeLimit: time.Minute}}, nil
	case e.Key == "state":
		return external.Document{RolloutState: &external.RolloutState{Service: "s", Version: string(e.Value), State: rollout.Done}}, nil
	case strings.HasPrefix(e.Key, "quarantine-"):
		f, err := quarantine.ParseFingerprint(strings.TrimPrefix(e.Key, "quarantine-"))
		return external.Document{Quarantined: &f}, err
	case strings.HasPrefix(e.Key, "entry-"):
		return external.Document{Instance: &external.Instance{ID: e.Key, Role: external.RoleEntry, State: external.InstanceLive}}, nil
	case string(e.Value) == "broken":
		return external.Document{}, errors.New("broken")
	case strings.HasPrefix(e.Key, "version-"):
		return external.Document{Instance: &external.Instance{ID: e.Key, Role: external.RoleService, Service: "s", Version: string(e.Value)}}, nil
	default:
		return external.Document{Instance: &external.Instance{ID: e.Key, Role: external.RoleService, State: external.InstanceState(e.Value)}}, nil
	}
}

func (fakeDocuments) EncodeInstance(external.Instance) (external.Entry, error) {
	return external.Entry{}, nil
}

func (fakeDocuments) EncodeRolloutState(external.RolloutState) (external.Entry, error) {
	return external.Entry{}, nil
}

func (fakeDocuments) EncodeQuarantine(f quarantine.Fingerprint) (external.Entry, error) {
	return external.Entry{Key: "quarantine-" + f.String()}, nil
}

func testView() view {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return newView(fakeDocuments{}, logrus.NewEntry(log))
}

func entry(key, value string, version int64) external.Entry {
	return external.Entry{Key: key, Value: []byte(value), ModRevision: version}
}

func ids(v view) string {
	text := ""
	for _, i := range v.instances() {
		text += i.ID + "=" + string(i.State) + " "
	}
	return text
}

var start = time.Unix(1000, 0)

// Guards against a delayed or stale read that restores an outdated state: a draining
// upstream that appears live again, or an older configuration.
func TestViewNeverGoesBack(t *testing.T) {
	v := testView()
	v.replace([]external.Entry{entry("a", "live", 5), entry("c", "xxx", 6)}, start, time.Time{})
	v.apply(external.WatchEvent{Entry: entry("a", "leaving", 9)}, start, time.Time{})
	v.replace([]external.Entry{entry("a", "live", 5), entry("c", "xx", 4)}, start, time.Time{})
	if got := ids(v); got != "a=leaving " {
		t.Errorf("upstreams %q", got)
	}
	if v.config.Revision != 3 {
		t.Errorf("revision %d", v.config.Revision)
	}
	v.apply(external.WatchEvent{Entry: external.Entry{Key: "a", ModRevision: 7}, Deleted: true}, start, time.Time{})
	if got := ids(v); got != "a=leaving " {
		t.Errorf("a deletion older than the row was applied: %q", got)
	}
}

// Guards against an upstream that left while the change history was lost and still gets
// requests, and against one that is removed because its row expired during an outage of the
// store.
func TestViewRowsThatVanish(t *testing.T) {
	all := []external.Entry{entry("a", "live", 1), entry("b", "live", 2)}
	graceEnd := start.Add(expiryGrace)
	for _, c := range []struct {
		name      string
		keepUntil time.Time
		after     time.Duration
		rewritten bool
		want      string
	}{
		{"store was well", time.Time{}, 0, false, "a=live "},
		{"store was away, at once", graceEnd, 0, false, "a=live b=live "},
		{"store was away, later", graceEnd, expiryGrace, false, "a=live "},
		{"store was away, row came back", graceEnd, expiryGrace, true, "a=live b=live "},
	} {
		v := testView()
		v.replace(all, start, time.Time{})
		v.replace(all[:1], start, c.keepUntil)
		if c.rewritten {
			v.apply(external.WatchEvent{Entry: entry("b", "live", 9)}, start.Add(time.Second), c.keepUntil)
		}
		v.expire(start.Add(c.after))
		if got := ids(v); got != c.want {
			t.Errorf("%s: upstreams %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against a row that cannot be decoded and hides the others, and against a row that
// still yields an upstream after a value that cannot be decoded was written to it.
func TestViewUnreadableRowsCountAsAbsent(t *testing.T) {
	v := testView()
	v.replace([]external.Entry{entry("a", "live", 1), entry("b", "broken", 2), entry("d", "live", 3)}, start, time.Time{})
	v.apply(external.WatchEvent{Entry: entry("d", "broken", 4)}, start, time.Time{})
	if got := ids(v); got != "a=live " {
		t.Errorf("upstreams %q", got)
	}
}

// Guards against a service rollout that counts as done because an earlier rollout of the same
// version or a rollout of another version was done, and against a deadline that moves with
// each read.
func TestViewMatchesStatesToTheirOrders(t *testing.T) {
	for _, c := range []struct {
		name    string
		entries []external.Entry
		want    rollout.State
	}{
		{"no state", []external.Entry{entry("order", "v2", 5)}, rollout.Serving},
		{"done", []external.Entry{entry("order", "v2", 5), entry("state", "v2", 6)}, rollout.Done},
		{"done before", []external.Entry{entry("order", "v2", 5), entry("state", "v2", 4)}, rollout.Serving},
		{"another version", []external.Entry{entry("order", "v2", 5), entry("state", "v1", 6)}, rollout.Serving},
	} {
		v := testView()
		v.replace(c.entries, start, time.Time{})
		v.replace(c.entries, start.Add(10*time.Second), time.Time{})
		rollouts := v.serviceRollouts()
		if len(rollouts) != 1 || rollouts[0].State != c.want || rollouts[0].Recorded != (c.want == rollout.Done) || !rollouts[0].Deadline.Equal(start.Add(time.Minute)) {
			t.Errorf("%s: %+v", c.name, rollouts)
		}
	}
}

// Guards against a candidate that gets all requests because the upstreams of the other version have
// crashed everywhere, and against one that never gets them although it is the only version.
func TestViewKnowsWhetherAnotherVersionWasListed(t *testing.T) {
	order, candidate, running := entry("order", "v2", 5), entry("version-a", "v2", 1), entry("version-b", "v1", 2)
	for _, c := range []struct {
		name   string
		reads  [][]external.Entry
		wanted bool
	}{
		{"the only version", [][]external.Entry{{order, candidate}}, true},
		{"another version", [][]external.Entry{{order, candidate, running}}, false},
		{"another version that crashed", [][]external.Entry{{order, candidate, running}, {order, candidate}}, false},
	} {
		v := testView()
		var got []rollout.ServiceRollout
		for _, read := range c.reads {
			v.replace(read, start, time.Time{})
			got = v.serviceRollouts()
		}
		if len(got) != 1 || got[0].OnlyVersion != c.wanted {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

// Guards against sending requests to upstreams that left, in a large fleet. Upstreams that
// leave without reporting it are known only by their missing row. Instances of a large fleet
// read less often and must not take the time between two reads for an outage of the service.
func TestAVanishedRowIsGoneAtOnceInALargeFleetToo(t *testing.T) {
	for _, instances := range []int{8, 78} {
		f := &Feed{view: testView()}
		rows := []external.Entry{entry("up", "live", 1)}
		for i := range instances {
			rows = append(rows, entry(fmt.Sprint("entry-", i), "live", 2))
		}
		f.view.replace(rows, start, time.Time{})
		f.lastSuccess = start
		regular, overdue := start.Add(f.interval()), start.Add(f.interval()+time.Second)
		if until := f.keepExpiredUntil(regular); until.After(regular) {
			t.Errorf("%d instances: missing rows are kept until %s after a regular read", instances, until.Sub(regular))
		}
		if until := f.keepExpiredUntil(overdue); !until.After(overdue) {
			t.Errorf("%d instances: missing rows are removed at once after an outage", instances)
		}
	}
}
