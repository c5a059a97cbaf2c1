package peer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherloom/internal/control"
	"heatherloom/internal/dispatch"
	"heatherloom/internal/errkind"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/relay"
	"heatherloom/internal/retry"
	"heatherloom/internal/routing"
	"heatherloom/internal/standin/faultproxy"
)

// idProtocol is a relay.Protocol that names the request and the last event.
type idProtocol struct{}

func (idProtocol) EncodeAttempt(h http.Header, a *relay.Attempt, _ time.Duration) {
	h.Set("Id", a.RequestID)
	if a.StreamPosition != nil {
		h.Set("After", fmt.Sprint(a.StreamPosition.LastEventID))
	}
}

func (idProtocol) DecodeResponse(_ int, h http.Header) relay.ResponseMetadata {
	return relay.ResponseMetadata{RequestID: h.Get("Id"), Signed: true}
}

// peerFirst picks the first peer and then the first upstream that were not tried.
type peerFirst struct{}

func (peerFirst) Name() string { return "peer first" }

func (peerFirst) Pick(s *routing.Snapshot, r *routing.Request, _ *routing.Scratch) (routing.Choice, error) {
	for i := range s.Peers {
		if !slices.Contains(r.Tried, s.Peers[i].ID) {
			return routing.Choice{Upstream: -1, Peer: int32(i)}, nil
		}
	}
	for i := range s.Upstreams {
		if !slices.Contains(r.Tried, s.Upstreams[i].ID) {
			return routing.Choice{Upstream: int32(i), Peer: -1}, nil
		}
	}
	return routing.Choice{}, errkind.New(errkind.NoUpstream, "none is left")
}

const lastEvent = 5

// streamUpstream sends event 1, or the event after the last one, and the rest once released. Requests that do not
// ask for a stream are answered once released. It counts the requests by path.
type streamUpstream struct {
	*httptest.Server
	begun atomic.Int64
	mu    sync.Mutex
	paths map[string]int
}

func startStreamUpstream(t *testing.T, release <-chan struct{}) *streamUpstream {
	u := &streamUpstream{paths: map[string]int{}}
	u.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.mu.Lock()
		u.paths[r.RequestURI]++
		u.mu.Unlock()
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Id", r.Header.Get("Id"))
		after, err := strconv.Atoi(r.Header.Get("After"))
		if err != nil {
			u.begun.Add(1)
			wait(r.Context(), release)
			_, _ = io.WriteString(w, "done")
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for id := after + 1; id <= lastEvent; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: d%d\n\n", id, id)
			_ = http.NewResponseController(w).Flush()
			if id == after+1 {
				u.begun.Add(1)
				wait(r.Context(), release)
			}
		}
	}))
	t.Cleanup(u.Close)
	return u
}

func wait(ctx context.Context, release <-chan struct{}) {
	select {
	case <-release:
	case <-ctx.Done():
	}
}

func newHostDispatcher(s *routing.Snapshot, forwarder dispatch.Forwarder, limits retry.Limits) *dispatch.Dispatcher {
	s.Quarantined, s.InstanceCount = quarantine.Set{}, 1
	return &dispatch.Dispatcher{
		Snapshot: func() *routing.Snapshot { return s }, Relay: relay.New(relay.DefaultLimits()), Forwarder: forwarder,
		ServicePolicy: peerFirst{}, Protocol: idProtocol{}, ServiceRetryBudgets: retry.NewBudgets(limits),
	}
}

// lostConnRig is an instance that forwards to another over a proxy. Both reach an upstream of their own.
type lostConnRig struct {
	own  *dispatch.Dispatcher
	link *faultproxy.Proxy
	far  *streamUpstream
	near *streamUpstream
	// finish lets the upstream of the other instance complete its responses.
	finish func()
}

