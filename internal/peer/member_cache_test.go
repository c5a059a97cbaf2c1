package peer

import (
	"context"
	"net/http"
	"testing"
	"time"

	"heatherloom/internal/control"
)

// Guards against members that do not learn of each other because one of them lost its
// cached member messages, as after a restart, and against known members sent in full.
func TestHeartbeatsReplaceRowsByDigests(t *testing.T) {
	ctx, end := context.WithCancel(context.Background())
	defer end()
	startLoop := func(id control.Identity) *control.Loop {
		loop := control.NewLoop(id)
		go loop.Run(ctx)
		return loop
	}
	near := control.Identity{ID: "near", Region: "hobart", PeerAddress: "n:1", CallerURL: "http://n", Incarnation: 1}
	far := control.Identity{ID: "far", Region: "burnie", Incarnation: 1}
	var server *Server
	far.PeerAddress = serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { server.Handler().ServeHTTP(w, r) }))
	h := &Heartbeater{Identity: near, Loop: startLoop(near), Client: NewClient("near", "s"), MemberCache: NewMemberCache()}
	restart := func() {
		far.Incarnation++
		server = &Server{Identity: far, Loop: startLoop(far), Secret: "s", MemberCache: NewMemberCache()}
	}
	checkPeers := func(step string) {
		t.Helper()
		h.sendHeartbeat(ctx, far.PeerAddress)
		time.Sleep(2 * control.TickInterval)
		atRecipient, atSender := server.Loop.Snapshot().Peers, h.Loop.Snapshot().Peers
		if len(atRecipient) != 1 || atRecipient[0].CallerURL != near.CallerURL || atRecipient[0].Incarnation != near.Incarnation {
			t.Fatalf("%s: the recipient knows %v", step, atRecipient)
		}
		if len(atSender) != 1 || atSender[0].Incarnation != far.Incarnation || atSender[0].Region != "burnie" {
			t.Fatalf("%s: the sender knows %v", step, atSender)
		}
	}
	restart()
	checkPeers("first heartbeat")
	checkPeers("second heartbeat")
	restart()
	checkPeers("after the recipient restarted")
	h.MemberCache = NewMemberCache()
	checkPeers("after the sender lost its cache")
	if self := h.MemberCache.compact(SelfMember(near, h.Loop.Snapshot())); self.GetId() != "" || self.GetCallerUrl() != "" || self.GetDigest() == 0 {
		t.Errorf("a known member is sent as %v", self)
	}
}
