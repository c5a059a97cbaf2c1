//go:build review

// Command rig2 holds the scripts of the second review. Each case starts entry instances as processes with the
// command of the deploy file, on loopback, before stand-ins of the platform.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"heatherloom/internal/standin/faultproxy"
	"heatherloom/platform/standin"
)

// instance is an entry instance.
type instance struct {
	id, region, domain                           string
	caller, directory, ready, peer, operatorAddr string
	peerAdvertised                               string
	store                                        string
	memoryMB, maxFds                             int
	config, log                                  string
	cmd                                          *exec.Cmd
	exited                                       chan struct{}
	peerLink                                     *faultproxy.Proxy
	storeLink                                    *faultproxy.Proxy
}

// cluster is a small deployment.
type cluster struct {
	dir, program string
	store        *standin.Store
	domains      string
	instances    []*instance
}

// nextPort is the next port to try. It is below those that the kernel gives to other sockets.
var nextPort = 12000 + rand.IntN(16000)

// freeAddress returns an address that no other process of this machine uses now.
func freeAddress() string {
	for range 1000 {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	fail("no free port")
	return ""
}

func newCluster(program string, regions ...string) *cluster {
	dir, err := os.MkdirTemp("", "rig2-")
	must(err)
	store, err := standin.StartStore()
	must(err)
	var domains []string
	for _, r := range regions {
		domains = append(domains, r+"-1:"+r)
	}
	return &cluster{dir: dir, program: program, store: store, domains: strings.Join(domains, ",")}
}

// add prepares an instance.
func (c *cluster) add(region string, memoryMB int) *instance {
	id := fmt.Sprintf("edge-%s-%d", region, len(c.instances)+1)
	i := &instance{
		id: id, region: region, domain: region + "-1", memoryMB: memoryMB,
		caller: freeAddress(), directory: freeAddress(), ready: freeAddress(), peer: freeAddress(), operatorAddr: freeAddress(),
		config: filepath.Join(c.dir, id+".ini"), log: filepath.Join(c.dir, id+".log"),
	}
	var err error
	i.peerLink, err = faultproxy.Start("127.0.0.1:0", i.peer)
	must(err)
	i.peerAdvertised = i.peerLink.Address()
	i.storeLink, err = faultproxy.Start("127.0.0.1:0", strings.TrimPrefix(c.store.URL(), "http://"))
	must(err)
	i.store = i.storeLink.Address()
	c.instances = append(c.instances, i)
	return i
}

// settings are those of deploy/settings.ini with the figures of the small sites.
func (c *cluster) settings(i *instance) string {
	var seeds []string
	for _, o := range c.instances {
		seeds = append(seeds, o.peerAdvertised)
	}
	return fmt.Sprintf(`[instance]
id = %s
region = %s
failure_domain = %s
[listeners]
caller = %s
peer = %s
advertise_peer = %s
operator = %s
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
memory_mb = %d
`, i.id, i.region, i.domain, i.caller, i.peer, i.peerAdvertised, i.operatorAddr, i.directory, i.ready, i.store, c.domains,
		strings.Join(seeds[:min(len(seeds), 3)], ","), i.memoryMB)
}

// start starts the process of an instance.
func (c *cluster) start(i *instance) {
	must(os.WriteFile(i.config, []byte(c.settings(i)), 0o600))
	out, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer out.Close()
	i.cmd = exec.Command(c.program, "serve")
	if i.maxFds > 0 {
		// The platform gives the process so many descriptors.
		i.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" serve`, i.maxFds), c.program)
	}
	i.cmd.Env = []string{"HEATHERLOOM_CONFIG=" + i.config, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	i.cmd.Stdout, i.cmd.Stderr = out, out
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(i.cmd.Start())
	exited := make(chan struct{})
	i.exited = exited
	cmd := i.cmd
	go func() { _ = cmd.Wait(); close(exited) }()
}

func (c *cluster) startAll() {
	for _, i := range c.instances {
		c.start(i)
	}
	for _, i := range c.instances {
		i.waitReady(15 * time.Second)
	}
	time.Sleep(1500 * time.Millisecond)
}

func (i *instance) waitReady(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if resp, err := plainClient.Get("http://" + i.ready + "/v1/readyz"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				return
			}
		}
	}
	fail("instance %s is not ready", i.id)
}

func (i *instance) running() bool {
	select {
	case <-i.exited:
		return false
	default:
		return true
	}
}

func (i *instance) kill() {
	_ = i.cmd.Process.Kill()
	<-i.exited
}

func (c *cluster) close() {
	for _, i := range c.instances {
		if i.cmd != nil && i.running() {
			i.kill()
		}
		i.peerLink.Close()
		i.storeLink.Close()
	}
	c.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs in", c.dir)
	}
}

// residentMB returns the resident memory of a process in MB.
func residentMB(pid int) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(raw)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb / 1000
		}
	}
	return 0
}
