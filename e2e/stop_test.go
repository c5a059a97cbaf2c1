package e2e

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	local "heatherloom/internal/standin"
	"heatherloom/platform/standin"
)

const (
	stopTimeout = 4 * time.Second
	// secondSignalTime is the time from a second SIGTERM to the exit.
	secondSignalTime = 2 * time.Second
	// lossSlack is the operators' bound: a request that ends without an answer later than this after its last
	// byte was sent counts as read.
	lossSlack = 200 * time.Millisecond
	// lateRun is the time after the exit in which a request that was rejected may not run.
	lateRun = 500 * time.Millisecond
)

// stopProcess is an entry instance in a process of its own, with stand-ins for the platform.
type stopProcess struct {
	address string
	cmd     *exec.Cmd
	exited  chan struct{}
	servers []*standin.UpstreamServer

	calls sync.WaitGroup
	mu    sync.Mutex
	// results is guarded by mu.
	results []stopResult
}

// stopResult is what a caller saw.
type stopResult struct {
	standin.Call
	standin.Response
	// written is when the request had been sent, zero if it never was.
	written, ended time.Time
}

// stopPaths lead to servers that answer at once, never, and with a stream that never ends, whose events begin
// at once or never.
var stopPaths = map[string]standin.ServerConfig{
	"/fast/":        {Service: "fast"},
	"/read/":        {Service: "hang"},
	"/write/":       {Service: "hang"},
	"/stream/":      {Service: "stream", Events: 1 << 20, EventInterval: 50 * time.Millisecond},
	"/late-stream/": {Service: "late-stream", Events: 1, EventInterval: time.Hour},
}

func startStopProcess(t *testing.T) *stopProcess {
	t.Helper()
	path, err := buildBinary()
	if err != nil {
		t.Fatal(err)
	}
	store, err := standin.StartStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	kinds := map[string]string{"/write/": standin.KindUnsafe, "/stream/": standin.KindStream, "/late-stream/": standin.KindStream}
	config := standin.Config{Version: 1, Accounts: []standin.Account{{Name: "t", Keys: []string{"key"}}}}
	s := &stopProcess{exited: make(chan struct{})}
	for prefix, c := range stopPaths {
		kind := kinds[prefix]
		if kind == "" {
			kind = standin.KindSafe
		}
		config.Routes = append(config.Routes, standin.Route{Prefix: prefix, Kind: kind, Service: c.Service, Attempts: 2, Timeout: time.Minute})
		if !slices.Contains(config.Services, c.Service) {
			config.Services = append(config.Services, c.Service)
			s.startServers(t, store, c)
		}
	}
	store.PutConfig(config)
	s.start(t, path, store.URL())
	return s
}

func (s *stopProcess) startServers(t *testing.T, store *standin.Store, c standin.ServerConfig) {
	t.Helper()
	for i := range 2 {
		c.ID, c.FailureDomain, c.MaxConcurrency = fmt.Sprint(c.Service, i), "a", 256
		server, err := standin.StartServer(c)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		if c.Service == "hang" {
			server.SetFaults(standin.ServerFaults{Delay: time.Hour})
		}
		s.servers = append(s.servers, server)
		store.PutServer(server.Config, server.Address(), false)
	}
}

// start starts the process and waits until it serves.
func (s *stopProcess) start(t *testing.T, binary, store string) {
	t.Helper()
	listeners := ""
	for _, name := range []string{"caller", "peer", "operator", "entries", "ready"} {
		address, err := local.FixedAddress()
		if err != nil {
			t.Fatal(err)
		}
		if name == "caller" {
			s.address = address
		}
		listeners += name + "=" + address + "\n"
	}
	path := filepath.Join(t.TempDir(), "e.ini")
	text := "[instance]\nid=e\nregion=a\nfailure_domain=a\n[listeners]\n" + listeners +
		fmt.Sprintf("[platform]\nprotocol=metadata\nstore=%s\ndomains=a:a\n[peer]\nsecret=%s\n[shutdown]\ntimeout=%s\nserve_for=500ms\n", store, peerSecret, stopTimeout)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s.cmd = exec.Command(binary, "serve", "-config", path)
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.cmd.Stderr = os.Stderr
	// Otherwise the race detector sleeps for a second at exit.
	s.cmd.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0")
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = s.cmd.Wait()
		close(s.exited)
	}()
	t.Cleanup(func() {
		_ = s.cmd.Process.Kill()
		<-s.exited
	})
	for end := time.Now().Add(startTimeout); s.exchange(&http.Client{}, "/fast/", "start").Status != http.StatusOK; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the process does not serve")
		}
	}
}

func (s *stopProcess) signal(signal syscall.Signal) { _ = s.cmd.Process.Signal(signal) }

func (s *stopProcess) exchange(client *http.Client, path, id string) stopResult {
	r := stopResult{Call: standin.Call{ID: id, Method: http.MethodPost, Path: path + id, Key: "key", Body: []byte("body"), Timeout: time.Minute}}
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			r.written = time.Now()
		}
	}}
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(context.Background(), trace), 20*time.Second)
	defer cancel()
	r.Response = standin.Send(ctx, client, s.address, r.Call)
	r.ended = time.Now()
	return r
}

