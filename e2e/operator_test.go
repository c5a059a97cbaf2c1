package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/operatorapi"
	"heatherloom/internal/standin"
	"heatherloom/internal/timeline"
)

const operatorToken = "operator-test-token"

// operatorEntry is an entry instance whose operator listener a test uses.
type operatorEntry struct {
	cmd      *exec.Cmd
	caller   string
	peer     string
	operator string
	// scheme is http:// or https://.
	scheme string
	// exited receives the error of Wait once, when the process has exited.
	exited chan error
}

// startOperatorEntry starts an entry instance with an operator token. tls is the [tls]
// section of its settings file; empty for an instance without TLS.
func (s *testStack) startOperatorEntry(id, region, tls string) *operatorEntry {
	w := &operatorEntry{scheme: "http://", caller: freeAddress(), peer: freeAddress(), operator: freeAddress(), exited: make(chan error, 1)}
	s.seeds = append(s.seeds, w.peer)
	path := filepath.Join(s.dir, id+".ini")
	text := fmt.Sprintf("[instance]\nid=%s\nregion=%s\nfailure_domain=%s-1\n[listeners]\ncaller=%s\npeer=%s\noperator=%s\n"+
		"[platform]\nstore=%s\ninstances=%s/instances\n[peer]\nsecret=%s\nseeds=%s\n[operator]\ntoken=%s\n",
		id, region, region, w.caller, w.peer, w.operator, s.store, s.instances, peerSecret, strings.Join(s.seeds, ","), operatorToken) + tls
	if tls != "" {
		w.scheme = "https://"
	}
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	w.cmd = exec.Command(binary, "serve", "-config", path)
	w.cmd.Stderr = GinkgoWriter
	Expect(w.cmd.Start()).To(Succeed())
	go func() { w.exited <- w.cmd.Wait() }()
	DeferCleanup(w.kill)
	Eventually(func() int { return call(w.scheme+w.caller, http.MethodGet, "/v1/models", "").status }, startTimeout, "50ms").Should(Equal(http.StatusOK))
	return w
}

// kill ends the process without a shutdown, as a crash does.
func (w *operatorEntry) kill() { _ = w.cmd.Process.Kill() }

func (w *operatorEntry) client() *operatorapi.Client {
	return &operatorapi.Client{URL: w.scheme + w.operator, Token: operatorToken, HTTP: httpClient}
}

// startSlowEngine starts an engine that emits one token per tokenInterval.
func (s *testStack) startSlowEngine(id, region string, tokenInterval time.Duration) {
	s.startEngine(id, region, "-token-interval", tokenInterval.String())
}