func startLostConnRig(t *testing.T, limits retry.Limits) *lostConnRig {
	released := make(chan struct{})
	close(released)
	rig := &lostConnRig{near: startStreamUpstream(t, released)}
	release := make(chan struct{})
	rig.far = startStreamUpstream(t, release)
	rig.finish = sync.OnceFunc(func() { close(release) })
	t.Cleanup(rig.finish)
	other := &Server{Secret: "secret", Identity: control.Identity{ID: "b"}}
	other.Dispatcher = newHostDispatcher(&routing.Snapshot{Upstreams: []routing.Upstream{
		{ID: "far", Address: rig.far.Listener.Addr().String(), Counters: &routing.Counters{}}}}, nil, limits)
	link, err := faultproxy.Start("127.0.0.1:0", serve(t, other.Handler()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	rig.link = link
	rig.own = newHostDispatcher(&routing.Snapshot{
		Peers:     []routing.Peer{{ID: "b", PeerAddress: link.Address()}},
		Upstreams: []routing.Upstream{{ID: "near", Address: rig.near.Listener.Addr().String(), Counters: &routing.Counters{}}},
	}, NewClient("a", "secret"), limits)
	return rig
}

// forwardedKind is a kind of request in TestForwardsOfALostConnection.
type forwardedKind struct {
	stream, repeatable bool
}

var forwardedKinds = map[string]forwardedKind{
	"resumable stream": {true, true}, "stream": {true, false}, "read": {false, true}, "write": {false, false},
}

// ends counts how the requests of each kind ended.
type ends map[string]map[string]int

// run sends n requests of each kind, calls lose once all run at the other instance's upstream, and returns how they ended.
func (rig *lostConnRig) run(t *testing.T, n int, lose func()) ends {
	counts := ends{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	var heads atomic.Int64
	for name, kind := range forwardedKinds {
		counts[name] = map[string]int{}
		for i := range n {
			calls.Go(func() {
				id := fmt.Sprint(strings.ReplaceAll(name, " ", "-"), i)
				r := &dispatch.Request{
					ID: id, Method: "POST", Path: "/" + id, Header: http.Header{}, Target: "s", Stream: kind.stream,
					Repeatable: kind.repeatable, Deadline: time.Now().Add(10 * time.Second),
					RouteParams: &dispatch.RouteParams{MaxExecutions: 2, FirstByteObjective: time.Minute},
				}
				sink := &headCounter{heads: &heads}
				err := rig.own.Dispatch(context.Background(), r, sink)
				mu.Lock()
				defer mu.Unlock()
				counts[name][endOf(kind, &sink.recordingSink, err, r.NoRetryReason())]++
			})
		}
	}
	begun := func() bool { return rig.far.begun.Load() == int64(n*len(forwardedKinds)) && heads.Load() == int64(2*n) }
	for end := time.Now().Add(5 * time.Second); !begun(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the requests did not begin")
		}
	}
	lose()
	calls.Wait()
	return counts
}

// headCounter counts the responses that have begun.
type headCounter struct {
	recordingSink
	heads *atomic.Int64
}

func (c *headCounter) Head(status int, h http.Header) error {
	c.heads.Add(1)
	return c.recordingSink.Head(status, h)
}

func endOf(kind forwardedKind, sink *recordingSink, err *errkind.Error, reason retry.StopReason) string {
	whole := "done"
	if kind.stream {
		whole = ""
		for id := 1; id <= lastEvent; id++ {
			whole += fmt.Sprintf("id: %d\ndata: d%d\n\n", id, id)
		}
	}
	switch {
	case err == nil && sink.text == whole:
		return "complete"
	case err == nil:
		return "wrong: " + sink.text
	case sink.heads > 0:
		return "cut, " + string(reason)
	case err.Execution == errkind.NotExecuted:
		return "refused, " + string(reason)
	default:
		return "failed, " + string(reason)
	}
}

// Guards against requests without a response, and against writes that run twice, when the connection to the peer that
// they were forwarded to is lost: each ends by the retries that its kind and the budget allow.
func TestForwardsOfALostConnection(t *testing.T) {
	const n = 12
	for name, lose := range map[string]func(*faultproxy.Proxy){
		"reset":  (*faultproxy.Proxy).ResetConnections,
		"silent": (*faultproxy.Proxy).SilenceConnections,
	} {
		for _, retries := range []int{1000, 6} {
			t.Run(fmt.Sprintf("%s, %d retries", name, retries), func(t *testing.T) {
				t.Parallel()
				rig := startLostConnRig(t, retry.Limits{Slack: (float64(retries) + 0.5) / 0.7})
				started := time.Now()
				counts := rig.run(t, n, func() { lose(rig.link) })
				t.Logf("after %s: %v", time.Since(started).Round(time.Millisecond), counts)
				if got := counts["stream"]["cut, not_repeatable"]; got != n {
					t.Errorf("%d of %d streams that cannot be resumed ended cut", got, n)
				}
				if got := counts["write"]["failed, not_repeatable"]; got != n {
					t.Errorf("%d of %d writes ended with an unknown outcome", got, n)
				}
				complete := counts["resumable stream"]["complete"] + counts["read"]["complete"]
				if want := min(retries, 2*n); complete != want {
					t.Errorf("%d of %d requests that may be repeated were completed, want %d", complete, 2*n, want)
				}
				for path, sent := range rig.near.paths {
					if strings.HasPrefix(path, "/write") || strings.HasPrefix(path, "/stream") || sent > 1 {
						t.Errorf("%s reached the other upstream %d times", path, sent)
					}
				}
			})
		}
	}
}

// shortSilence is below the time after which a silent connection to a peer is given up.
const shortSilence = 3 * time.Second

// Guards against forwards that are cut because the other instance gets no processor time for a while.
func TestForwardsOutlastAShortSilence(t *testing.T) {
	const n = 12
	rig := startLostConnRig(t, retry.Limits{})
	counts := rig.run(t, n, func() {
		rig.link.SetFaults(faultproxy.BlackHole())
		rig.finish()
		time.Sleep(shortSilence)
		rig.link.SetFaults(faultproxy.Faults{})
	})
	for name := range forwardedKinds {
		if counts[name]["complete"] != n {
			t.Errorf("%s: %v", name, counts[name])
		}
	}
}
