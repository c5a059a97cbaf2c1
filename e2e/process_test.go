package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/standin"
)

func TestE2E(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "e2e")
}

const (
	buildTimeout = 3 * time.Minute
	startTimeout = 20 * time.Second
	callTimeout  = 10 * time.Second
)

var binary string

// buildBinary builds the binary and returns its path.
var buildBinary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "heatherloom-e2e")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "heatherloom")
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	out, err := exec.CommandContext(ctx, "go", "build", "-race", "-o", path, "heatherloom/cmd/heatherloom").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return path, err
})

func TestMain(m *testing.M) {
	status := m.Run()
	if path, _ := buildBinary(); path != "" {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(status)
}

var _ = BeforeSuite(func() {
	var err error
	binary, err = buildBinary()
	Expect(err).NotTo(HaveOccurred())
})

// process is one running heatherloom process.
type process struct {
	cmd *exec.Cmd
}

func startProcess(args ...string) (*process, *bufio.Reader) {
	GinkgoHelper()
	cmd := exec.Command(binary, args...)
	cmd.Stderr = GinkgoWriter
	stdout, err := cmd.StdoutPipe()
	Expect(err).NotTo(HaveOccurred())
	Expect(cmd.Start()).To(Succeed())
	p := &process{cmd: cmd}
	DeferCleanup(p.kill)
	return p, bufio.NewReader(stdout)
}

// kill ends the process without a shutdown, as a crash does, and waits for its exit.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// freeze suspends the process; resume continues it.
func (p *process) freeze() { Expect(p.cmd.Process.Signal(syscall.SIGSTOP)).To(Succeed()) }
func (p *process) resume() { Expect(p.cmd.Process.Signal(syscall.SIGCONT)).To(Succeed()) }

// startStandin starts a stand-in and returns its base URL and, if it has one, its control URL.
func startStandin(kind string, extra ...string) (p *process, url, control string) {
	GinkgoHelper()
	p, stdout := startProcess(append([]string{"standin", "-kind", kind}, extra...)...)
	line, err := stdout.ReadString('\n')
	Expect(err).NotTo(HaveOccurred())
	for _, field := range strings.Fields(line) {
		if value, ok := strings.CutPrefix(field, "url="); ok {
			url = value
		}
		if value, ok := strings.CutPrefix(field, "control="); ok {
			control = value
		}
	}
	Expect(url).NotTo(BeEmpty(), line)
	return p, url, control
}

func freeAddress() string {
	GinkgoHelper()
	address, err := standin.FixedAddress()
	Expect(err).NotTo(HaveOccurred())
	return address
}

func postJSON(url string, value any) {
	GinkgoHelper()
	raw, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.Post(url, "application/json", strings.NewReader(string(raw)))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

func getJSON(url string, value any) {
	GinkgoHelper()
	resp, err := httpClient.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	Expect(json.NewDecoder(resp.Body).Decode(value)).To(Succeed())
}

// response is the HTTP response to a caller, or the error of the call.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

var httpClient = &http.Client{Timeout: callTimeout}

func call(url, method, path, body string) response {
	return callWithKey(url, method, path, body, accountKey)
}

func callWithKey(url, method, path, body, key string) response {
	req, err := http.NewRequest(method, url+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := httpClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}
