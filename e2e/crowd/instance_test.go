package crowd

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherloom/internal/configsync"
	"heatherloom/internal/devcluster"
	"heatherloom/internal/external"
	"heatherloom/internal/external/etcdgw"
	"heatherloom/internal/opconfig"
	apistandin "heatherloom/internal/standin"
	"heatherloom/platform/standin"
)

const (
	// memoryMB is the memory of the smallest machine to run on.
	memoryMB = 144
	// descriptors is the limit of the process; reservedDescriptors of it are not for sockets.
	descriptors         = 512
	reservedDescriptors = 200

	apiKey     = "key-of-the-crowd"
	peerSecret = "test-peer-secret"
	// upstreamDelay keeps requests at work while others arrive.
	upstreamDelay = 500 * time.Millisecond
	startTimeout  = 30 * time.Second
)

var buildBinary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "heatherloom-crowd")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "heatherloom")
	// The race detector multiplies the memory that a process uses.
	out, err := exec.Command("go", "build", "-o", path, "heatherloom/cmd/heatherloom").CombinedOutput()
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

// wiring is one way in which an entry instance is set up.
type wiring struct {
	name string
	// hostRoutes selects the platform protocol metadata; the API is served otherwise.
	hostRoutes bool
	tls        bool
}

var wirings = []wiring{
	{name: "host_routes", hostRoutes: true},
	{name: "api"},
	{name: "host_routes_with_tls", hostRoutes: true, tls: true},
	{name: "api_with_tls", tls: true},
}

// maxBodyBytes is the largest body that a caller may send.
func (w wiring) maxBodyBytes() int {
	if w.hostRoutes {
		return 4 << 20
	}
	return 8 << 20
}

// requestHead returns the head of a request that runs at an upstream, without the headers that frame its body.
func (w wiring) requestHead() string {
	if w.hostRoutes {
		return "POST /r/crowd HTTP/1.1\r\nHost: " + standin.Host + "\r\nRequest-Id: crowd\r\nKey: " + apiKey + "\r\n"
	}
	return "POST /status/crowd HTTP/1.1\r\nHost: crowd\r\nAuthorization: Bearer " + apiKey + "\r\n"
}

// listeners are the addresses of one instance. entries and ready are used with host routes only.
type listeners struct {
	caller, peer, operator, entries, ready string
}

func (l listeners) all() []string { return []string{l.caller, l.peer, l.operator, l.entries, l.ready} }

// instance is an entry instance in a process of its own.
type instance struct {
	wiring
	listeners
	// maxSockets is the number of sockets that the process may have.
	maxSockets int
	cmd        *exec.Cmd
	exited     chan struct{}
	client     *http.Client
	output     *bytes.Buffer
	usage      *usageWatch
}

// startInstance starts the outside parts and one entry instance, and waits until that serves requests.
func startInstance(t *testing.T, w wiring) *instance {
	t.Helper()
	return startInstanceWith(t, w, descriptors)
}

// startInstanceWith is startInstance for a process with a number of descriptors.
func startInstanceWith(t *testing.T, w wiring, descriptors int) *instance {
	t.Helper()
	platformSection := ""
	if w.hostRoutes {
		store := startHostPlatform(t, "a")
		platformSection = fmt.Sprintf("protocol=metadata\nstore=%s\ndomains=a:a\nmax_isolation=60s\n", store.URL())
	} else {
		store, instances := startAPIPlatform(t)
		platformSection = fmt.Sprintf("store=%s\ninstances=%s/instances\n", store, instances)
	}
	i := launch(t, w, "a", platformSection, "", descriptors)
	i.waitReady(t)
	return i
}

