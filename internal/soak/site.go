package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"heatherloom/internal/standin/faultproxy"
	"heatherloom/platform/standin"
)

// Services, client accounts and limits of every run.
const (
	servicePlain  = "ledger"
	serviceStream = "engines"
	// The route of kindMoving requests goes to one of these.
	serviceFirst  = "status-1"
	serviceSecond = "status-2"
	boundRegion   = "b"
	// meteredRate and meteredBurst are the limit of the metered account, in requests.
	meteredRate  = 30
	meteredBurst = 30
	routeTimeout = 2 * time.Second
	objective    = 500 * time.Millisecond
	streamEvents = 6
	eventPause   = 15 * time.Millisecond
	serverSlots  = 16
	// mainKey is the key of the calls that are neither metered nor made with keys that change.
	mainKey    = "key-main"
	meteredKey = "key-metered"
)

var regions = []string{"a", "b"}

// server is a stand-in of a server behind a fault proxy.
type server struct {
	*standin.UpstreamServer
	link      *faultproxy.Proxy
	disturbed spans
}

// site is the platform of a run with its entry instances.
type site struct {
	dir       string
	program   string
	store     *standin.Store
	disturbed spans
	entries   []*entry
	// ports is the number of listeners of processes so far.
	ports int

	mu sync.Mutex
	// servers holds all that ever ran, and live those that are not leaving.
	servers map[string]*server
	live    []*server
	started int
	// exits are the processes that ended by themselves.
	exits []string
}

// startSite starts the platform and the given number of entry instances in each region.
func startSite(dir, program string, perRegion int) (*site, error) {
	store, err := standin.StartStore()
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, program: program, store: store, servers: map[string]*server{}}
	for _, r := range regions {
		for _, service := range []string{servicePlain, servicePlain, servicePlain, serviceFirst, serviceSecond, serviceStream, serviceStream} {
			if _, err := s.addServer(service, r); err != nil {
				return s, err
			}
		}
	}
	for _, r := range regions {
		for n := range perRegion {
			e, err := newEntry(s, fmt.Sprintf("%s-%d", r, n), r)
			if err != nil {
				return s, err
			}
			s.entries = append(s.entries, e)
		}
	}
	return s, nil
}

// run starts the processes.
func (s *site) run() error {
	for _, e := range s.entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and stand-ins.
func (s *site) close() {
	for _, e := range s.entries {
		e.mu.Lock()
		e.kill()
		e.mu.Unlock()
		e.storeLink.Close()
		e.peerLink.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.servers {
		one.link.Close()
		one.Close()
	}
	s.store.Close()
}

// domain returns the failure domain of a region, which has one.
func domain(region string) string { return region + "-1" }

// addServer starts a server and writes its row.
func (s *site) addServer(service, region string) (*server, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	plan := standin.ServerPlan{
		ID: fmt.Sprintf("s-%s-%d", service, s.started), Service: service, Domain: domain(region), Slots: serverSlots,
	}
	if service == serviceStream {
		plan.Events, plan.EventInterval = streamEvents, eventPause
	}
	up, err := standin.StartServer(plan)
	if err != nil {
		return nil, err
	}
	link, err := faultproxy.Start(freePort, up.Address())
	if err != nil {
		up.Close()
		return nil, err
	}
	one := &server{UpstreamServer: up, link: link}
	s.servers[plan.ID] = one
	s.live = append(s.live, one)
	s.store.PutServer(plan, link.Address(), false)
	return one, nil
}

// liveServer returns a server that is not leaving.
func (s *site) liveServer(rng *rand.Rand) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live[rng.IntN(len(s.live))]
}

// leave takes a server off the list of those that are not leaving.
func (s *site) leave(one *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live = slices.DeleteFunc(s.live, func(o *server) bool { return o == one })
}

// allServers returns all servers that ever ran.
func (s *site) allServers() map[string]*server {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]*server, len(s.servers))
	for id, one := range s.servers {
		all[id] = one
	}
	return all
}

func (s *site) reportExit(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exits = append(s.exits, text)
}

const (
	freePort = "127.0.0.1:0"
	// Listeners of processes keep their ports over restarts. They lie below the range from
	// which the kernel gives ports to connections, so that none takes them meanwhile.
	firstPort = 20000
	// hostNumbers is the number of values of each part of a run's loopback address.
	hostNumbers = 250
)

// nextAddress returns an address for a listener. Each run has a loopback address of its
// own, so that runs beside each other do not take each other's ports.
func (s *site) nextAddress() string {
	s.ports++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1:%d", 1+pid/hostNumbers%hostNumbers, pid%hostNumbers, firstPort+s.ports)
}

// settingsText renders the settings of an entry instance.
func (s *site) settingsText(e *entry) string {
	domains := ""
	for i, r := range regions {
		if i > 0 {
			domains += ","
		}
		domains += domain(r) + ":" + r
	}
	var seeds string
	for i, other := range s.entries {
		if i > 0 {
			seeds += ","
		}
		seeds += other.peerLink.Address()
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
max_isolation = %s
strict_isolation = true
[peer]
secret = soak-entry-instances
seeds = %s
[shutdown]
timeout = %s
serve_for = 1500ms
[bounds]
quota_slack = %d
retry_share = 0.2
retry_slack = 56
`, e.id, e.region, domain(e.region), e.caller, e.peer, e.peerLink.Address(), e.operator, e.directory, e.ready,
		e.storeLink.Address(), domains, revokeWithin, seeds, shutdownTimeout, quotaSlack)
}

func (s *site) writeSettings(e *entry) (string, error) {
	path := filepath.Join(s.dir, e.id+".ini")
	return path, os.WriteFile(path, []byte(s.settingsText(e)), 0o600)
}
