package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"heatherloom/platform/standin"
)

// Guards against requests that a frozen process sends although their callers left before it read them.
func TestFrozenProcessSendsNoRequestsOfCallersThatLeft(t *testing.T) {
	t.Parallel()
	const leave, frozen, settle, callers = 200 * time.Millisecond, time.Second, time.Second, 20
	s := startStopProcess(t)
	s.signal(syscall.SIGSTOP)
	left := map[string]bool{}
	var calls sync.WaitGroup
	for _, path := range []string{"/fast/", "/write/", "/stream/"} {
		for i := range callers {
			call := standin.Call{ID: fmt.Sprint("left", path[1:len(path)-1], i), Method: http.MethodPost, Path: path, Key: "key", Body: []byte("body"), Timeout: time.Minute}
			left[call.ID] = true
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), leave)
				defer cancel()
				standin.Send(ctx, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, s.address, call)
			})
		}
	}
	calls.Wait()
	time.Sleep(frozen)
	s.signal(syscall.SIGCONT)
	time.Sleep(settle)
	arrived := 0
	for _, server := range s.servers {
		for _, a := range server.Arrivals() {
			if left[a.RequestID] {
				arrived++
			}
		}
	}
	if arrived > 0 {
		t.Errorf("%d of %d requests whose callers had left %s before reached a server", arrived, len(left), frozen)
	}
}
