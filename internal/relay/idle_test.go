package relay

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"heatherloom/internal/retry"
)

func keepAliveHead(timeout string) string {
	return validHead + "Keep-Alive: " + timeout + "\r\n"
}

// Guards against an idle timeout that is misread, so that connections are kept for too long or closed at once.
func TestKeepAliveTimeoutIsRead(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"timeout=10": 10 * time.Second, "max=5, timeout=7": 7 * time.Second, `TIMEOUT="3"`: 3 * time.Second, "timeout = 4": 4 * time.Second,
		"": 0, "timeout=": 0, "timeout=-1": 0, "timeout=1e3": 0, "timeouts=5": 0, "timeout=99999999999999999999": 0,
	} {
		if got := keepAliveTimeout(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("%q: %s, want %s", value, got, want)
		}
	}
}

// Guards against requests that cross the close of an idle connection, and against connections that are closed long
// before their upstream would.
func TestConnectionsEndBeforeTheTimeoutThatTheUpstreamStates(t *testing.T) {
	closed := make(chan time.Duration, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 4096))
		_, _ = c.Write([]byte(response(keepAliveHead("timeout=3"), "x")))
		started := time.Now()
		_ = c.SetReadDeadline(started.Add(3 * time.Second))
		_, _ = c.Read(make([]byte, 1))
		closed <- time.Since(started)
	}()
	u := &byteUpstream{listener: listener}
	if result := New(DefaultLimits()).Do(t.Context(), newAttempt(u), &memorySink{}); result.Err != nil {
		t.Fatal(result.Err)
	}
	if idle := <-closed; idle < time.Second || idle >= 3*time.Second {
		t.Errorf("the connection was closed after %s, the upstream states 3 s", idle)
	}
}

// Guards against the end of a process that looks like the usual close of an idle connection.
func TestAnIdleCloseTellsTheTimeoutThatTheUpstreamStated(t *testing.T) {
	for name, c := range map[string]struct {
		head string
		want time.Duration
	}{"stated": {keepAliveHead("timeout=10"), 10 * time.Second}, "not stated": {validHead, 0}} {
		closes := make(chan IdleClose, 1)
		u := startByteUpstream(t, func(int) (string, func(net.Conn)) {
			return response(c.head, "x"), func(conn net.Conn) {
				time.Sleep(200 * time.Millisecond)
				_ = conn.Close()
			}
		})
		r := New(DefaultLimits())
		r.OnIdleClose(func(c IdleClose) { closes <- c })
		if result := r.Do(t.Context(), newAttempt(u), &memorySink{}); result.Err != nil {
			t.Fatal(result.Err)
		}
		got := <-closes
		if got.Announced != c.want || got.Address != u.listener.Addr().String() || got.Idle < 100*time.Millisecond || got.Idle > 5*time.Second {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// Guards against a request that reaches an upstream which may get none any more since the request was picked.
func TestARefusedSendReachesNoUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		allowed, wantSent, wantConns int
		repeatable, completes        bool
		want                         retry.Outcome
	}{
		"first send":                {allowed: 0, wantSent: 0, wantConns: 1, repeatable: true, want: retry.NotSent},
		"first send of a write":     {allowed: 0, wantSent: 0, wantConns: 1, want: retry.NotSent},
		"repeat on a broken one":    {allowed: 2, wantSent: 2, wantConns: 2, repeatable: true, want: retry.Crashed},
		"repeat that is allowed":    {allowed: 3, wantSent: 3, wantConns: 2, repeatable: true, completes: true},
		"write on a broken one":     {allowed: 2, wantSent: 2, wantConns: 1, want: retry.Crashed},
		"second send of the second": {allowed: 1, wantSent: 1, wantConns: 2, repeatable: true, want: retry.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			u := startByteUpstream(t, func(n int) (string, func(net.Conn)) {
				if n == 2 {
					return "", closeConn
				}
				return response(validHead, "x"), nil
			})
			var asked, sent atomic.Int64
			attempt := newAttempt(u)
			if attempt.Repeatable = c.repeatable; c.repeatable {
				attempt.Method, attempt.Body = http.MethodGet, nil
			}
			attempt.MaySend = func(bool) bool { return asked.Add(1) <= int64(c.allowed) }
			attempt.OnSent = func() { sent.Add(1) }
			r := New(DefaultLimits())
			result := r.Do(t.Context(), attempt, &memorySink{})
			if c.allowed > 0 {
				result = r.Do(t.Context(), attempt, &memorySink{})
			}
			if (result.Err == nil) != c.completes || (result.Err != nil && result.Outcome != c.want) {
				t.Errorf("outcome %v, want %v: %v", result.Outcome, c.want, result.Err)
			}
			if refused := result.Err != nil && result.Outcome == retry.NotSent; refused != result.Refused || (refused && result.UpstreamFault) {
				t.Errorf("refused %t, upstream fault %t", result.Refused, result.UpstreamFault)
			}
			u.mu.Lock()
			defer u.mu.Unlock()
			if len(u.heads) != c.wantSent || int(sent.Load()) != c.wantSent || u.conns > c.wantConns {
				t.Errorf("%d requests arrived and %d count as sent, want %d, on %d connections", len(u.heads), sent.Load(), c.wantSent, u.conns)
			}
		})
	}
}

// Guards against timers that keep closed connections in memory.
func TestAClosedConnectionHasNoTimer(t *testing.T) {
	u := startByteUpstream(t, func(int) (string, func(net.Conn)) {
		return response(validHead+"Connection: close\r\n", "x"), closeConn
	})
	r := New(DefaultLimits())
	var conns []*conn
	attempt := newAttempt(u)
	attempt.MaySend = func(bool) bool {
		r.pool.mu.Lock()
		defer r.pool.mu.Unlock()
		for c := range r.pool.conns[attempt.Address] {
			conns = append(conns, c)
		}
		return true
	}
	if result := r.Do(t.Context(), attempt, &memorySink{}); result.Err != nil || len(conns) == 0 {
		t.Fatal(result.Err, len(conns))
	}
	for _, c := range conns {
		if c.idleTimer.Stop() {
			t.Error("the timer of a closed connection is armed")
		}
	}
}
