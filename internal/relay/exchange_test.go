package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherloom/internal/errkind"
	"heatherloom/internal/retry"
)

// testProtocol is a Protocol with header names of its own.
type testProtocol struct{}

func (testProtocol) EncodeAttempt(h http.Header, a *Attempt, _ time.Duration) {
	h.Set("Id", a.RequestID)
	if a.StreamPosition != nil && a.StreamPosition.LastEventID > 0 {
		h.Set("After", fmt.Sprint(a.StreamPosition.LastEventID))
	}
}

func (testProtocol) DecodeResponse(status int, h http.Header) ResponseMetadata {
	return ResponseMetadata{RequestID: h.Get("Id"), Signed: h.Get("Sig") != "", NotExecuted: h.Get("Not-Run") != ""}
}

// byteUpstream writes the bytes that respond returns for each request, and records the
// request heads.
type byteUpstream struct {
	listener net.Listener
	mu       sync.Mutex
	heads    []string
	conns    int
}

func startByteUpstream(t testing.TB, respond func(n int) (text string, end func(net.Conn))) *byteUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &byteUpstream{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns++
			u.mu.Unlock()
			go u.serve(c, respond)
		}
	}()
	return u
}

func (u *byteUpstream) serve(c net.Conn, respond func(n int) (string, func(net.Conn))) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			_ = c.Close()
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		u.mu.Lock()
		u.heads = append(u.heads, req.Method+" "+req.RequestURI+" host="+req.Host+" id="+req.Header.Get("Id")+" after="+req.Header.Get("After"))
		n := len(u.heads)
		u.mu.Unlock()
		text, end := respond(n)
		_, _ = io.WriteString(c, text)
		if end != nil {
			end(c)
			return
		}
	}
}

func closeConn(c net.Conn) { _ = c.Close() }

func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// memorySink stores a response.
type memorySink struct {
	status int
	header http.Header
	body   strings.Builder
}

func (s *memorySink) Head(status int, header http.Header) error {
	s.status, s.header = status, header
	return nil
}

func (s *memorySink) Data(p []byte) error {
	_, err := s.body.Write(p)
	return err
}

func newAttempt(u *byteUpstream) Attempt {
	return Attempt{
		RequestID: "r1", Address: u.listener.Addr().String(), Method: "POST", Path: "/a//b/../c?x=%2F&y=1",
		Header: http.Header{"X-Own": {"1"}}, Body: []byte("body"), Protocol: testProtocol{}, Host: "h.example",
		Deadline: time.Now().Add(5 * time.Second),
	}
}

