package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	local "heatherloom/internal/standin"
	"heatherloom/internal/standin/faultproxy"
	"heatherloom/platform/standin"
)

const (
	// shutdownTimeout is how long a process may take to complete its requests in progress.
	shutdownTimeout = 8 * time.Second
	// exitGrace is the time beyond shutdownTimeout after which a process counts as hung.
	exitGrace = 2 * time.Second
)

// node is an entry instance in its own process. Its links to the store and from its
// peers, and those to the servers, go through fault proxies.
type node struct {
	cluster          *cluster
	id               string
	region           string
	callerAddress    string
	directoryAddress string
	readyAddress     string
	peerAddress      string
	operatorAddress  string
	storeLink        *faultproxy.Proxy
	peerLink         *faultproxy.Proxy
	serverLinks      *standin.Links
	dutyLink         *faultproxy.Proxy

	// faults are the faults of the process and its link to the store, peerLinkFaults those of
	// the link from its peers, serverLinkFaults those of its links to all servers, dutyLinkFaults
	// those of its link to the duty API, and plannedShutdowns its graceful shutdowns.
	faults           intervals
	peerLinkFaults   intervals
	serverLinkFaults intervals
	dutyLinkFaults   intervals
	plannedShutdowns intervals
	// starts are the start times of its processes.
	starts []time.Time

	// mu is held while the process is stopped, paused or restarted.
	mu      sync.Mutex
	process *process
}

// process is one process of an entry instance, from start to exit.
type process struct {
	cmd *exec.Cmd
	// stopRequested is closed before the process is told to exit.
	stopRequested chan struct{}
	exited        chan struct{}
}

func newNode(s *cluster, id, region string) (*node, error) {
	e := &node{cluster: s, id: id, region: region}
	var err error
	for _, address := range []*string{&e.callerAddress, &e.directoryAddress, &e.readyAddress, &e.peerAddress, &e.operatorAddress} {
		if *address, err = local.FixedAddress(); err != nil {
			return nil, err
		}
	}
	if e.serverLinks, err = standin.StartLinks(s.store); err != nil {
		return nil, err
	}
	if e.storeLink, err = faultproxy.Start(freePort, e.serverLinks.Address()); err != nil {
		return nil, err
	}
	if e.dutyLink, err = startDutyLink(s.duties, id); err != nil {
		return nil, err
	}
	e.peerLink, err = faultproxy.Start(freePort, e.peerAddress)
	return e, err
}

// logPath returns the log file that all processes of the instance append to.
func (e *node) logPath() string { return filepath.Join(e.cluster.dir, e.id+".log") }

// start starts the process. The caller holds e.mu unless nothing else uses e yet.
func (e *node) start() error {
	path, err := e.cluster.writeSettings(e)
	if err != nil {
		return err
	}
	out, err := os.OpenFile(e.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p := &process{cmd: exec.Command(e.cluster.program, "serve", "-config", path), stopRequested: make(chan struct{}), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The kernel kills the process if the test run crashes.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return eris.Wrapf(err, "start entry instance %q", e.id)
	}
	e.process = p
	e.starts = append(e.starts, time.Now())
	go e.waitForExit(p)
	return nil
}

// waitForExit waits for the process and reports an exit that was not requested.
func (e *node) waitForExit(p *process) {
	err := p.cmd.Wait()
	select {
	case <-p.stopRequested:
	default:
		e.cluster.reportUnexpectedExit(fmt.Sprintf("%s exited unexpectedly: %v", e.id, err))
	}
	close(p.exited)
}

// kill sends SIGKILL and waits for the exit. The caller holds e.mu.
func (e *node) kill() {
	if e.process == nil {
		return
	}
	close(e.process.stopRequested)
	_ = e.process.cmd.Process.Kill()
	<-e.process.exited
	e.process = nil
}

// terminate sends SIGTERM, as the platform does, and waits for the exit. The caller holds
// e.mu.
func (e *node) terminate() {
	p := e.process
	close(p.stopRequested)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(shutdownTimeout + exitGrace):
		e.cluster.reportUnexpectedExit(fmt.Sprintf("%s did not exit within %s of SIGTERM", e.id, shutdownTimeout+exitGrace))
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	e.process = nil
}

func (e *node) signal(s syscall.Signal) { _ = e.process.cmd.Process.Signal(s) }
