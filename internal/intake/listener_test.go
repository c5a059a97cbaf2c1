package intake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// testServer is a server whose listener has limits. Requests for /wait wait for the end of the test.
type testServer struct {
	*Budget
	*Listener
}

func startServer(t *testing.T, o ListenerOptions) *testServer {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{Budget: NewBudget(8 << 20)}
	s.Listener = s.Listen(inner, o)
	ended := make(chan struct{})
	server := &http.Server{ConnState: s.ConnState, ConnContext: NewContext, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/wait":
			<-ended
		case "/now/kept":
			KeepConn(r)
		}
	})}
	go func() { _ = server.Serve(s.Listener) }()
	t.Cleanup(func() {
		close(ended)
		_ = server.Close()
	})
	return s
}

// dial opens a connection, sends text and waits for the response if there is to be one.
func (s *testServer) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, text)
	if text == served || text == kept {
		if _, err := c.Read(make([]byte, 1<<10)); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

func isClosed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := c.Read(make([]byte, 1<<10))
	return err != nil && !strings.Contains(err.Error(), "timeout")
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

const (
	served  = "GET /now HTTP/1.1\r\nHost: h\r\n\r\n"
	head    = "GET /now HTTP/1.1\r\nHost:"
	kept    = "GET /now/kept HTTP/1.1\r\nHost: h\r\n\r\n"
	waiting = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
)

// Guards against a new caller that finds no room while others wait with nothing to do.
func TestIdleConnectionsYieldToNewOnes(t *testing.T) {
	for name, text := range map[string]string{"never used": "", "used": served, "with half a head": head} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, ListenerOptions{MaxConnections: 16})
			var conns []net.Conn
			for range 16 {
				conns = append(conns, s.dial(t, text))
				eventually(t, "the connection does not wait", func() bool { return s.idleCount() == len(conns) && s.hasHeads(len(conns)) == (text == head) })
			}
			s.dial(t, served)
			if !isClosed(conns[0]) {
				t.Error("the connection that is idle for longest is open")
			}
			eventually(t, "a connection too many is open", func() bool { return s.Open() == 16 })
		})
	}
}

// Guards against running requests that are cut for a new caller.
func TestRunningRequestsKeepTheirConnections(t *testing.T) {
	s := startServer(t, ListenerOptions{MaxConnections: 16})
	for range 16 {
		s.dial(t, waiting)
	}
	eventually(t, "the requests do not run", func() bool { return s.Open() == 16 && s.idleCount() == 0 })
	if !isClosed(s.dial(t, "")) {
		t.Error("a connection too many is open")
	}
	if counts := s.Counts(); counts.ConnectionsRefused != 1 || counts.ConnectionsYielded != 0 {
		t.Errorf("%+v", counts)
	}
}

// hasHeads reports whether n connections have sent a part of a head.
func (s *testServer) hasHeads(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unfinished.Len() == n
}

// Guards against peers whose connections end, with forwards on them, for callers that only connect.
func TestKeptConnectionsDoNotYield(t *testing.T) {
	s := startServer(t, ListenerOptions{MaxConnections: 16})
	c := s.dial(t, kept)
	eventually(t, "the connection yields", func() bool { return s.Open() == 1 && s.idleCount() == 0 })
	for range 40 {
		s.dial(t, "")
	}
	eventually(t, "no connection yields", func() bool { return s.Counts().ConnectionsYielded > 0 })
	if _, err := io.WriteString(c, served); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1<<10)); err != nil {
		t.Errorf("the connection that is to be kept: %v", err)
	}
}

func (s *testServer) idleCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.idle.Len() + s.unfinished.Len()
}

