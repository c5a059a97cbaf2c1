package control

import (
	"testing"
	"time"

	"heatherloom/internal/external"
)

// Guards against an announced end that moves each time the row is read, is forgotten with an older row, or is taken over by
// the next process.
func TestTheAnnouncedEndOfAnUpstreamIsNotExtended(t *testing.T) {
	const start = int64(1000)
	begin := time.Unix(5000, 0)
	type reading struct {
		at, listed, remaining time.Duration
		startedAt             int64
	}
	for _, c := range []struct {
		name     string
		readings []reading
		// want is the end after begin; 0 if none is known.
		want time.Duration
	}{
		{"no end", []reading{{0, 0, 0, start}}, 0},
		{"one row", []reading{{2 * time.Second, time.Second, 30 * time.Second, start}}, 31 * time.Second},
		{"the same row again", []reading{{0, 0, 30 * time.Second, start}, {5 * time.Second, 0, 30 * time.Second, start}}, 30 * time.Second},
		{"written again without a change", []reading{{0, 0, 30 * time.Second, start}, {5 * time.Second, 5 * time.Second, 30 * time.Second, start}}, 30 * time.Second},
		{"written again with less", []reading{{0, 0, 30 * time.Second, start}, {5 * time.Second, 5 * time.Second, 10 * time.Second, start}}, 15 * time.Second},
		{"time of the reading unknown", []reading{{time.Second, -1, 30 * time.Second, start}, {5 * time.Second, -1, 30 * time.Second, start}}, 31 * time.Second},
		{"an older row is restored", []reading{{0, 0, 30 * time.Second, start}, {5 * time.Second, 5 * time.Second, 0, start}}, 30 * time.Second},
		{"it did not end", []reading{{0, 0, 30 * time.Second, start}, {35 * time.Second, 35 * time.Second, 0, start}}, 0},
		{"another process", []reading{{0, 0, 30 * time.Second, start}, {5 * time.Second, 5 * time.Second, 0, start + 1}}, 0},
	} {
		tb := newTables(Identity{ID: "i", Region: "a"})
		now := begin
		for _, r := range c.readings {
			now = begin.Add(r.at)
			row := external.Instance{ID: "u", Role: external.RoleService, Region: "a", Service: "s", Address: "x", GoneAfter: r.remaining, StartedAtUnixMilli: r.startedAt}
			if r.listed >= 0 {
				row.ListedAt = begin.Add(r.listed)
			}
			InstancesEvent{Instances: []external.Instance{row}}.apply(tb, now)
		}
		want := int64(0)
		if c.want != 0 {
			want = begin.Add(c.want).UnixNano()
		}
		if got := buildSnapshot(tb, now).Upstreams[0].GoneAt; got != want {
			t.Errorf("%s: the end is %s after the first row, want %s", c.name, time.Duration(got-begin.UnixNano()), c.want)
		}
	}
}