// send sends a request of each path that does not end.
func (s *stopProcess) send(moment string) {
	for path := range stopPaths {
		if path == "/fast/" {
			continue
		}
		s.calls.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			s.add(s.exchange(client, path, moment+strings.Trim(path, "/")))
		})
	}
}

func (s *stopProcess) add(results ...stopResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, results...)
}

// keepSending is a caller that sends reads without a pause until the process takes none.
func (s *stopProcess) keepSending(caller int) {
	s.calls.Go(func() {
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		var results []stopResult
		for refused := 0; refused < 3; {
			r := s.exchange(&http.Client{Transport: transport}, "/fast/", fmt.Sprint(caller, "-", len(results)))
			if r.written.IsZero() {
				refused++
			}
			results = append(results, r)
		}
		s.add(results...)
	})
}

// waitForExit reports how long after a moment the process exited by itself, and waits for all callers.
func (s *stopProcess) waitForExit(t *testing.T, since time.Time, limit time.Duration) {
	t.Helper()
	kill := time.AfterFunc(time.Until(since.Add(limit)), func() { _ = s.cmd.Process.Kill() })
	defer kill.Stop()
	<-s.exited
	if took := time.Since(since); took >= limit {
		t.Errorf("the process was still there after %s", limit)
	} else {
		t.Logf("the process exited after %s", took.Round(time.Millisecond))
	}
	s.calls.Wait()
	time.Sleep(lateRun)
}

// check fails for each request that was lost or called not run though it ran.
func (s *stopProcess) check(t *testing.T) {
	t.Helper()
	runs := map[string]int{}
	for _, server := range s.servers {
		for _, e := range server.ExecutedRequests() {
			runs[e.RequestID]++
		}
	}
	unanswered := 0
	for _, r := range s.results {
		if r.Status == 0 && !r.written.IsZero() {
			unanswered++
		}
		if fault := r.fault(runs[r.ID]); fault != "" {
			t.Errorf("%s: %s", r.Path, fault)
		}
	}
	t.Logf("%d of %d requests got no answer", unanswered, len(s.results))
}

// fault says what is wrong with the outcome of a request that servers ran so often; empty if nothing is.
func (r stopResult) fault(runs int) string {
	waited := r.ended.Sub(r.written).Round(time.Millisecond)
	notRun := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	stream := strings.HasPrefix(r.Path, "/stream/") && r.Status == http.StatusOK
	switch {
	case r.Status == 0 && !r.written.IsZero() && (runs > 0 || waited > lossSlack):
		return fmt.Sprintf("got no answer, %s after it was sent, with %d runs: %v", waited, runs, r.Err)
	case runs > 0 && slices.Contains(notRun, r.Status):
		return fmt.Sprintf("got %d, which promises that it never runs, with %d runs", r.Status, runs)
	case runs > 1 && strings.HasPrefix(r.Path, "/write/"):
		return fmt.Sprintf("got %d, a write with %d runs", r.Status, runs)
	case r.Status != 0 && r.Err != nil && !stream:
		return fmt.Sprintf("got a part of an answer with status %d: %v", r.Status, r.Err)
	case stream && r.Err == nil:
		return fmt.Sprintf("got %d bytes of a stream that end as a whole one", len(r.Response.Body))
	}
	return ""
}

// Guards against a process that is killed at the end of its time with requests that cannot end, instead of
// answering them and exiting.
func TestStopProcessAnswersRequestsThatCannotEnd(t *testing.T) {
	t.Parallel()
	s := startStopProcess(t)
	s.send("before")
	time.Sleep(300 * time.Millisecond)
	stopped := time.Now()
	s.signal(syscall.SIGTERM)
	for _, after := range []time.Duration{50 * time.Millisecond, 400 * time.Millisecond, time.Second, stopTimeout - 300*time.Millisecond} {
		s.calls.Go(func() {
			time.Sleep(after)
			s.send(after.String())
		})
	}
	s.waitForExit(t, stopped, stopTimeout)
	s.check(t)
}

// Guards against requests that a second signal ends without an answer, and against a process that ignores it.
func TestStopProcessAnswersRequestsAtASecondSignal(t *testing.T) {
	t.Parallel()
	s := startStopProcess(t)
	s.send("before")
	time.Sleep(300 * time.Millisecond)
	s.signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	s.send("announced")
	time.Sleep(200 * time.Millisecond)
	again := time.Now()
	s.signal(syscall.SIGTERM)
	s.waitForExit(t, again, secondSignalTime)
	s.check(t)
}

// Guards against requests that a process with little processor time has got and loses as it closes its connections.
func TestStopProcessThatIsSlowAnswersCallersThatKeepConnections(t *testing.T) {
	t.Parallel()
	const callers, running, frozen = 60, 10 * time.Millisecond, 40 * time.Millisecond
	s := startStopProcess(t)
	for i := range callers {
		s.keepSending(i)
	}
	time.Sleep(300 * time.Millisecond)
	stopped := time.Now()
	s.signal(syscall.SIGTERM)
	go func() {
		for {
			select {
			case <-s.exited:
				return
			case <-time.After(running):
				s.signal(syscall.SIGSTOP)
				time.Sleep(frozen)
				s.signal(syscall.SIGCONT)
			}
		}
	}()
	s.waitForExit(t, stopped, stopTimeout)
	s.check(t)
}