func response(head, body string) string {
	return "HTTP/1.1 " + head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

const (
	validHead   = "200 OK\r\nId: r1\r\nSig: s\r\n"
	chunkedHead = "HTTP/1.1 " + validHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func numbered(id int) string { return fmt.Sprintf("id: %d\ndata: d%d\n\n", id, id) }

// Guards against an upstream request whose target, host or method differs from the
// caller's, and against upstream headers that are not passed to the caller.
func TestExchangeKeepsTheRequestAndTheAnswer(t *testing.T) {
	u := startByteUpstream(t, func(int) (string, func(net.Conn)) { return response(validHead, "answer"), nil })
	sink := &memorySink{}
	result := New(DefaultLimits()).Do(context.Background(), newAttempt(u), sink)
	if result.Err != nil || sink.status != 200 || sink.body.String() != "answer" || sink.header.Get("Sig") != "s" {
		t.Fatalf("got %v, %d %q %v", result.Err, sink.status, sink.body.String(), sink.header)
	}
	if want := "POST /a//b/../c?x=%2F&y=1 host=h.example id=r1 after="; u.heads[0] != want {
		t.Errorf("the upstream received %q, want %q", u.heads[0], want)
	}
}

// Guards against mismatched, truncated or unsigned responses that are delivered as a
// success, and against a wrong report of whether the request was executed.
func TestExchangeRefusesWhatIsNoWholeAnswer(t *testing.T) {
	for _, c := range []struct {
		name, text string
		end        func(net.Conn)
		execution  errkind.Execution
		outcome    retry.Outcome
	}{
		{"answer to another request", response("200 OK\r\nId: r0\r\nSig: s\r\n", "x"), nil, errkind.ExecutionUnknown, retry.Failed},
		{"no id", response("200 OK\r\nSig: s\r\n", "x"), nil, errkind.ExecutionUnknown, retry.Failed},
		{"no signature", response("200 OK\r\nId: r1\r\n", "x"), nil, errkind.ExecutionUnknown, retry.Failed},
		{"encoded", response(validHead+"Content-Encoding: gzip\r\n", "x"), nil, errkind.ExecutionUnknown, retry.Failed},
		{"cut body", "HTTP/1.1 " + validHead + "Content-Length: 9\r\n\r\nhalf", closeConn, errkind.Executed, retry.Truncated},
		{"reset body without a length", "HTTP/1.1 " + validHead + "\r\nhalf", resetConn, errkind.Executed, retry.Truncated},
		{"no answer", "", closeConn, errkind.ExecutionUnknown, retry.Crashed},
		{"rejected", response("503 Busy\r\nId: r1\r\nNot-Run: 1\r\n", ""), nil, errkind.NotExecuted, retry.Rejected},
		{"rejection of another request", response("503 Busy\r\nId: r0\r\nNot-Run: 1\r\n", ""), nil, errkind.ExecutionUnknown, retry.Failed},
		{"bytes that are no answer", "hello\r\n\r\n", closeConn, errkind.ExecutionUnknown, retry.Failed},
		{"bytes that are no answer, without an end of line", "hello", closeConn, errkind.ExecutionUnknown, retry.Failed},
		{"a line that is none in the head", "HTTP/1.1 200 OK\r\nnone\r\n", closeConn, errkind.ExecutionUnknown, retry.Failed},
		{"a head that ends early", "HTTP/1.1 200 OK\r\nId: r", closeConn, errkind.ExecutionUnknown, retry.Crashed},
		{"a head that is reset", "HTTP/1.1 200 OK\r\nId: r", resetConn, errkind.ExecutionUnknown, retry.Crashed},
		{"a chunk that is none", "HTTP/1.1 " + validHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", closeConn, errkind.Executed, retry.Failed},
		{"a chunk that breaks off", "HTTP/1.1 " + validHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nha", closeConn, errkind.Executed, retry.Truncated},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := startByteUpstream(t, func(int) (string, func(net.Conn)) { return c.text, c.end })
			sink := &memorySink{}
			result := New(DefaultLimits()).Do(context.Background(), newAttempt(u), sink)
			if result.Err == nil || sink.status != 0 {
				t.Fatalf("delivered %d %q", sink.status, sink.body.String())
			}
			if result.Err.Execution != c.execution || result.Outcome != c.outcome {
				t.Errorf("got execution %s, outcome %d; want %s, %d", result.Err.Execution, result.Outcome, c.execution, c.outcome)
			}
			if broken := c.outcome == retry.Truncated; result.ConnectionBroken != broken {
				t.Errorf("connection broken: %t, want %t", result.ConnectionBroken, broken)
			}
		})
	}
}

// Guards against an upstream that ends inside the head of its response and counts as sending invalid bytes.
func TestExchangeRecognizesEndsInsideTheHead(t *testing.T) {
	head := "HTTP/1.1 " + validHead + "Content-Length: 9\r\n\r\n"
	for _, end := range []func(net.Conn){closeConn, resetConn} {
		for n := range head {
			u := startByteUpstream(t, func(int) (string, func(net.Conn)) { return head[:n], end })
			result := New(DefaultLimits()).Do(context.Background(), newAttempt(u), &memorySink{})
			if result.Err == nil || result.Outcome != retry.Crashed {
				t.Errorf("end after %q: outcome %d, want %d (%v)", head[:n], result.Outcome, retry.Crashed, result.Err)
			}
		}
	}
}

// Guards against an upstream that ends between two chunks, or inside the line before one, and counts as
// sending invalid bytes.
func TestExchangeRecognizesEndsInsideChunks(t *testing.T) {
	head := "HTTP/1.1 " + validHead + "Transfer-Encoding: chunked\r\n\r\n"
	body := chunk("one") + chunk("two") + "0\r\n\r\n"
	for n := range body {
		u := startByteUpstream(t, func(int) (string, func(net.Conn)) { return head + body[:n], closeConn })
		result := New(DefaultLimits()).Do(context.Background(), newAttempt(u), &memorySink{})
		if result.Err == nil || result.Outcome != retry.Truncated || !result.ConnectionBroken {
			t.Errorf("end after %q: outcome %d, broken %t (%v)", body[:n], result.Outcome, result.ConnectionBroken, result.Err)
		}
	}
}

// Guards against reusing a connection after an invalid response, whose trailing bytes
// would be parsed as the next response.
func TestExchangeClosesTheConnectionOfAWrongAnswer(t *testing.T) {
	u := startByteUpstream(t, func(n int) (string, func(net.Conn)) {
		if n == 1 {
			return response("200 OK\r\nId: r0\r\nSig: s\r\n", "") + response(validHead, "crossed"), nil
		}
		return response(validHead, "right"), nil
	})
	r := New(DefaultLimits())
	_ = r.Do(context.Background(), newAttempt(u), &memorySink{})
	sink := &memorySink{}
	if result := r.Do(context.Background(), newAttempt(u), sink); result.Err != nil || sink.body.String() != "right" {
		t.Fatalf("got %v, %q", result.Err, sink.body.String())
	}
	if u.conns != 2 {
		t.Errorf("%d connections, want 2", u.conns)
	}
}

// Guards against requests that reach an upstream again without counting as retries.
func TestExchangeCountsWhatTheTransportSendsAgain(t *testing.T) {
	u := startByteUpstream(t, func(n int) (string, func(net.Conn)) {
		if n == 2 {
			return "", closeConn
		}
		return response(validHead, "right"), nil
	})
	r := New(DefaultLimits())
	var sends atomic.Int64
	for _, want := range []int{0, 1} {
		a := newAttempt(u)
		a.Method, a.Body, a.Repeatable = "GET", nil, true
		a.OnSent = func() { sends.Add(1) }
		if result := r.Do(context.Background(), a, &memorySink{}); result.Err != nil || result.Resends != want {
			t.Errorf("got %v and %d resends, want %d", result.Err, result.Resends, want)
		}
	}
	if len(u.heads) != 3 || sends.Load() != 3 {
		t.Errorf("the upstream received %d requests, and %d were reported as sent, want 3", len(u.heads), sends.Load())
	}
}

// Guards against rejecting a response whose body is delimited by the close of its
// connection.
func TestExchangeTakesAnAnswerThatEndsWithItsConnection(t *testing.T) {
	u := startByteUpstream(t, func(int) (string, func(net.Conn)) { return "HTTP/1.1 " + validHead + "\r\nall", closeConn })
	sink := &memorySink{}
	result := New(DefaultLimits()).Do(context.Background(), newAttempt(u), sink)
	if result.Err != nil || !result.EndedByClose || sink.body.String() != "all" || sink.header.Get("Content-Length") != "3" {
		t.Fatalf("got %v, %q, %v", result.Err, sink.body.String(), sink.header)
	}
}

// Guards against lost, duplicated or partial events, against a truncated stream that is
// reported as complete, and against resuming anywhere but after the last event.
func TestExchangeResumesAStreamBehindItsLastEvent(t *testing.T) {
	for _, c := range []struct {
		name, first string
		end         func(net.Conn)
	}{
		{"cut inside an event", chunkedHead + chunk(numbered(1)+numbered(2)+"id: 3\nda"), closeConn},
		{"cut between events", chunkedHead + chunk(numbered(1)+numbered(2)), closeConn},
		{"reset", chunkedHead + chunk(numbered(1)+numbered(2)), resetConn},
		{"event missing", chunkedHead + chunk(numbered(1)+numbered(2)+numbered(4)), nil},
		{"event twice", chunkedHead + chunk(numbered(1)+numbered(2)+numbered(2)), nil},
		{"ended inside an event", chunkedHead + chunk(numbered(1)+numbered(2)+"id: 3\n") + "0\r\n\r\n", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := startByteUpstream(t, func(n int) (string, func(net.Conn)) {
				if n == 1 {
					return c.first, c.end
				}
				return chunkedHead + chunk(numbered(3)+numbered(4)) + "0\r\n\r\n", nil
			})
			r := New(DefaultLimits())
			a := newAttempt(u)
			a.StreamPosition, a.Repeatable = &StreamPosition{}, true
			sink := &memorySink{}
			first := r.Do(context.Background(), a, sink)
			if first.Err == nil || first.Outcome != retry.Truncated || a.StreamPosition.LastEventID != 2 {
				t.Fatalf("got %v, outcome %d, last event %d", first.Err, first.Outcome, a.StreamPosition.LastEventID)
			}
			if second := r.Do(context.Background(), a, sink); second.Err != nil {
				t.Fatal(second.Err)
			}
			if want := numbered(1) + numbered(2) + numbered(3) + numbered(4); sink.body.String() != want {
				t.Errorf("the caller received %q", sink.body.String())
			}
			if !strings.HasSuffix(u.heads[1], "after=2") {
				t.Errorf("the stream was resumed with %q", u.heads[1])
			}
		})
	}
}

// Guards against an upstream that keeps working after its caller disconnected.
func TestExchangeEndsWithItsCaller(t *testing.T) {
	left := make(chan time.Time, 1)
	u := startByteUpstream(t, func(int) (string, func(net.Conn)) {
		return chunkedHead + chunk(numbered(1)), func(c net.Conn) {
			_, _ = c.Read(make([]byte, 1))
			left <- time.Now()
		}
	})
	ctx, cancel := context.WithCancelCause(context.Background())
	a := newAttempt(u)
	a.StreamPosition = &StreamPosition{}
	time.AfterFunc(50*time.Millisecond, func() { cancel(errors.New("the caller disconnected")) })
	result := New(DefaultLimits()).Do(ctx, a, &memorySink{})
	if result.Outcome != retry.RequestEnded {
		t.Fatalf("outcome %d", result.Outcome)
	}
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		t.Error("the connection to the upstream was not closed within 500 ms")
	}
}