// launch starts an entry instance in region with the given content of [platform] and [peer].
func launch(t *testing.T, w wiring, region, platformSection, peerSection string, descriptors int) *instance {
	t.Helper()
	binary, err := buildBinary()
	if err != nil {
		t.Fatal(err)
	}
	i := &instance{wiring: w, maxSockets: descriptors - reservedDescriptors, exited: make(chan struct{}), output: &bytes.Buffer{}}
	dir := t.TempDir()
	i.listeners = listeners{caller: address(t), peer: address(t), operator: address(t), entries: address(t), ready: address(t)}
	text := fmt.Sprintf("[instance]\nid=e-%s\nregion=%s\nfailure_domain=%s\n[listeners]\ncaller=%s\npeer=%s\noperator=%s\n", region, region, w.failureDomain(region), i.caller, i.peer, i.operator)
	if w.hostRoutes {
		text += fmt.Sprintf("entries=%s\nready=%s\n", i.entries, i.ready)
	}
	text += "[platform]\n" + platformSection + "[peer]\nsecret=" + peerSecret + "\n" + peerSection
	text += fmt.Sprintf("[log]\nlevel=warning\n[process]\nmemory_mb=%d\n", memoryMB)
	if w.tls {
		text += issueCertificate(t, dir)
	}
	path := filepath.Join(dir, "instance.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	i.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, descriptors), "sh", binary, "serve", "-config", path)
	i.cmd.Stdout, i.cmd.Stderr = i.output, i.output
	if err := i.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = i.cmd.Wait()
		close(i.exited)
	}()
	t.Cleanup(func() {
		_ = i.cmd.Process.Kill()
		<-i.exited
	})
	i.client = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, DisableKeepAlives: true,
	}}
	i.usage = watchUsage(i.cmd.Process.Pid, i.all())
	t.Cleanup(i.usage.stop)
	return i
}

func (w wiring) failureDomain(region string) string {
	if w.hostRoutes {
		return region
	}
	return region + "-1"
}

func (i *instance) running() bool {
	select {
	case <-i.exited:
		return false
	default:
		return true
	}
}

func (i *instance) waitReady(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(startTimeout); !i.ordinaryRequest(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) || !i.running() {
			t.Fatalf("the instance did not get ready: %s", i.output)
		}
	}
}

// url returns the base URL of the caller listener.
func (i *instance) url() string {
	if i.tls {
		return "https://" + i.caller
	}
	return "http://" + i.caller
}

// ordinaryRequest sends one small request on a connection of its own and reports whether it is answered in full.
func (i *instance) ordinaryRequest() bool {
	_, ok := i.post("ordinary")
	return ok
}

// post sends a request that runs at an upstream, which returns the body, and reports whether it is answered in full.
func (i *instance) post(body string) (status int, ok bool) {
	path := "/status/ordinary"
	if i.hostRoutes {
		path = "/r/ordinary"
	}
	req, err := http.NewRequest(http.MethodPost, i.url()+path, strings.NewReader(body))
	if err != nil {
		return 0, false
	}
	if i.hostRoutes {
		req.Host = standin.Host
		req.Header = http.Header{"Request-Id": {"ordinary"}, "Key": {apiKey}, "Deadline-Ms": {"8000"}}
	} else {
		req.Header.Set("Authorization", "Bearer "+apiKey)
	}
	resp, err := i.client.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, err == nil && resp.StatusCode == http.StatusOK && bytes.Contains(answer, []byte(body))
}

// dial opens a connection to a listener of the instance, which uses TLS only for callers.
func (i *instance) dial(listener string) (net.Conn, error) {
	if i.tls && listener == i.caller {
		d := &net.Dialer{Timeout: 5 * time.Second}
		return tls.DialWithDialer(d, "tcp", listener, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"http/1.1"}})
	}
	return net.DialTimeout("tcp", listener, 5*time.Second)
}

