package relay

import (
	"context"
	"net"
	"testing"
	"time"
)

// Guards against usage that is counted for requests which did not run, and against requests that ran and are not
// counted.
func TestExecutionIsReportedWhenItIsKnown(t *testing.T) {
	stream := "Content-Type: text/event-stream\r\nSig: 1\r\n"
	keep := func(net.Conn) {}
	for _, c := range []struct {
		name, text string
		end        func(net.Conn)
		stream     bool
		want       bool
	}{
		{"a response", response("200 OK\r\nId: r1\r\nSig: 1\r\n", "x"), keep, false, true},
		{"a response with an error status", response("500 Error\r\nId: r1\r\n", "x"), keep, false, true},
		{"a response that breaks off", "HTTP/1.1 200 OK\r\nId: r1\r\nSig: 1\r\nContent-Length: 9\r\n\r\nx", closeConn, false, true},
		{"not executed", response("503 Busy\r\nId: r1\r\nNot-Run: 1\r\n", ""), keep, false, false},
		{"a response to another request", response("200 OK\r\nId: r2\r\nSig: 1\r\n", "x"), keep, false, false},
		{"the connection broke after the request", "", closeConn, false, true},
		{"the connection was reset after the request", "", resetConn, false, true},
		{"the upstream is silent until the deadline", "", keep, false, false},
		{"a stream that broke before its head", "", closeConn, true, false},
		{"a stream without an event", "HTTP/1.1 200 OK\r\nId: r1\r\n" + stream + "Content-Length: 0\r\n\r\n", keep, true, false},
		{"a stream with a comment", "HTTP/1.1 200 OK\r\nId: r1\r\n" + stream + "Content-Length: 8\r\n\r\n: hold\n\n", keep, true, false},
		{"a stream with half an event", "HTTP/1.1 200 OK\r\nId: r1\r\n" + stream + "Content-Length: 14\r\n\r\nid: 1\ndata: d1", closeConn, true, false},
		{"a stream with an event", "HTTP/1.1 200 OK\r\nId: r1\r\n" + stream + "Content-Length: 90\r\n\r\n" + numbered(1), closeConn, true, true},
		{"no stream in response to the request for one", response("400 Bad Request\r\nId: r1\r\n", "x"), keep, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := startByteUpstream(t, func(int) (string, func(net.Conn)) { return c.text, c.end })
			a := newAttempt(u)
			a.Deadline = time.Now().Add(300 * time.Millisecond)
			if a.StreamPosition = nil; c.stream {
				a.StreamPosition = &StreamPosition{}
			}
			executions := 0
			a.OnExecution = func() { executions++ }
			ctx, cancel := context.WithDeadline(context.Background(), a.Deadline)
			defer cancel()
			result := New(DefaultLimits()).Do(ctx, a, &memorySink{})
			if (executions > 0) != c.want {
				t.Errorf("reported %d times (result %+v, error %v), want %t", executions, result, result.Err, c.want)
			}
		})
	}
}

// Guards against requests that ran and are not counted because their callers left.
func TestExecutionIsReportedIfTheCallerLeaves(t *testing.T) {
	received := make(chan struct{}, 1)
	u := startByteUpstream(t, func(int) (string, func(net.Conn)) {
		received <- struct{}{}
		return "", func(net.Conn) {}
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		time.Sleep(50 * time.Millisecond)
		cancel()
	}()
	a := newAttempt(u)
	a.StreamPosition, a.Deadline = nil, time.Now().Add(5*time.Second)
	executions := 0
	a.OnExecution = func() { executions++ }
	if New(DefaultLimits()).Do(ctx, a, &memorySink{}); executions != 1 {
		t.Errorf("reported %d times, want once", executions)
	}
}
