package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"heatherloom/internal/errkind"
	"heatherloom/internal/retry"
)

// startSlowReader starts a listener whose connections hold little that is not read.
func startSlowReader(t *testing.T) net.Listener {
	t.Helper()
	const receiveBuffer = 1024
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, failed)
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// Guards against a request that the kernel delivers after its caller has left.
func TestTheKernelDeliversNoRequestOfACallerThatLeft(t *testing.T) {
	const bodyBytes, leave = 24 << 10, 200 * time.Millisecond
	for _, write := range []bool{false, true} {
		t.Run(fmt.Sprint("write ", write), func(t *testing.T) {
			t.Parallel()
			listener := startSlowReader(t)
			caller, cancel := context.WithTimeout(t.Context(), leave)
			defer cancel()
			attempt := Attempt{
				RequestID: "r", Address: listener.Addr().String(), Method: http.MethodPost, Path: "/", Header: http.Header{},
				Body: bytes.Repeat([]byte("x"), bodyBytes), Deadline: time.Now().Add(time.Minute), Repeatable: !write,
			}
			ctx := caller
			if write {
				ctx, attempt.Caller = t.Context(), caller
			}
			if result := New(DefaultLimits()).Do(ctx, attempt, discardSink{}); result.Outcome != retry.RequestEnded {
				t.Errorf("the attempt ended with %v: %v", result.Outcome, result.Err)
			}
			server, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			_ = server.SetReadDeadline(time.Now().Add(time.Second))
			if got, _ := io.ReadAll(server); len(got) >= bodyBytes {
				t.Errorf("the server got all %d bytes of a request that had been given up before it read", len(got))
			}
		})
	}
}

// Guards against a write that is sent, or called executed, although its caller left while it was being connected.
func TestAWriteThatWasNotSentEndsWithItsCaller(t *testing.T) {
	caller, leave := context.WithCancel(t.Context())
	r := New(DefaultLimits())
	dialing := make(chan struct{})
	r.writes.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
		close(dialing)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.AfterFunc(50*time.Millisecond, leave)
	result := r.Do(t.Context(), Attempt{
		RequestID: "r", Address: "127.0.0.1:1", Method: http.MethodPost, Path: "/", Header: http.Header{},
		Deadline: time.Now().Add(time.Minute), Caller: caller,
	}, discardSink{})
	<-dialing
	if result.Outcome != retry.RequestEnded || result.Err.Execution != errkind.NotExecuted {
		t.Errorf("the attempt ended with %v, executed %q", result.Outcome, result.Err.Execution)
	}
}

// Guards against a write in progress that ends with its caller.
func TestAWriteThatWasSentOutlivesItsCaller(t *testing.T) {
	caller, leave := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		leave()
		time.Sleep(2 * callerLeftGrace)
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	}))
	defer server.Close()
	result := New(DefaultLimits()).Do(t.Context(), Attempt{
		RequestID: "r", Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: "/", Header: http.Header{},
		Deadline: time.Now().Add(time.Minute), Caller: caller,
	}, discardSink{})
	if result.Err != nil {
		t.Errorf("the write ended with %v", result.Err)
	}
}

// discardSink discards a response.
type discardSink struct{}

func (discardSink) Head(int, http.Header) error { return nil }

func (discardSink) Data([]byte) error { return nil }