// Guards against a request that fails because its pooled connection was sealed after the
// previous response.
func TestExchangePassesOverASealedConnection(t *testing.T) {
	u := startByteUpstream(t, func(int) (string, func(net.Conn)) { return response(validHead, "answer"), nil })
	r := New(DefaultLimits())
	if first := r.Do(context.Background(), newAttempt(u), &memorySink{}); first.Err != nil {
		t.Fatal(first.Err)
	}
	for c := range r.pool.conns[u.listener.Addr().String()] {
		c.sealed = true
	}
	if second := r.Do(context.Background(), newAttempt(u), &memorySink{}); second.Err != nil {
		t.Fatal(second.Err)
	}
}

// Guards against an earlier rejection, sent once more on a kept connection, that is taken as the response to a
// request which the upstream executes.
func TestExchangeIgnoresAnEarlierRejectionOnAKeptConnection(t *testing.T) {
	for form, earlier := range map[string]string{
		"named":                   response("503 Service Unavailable\r\nNot-Run: 1\r\nId: r1\r\n", "full"),
		"named, without a body":   response("429 Too Many Requests\r\nNot-Run: 1\r\nId: r1\r\n", ""),
		"unnamed":                 response("503 Service Unavailable\r\nNot-Run: 1\r\n", "full"),
		"unnamed, without a body": response("421 Misdirected Request\r\nNot-Run: 1\r\n", ""),
	} {
		half := len(earlier) / 2
		for moment, texts := range map[string][2]string{
			"right behind the first":         {earlier + earlier, ""},
			"before the next response":       {earlier, earlier},
			"twice before the next response": {earlier, earlier + earlier},
			"one part before the request":    {earlier + earlier[:half], earlier[half:]},
			"behind an interim response":     {earlier, "HTTP/1.1 103 Early Hints\r\n\r\n" + earlier},
		} {
			for _, stream := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, stream %t", form, moment, stream), func(t *testing.T) {
					expectOwnResponse(t, texts, stream)
				})
			}
		}
	}
}

// expectOwnResponse sends two requests to an upstream which rejects the first one and executes the second, and
// sends the texts in front of their responses.
func expectOwnResponse(t *testing.T, texts [2]string, stream bool) {
	t.Helper()
	u := startByteUpstream(t, func(n int) (string, func(net.Conn)) {
		if n == 1 {
			return texts[0], nil
		}
		return texts[1] + response("200 OK\r\nId: r2\r\nSig: s\r\n", "right"), nil
	})
	r := New(DefaultLimits())
	if result := r.Do(context.Background(), newAttempt(u), &memorySink{}); result.Outcome != retry.Rejected {
		t.Fatalf("the first request ended with %v", result.Err)
	}
	a := newAttempt(u)
	a.RequestID = "r2"
	if stream {
		a.StreamPosition = &StreamPosition{}
	}
	sink := &memorySink{}
	result := r.Do(context.Background(), a, sink)
	if result.Err == nil && sink.body.String() != "right" {
		t.Errorf("the caller received %q", sink.body.String())
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if result.Err != nil && result.Err.Execution == errkind.NotExecuted && len(u.heads) > 1 {
		t.Errorf("an executed request was reported as not executed: %v", result.Err)
	}
}
