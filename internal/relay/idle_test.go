package relay

import (
	"net"
	"net/http"
	"testing"
	"time"
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
