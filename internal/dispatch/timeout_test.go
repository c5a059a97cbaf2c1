package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"heatherloom/internal/quarantine"
	"heatherloom/internal/relay"
	"heatherloom/internal/retry"
	"heatherloom/internal/routing"
)

// idProtocol is a relay.Protocol that names only the request.
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

// inOrder picks the first upstream that was not tried.
type inOrder struct{}

func (inOrder) Name() string { return "in order" }

func (inOrder) Pick(s *routing.Snapshot, r *routing.Request, _ *routing.Scratch) (routing.Choice, error) {
	for i := range s.Upstreams {
		if !slices.Contains(r.Tried, s.Upstreams[i].ID) {
			return routing.Choice{Upstream: int32(i), Peer: -1}, nil
		}
	}
	return routing.Choice{}, fmt.Errorf("no upstream is left")
}

type textSink struct{ text string }

func (s *textSink) Head(int, http.Header) error { return nil }
func (s *textSink) Data(p []byte) error         { s.text += string(p); return nil }

const (
	testObjective = 300 * time.Millisecond
	// slowResponse is beyond the timeout for the first byte, and within the deadline.
	slowResponse = time.Second
	testDeadline = 4 * time.Second
)

const streamOfTwo = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// newTestDispatcher returns a dispatcher for one upstream per handler, and the requests that each got.
func newTestDispatcher(t testing.TB, limits retry.Limits, handlers ...http.HandlerFunc) (*Dispatcher, []atomic.Int64) {
	t.Helper()
	counts := make([]atomic.Int64, len(handlers))
	s := &routing.Snapshot{Quarantined: quarantine.Set{}, InstanceCount: 1}
	for i, handler := range handlers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			counts[i].Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Content-Type", "text/event-stream")
			handler(w, r)
		}))
		t.Cleanup(server.Close)
		s.Upstreams = append(s.Upstreams, routing.Upstream{ID: fmt.Sprint("u", i), Address: server.Listener.Addr().String(), Counters: &routing.Counters{}})
	}
	return &Dispatcher{
		Snapshot: func() *routing.Snapshot { return s }, Relay: relay.New(relay.DefaultLimits()), ServicePolicy: inOrder{},
		Protocol: idProtocol{}, ServiceRetryBudgets: retry.NewBudgets(limits),
	}, counts
}

func newStreamRequest(attempts int) *Request {
	return &Request{
		ID: "r1", Method: "POST", Path: "/", Header: http.Header{}, Target: "s", Stream: true, Repeatable: true,
		Deadline: time.Now().Add(testDeadline), RouteParams: &RouteParams{MaxExecutions: attempts, FirstByteObjective: testObjective},
	}
}

func respondAfter(d time.Duration, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			_, _ = io.WriteString(w, text)
		case <-r.Context().Done():
		}
	}
}

// Guards against a request that is lost because its attempt was given up for a retry that is not allowed, and
// against a retry that is charged twice or not at all.
func TestAnAttemptIsGivenUpOnlyForARetry(t *testing.T) {
	for name, c := range map[string]struct {
		slack    float64
		attempts int
		// sent are the requests that the slow and the fast upstream get.
		sent [2]int64
		// left are the retries that the budget allows later.
		left int
	}{
		"a retry is allowed":    {slack: 10, attempts: 3, sent: [2]int64{1, 1}, left: 6},
		"the budget is used up": {slack: 0, attempts: 3, sent: [2]int64{1, 0}, left: 0},
		"no attempt is left":    {slack: 10, attempts: 1, sent: [2]int64{1, 0}, left: 7},
	} {
		t.Run(name, func(t *testing.T) {
			d, counts := newTestDispatcher(t, retry.Limits{Slack: c.slack}, respondAfter(slowResponse, streamOfTwo), respondAfter(0, streamOfTwo))
			sink := &textSink{}
			if err := d.Dispatch(context.Background(), newStreamRequest(c.attempts), sink); err != nil || sink.text != streamOfTwo {
				t.Errorf("got %v and %q", err, sink.text)
			}
			if sent := [2]int64{counts[0].Load(), counts[1].Load()}; sent != c.sent {
				t.Errorf("the upstreams got %v requests, want %v", sent, c.sent)
			}
			left := 0
			for d.ServiceRetryBudgets.Take(time.Now(), "s", 1) {
				left++
			}
			if left != c.left {
				t.Errorf("%d retries are left, want %d", left, c.left)
			}
		})
	}
}

// Guards against a stream that is cut because retries of requests without a response have used up the budget.
func TestRetriesLeaveAPartOfTheBudgetToBegunStreams(t *testing.T) {
	const (
		budget  = 8
		resumes = 2
	)
	breaks := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/begun" {
			_, _ = io.WriteString(w, streamOfTwo[:len(streamOfTwo)/2])
			_ = http.NewResponseController(w).Flush()
		}
		panic(http.ErrAbortHandler)
	}
	continues := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("After") == "1" {
			_, _ = io.WriteString(w, streamOfTwo[len(streamOfTwo)/2:])
			return
		}
		_, _ = io.WriteString(w, streamOfTwo)
	}
	d, counts := newTestDispatcher(t, retry.Limits{Slack: (budget + 0.5) / 0.7}, breaks, continues)
	complete := map[string]int{}
	send := func(path string) {
		r := newStreamRequest(3)
		r.Path = path
		sink := &textSink{}
		if err := d.Dispatch(context.Background(), r, sink); err == nil && sink.text == streamOfTwo {
			complete[path]++
		}
	}
	for range 2 * budget {
		send("/none")
	}
	for range budget {
		send("/begun")
	}
	if complete["/begun"] < resumes || complete["/none"] < budget/2 {
		t.Errorf("%v were completed, want at least %d begun streams and %d others", complete, resumes, budget/2)
	}
	if n := counts[1].Load(); n > budget {
		t.Errorf("%d retries, the budget allows %d", n, budget)
	}
}
