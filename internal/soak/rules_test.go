package soak

import (
	"slices"
	"testing"
	"time"

	"heatherloom/platform/standin"
)

// day begins the times of the tests.
var day = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return day.Add(d) }

// rig is evidence with one instance in each region that nothing disturbs.
type rig struct {
	*evidence
	a, b *entry
}

func newRig() rig {
	a, b := &entry{id: "a-0", region: "a", starts: []time.Time{day}}, &entry{id: "b-0", region: "b", starts: []time.Time{day}}
	servers := map[string]*server{"s1": {}, "s2": {}}
	return rig{a: a, b: b, evidence: &evidence{
		runs: map[string][]standin.Run{}, entries: []*entry{a, b}, servers: servers, store: &spans{},
		versions:  []version{{1, at(0), serviceFirst}, {2, at(20 * time.Second), serviceSecond}},
		revoked:   map[string]time.Time{"old": at(10 * time.Second)},
		leaving:   map[string]time.Time{"s2": at(10 * time.Second)},
		evacuated: map[string][]span{"b-1": {{at(10 * time.Second), at(20 * time.Second)}}},
	}}
}

// add records a call sent at the instance of region a that ran at the given servers.
func (r rig) add(c call, runs ...standin.Run) {
	c.id = string(rune('a' + len(r.calls)))
	if c.entry == nil {
		c.entry = r.a
	}
	if c.ended.IsZero() {
		c.ended = c.sent.Add(50 * time.Millisecond)
	}
	for i := range runs {
		runs[i].RequestID = c.id
		if runs[i].At.IsZero() {
			runs[i].At = c.sent.Add(10 * time.Millisecond)
		}
	}
	r.calls = append(r.calls, c)
	r.runs[c.id] = runs
}

func (r rig) broken() []string {
	var names []string
	for _, v := range judge(r.evidence) {
		if !slices.Contains(names, v.Rule) {
			names = append(names, v.Rule)
		}
	}
	return names
}

func ran(server, domain, service string) standin.Run {
	return standin.Run{Server: server, Domain: domain, Service: service}
}

