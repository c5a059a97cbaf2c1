package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/configsync"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/platform"
	"heatherloom/internal/platform/etcdgw"
)

func TestE2E(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "e2e")
}

const (
	buildTimeout = 3 * time.Minute
	startTimeout = 20 * time.Second
	callTimeout  = 10 * time.Second
	peerSecret   = "test-peer-secret"
)

var binary string

var _ = BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "heatherloom-e2e")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	binary = filepath.Join(dir, "heatherloom")
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "heatherloom/cmd/heatherloom").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

// process is one running heatherloom process.
type process struct {
	cmd *exec.Cmd
}

func startProcess(args ...string) (*process, *bufio.Reader) {
	cmd := exec.Command(binary, args...)
	cmd.Stderr = GinkgoWriter
	stdout, err := cmd.StdoutPipe()
	Expect(err).NotTo(HaveOccurred())
	Expect(cmd.Start()).To(Succeed())
	p := &process{cmd: cmd}
	DeferCleanup(p.kill)
	return p, bufio.NewReader(stdout)
}

// kill ends the process at once, as a crash does.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// startStandin starts a stand-in and returns its base URL.
func startStandin(kind string, extra ...string) (*process, string) {
	p, stdout := startProcess(append([]string{"standin", "-kind", kind}, extra...)...)
	line, err := stdout.ReadString('\n')
	Expect(err).NotTo(HaveOccurred())
	_, url, ok := strings.Cut(strings.TrimSpace(line), "url=")
	Expect(ok).To(BeTrue(), line)
	return p, url
}

func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}

func postJSON(url string, value any) {
	raw, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.Post(url, "application/json", strings.NewReader(string(raw)))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// site is the outside parts of a deployment with its regions.
type site struct {
	store     string
	instances string
	dir       string
	seeds     []string
}

func newSite() *site {
	s := &site{dir: GinkgoT().TempDir()}
	_, s.store = startStandin("store")
	_, s.instances = startStandin("instances")
	return s
}

func (s *site) list(i platform.Instance) {
	i.State = platform.InstanceLive
	postJSON(s.instances+"/instances", i)
}

// engine starts an engine of a region and lists it.
func (s *site) engine(id, region string) (*process, string) {
	p, url := startStandin("engine")
	s.list(platform.Instance{
		ID: id, Role: platform.RoleEngine, Region: region, FailureDomain: region + "-1",
		Address: strings.TrimPrefix(url, "http://"), Models: []string{"lantern@1"},
	})
	return p, url
}

// service starts a plain service of a region and lists it.
func (s *site) service(id, region string) (*process, string) {
	p, url := startStandin("service")
	s.list(platform.Instance{
		ID: id, Role: platform.RoleService, Region: region, FailureDomain: region + "-1",
		Address: strings.TrimPrefix(url, "http://"), Service: "ledger",
	})
	return p, url
}

// entry starts an entry instance and waits until it is ready.
func (s *site) entry(id, region string) (*process, string) {
	caller, peer := freeAddress(), freeAddress()
	s.seeds = append(s.seeds, peer)
	path := filepath.Join(s.dir, id+".ini")
	text := fmt.Sprintf("[instance]\nid=%s\nregion=%s\nfailure_domain=%s-1\n[listeners]\ncaller=%s\npeer=%s\noperator=%s\n"+
		"[platform]\nstore=%s\ninstances=%s/instances\n[peer]\nsecret=%s\nseeds=%s\n",
		id, region, region, caller, peer, freeAddress(), s.store, s.instances, peerSecret, strings.Join(s.seeds, ","))
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	p, stdout := startProcess("serve", "-config", path)
	go func() { _, _ = io.Copy(GinkgoWriter, stdout) }()
	url := "http://" + caller
	Eventually(func() int { return call(url, http.MethodGet, "/v1/models", "").status }, startTimeout, "50ms").Should(Equal(http.StatusOK))
	return p, url
}

const (
	accountKey = "sk-derwent-morning"
	homeKey    = "sk-burnie-bound"
)

// configure accepts a small configuration.
func (s *site) configure() {
	var changes []opconfig.Change
	set := func(table opconfig.Table, id string, record any) {
		change, err := opconfig.Set(table, id, record)
		Expect(err).NotTo(HaveOccurred())
		changes = append(changes, change)
	}
	set(opconfig.TableAccounts, "derwent", opconfig.Account{Name: "derwent", Rate: 1000, Burst: 1000})
	set(opconfig.TableAccounts, "bound", opconfig.Account{Name: "bound", Rate: 1000, Burst: 1000, Home: "b"})
	for account, secret := range map[string]string{"derwent": accountKey, "bound": homeKey} {
		key := opconfig.Key{Hash: opconfig.HashKey(secret), ID: account + "-1", Account: account}
		set(opconfig.TableKeys, key.Hash, key)
	}
	set(opconfig.TableModels, "lantern", opconfig.Model{Name: "lantern", Version: "1"})
	set(opconfig.TableRoutes, "/orders", opconfig.Route{Prefix: "/orders", Service: "ledger"})
	publisher := &configsync.Publisher{Store: etcdgw.New(s.store)}
	_, err := publisher.Apply(context.Background(), 0, changes)
	Expect(err).NotTo(HaveOccurred())
}

// answer is what a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

var httpClient = &http.Client{Timeout: callTimeout}

func call(url, method, path, body string) answer {
	return callWithKey(url, method, path, body, accountKey)
}

func callWithKey(url, method, path, body, key string) answer {
	req, err := http.NewRequest(method, url+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := httpClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}
