package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"heatherloom/internal/retry"
)

// wholeStream is a stream of two events.
var wholeStream = chunkedHead + chunk(numbered(1)+numbered(2)) + "0\r\n\r\n"

func newStreamAttempt(address string, firstByteTimeout time.Duration) Attempt {
	return Attempt{
		RequestID: "r1", Address: address, Method: "POST", Path: "/", Header: http.Header{}, Host: "h.example",
		Protocol: testProtocol{}, Deadline: time.Now().Add(5 * time.Second), StreamPosition: &StreamPosition{},
		Repeatable: true, HostFirstByteTimeout: firstByteTimeout,
	}
}

// Guards against a stream that is begun for its caller by an attempt which was given up, and is cut right after.
func TestAnAttemptThatTimedOutDeliversNothing(t *testing.T) {
	for name, text := range map[string]string{
		"stream":             chunkedHead + chunk(numbered(1)),
		"stream that begins": chunkedHead + chunk(numbered(1)+"id: 2\n"),
	} {
		t.Run(name, func(t *testing.T) {
			hold := make(chan struct{})
			t.Cleanup(func() { close(hold) })
			u := startByteUpstream(t, func(int) (string, func(net.Conn)) { return text, func(net.Conn) { <-hold } })
			a := newStreamAttempt(u.listener.Addr().String(), 100*time.Millisecond)
			// The events have arrived, and are read only after the timer is due.
			a.OnMetadata = func(ResponseMetadata) { time.Sleep(600 * time.Millisecond) }
			sink := &memorySink{}
			result := New(DefaultLimits()).Do(context.Background(), a, sink)
			if result.Outcome != retry.TimedOut || result.Started || a.StreamPosition.Started || sink.status != 0 {
				t.Errorf("outcome %d, started %t, the caller received %q", result.Outcome, result.Started, sink.body.String())
			}
		})
	}
}

// frozenAddress is the environment variable with the upstream's address for TestFrozenProcess.
const frozenAddress = "RELAY_TEST_FROZEN_ADDRESS"

const (
	frozenStreams   = 16
	frozenFirstByte = 500 * time.Millisecond
)

// TestFrozenProcess is the process that TestAFrozenProcessReadsBeforeItGivesUp freezes.
func TestFrozenProcess(t *testing.T) {
	address := os.Getenv(frozenAddress)
	if address == "" {
		return // It runs only as a child.
	}
	r := New(DefaultLimits())
	outcomes := make([]string, frozenStreams)
	var streams sync.WaitGroup
	for i := range outcomes {
		streams.Go(func() {
			result := r.Do(context.Background(), newStreamAttempt(address, frozenFirstByte), &memorySink{})
			outcomes[i] = fmt.Sprintf("outcome %d started %t", result.Outcome, result.Started)
		})
	}
	streams.Wait()
	if err := json.NewEncoder(os.Stdout).Encode(outcomes); err != nil {
		t.Fatal(err)
	}
}

// Guards against responses that have arrived, and are given up because the process got no processor time
// until their timeout was due as well.
func TestAFrozenProcessReadsBeforeItGivesUp(t *testing.T) {
	var arrived sync.WaitGroup
	arrived.Add(frozenStreams)
	send := make(chan struct{})
	u := startByteUpstream(t, func(int) (string, func(net.Conn)) {
		arrived.Done()
		<-send
		return wholeStream, nil
	})
	child := exec.Command(os.Args[0], "-test.run=^TestFrozenProcess$")
	child.Env = append(os.Environ(), frozenAddress+"="+u.listener.Addr().String())
	out := &strings.Builder{}
	child.Stdout = out
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	arrived.Wait()
	if err := child.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	close(send)
	time.Sleep(frozenFirstByte + 200*time.Millisecond)
	if err := child.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if err := child.Wait(); err != nil {
		t.Fatal(err, out)
	}
	var outcomes []string
	if err := json.Unmarshal([]byte(strings.SplitN(out.String(), "\n", 2)[0]), &outcomes); err != nil {
		t.Fatal(err, out)
	}
	failed := map[string]int{}
	for _, outcome := range outcomes {
		if outcome != fmt.Sprintf("outcome %d started true", retry.Delivered) {
			failed[outcome]++
		}
	}
	if len(failed) > 0 {
		t.Errorf("of %d streams that were sent in time: %v", frozenStreams, failed)
	}
}

// Guards against a request that is held until its deadline because the body of a rejection stalls.
func TestARejectionWithAStalledBodyEndsTheAttempt(t *testing.T) {
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	u := startByteUpstream(t, func(int) (string, func(net.Conn)) {
		return "HTTP/1.1 503 Busy\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 10\r\n\r\nab", func(net.Conn) { <-hold }
	})
	a := newStreamAttempt(u.listener.Addr().String(), time.Second)
	a.ReserveRetry = func() bool { return false }
	started := time.Now()
	result := New(DefaultLimits()).Do(context.Background(), a, &memorySink{})
	if took := time.Since(started); result.Outcome != retry.Rejected || took > time.Second {
		t.Errorf("outcome %d after %s", result.Outcome, took)
	}
}
