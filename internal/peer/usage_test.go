package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/dispatch"
	"heatherloom/internal/external"
	"heatherloom/internal/relay"
	"heatherloom/internal/retry"
	"heatherloom/internal/routing"
	"heatherloom/internal/usage"
)

const testWindow = 5 * time.Second

func newUsageReporter(process usage.Process) *usage.Reporter {
	return &usage.Reporter{
		Config: usage.Config{Window: testWindow}, Ledger: usage.NewLedger(process, testWindow), Clock: usage.NewClock(), Now: clock.Now,
		Permit: func() (external.Fence, time.Time, bool) { return external.Fence{}, time.Time{}, false },
	}
}

// Guards against counts that change on the way, and against an instance that is waited for because it has ended or is
// of an earlier release.
func TestUsageTravelsBetweenInstances(t *testing.T) {
	a, b := usage.Process{Instance: "a", Started: 1}, usage.Process{Instance: "b", Started: 2}
	peers := &UsagePeers{Client: NewClient("a", "secret")}
	to := usage.Member{Process: b, Address: serve(t, (&Server{Secret: "secret", Usage: newUsageReporter(b)}).Handler())}
	copied := usage.Copy{
		From:  a,
		Parts: []usage.Part{{Process: a, Window: 7, Counts: map[string]int64{"x": 3, "y": 300}, Total: 303, Closed: true}},
		Sent: []usage.SentReport{{
			UsageReport: external.UsageReport{Window: 6, Counts: map[string]int64{"x": 1}}, Token: 1 << 41, Recorded: true,
		}},
		Ended: true,
	}
	if err := peers.Copy(t.Context(), to, copied); err != nil {
		t.Fatal(err)
	}
	answer, err := peers.Collect(t.Context(), to, usage.Query{Windows: []int64{7}, CopiesOnly: true})
	if err != nil || answer.Process != b || !reflect.DeepEqual(answer.Parts, copied.Parts) || !reflect.DeepEqual(answer.Ended, []usage.Process{a}) {
		t.Errorf("error %v, answer %+v", err, answer)
	}
	answer, err = peers.Collect(t.Context(), to, usage.Query{Sent: true})
	if err != nil || !reflect.DeepEqual(answer.Sent, copied.Sent) || len(answer.Parts) > 0 {
		t.Errorf("error %v, answer %+v", err, answer)
	}
	to.Started = 1
	if err := peers.Copy(t.Context(), to, copied); err == nil || errors.Is(err, usage.ErrUnsupported) {
		t.Errorf("a copy at another process of the instance: error %v", err)
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	for address, want := range map[string]error{
		startPeer(t, "secret", nil):                     usage.ErrUnsupported,
		serve(t, (&Server{Secret: "secret"}).Handler()): usage.ErrUnsupported,
		closed.Addr().String():                          usage.ErrEnded,
	} {
		member := usage.Member{Process: b, Address: address}
		_, err := peers.Collect(t.Context(), member, usage.Query{Windows: []int64{7}})
		if copyErr := peers.Copy(t.Context(), member, copied); !errors.Is(err, want) || !errors.Is(copyErr, want) {
			t.Errorf("errors %v and %v, want %v", err, copyErr, want)
		}
	}
}

// Guards against forwarded requests that are counted at both instances, at none, or again after a failure.
func TestAForwardedRequestIsCountedOnce(t *testing.T) {
	for name, kind := range forwardedKinds {
		for _, lost := range []bool{false, true} {
			counted := map[string]int{}
			count := func(where string) func(string) { return func(string) { counted[where]++ } }
			release := make(chan struct{})
			if !lost {
				close(release)
			}
			released := make(chan struct{})
			close(released)
			far, near := startStreamUpstream(t, release), startStreamUpstream(t, released)
			other := &Server{Secret: "secret", Identity: control.Identity{ID: "b"}}
			other.Dispatcher = newHostDispatcher(&routing.Snapshot{Upstreams: []routing.Upstream{
				{ID: "far", Address: far.Listener.Addr().String(), Counters: &routing.Counters{}}}}, nil, retry.Limits{Slack: 10})
			other.Dispatcher.CountUsage = count("far")
			own := newHostDispatcher(&routing.Snapshot{
				Peers:     []routing.Peer{{ID: "b", PeerAddress: serve(t, other.Handler())}},
				Upstreams: []routing.Upstream{{ID: "near", Address: near.Listener.Addr().String(), Counters: &routing.Counters{}}},
			}, NewClient("a", "secret"), retry.Limits{Slack: 10})
			own.CountUsage = count("near")
			if lost {
				time.AfterFunc(200*time.Millisecond, far.CloseClientConnections)
			}
			r := &dispatch.Request{
				ID: "r1", Account: "x", Method: "POST", Path: "/", Header: map[string][]string{}, Target: "s", Stream: kind.stream, Repeatable: kind.repeatable,
				Deadline: time.Now().Add(5 * time.Second), RouteParams: &dispatch.RouteParams{MaxExecutions: 3},
			}
			if kind.stream {
				r.StreamPosition = &relay.StreamPosition{}
			}
			err := own.Dispatch(context.Background(), r, &recordingSink{})
			if lost {
				close(release)
			}
			if counted["far"] != 1 || counted["near"] != 0 || (err != nil && !lost) {
				t.Errorf("%s, connection lost %t: counted %v, error %v", name, lost, counted, err)
			}
		}
	}
}

// Guards against clocks that are not compared, and against messages of instances that count no usage.
func TestHeartbeatsCompareClocks(t *testing.T) {
	loop := control.NewLoop(control.Identity{ID: "b", Region: "r"})
	for _, counts := range []bool{false, true} {
		server := &Server{Identity: control.Identity{ID: "b"}, Loop: loop, Secret: "s"}
		if counts {
			server.Usage = newUsageReporter(usage.Process{Instance: "b"})
		}
		address, client := serve(t, server.Handler()), NewClient("a", "s")
		h := &Heartbeater{
			Identity: control.Identity{ID: "a"}, Loop: control.NewLoop(control.Identity{ID: "a"}), Client: client,
			Recent: &RecentPeers{}, UsageClock: usage.NewClock(),
		}
		h.sendHeartbeat(t.Context(), address)
		if !h.Recent.has(address, clock.Now()) || h.Recent.has(address, clock.Now().Add(2*recentHeartbeat)) {
			t.Error("a peer that answered is not known for a minute")
		}
		if _, got := h.UsageClock.Difference("b"); got != counts {
			t.Errorf("clock compared: %t, want %t", got, counts)
		}
	}
}

// Guards against copies that all go to one failure domain or to instances without a connection, and against an order that
// changes with each snapshot.
func TestCopiesGoToTheRegionAndBeyond(t *testing.T) {
	identity := control.Identity{ID: "i0", Region: "r", PeerAddress: "a0"}
	loop := control.NewLoop(identity)
	go loop.Run(t.Context())
	recent := &RecentPeers{}
	for i := 1; i <= 9; i++ {
		region := "r"
		if i > 5 {
			region = "q"
		}
		p := routing.Peer{ID: fmt.Sprint("i", i), Region: region, FailureDomain: region, PeerAddress: fmt.Sprint("a", i), Draining: i == 1}
		loop.Post(t.Context(), control.HeartbeatEvent{Peer: p, Incarnation: int64(i)})
		if i != 2 {
			recent.record(p.PeerAddress, clock.Now())
		}
	}
	peers := &UsagePeers{Identity: identity, Loop: loop, Recent: recent}
	for deadline := time.Now().Add(2 * time.Second); len(peers.Live()) < 9; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d members after 2 s", len(peers.Live()))
		}
	}
	targets := peers.CopyTargets()
	var regions string
	ids := map[string]bool{}
	for _, m := range targets {
		ids[m.Instance] = true
		if m.Instance <= "i5" {
			regions += "r"
		} else {
			regions += "q"
		}
	}
	if regions != "rrqrqqq" || ids["i1"] || ids["i2"] || len(ids) != 7 || targets[0].Started == 0 {
		t.Errorf("targets %v in regions %s", targets, regions)
	}
}