// startHostPlatform starts a metadata store, and two servers in a failure domain.
func startHostPlatform(t *testing.T, domain string) *standin.Store {
	t.Helper()
	store, err := standin.StartStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	store.PutConfig(standin.Config{
		Version:  1,
		Routes:   []standin.Route{{Prefix: "/r/", Kind: standin.KindSafe, Service: "s", Attempts: 2, Timeout: 20 * time.Second}},
		Services: []string{"s"},
		Accounts: []standin.Account{{Name: "t", Keys: []string{apiKey}}},
		Limits:   standin.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	for n := range 2 {
		s, err := standin.StartServer(standin.ServerConfig{ID: fmt.Sprint("i-", n), Service: "s", FailureDomain: domain, MaxConcurrency: 64})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		s.SetFaults(standin.ServerFaults{Delay: upstreamDelay})
		store.PutServer(s.Config, s.Address(), false)
	}
	return store
}

// startAPIPlatform starts a key-value store with a configuration, an instance list and a service.
func startAPIPlatform(t *testing.T) (store, instances string) {
	t.Helper()
	const anyPort = "127.0.0.1:0"
	kv, err := apistandin.StartStore(anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { kv.Close() })
	list, err := apistandin.StartInstanceList(anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { list.Close() })
	config := devcluster.Config{
		Slots: 1, Regions: []string{"a"},
		Accounts: []opconfig.Account{{Name: "t", Rate: 3000, Burst: 3000}},
		APIKeys:  []devcluster.APIKey{{ID: "t-1", Account: "t", Secret: apiKey}},
		Models:   []opconfig.Model{{Name: "m", Version: "1"}},
		Routes:   []opconfig.Route{{Prefix: "/status", Service: "status"}},
	}
	changes, err := config.Changes()
	if err != nil {
		t.Fatal(err)
	}
	publisher := &configsync.Publisher{Store: etcdgw.New(kv.URL())}
	if _, err := publisher.Apply(context.Background(), 0, changes); err != nil {
		t.Fatal(err)
	}
	service, err := apistandin.StartService(anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { service.Close() })
	service.SetFaults(apistandin.ServiceFaults{DelayMS: upstreamDelay.Milliseconds()})
	list.Set(external.Instance{
		ID: "status-a", Role: external.RoleService, Address: service.Address(), Service: "status",
		Region: "a", FailureDomain: "a-1", State: external.InstanceLive,
	})
	return kv.URL(), list.URL()
}

func address(t *testing.T) string {
	t.Helper()
	a, err := apistandin.FixedAddress()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// issueCertificate writes a self-signed certificate and returns the [tls] section that names it.
func issueCertificate(t *testing.T, dir string) string {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Minute), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1), net.ParseIP(apistandin.LoopbackHost())},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	for name, content := range map[string][]byte{"cert": cert, "ca": cert, "key": pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})} {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return fmt.Sprintf("[tls]\ncert=%[1]s/cert\nkey=%[1]s/key\nca=%[1]s/ca\n", dir)
}

// usageWatch records the largest memory and number of sockets of a process.
type usageWatch struct {
	done     chan struct{}
	finished chan struct{}

	mu          sync.Mutex
	memoryBytes int64
	unreadBytes int64
	sockets     int
}

const usageInterval = 20 * time.Millisecond

// watchUsage watches a process that listens at the addresses.
func watchUsage(pid int, addresses []string) *usageWatch {
	u := &usageWatch{done: make(chan struct{}), finished: make(chan struct{})}
	go func() {
		defer close(u.finished)
		for {
			u.sample(pid, addresses)
			select {
			case <-u.done:
				return
			case <-time.After(usageInterval):
			}
		}
	}()
	return u
}

func (u *usageWatch) stop() {
	select {
	case <-u.done:
	default:
		close(u.done)
	}
	<-u.finished
}

// sample adds the bytes that were received and not read yet to the memory, as the platform does.
func (u *usageWatch) sample(pid int, addresses []string) {
	resident, unread, sockets := residentBytes(pid), unreadBytes(addresses), openSockets(pid)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.memoryBytes = max(u.memoryBytes, resident+unread)
	u.unreadBytes = max(u.unreadBytes, unread)
	u.sockets = max(u.sockets, sockets)
}

func (u *usageWatch) peak() (memoryBytes, unreadBytes int64, sockets int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.memoryBytes, u.unreadBytes, u.sockets
}

func residentBytes(pid int) int64 {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

func openSockets(pid int) (n int) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if target, _ := os.Readlink(filepath.Join(dir, e.Name())); strings.HasPrefix(target, "socket:") {
			n++
		}
	}
	return n
}

// unreadBytes returns the bytes in the receive queues of the connections to the addresses.
func unreadBytes(addresses []string) (total int64) {
	local := map[string]bool{}
	for _, a := range addresses {
		host, port, _ := net.SplitHostPort(a)
		ip := net.ParseIP(host).To4()
		number, _ := strconv.Atoi(port)
		local[fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], number)] = true
	}
	const listening = "0A"
	raw, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !local[fields[1]] || fields[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		total += n
	}
	return total
}