// runCommand runs a subcommand of the binary with the operator token and returns its
// output and exit code.
func runCommand(args ...string) (string, int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cmd := exec.CommandContext(ctx, binary, args...)
	cmd.Env = append(os.Environ(), "HEATHERLOOM_OPERATOR_TOKEN="+operatorToken)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// streamCounts counts the streams of callers by how they ended.
type streamCounts struct {
	mu       sync.Mutex
	complete int
	draining int
	cut      []string
}

func (o *streamCounts) add(a response, want string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var body struct{ Error struct{ Kind, Ran string } }
	switch {
	case a.err == nil && a.status == http.StatusOK && strings.HasSuffix(a.body, "data: [DONE]\n\n") && strings.Count(a.body, "data: ") == strings.Count(want, " ")+2:
		o.complete++
	case a.err == nil && json.Unmarshal([]byte(a.body), &body) == nil && body.Error.Kind == "draining" && body.Error.Ran == "no":
		o.draining++
	default:
		o.cut = append(o.cut, fmt.Sprint(a.status, " ", a.err, " ", a.body))
	}
}

// startStreams starts callers that request one stream after another from the entry
// instance at url until stop is closed.
func startStreams(url string, stop <-chan struct{}) (*streamCounts, *sync.WaitGroup) {
	const callers = 6
	// Callers of 1 s streams start staggered, so that at any moment one is near its start.
	const stagger = 160 * time.Millisecond
	var group sync.WaitGroup
	counts := &streamCounts{}
	for i := range callers {
		group.Go(func() {
			time.Sleep(time.Duration(i) * stagger)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					body := chatBody(1000*i+n, true)
					counts.add(call(url, http.MethodPost, "/v1/chat/completions", body), standin.ExpectedText([]byte(body)))
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	return counts, &group
}

func entryIDs(url string) []string {
	var list struct{ Entries []struct{ ID string } }
	_ = json.Unmarshal([]byte(call(url, http.MethodGet, "/v1/entries", "").body), &list)
	var ids []string
	for _, e := range list.Entries {
		ids = append(ids, e.ID)
	}
	return ids
}

var _ = Describe("the operator listener of separate processes", func() {
	// Guards against a drain that cuts a stream, rejects callers whose list of entry
	// instances is still valid, or ends without reporting it (I13). The draining
	// instance forwards each stream to the other region.
	It("drains under load without cutting a stream", func() {
		s := newTestStack()
		s.startSlowEngine("engine-b", "b", 60*time.Millisecond)
		a, b := s.startOperatorEntry("entry-a", "a", ""), s.startOperatorEntry("entry-b", "b", "")
		s.startService("ledger", "a")
		waitForRoute("http://" + a.caller)
		waitForRoute("http://" + b.caller)

		stop := make(chan struct{})
		counts, callers := startStreams("http://"+a.caller, stop)
		time.Sleep(time.Second)
		started := time.Now()
		type result struct {
			out  string
			code int
		}
		drained := make(chan result, 1)
		go func() {
			out, code := runCommand("drain", "-operator", "http://"+a.operator)
			drained <- result{out, code}
		}()
		Eventually(func() []string { return entryIDs("http://" + b.caller) }, 3*time.Second, "50ms").Should(Equal([]string{"entry-b"}))
		Expect(entryIDs("http://" + a.caller)).To(Equal([]string{"entry-b"}))
		ready, err := http.Get("http://" + a.operator + "/readyz")
		Expect(err).NotTo(HaveOccurred())
		Expect(ready.Body.Close()).To(Succeed())
		Expect(ready.StatusCode).To(Equal(http.StatusServiceUnavailable))

		var drain operatorapi.DrainStatus
		Eventually(func() string {
			drain, _ = a.client().DrainStatus(context.Background())
			return drain.Phase
		}, 15*time.Second, "10ms").Should(Equal("refusing"))
		Expect(time.Since(started)).To(BeNumerically(">=", 5*time.Second))
		Expect(drain.InFlight).To(BeNumerically(">", 0))
		rejected := call("http://"+a.caller, http.MethodPost, "/v1/chat/completions", chatBody(0, true))
		Expect(rejected.status).To(Equal(http.StatusServiceUnavailable))
		Expect(rejected.body).To(And(ContainSubstring(`"kind":"draining"`), ContainSubstring(`"ran":"no"`)))
		Expect(entryIDs("http://" + a.caller)).To(Equal([]string{"entry-b"}))
		close(stop)
		callers.Wait()
		var end result
		Eventually(drained, 15*time.Second).Should(Receive(&end))
		Expect(end.code).To(BeZero(), end.out)
		Expect(end.out).To(ContainSubstring("phase=done in_flight=0"))
		Eventually(a.exited, 10*time.Second).Should(Receive(BeNil()))
		Expect(counts.cut).To(BeEmpty())
		Expect(counts.complete).To(BeNumerically(">", 6))
	})

	// Guards against a drain that cuts streams forwarded to the draining instance, and
	// against new forwards to an instance that rejects them (I13).
	It("drains on a signal without failing forwarded streams", func() {
		s := newTestStack()
		s.startSlowEngine("engine-a", "a", 60*time.Millisecond)
		first, second, b := s.startOperatorEntry("entry-a1", "a", ""), s.startOperatorEntry("entry-a2", "a", ""), s.startOperatorEntry("entry-b", "b", "")
		for _, target := range []*operatorEntry{second, b} {
			Eventually(func() []string { return entryIDs("http://" + target.caller) }, 5*time.Second, "50ms").Should(HaveLen(3))
		}
		// The token bucket of a client account starts empty on each instance.
		Eventually(func() int {
			return call("http://"+b.caller, http.MethodPost, "/v1/chat/completions", chatBody(0, false)).status
		}, 5*time.Second, "50ms").Should(Equal(http.StatusOK))
		stop := make(chan struct{})
		counts, callers := startStreams("http://"+b.caller, stop)
		// The routing policy chooses which of the two instances gets the forwarded streams.
		var victim *operatorEntry
		Eventually(func() int {
			for _, victim = range []*operatorEntry{first, second} {
				if status, _ := victim.client().Status(context.Background()); status.InFlight > 0 {
					return status.InFlight
				}
			}
			return 0
		}, 5*time.Second, "20ms").Should(BeNumerically(">", 0))
		Expect(victim.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(victim.exited, 20*time.Second).Should(Receive(BeNil()))
		close(stop)
		callers.Wait()
		Expect(counts.cut).To(BeEmpty())
		Expect(counts.draining).To(BeZero())
		Expect(counts.complete).To(BeNumerically(">", 6))
	})

	// Guards against an instance that cannot be stopped before its drain is done.
	It("exits at once on a second signal", func() {
		s := newTestStack()
		a := s.startOperatorEntry("entry-a", "a", "")
		Expect(a.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(func() string {
			d, _ := a.client().DrainStatus(context.Background())
			return d.Phase
		}, 2*time.Second, "20ms").Should(Equal("announced"))
		Expect(a.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		var err error
		Eventually(a.exited, 2*time.Second).Should(Receive(&err))
		Expect(err).To(MatchError(ContainSubstring("exit status 1")))
	})

	// Guards against operator or peer services on the caller listener, and against
	// callers that are accepted as peers without the secret.
	It("does not serve operator or peer paths on the caller listener", func() {
		s := newTestStack()
		a := s.startOperatorEntry("entry-a", "a", "")
		for _, path := range []string{"/v1/status", "/v1/events", "/v1/drain", "/metrics", "/healthz", "/readyz", "/peer.v1.PeerService/Heartbeat", "/peer.v1.PeerService/PullEvents"} {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				got := callWithKey("http://"+a.caller, method, path, "{}", operatorToken)
				Expect(got.status).To(Equal(http.StatusNotFound), path)
				Expect(got.body).To(ContainSubstring("unknown_route"), path)
			}
		}
		resp, err := http.Post("http://"+a.peer+"/peer.v1.PeerService/PullEvents", "application/json", strings.NewReader("{}"))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusUnauthorized))
	})

	// Guards against a merged timeline that omits an event of a forwarded request,
	// shows events in the wrong order, or hides that an instance did not respond.
	It("merges the events of a forwarded request and names missing instances", func() {
		s := newTestStack()
		s.startSlowEngine("engine-b", "b", time.Millisecond)
		s.startService("ledger", "a")
		a, b := s.startOperatorEntry("entry-a", "a", ""), s.startOperatorEntry("entry-b", "b", "")
		waitForRoute("http://" + a.caller)
		id := call("http://"+a.caller, http.MethodPost, "/v1/chat/completions", chatBody(1, true)).header.Get("X-Request-Id")
		out, code := runCommand("timeline", "-operator", "http://"+a.operator, "-request", id)
		Expect(code).To(BeZero(), out)
		var kinds []string
		for line := range strings.Lines(out) {
			_, rest, _ := strings.Cut(line, " event=")
			kind, _, _ := strings.Cut(rest, " ")
			kinds = append(kinds, kind)
		}
		for i, kind := range []timeline.Kind{timeline.KindRequestReceived, timeline.KindForwarded, timeline.KindForwardReceived, timeline.KindUpstreamPicked, timeline.KindForwardEnded, timeline.KindRequestComplete} {
			Expect(kinds).To(HaveLen(6), out)
			Expect(kinds[i]).To(Equal(string(kind)), out)
		}

		b.kill()
		page := filepath.Join(s.dir, "page.html")
		out, code = runCommand("timeline", "-operator", "http://"+a.operator, "-html", page)
		Expect(code).To(Equal(1))
		Expect(out).To(ContainSubstring("did not respond"))
		Expect(out).To(ContainSubstring("entry-b"))
		raw, err := os.ReadFile(page)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(raw)).To(ContainSubstring("<li>entry-b"))
	})

	// Guards against missing metrics, and against subcommands that accept unknown flags or
	// have no help.
	It("shows the status, metrics, and help with examples", func() {
		s := newTestStack()
		a := s.startOperatorEntry("entry-a", "a", "")
		out, code := runCommand("status", "-operator", "http://"+a.operator)
		Expect(code).To(BeZero(), out)
		Expect(out).To(ContainSubstring("instance entry-a, region a, failure domain a-1: ready"))
		metrics := callWithKey("http://"+a.operator, http.MethodGet, "/metrics", "", operatorToken)
		Expect(metrics.body).To(And(
			ContainSubstring(`heatherloom_requests_total{account_class="large",kind="complete"}`),
			ContainSubstring("heatherloom_config_revision 1\n"),
			ContainSubstring(`heatherloom_invariant_violations_total{invariant="I14"} 0`),
			MatchRegexp(`heatherloom_tick_seconds_count [1-9]`)))
		for _, name := range []string{"status", "timeline", "drain"} {
			out, code := runCommand(name, "-h")
			Expect(code).To(BeZero(), out)
			Expect(out).To(ContainSubstring("heatherloom " + name + " -operator http"))
			_, code = runCommand(name, "-no-such-flag")
			Expect(code).To(Equal(2))
			_, code = runCommand(name)
			Expect(code).To(Equal(2))
		}
	})
})
