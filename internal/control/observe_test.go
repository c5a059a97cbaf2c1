package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/external"
	"heatherloom/internal/membership"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/routing"
	"heatherloom/internal/timeline"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

var _ = Describe("the observer", func() {
	// Guards against a timeline that misses a state change or repeats it on every tick.
	It("records each change of configuration, members and upstreams once", func() {
		loop := NewLoop(Identity{ID: "self", Region: "r"})
		recorder := timeline.NewRecorder("self", timeline.NewClock(time.Now), 1, 64)
		ticks := 0
		loop.SetObserver(Observer{Timeline: recorder, Tick: func(time.Duration) { ticks++ }})
		now := time.Now()
		step := func(events ...Event) {
			for _, e := range events {
				loop.Post(GinkgoT().Context(), e)
			}
			loop.tick(now)
			loop.tick(now)
		}
		config := opconfig.New()
		config.Revision = 3
		engines := func(ids ...string) InstancesEvent {
			var e InstancesEvent
			for _, id := range ids {
				e.Instances = append(e.Instances, external.Instance{ID: id, Role: external.RoleEngine, Region: "r"})
			}
			return e
		}
		step(ConfigEvent{Config: config}, engines("e1", "e3"), HeartbeatEvent{Peer: routing.Peer{ID: "p", Region: "r"}})
		step(engines("e2", "e3"), HeartbeatEvent{Peer: routing.Peer{ID: "p", Region: "r", Draining: true}})
		loop.tables.upstreams["e3"].counters.ConsecutiveFailures.Store(routing.FailuresToPause)
		step()
		now = now.Add(membership.DropAfter + time.Second)
		step()

		var seen []string
		for _, e := range recorder.Since(0) {
			seen = append(seen, fmt.Sprint(e.Kind, " ", e.Upstream, e.Detail))
		}
		Expect(seen).To(Equal([]string{
			"config_in_force revision 3", "member_up p in region r", "upstream_up e1listed", "upstream_up e3listed",
			"member_draining p", "upstream_down e1no longer listed", "upstream_up e2listed",
			"upstream_down e3repeated failures",
			"member_down p in region r", "upstream_up e3probe allowed",
		}))
		Expect(ticks).To(Equal(8))
	})
})

// Guards against members of a large fleet that are reported as down because no message named them for some seconds,
// and against ones of the own failure domain whose end is not reported.
func TestOnlyMembersThatAreHeardOfAllTheTimeAreReported(t *testing.T) {
	loop := NewLoop(Identity{ID: "self", Region: "r", FailureDomain: "d"})
	recorder := timeline.NewRecorder("self", timeline.NewClock(time.Now), 1, 64)
	loop.SetObserver(Observer{Timeline: recorder})
	now := time.Now()
	for i := range membership.MaxFullMeshMembers + 4 {
		loop.Post(t.Context(), HeartbeatEvent{Peer: routing.Peer{ID: fmt.Sprint("far-", i), Region: "r", FailureDomain: "other"}})
	}
	loop.tick(now)
	loop.Post(t.Context(), HeartbeatEvent{Peer: routing.Peer{ID: "near", Region: "r", FailureDomain: "d"}})
	loop.tick(now.Add(time.Second))
	loop.tick(now.Add(time.Second + membership.DropAfter/2))
	loop.Post(t.Context(), HeartbeatEvent{Peer: routing.Peer{ID: "far-0", Region: "r", FailureDomain: "other"}})
	for i := range membership.MaxFullMeshMembers {
		loop.Post(t.Context(), HeartbeatEvent{Peer: routing.Peer{ID: fmt.Sprint("far-", i), Region: "r", FailureDomain: "other"}})
	}
	loop.tick(now.Add(membership.DropAfter))
	loop.tick(now.Add(membership.DropAfter + 2*time.Second))
	var seen []string
	for _, e := range recorder.Since(0) {
		seen = append(seen, fmt.Sprint(e.Kind, " ", e.Detail))
	}
	if want := []string{"member_up near in region r", "member_down near in region r"}; !slices.Equal(seen, want) {
		t.Errorf("the timeline has %v, want %v", seen, want)
	}
}
