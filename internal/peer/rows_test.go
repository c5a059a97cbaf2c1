package peer

import (
	"context"
	"net/http"
	"testing"
	"time"

	"heatherloom/internal/control"
)

// Guards against members that do not learn of each other because one of them lost the
// rows of the other, as after a restart, and against rows that are sent whole again.
func TestHeartbeatsReplaceRowsByDigests(t *testing.T) {
	ctx, end := context.WithCancel(context.Background())
	defer end()
	loopOf := func(id control.Identity) *control.Loop {
		loop := control.NewLoop(id)
		go loop.Run(ctx)
		return loop
	}
	near := control.Identity{ID: "near", Region: "hobart", PeerAddress: "n:1", CallerURL: "http://n", Incarnation: 1}
	far := control.Identity{ID: "far", Region: "burnie", Incarnation: 1}
	var server *Server
	far.PeerAddress = serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { server.Handler().ServeHTTP(w, r) }))
	h := &Heartbeater{Identity: near, Loop: loopOf(near), Client: NewClient("near", "s"), Rows: NewRows()}
	restart := func() {
		far.Incarnation++
		server = &Server{Identity: far, Loop: loopOf(far), Secret: "s", Rows: NewRows()}
	}
	expect := func(what string) {
		t.Helper()
		h.beat(ctx, far.PeerAddress)
		time.Sleep(2 * control.TickInterval)
		there, here := server.Loop.Snapshot().Peers, h.Loop.Snapshot().Peers
		if len(there) != 1 || there[0].CallerURL != near.CallerURL || there[0].Incarnation != near.Incarnation {
			t.Fatalf("%s: the recipient knows %v", what, there)
		}
		if len(here) != 1 || here[0].Incarnation != far.Incarnation || here[0].Region != "burnie" {
			t.Fatalf("%s: the sender knows %v", what, here)
		}
	}
	restart()
	expect("first heartbeat")
	expect("second heartbeat")
	restart()
	expect("after the recipient restarted")
	h.Rows = NewRows()
	expect("after the sender lost its rows")
	if row := h.Rows.short(SelfMember(near, h.Loop.Snapshot())); row.GetId() != "" || row.GetCallerUrl() != "" || row.GetDigest() == 0 {
		t.Errorf("a known row is sent as %v", row)
	}
}
