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
	"heatherloom/internal/rollout"
)

// plainDocuments reads a value as the state of an upstream, or as a revision below "c".
type plainDocuments struct{}

func (plainDocuments) Decode(e external.Entry) (external.Document, error) {
	switch {
	case e.Key == "c":
		config := opconfig.New()
		config.Revision = int64(len(e.Value))
		return external.Document{Config: config}, nil
	case e.Key == "order":
		return external.Document{Rollout: &external.RolloutOrder{Service: "s", Version: string(e.Value), Within: time.Minute}}, nil
	case e.Key == "state":
		return external.Document{RolloutState: &external.RolloutState{Service: "s", Version: string(e.Value), State: rollout.Done}}, nil
	case strings.HasPrefix(e.Key, "entry-"):
		return external.Document{Upstream: &external.Instance{ID: e.Key, Role: external.RoleEntry, State: external.InstanceLive}}, nil
	case string(e.Value) == "broken":
		return external.Document{}, errors.New("broken")
	default:
		return external.Document{Upstream: &external.Instance{ID: e.Key, Role: external.RoleService, State: external.InstanceState(e.Value)}}, nil
	}
}

func (plainDocuments) EncodeInstance(external.Instance) (external.Entry, error) {
	return external.Entry{}, nil
}

func (plainDocuments) EncodeRolloutState(external.RolloutState) (external.Entry, error) {
	return external.Entry{}, nil
}

func testView() view {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return newView(plainDocuments{}, logrus.NewEntry(log))
}

func entry(key, value string, version int64) external.Entry {
	return external.Entry{Key: key, Value: []byte(value), Version: version}
}

func ids(v view) string {
	text := ""
	for _, i := range v.instances() {
		text += i.ID + "=" + string(i.State) + " "
	}
	return text
}

var start = time.Unix(1000, 0)

// Guards against a late or stale reading that brings back what was known to have changed:
// a leaving upstream that looks live again, or an older configuration.
func TestViewNeverGoesBack(t *testing.T) {
	v := testView()
	v.replace([]external.Entry{entry("a", "live", 5), entry("c", "xxx", 6)}, start, time.Time{})
	v.change(external.WatchEvent{Entry: entry("a", "leaving", 9)}, start, time.Time{})
	v.replace([]external.Entry{entry("a", "live", 5), entry("c", "xx", 4)}, start, time.Time{})
	if got := ids(v); got != "a=leaving " {
		t.Errorf("upstreams %q", got)
	}
	if v.config.Revision != 3 {
		t.Errorf("revision %d", v.config.Revision)
	}
	v.change(external.WatchEvent{Entry: external.Entry{Key: "a", Version: 7}, Deleted: true}, start, time.Time{})
	if got := ids(v); got != "a=leaving " {
		t.Errorf("a removal older than the row took effect: %q", got)
	}
}

// Guards against an upstream that left while history was lost and still gets requests,
// and against one that is dropped because its row lapsed in an outage of the store.
func TestViewRowsThatVanish(t *testing.T) {
	all := []external.Entry{entry("a", "live", 1), entry("b", "live", 2)}
	lapsed := start.Add(lapseGrace)
	for _, c := range []struct {
		name        string
		lapsedUntil time.Time
		after       time.Duration
		back        bool
		want        string
	}{
		{"store was well", time.Time{}, 0, false, "a=live "},
		{"store was away, at once", lapsed, 0, false, "a=live b=live "},
		{"store was away, later", lapsed, lapseGrace, false, "a=live "},
		{"store was away, row came back", lapsed, lapseGrace, true, "a=live b=live "},
	} {
		v := testView()
		v.replace(all, start, time.Time{})
		v.replace(all[:1], start, c.lapsedUntil)
		if c.back {
			v.change(external.WatchEvent{Entry: entry("b", "live", 9)}, start.Add(time.Second), c.lapsedUntil)
		}
		v.expire(start.Add(c.after))
		if got := ids(v); got != c.want {
			t.Errorf("%s: upstreams %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against one unreadable row that hides the others, and against a row that was
// readable once and still names an upstream after it became unreadable.
func TestViewUnreadableRowsCountAsAbsent(t *testing.T) {
	v := testView()
	v.replace([]external.Entry{entry("a", "live", 1), entry("b", "broken", 2), entry("d", "live", 3)}, start, time.Time{})
	v.change(external.WatchEvent{Entry: entry("d", "broken", 4)}, start, time.Time{})
	if got := ids(v); got != "a=live " {
		t.Errorf("upstreams %q", got)
	}
}

// Guards against an order that counts as done because an earlier one of the same version, or
// one of another version, was; and against a deadline that moves with each reading.
func TestViewMatchesStatesToTheirOrders(t *testing.T) {
	for _, c := range []struct {
		name    string
		entries []external.Entry
		want    rollout.State
	}{
		{"no state", []external.Entry{entry("order", "v2", 5)}, rollout.Sharing},
		{"done", []external.Entry{entry("order", "v2", 5), entry("state", "v2", 6)}, rollout.Done},
		{"done before", []external.Entry{entry("order", "v2", 5), entry("state", "v2", 4)}, rollout.Sharing},
		{"another version", []external.Entry{entry("order", "v2", 5), entry("state", "v1", 6)}, rollout.Sharing},
	} {
		v := testView()
		v.replace(c.entries, start, time.Time{})
		v.replace(c.entries, start.Add(10*time.Second), time.Time{})
		orders := v.orders()
		if len(orders) != 1 || orders[0].State != c.want || orders[0].Recorded != (c.want == rollout.Done) || !orders[0].Deadline.Equal(start.Add(time.Minute)) {
			t.Errorf("%s: %+v", c.name, orders)
		}
	}
}

// The rows of leaving upstreams that never say so vanish. Guards against a large fleet, whose
// instances read less often, that takes the time between two of its reads for an outage of
// the service and goes on sending to such upstreams.
func TestAVanishedRowIsGoneAtOnceInALargeFleetToo(t *testing.T) {
	for _, instances := range []int{8, 78} {
		f := &Feed{view: testView()}
		rows := []external.Entry{entry("up", "live", 1)}
		for i := range instances {
			rows = append(rows, entry(fmt.Sprint("entry-", i), "live", 2))
		}
		f.view.replace(rows, start, time.Time{})
		f.answered = start
		usual, late := start.Add(f.interval()), start.Add(f.interval()+time.Second)
		if until := f.lapsedUntil(usual); until.After(usual) {
			t.Errorf("%d instances: vanished rows count until %s after the usual read", instances, until.Sub(usual))
		}
		if until := f.lapsedUntil(late); !until.After(late) {
			t.Errorf("%d instances: vanished rows are gone at once after an outage", instances)
		}
	}
}