// Guards against connections that stay open for longer than the operators allow, and against those that are closed
// earlier.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	timeout := func() time.Duration { return time.Minute }
	for name, c := range map[string]struct {
		text    string
		options ListenerOptions
	}{
		"idle":             {text: served, options: ListenerOptions{MaxConnections: 16, IdleTimeout: timeout}},
		"with half a head": {text: head, options: ListenerOptions{MaxConnections: 16, HeadTimeout: timeout}},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, c.options)
			conn := s.dial(t, c.text)
			eventually(t, "the connection does not wait", func() bool { return s.idleCount() == 1 })
			time.Sleep(20 * time.Millisecond)
			s.CloseExpired()
			if s.Counts().ConnectionsExpired != 0 {
				t.Error("a connection was closed early")
			}
			s.mu.Lock()
			s.now = func() time.Time { return time.Now().Add(time.Minute) }
			s.mu.Unlock()
			s.CloseExpired()
			if !isClosed(conn) {
				t.Error("the connection is open")
			}
			eventually(t, "memory is held for a closed connection", func() bool { return s.Used() == 0 && s.Open() == 0 })
		})
	}
}

// Guards against a caller that is told that its request is malformed when there is no memory for the head.
func TestAHeadWithoutMemoryIsNotAnswered(t *testing.T) {
	s := startServer(t, ListenerOptions{MaxConnections: 16})
	whole := s.NewShare(nil, func() {})
	if !whole.Grow(SmallBytes) || !whole.Complete() || !whole.Grow(s.Budget.Limit()*(reserveDivisor-1)/reserveDivisor-SmallBytes) {
		t.Fatal("an empty budget refused")
	}
	c := s.dial(t, head+strings.Repeat("x", int(s.Budget.Limit())))
	if raw, _ := io.ReadAll(c); len(raw) > 0 {
		t.Errorf("the caller got %q", raw)
	}
}

// Guards against heads that hold memory which is not counted, or count after their request.
func TestHeadsCount(t *testing.T) {
	s := startServer(t, ListenerOptions{MaxConnections: 16})
	c := s.dial(t, fmt.Sprintf("GET /now HTTP/1.1\r\nHost: h\r\nX-Filler: %s", strings.Repeat("x", 100<<10)))
	eventually(t, "the head is not counted", func() bool { return s.Used() >= connectionBytes+64<<10 })
	_, _ = io.WriteString(c, "\r\n\r\n")
	eventually(t, "the head still counts after its request", func() bool { return s.Used() == connectionBytes })
}

// BenchmarkRequest measures requests on kept connections, with and without limits.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{800, 64 << 10} {
		body := strings.Repeat("x", size)
		for _, limited := range []bool{false, true} {
			b.Run(fmt.Sprintf("%dB/limited=%v", size, limited), func(b *testing.B) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				var budget *Budget
				server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					if !limited {
						_, _ = io.ReadAll(r.Body)
						return
					}
					share := budget.NewShare(RequestConn(r), func() {})
					_, _ = ReadBody(share, r.Body, r.ContentLength)
					share.Release()
				})}
				if limited {
					budget = NewBudget(64 << 20)
					l := budget.Listen(listener, ListenerOptions{MaxConnections: 100})
					server.ConnState, server.ConnContext, listener = l.ConnState, NewContext, l
				}
				go func() { _ = server.Serve(listener) }()
				defer server.Close()
				url := "http://" + listener.Addr().String()
				b.ReportAllocs()
				for b.Loop() {
					resp, err := http.Post(url, "text/plain", strings.NewReader(body))
					if err != nil {
						b.Fatal(err)
					}
					_ = resp.Body.Close()
				}
			})
		}
	}
}

// Guards against a request that is canceled by the deadline that was to end the wait for it.
func TestADeadlineForTheWaitDoesNotEndTheRequest(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewBudget(8<<20).Listen(inner, ListenerOptions{MaxConnections: 16})
	server := &http.Server{
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateActive {
				_ = c.SetReadDeadline(time.Now())
			}
			l.ConnState(c, state)
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
				w.WriteHeader(http.StatusInternalServerError)
			case <-time.After(100 * time.Millisecond):
			}
		}),
	}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	resp, err := http.Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Error("the request was canceled")
	}
}
