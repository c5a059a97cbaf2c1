package quarantine

import (
	"testing"
	"time"
)

// Guards against many requests with a part that may be harmful, and against a part that no instance probes.
func TestOneProbeAtATime(t *testing.T) {
	const part = Fingerprint(7)
	rank := func(n int) func() int { return func() int { return n } }
	var first, second Probes
	if !first.Begin(after(0), part, rank(0)) {
		t.Fatal("the first instance sends no probe")
	}
	if first.Begin(after(0), part, rank(0)) || first.Begin(after(probeInterval), part, rank(0)) {
		t.Error("a second probe while the first one runs")
	}
	if !first.Begin(after(0), part+1, rank(0)) {
		t.Error("no probe for another part")
	}
	first.End(after(time.Second), part, false)
	if !first.Begin(after(time.Second), part, rank(0)) {
		t.Error("no probe after one that reached no upstream")
	}
	first.End(after(2*time.Second), part, true)
	if first.Begin(after(time.Second+probeInterval-1), part, rank(0)) {
		t.Error("two probes within probeInterval")
	}
	if !first.Begin(after(time.Second+probeInterval), part, rank(0)) {
		t.Error("no probe after probeInterval")
	}
	if second.Begin(after(0), part, rank(1)) || second.Begin(after(probeTakeover-1), part, rank(1)) {
		t.Error("the second instance does not wait for the first")
	}
	if !second.Begin(after(probeTakeover), part, rank(1)) {
		t.Error("the second instance never takes over")
	}
	second.End(after(2*probeTakeover), part, true)
	if second.Begin(after(time.Hour), part, rank(1)) {
		t.Error("the second instance does not wait for the first when the part is contested again")
	}
}
