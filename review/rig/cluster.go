//go:build review

// Command review-rig plays the scripted cases of the review. It starts entry instances as separate processes, with
// the command of deploy/system.toml and settings as deploy/settings.ini gives them, and the project's stand-ins of
// the store and the servers.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	local "heatherloom/internal/standin"
	"heatherloom/internal/standin/faultproxy"
	"heatherloom/platform/standin"
)

// The bounds of the deployment, as on the page of buoylight-ops.
const (
	contact = 5 * time.Second
	grace   = 8 * time.Second
)

// instance is an entry instance in a process of its own.
type instance struct {
	id, region                             string
	caller, peer, operator, entries, ready string
	// storeAddress is where it finds the store, peerAddress where the others find it.
	storeAddress, peerAddress string
	cmd                       *exec.Cmd
	exited                    chan struct{}
}

// cluster is a small deployment.
type cluster struct {
	dir       string
	store     *standin.Store
	instances []*instance
	servers   []*standin.UpstreamServer
	proxies   []*faultproxy.Proxy

	mu     sync.Mutex
	record *os.File
	began  time.Time
	closed bool
}

func newCluster(recordPath string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "heatherloom-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	store, err := standin.StartStore()
	if err != nil {
		return nil, err
	}
	return &cluster{dir: dir, store: store, record: record, began: time.Now()}, nil
}

// note writes a line to the record.
func (c *cluster) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (c *cluster) say(format string, args ...any) {
	c.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// proxy starts a proxy to an address.
func (c *cluster) proxy(target string) (*faultproxy.Proxy, error) {
	p, err := faultproxy.Start("127.0.0.1:0", target)
	if err == nil {
		c.proxies = append(c.proxies, p)
	}
	return p, err
}

// addInstance prepares an instance.
func (c *cluster) addInstance(id, region string) (*instance, error) {
	e := &instance{id: id, region: region, storeAddress: strings.TrimPrefix(c.store.URL(), "http://")}
	for _, address := range []*string{&e.caller, &e.peer, &e.operator, &e.entries, &e.ready} {
		var err error
		if *address, err = local.FixedAddress(); err != nil {
			return nil, err
		}
	}
	e.peerAddress = e.peer
	c.instances = append(c.instances, e)
	return e, nil
}

func zoneOf(region string) string { return region + "-a" }

// settings renders deploy/settings.ini for an instance.
func (c *cluster) settings(e *instance) string {
	var zones, seeds []string
	known := map[string]bool{}
	for _, other := range c.instances {
		if !known[other.region] {
			known[other.region] = true
			zones = append(zones, zoneOf(other.region)+":"+other.region)
		}
		if len(seeds) < 3 {
			seeds = append(seeds, other.peerAddress)
		}
	}
	advertise := ""
	if e.peerAddress != e.peer {
		advertise = "advertise_peer = " + e.peerAddress + "\n"
	}
	return fmt.Sprintf(`[instance]
id = %s
region = %s
failure_domain = %s

[listeners]
caller = %s
peer = %s
%soperator = %s
entries = %s
ready = %s

[platform]
protocol = metadata
store = http://%s
domains = %s
max_isolation = 5000ms
strict_isolation = true

[peer]
secret = heatherloom-entry-instances
seeds = %s

[shutdown]
timeout = 8s
serve_for = 1500ms

[bounds]
quota_slack = 140000
retry_share = 0.2
retry_slack = 56
cold_excess = 1.5
cold_slack = 3
canary_share = 0.1

[process]
memory_mb = 284
`, e.id, e.region, zoneOf(e.region), e.caller, e.peer, advertise, e.operator, e.entries, e.ready,
		e.storeAddress, strings.Join(zones, ","), strings.Join(seeds, ","))
}

// start starts the process of an instance.
func (c *cluster) start(e *instance) error {
	path := filepath.Join(c.dir, e.id+".ini")
	if err := os.WriteFile(path, []byte(c.settings(e)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(c.dir, e.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/heatherloom", "serve")
	cmd.Env = append(os.Environ(), "HEATHERLOOM_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the process if the rig ends without doing so.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	e.cmd, e.exited = cmd, make(chan struct{})
	exited := e.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	c.note("started %s, pid %d", e.id, cmd.Process.Pid)
	return nil
}

// startAll starts all instances and waits until they are ready.
func (c *cluster) startAll() error {
	for _, e := range c.instances {
		if err := c.start(e); err != nil {
			return err
		}
	}
	for _, e := range c.instances {
		if err := c.waitReady(e, 10*time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) waitReady(e *instance, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + e.ready + standin.ReadyPath)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			c.note("%s is ready", e.id)
			return nil
		}
	}
	return fmt.Errorf("instance %s is not ready within %s", e.id, limit)
}

// addServer starts a server and writes its row.
func (c *cluster) addServer(config standin.ServerConfig) (*standin.UpstreamServer, error) {
	s, err := standin.StartServer(config)
	if err != nil {
		return nil, err
	}
	c.servers = append(c.servers, s)
	c.store.PutServer(s.Config, s.Address(), false)
	return s, nil
}

// recordRuns writes to the record what the servers ran.
func (c *cluster) recordRuns() {
	for _, s := range c.servers {
		for _, run := range s.ExecutedRequests() {
			c.note("run of %s by server %s of tenant %q at %.3f", run.RequestID, run.Server, run.Account, run.At.Sub(c.began).Seconds())
		}
	}
}

func (c *cluster) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// close ends everything that the rig started.
func (c *cluster) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for _, e := range c.instances {
		if e.cmd != nil {
			_ = e.cmd.Process.Kill()
			<-e.exited
		}
	}
	for _, p := range c.proxies {
		p.Close()
	}
	for _, s := range c.servers {
		s.Close()
	}
	c.store.Close()
	_ = c.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs in", c.dir)
	}
}
