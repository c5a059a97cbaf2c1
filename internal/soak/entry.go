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

	"heatherloom/internal/standin/faultproxy"
)

const (
	// shutdownTimeout is how long a process may take to end its requests.
	shutdownTimeout = 8 * time.Second
	// exitSlack is the time beyond it after which a process that was told to end hangs.
	exitSlack = 2 * time.Second
)

// entry is an entry instance in a process of its own. Its links to the store and from its
// peers go through fault proxies.
type entry struct {
	site      *site
	id        string
	region    string
	caller    string
	directory string
	ready     string
	peer      string
	operator  string
	storeLink *faultproxy.Proxy
	peerLink  *faultproxy.Proxy

	// disturbed holds what a run did to the instance and its link to the store, parted what
	// it did to the link from its peers, and planned its shutdowns.
	disturbed spans
	parted    spans
	planned   spans
	// starts are the begins of its processes.
	starts []time.Time

	// mu is held while the process is changed.
	mu      sync.Mutex
	process *process
}

// process is one life of an entry instance.
type process struct {
	cmd *exec.Cmd
	// expected is closed before the process is told to end.
	expected chan struct{}
	done     chan struct{}
}

func newEntry(s *site, id, region string) (*entry, error) {
	e := &entry{site: s, id: id, region: region}
	for _, address := range []*string{&e.caller, &e.directory, &e.ready, &e.peer, &e.operator} {
		*address = s.nextAddress()
	}
	var err error
	if e.storeLink, err = faultproxy.Start(freePort, s.store.Address()); err != nil {
		return nil, err
	}
	e.peerLink, err = faultproxy.Start(freePort, e.peer)
	return e, err
}

// logPath is the file to which all lives of the instance write.
func (e *entry) logPath() string { return filepath.Join(e.site.dir, e.id+".log") }

// start starts the process. e.mu is held, or nothing else uses e yet.
func (e *entry) start() error {
	path, err := e.site.writeSettings(e)
	if err != nil {
		return err
	}
	out, err := os.OpenFile(e.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p := &process{cmd: exec.Command(e.site.program, "serve", "-config", path), expected: make(chan struct{}), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// No process outlives a run that crashes.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return eris.Wrapf(err, "start entry instance %q", e.id)
	}
	e.process = p
	e.starts = append(e.starts, time.Now())
	go e.await(p)
	return nil
}

// await reports a process that ends though nothing told it to.
func (e *entry) await(p *process) {
	err := p.cmd.Wait()
	select {
	case <-p.expected:
	default:
		e.site.reportExit(fmt.Sprintf("%s ended by itself: %v", e.id, err))
	}
	close(p.done)
}

// kill ends the process at once. e.mu is held.
func (e *entry) kill() {
	if e.process == nil {
		return
	}
	close(e.process.expected)
	_ = e.process.cmd.Process.Kill()
	<-e.process.done
	e.process = nil
}

// terminate ends the process as the platform does. e.mu is held.
func (e *entry) terminate() {
	p := e.process
	close(p.expected)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(shutdownTimeout + exitSlack):
		e.site.reportExit(fmt.Sprintf("%s did not end %s after SIGTERM", e.id, shutdownTimeout+exitSlack))
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	e.process = nil
}

func (e *entry) signal(s syscall.Signal) { _ = e.process.cmd.Process.Signal(s) }
