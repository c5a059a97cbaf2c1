package relay

import (
	"context"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherloom/internal/retry"
)

// endlessAllowance bounds the time that an attempt may take after which its upstream sends
// invalid bytes without end.
const endlessAllowance = 2 * time.Second

// sendWithoutEnd writes text until the connection is closed, and then closes done.
func sendWithoutEnd(text string, done chan<- struct{}) func(net.Conn) {
	return func(c net.Conn) {
		defer close(done)
		block := []byte(strings.Repeat(text, max(1, 16<<10/len(text))))
		for {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	}
}

// Guards against a process that runs out of memory because several upstreams send large or endless
// bodies at once, and against failing small responses meanwhile.
func TestLargeBodiesShareTheMemory(t *testing.T) {
	const memory = 64 << 20
	limits := DefaultLimits().ForMemory(memory)
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	u := startByteUpstream(t, func(n int) (string, func(net.Conn)) {
		if n <= 2 {
			// Both stop at less than the limit of one response and keep their memory.
			return "HTTP/1.1 " + validHead + "\r\n" + strings.Repeat("z", int(limits.MaxTotalBufferedBytes)), func(net.Conn) { <-hold }
		}
		return response(validHead, "small"), nil
	})
	r := New(limits)
	results := make(chan Result, 2)
	for range 2 {
		go func() { results <- r.Do(context.Background(), newAttempt(u), &memorySink{}) }()
	}
	select {
	case result := <-results:
		if result.Outcome != retry.Failed || result.UpstreamFault {
			t.Errorf("outcome %d, fault of the upstream %t; want %d, false", result.Outcome, result.UpstreamFault, retry.Failed)
		}
	case <-time.After(endlessAllowance):
		t.Fatal("two large responses are held at once")
	}
	if used := r.memory.used.Load(); used > 2*limits.MaxTotalBufferedBytes {
		t.Errorf("%d bytes are buffered, the limit is %d", used, limits.MaxTotalBufferedBytes)
	}
	sink := &memorySink{}
	if result := r.Do(context.Background(), newAttempt(u), sink); result.Err != nil || sink.body.String() != "small" {
		t.Errorf("a small response meanwhile: %v %q", result.Err, sink.body.String())
	}
}

// Guards against a process that runs out of memory because many upstreams send bytes without end at once, in heads and
// in bodies, and against other callers that are not served meanwhile.
func TestManyResponsesWithoutEndLeaveMemoryToOthers(t *testing.T) {
	const (
		responses = 20
		memory    = 184e6
		// heapShare is the share of its memory at which the garbage collector of a process begins to run all the time.
		heapShare = 0.7
	)
	heads := []struct{ head, repeat string }{
		{"", "z"},
		{"HTTP/1.1 200 OK\r\n", "A: a\r\n"},
		{"HTTP/1.1 " + validHead + "\r\n", "z"},
		{"HTTP/1.1 " + validHead + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("z", 0x400) + "\r\n"},
		{"HTTP/1.1 " + validHead + "Content-Type: text/event-stream\r\n\r\n", "z"},
	}
	u := startByteUpstream(t, func(n int) (string, func(net.Conn)) {
		c := heads[n%len(heads)]
		return c.head, sendWithoutEnd(c.repeat, make(chan struct{}))
	})
	good := startByteUpstream(t, func(int) (string, func(net.Conn)) { return response(validHead, "small"), nil })
	r := New(DefaultLimits().ForMemory(memory))
	var attempts sync.WaitGroup
	for i := range responses {
		attempts.Go(func() {
			a := newAttempt(u)
			if i%2 == 0 {
				a.StreamPosition = &StreamPosition{}
			}
			if result := r.Do(context.Background(), a, &memorySink{}); result.Err == nil {
				t.Error("a response without end was delivered")
			}
		})
	}
	ended := make(chan struct{})
	go func() {
		attempts.Wait()
		close(ended)
	}()
	peak := uint64(0)
	for running := true; running; {
		select {
		case <-ended:
			running = false
		case <-time.After(5 * time.Millisecond):
		}
		sink := &memorySink{}
		if result := r.Do(context.Background(), newAttempt(good), sink); result.Err != nil || sink.body.String() != "small" {
			t.Fatalf("a small response meanwhile: %v %q", result.Err, sink.body.String())
		}
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		peak = max(peak, mem.HeapInuse)
	}
	if float64(peak) > heapShare*memory {
		t.Errorf("%d MB of heap in use with %d responses without end, want at most %.0f", peak>>20, responses, heapShare*memory/(1<<20))
	}
}

// Guards against an attempt that lasts until the deadline, is not retried elsewhere, keeps its
// connection or spares its upstream because the bytes that the upstream sends never end.
func TestBytesWithoutEndFailTheAttempt(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, head, repeat string
		outcome            retry.Outcome
	}{
		{"no status line", "", "z", retry.Failed},
		{"lines that are no head", "", "zzz\r\n", retry.Failed},
		{"status line", "HTTP/1.1 200 ", "O", retry.Failed},
		{"one header", "HTTP/1.1 200 OK\r\nA: ", "a", retry.Failed},
		{"headers", "HTTP/1.1 200 OK\r\n", "A: a\r\n", retry.Failed},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nA: a\r\n\r\n", retry.Failed},
		{"body of a fixed length", "HTTP/1.1 " + validHead + "Content-Length: 1000000000000\r\n\r\n", "z", retry.NotRetryable},
		{"body in chunks of one byte", "HTTP/1.1 " + validHead + chunked, "1\r\nz\r\n", retry.Failed},
		{"body in long chunks", "HTTP/1.1 " + validHead + chunked, "400\r\n" + strings.Repeat("z", 0x400) + "\r\n", retry.Failed},
		{"chunk that is no chunk", "HTTP/1.1 " + validHead + chunked, "z", retry.Failed},
		{"chunk extension", "HTTP/1.1 " + validHead + chunked + "1;", "e", retry.Failed},
		{"trailer", "HTTP/1.1 " + validHead + chunked + "0\r\n", "A: a\r\n", retry.Failed},
		{"body without a length", "HTTP/1.1 " + validHead + "\r\n", "z", retry.Failed},
		{"body of a failure", "HTTP/1.1 500 Failed\r\nId: r1\r\nSig: s\r\n\r\n", "z", retry.Failed},
		{"body without a signature", "HTTP/1.1 200 OK\r\nId: r1\r\n\r\n", "z", retry.Failed},
		{"body of a rejection", "HTTP/1.1 503 Busy\r\nId: r1\r\nNot-Run: 1\r\n\r\n", "z", retry.Rejected},
		{"event", "HTTP/1.1 " + validHead + "Content-Type: text/event-stream\r\n\r\n", "z", retry.Failed},
		{"comments", "HTTP/1.1 " + validHead + "Content-Type: text/event-stream\r\n\r\n", ": c\n", retry.Failed},
		{"empty events", "HTTP/1.1 " + validHead + "Content-Type: text/event-stream\r\n\r\n", "\n\n", retry.Truncated},
	} {
		t.Run(c.name, func(t *testing.T) {
			closed := make(chan struct{})
			u := startByteUpstream(t, func(int) (string, func(net.Conn)) { return c.head, sendWithoutEnd(c.repeat, closed) })
			a := newAttempt(u)
			a.Repeatable = true
			a.Deadline = time.Now().Add(time.Minute)
			if strings.Contains(c.head, "event-stream") {
				a.StreamPosition = &StreamPosition{}
			}
			stream := a.StreamPosition != nil
			sink := &memorySink{}
			began := time.Now()
			result := New(DefaultLimits()).Do(context.Background(), a, sink)
			if took := time.Since(began); took > endlessAllowance {
				t.Errorf("the attempt took %s", took)
			}
			if result.Err == nil || (sink.status != 0 && !stream) {
				t.Fatalf("delivered %d", sink.status)
			}
			fault := c.outcome == retry.Failed || c.outcome == retry.Truncated
			if result.Outcome != c.outcome || result.UpstreamFault != fault {
				t.Errorf("outcome %d, fault of the upstream %t; want %d, %t", result.Outcome, result.UpstreamFault, c.outcome, fault)
			}
			if sink.body.Len() > maxEventlessBytes {
				t.Errorf("%d bytes without an event were passed on", sink.body.Len())
			}
			select {
			case <-closed:
			case <-time.After(endlessAllowance):
				t.Error("the connection is still open")
			}
		})
	}
}