// usageCounts returns the counts of a process that sent requests of some accounts.
func usageCounts(requests, accounts int) map[string]int64 {
	counts := map[string]int64{}
	for i := range requests {
		counts[fmt.Sprintf("huka%05d", i*7919%accounts)]++
	}
	return counts
}

// TestUsageMessageSizes logs the sizes that docs/design/usage.md states, and guards against messages that grow.
func TestUsageMessageSizes(t *testing.T) {
	const peakRequests = 67_000
	for _, c := range []struct{ instances, accounts, copyBytes, partBytes int }{
		{66, 16, 330, 330}, {295, 16, 330, 330}, {920, 16, 330, 330},
		{66, 44_000, 16_000, 64_000}, {295, 44_000, 4_000, 20_000}, {920, 44_000, 1_400, 7_000},
	} {
		self := usage.Process{Instance: "edge-hobart-a-1", Started: 1765000000000000000}
		second, window := peakRequests/c.instances, peakRequests*int(testWindow/time.Second)/c.instances
		parts := []usage.Part{
			{Process: self, Window: 353445119, Total: int64(window), Closed: true}, {Process: self, Window: 353445120, Total: int64(window), Closed: true},
			{Process: self, Window: 353445121, Counts: usageCounts(second, c.accounts), Total: int64(window)},
		}
		copied := proto.Size(encodeUsageCopy(usage.Copy{From: self, Parts: parts}))
		part := usage.Part{Process: self, Window: 353445120, Counts: usageCounts(window, c.accounts), Total: int64(window), Closed: true}
		answer := proto.Size(encodeUsageAnswer(usage.Answer{Process: self, Parts: []usage.Part{part}}))
		t.Logf("%d instances, %d accounts: a copy takes %d bytes, an answer %d", c.instances, c.accounts, copied, answer)
		if copied > c.copyBytes || answer > c.partBytes {
			t.Errorf("%+v: copy %d bytes, answer %d", c, copied, answer)
		}
	}
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkUsageCalls measures the bytes on the wire, in both directions, and the time of a copy and of a query on an open
// connection, at 67,000 requests a second of a fleet.
func BenchmarkUsageCalls(b *testing.B) {
	for _, c := range []struct{ instances, accounts int }{{66, 16}, {66, 44_000}, {295, 16}, {295, 44_000}, {920, 16}, {920, 44_000}} {
		a, to := usage.Process{Instance: "edge-hobart-a-1", Started: 1765000000000000000}, usage.Process{Instance: "edge-hobart-a-2", Started: 1765000000000000000}
		reporter := newUsageReporter(to)
		member := usage.Member{Process: to, Address: serve(b, (&Server{Secret: "secret", Usage: reporter}).Handler())}
		window := clock.Now().UnixNano() / int64(testWindow)
		for account, count := range usageCounts(67_000*5/c.instances, c.accounts) {
			for range count {
				reporter.Ledger.Record(account, clock.Now())
			}
		}
		second := usageCounts(67_000/c.instances, c.accounts)
		copied := usage.Copy{From: a, Parts: []usage.Part{{Process: a, Window: window - 2}, {Process: a, Window: window - 1}, {Process: a, Window: window, Counts: second}}}
		var wire atomic.Int64
		client := NewClient("edge-hobart-a-1", "secret")
		client.SetDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{conn, &wire}, err
		})
		peers := &UsagePeers{Client: client}
		for name, call := range map[string]func() error{
			"copy": func() error { return peers.Copy(b.Context(), member, copied) },
			"collect": func() error {
				_, err := peers.Collect(b.Context(), member, usage.Query{Windows: []int64{window}})
				return err
			},
		} {
			b.Run(fmt.Sprintf("%s/%dx%d", name, c.instances, c.accounts), func(b *testing.B) {
				if err := call(); err != nil {
					b.Fatal(err)
				}
				wire.Store(0)
				for b.Loop() {
					if err := call(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(wire.Load())/float64(b.N), "wire-B/op")
			})
		}
	}
}