// Guards against a check that finds nothing, and against one that reports what is allowed.
func TestRulesFindWhatIsBroken(t *testing.T) {
	plain := ran("s1", "a-1", servicePlain)
	for _, c := range []struct {
		name string
		want string
		fill func(r rig)
	}{
		{"sound", "", func(r rig) { r.add(call{kind: kindWrite, sent: at(time.Second), result: whole}, plain) }},
		{"wrong answer", "answers", func(r rig) { r.add(call{kind: kindRead, sent: at(time.Second), result: wrong}, plain) }},
		{"write twice", "at_most_once", func(r rig) { r.add(call{kind: kindWrite, sent: at(time.Second), result: whole}, plain, plain) }},
		{"stream twice", "at_most_once", func(r rig) { r.add(call{kind: kindStream, sent: at(time.Second), result: failed}, plain, plain) }},
		{"read twice", "", func(r rig) { r.add(call{kind: kindRead, sent: at(time.Second), result: whole}, plain, plain) }},
		{"refused and ran", "true_refusals", func(r rig) { r.add(call{kind: kindWrite, sent: at(time.Second), result: refused}, plain) }},
		{"failed and ran", "", func(r rig) { r.add(call{kind: kindWrite, sent: at(time.Second), result: failed}, plain) }},
		{"key gone", "keys", func(r rig) { r.add(call{kind: kindRead, key: "old", sent: at(16 * time.Second), result: whole}, plain) }},
		{"key just gone", "", func(r rig) { r.add(call{kind: kindRead, key: "old", sent: at(14 * time.Second), result: whole}, plain) }},
		{"key gone, store away", "keys", func(r rig) {
			r.store.list = []span{{at(9 * time.Second), at(30 * time.Second)}}
			r.add(call{kind: kindRead, key: "old", sent: at(16 * time.Second), result: whole}, plain)
		}},
		{"not at home", "homes", func(r rig) { r.add(call{kind: kindBound, sent: at(time.Second), result: whole}, plain) }},
		{"at home", "", func(r rig) {
			r.add(call{kind: kindBound, sent: at(time.Second), result: whole}, ran("s1", "b-1", servicePlain))
		}},
		{"leaving server", "draining", func(r rig) {
			r.add(call{kind: kindRead, sent: at(14 * time.Second), result: whole}, ran("s2", "a-1", servicePlain))
		}},
		{"leaving server, instance restarted", "", func(r rig) {
			r.a.disturbed.list = []span{{at(9 * time.Second), at(10 * time.Second)}}
			r.add(call{kind: kindRead, sent: at(14 * time.Second), result: whole}, ran("s2", "a-1", servicePlain))
		}},
		{"evacuated", "evacuation", func(r rig) {
			r.add(call{kind: kindRead, sent: at(16 * time.Second), result: whole}, ran("s1", "b-1", servicePlain))
		}},
		{"evacuated, the other region paused", "", func(r rig) {
			r.b.disturbed.list = []span{{at(12 * time.Second), time.Time{}}}
			r.add(call{kind: kindRead, sent: at(16 * time.Second), result: whole}, ran("s1", "b-1", servicePlain))
		}},
		{"taken back", "", func(r rig) {
			r.add(call{kind: kindRead, sent: at(21 * time.Second), result: whole}, ran("s1", "b-1", servicePlain))
		}},
		{"old configuration", "configuration_age", func(r rig) {
			r.add(call{kind: kindMoving, sent: at(24 * time.Second), result: whole}, ran("s1", "a-1", serviceFirst))
		}},
		{"configuration under way", "", func(r rig) {
			r.add(call{kind: kindMoving, sent: at(22 * time.Second), result: whole}, ran("s1", "a-1", serviceFirst))
		}},
		{"back to an old configuration", "configuration_order", func(r rig) {
			r.add(call{kind: kindMoving, sent: at(21 * time.Second), result: whole}, ran("s1", "a-1", serviceSecond))
			r.add(call{kind: kindMoving, sent: at(22 * time.Second), result: whole}, ran("s1", "a-1", serviceFirst))
		}},
		{"old configuration after a restart", "", func(r rig) {
			r.a.starts = append(r.a.starts, at(21500*time.Millisecond))
			r.add(call{kind: kindMoving, sent: at(21 * time.Second), result: whole}, ran("s1", "a-1", serviceSecond))
			r.add(call{kind: kindMoving, sent: at(22 * time.Second), result: whole}, ran("s1", "a-1", serviceFirst))
		}},
		{"over the rate", "rates", func(r rig) { r.meter(400) }},
		{"within the rate", "", func(r rig) { r.meter(300) }},
		{"lost at a shutdown", "shutdown", func(r rig) {
			r.a.planned.list = []span{{at(time.Second), at(3 * time.Second)}}
			r.lose(plain)
		}},
		{"lost at a kill", "", func(r rig) {
			r.a.disturbed.list = []span{{at(time.Second), at(3 * time.Second)}}
			r.lose(plain)
		}},
		{"lost", "sound_connections", func(r rig) { r.lose(plain) }},
		{"lost by the server", "", func(r rig) {
			r.servers["s1"].disturbed.list = []span{{at(time.Second), at(3 * time.Second)}}
			r.lose(plain)
		}},
		{"held too long", "time_limits", func(r rig) {
			for range maxLate + 1 {
				r.add(call{kind: kindRead, sent: at(time.Second), ended: at(4 * time.Second), result: failed})
			}
		}},
	} {
		r := newRig()
		c.fill(r)
		got := r.broken()
		if c.want == "" && len(got) > 0 || c.want != "" && !slices.Equal(got, []string{c.want}) {
			t.Errorf("%s: broken rules %v, want %q", c.name, got, c.want)
		}
	}
}

// meter records requests of the metered account that ran within 4 s.
func (r rig) meter(n int) {
	for i := range n {
		sent := at(time.Duration(i) * 4 * time.Second / time.Duration(n))
		r.calls = append(r.calls, call{id: sent.String(), kind: kindMetered, entry: r.a, sent: sent, ended: sent, result: whole})
		r.runs[sent.String()] = []standin.Run{{Server: "s1", Domain: "a-1", Service: servicePlain, At: sent}}
	}
}

// lose records more requests without an answer than may happen.
func (r rig) lose(run standin.Run) {
	for range maxLost + 1 {
		r.add(call{kind: kindWrite, sent: at(2 * time.Second), result: broken, written: true}, run)
	}
}
