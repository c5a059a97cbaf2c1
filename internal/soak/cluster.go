package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"heatherloom/internal/standin/faultproxy"
	"heatherloom/platform/standin"
)

// Services, client accounts and limits of every run.
const (
	servicePlain  = "ledger"
	serviceStream = "engines"
	// The route of kindRerouted requests points to one of these.
	serviceStatus1 = "status-1"
	serviceStatus2 = "status-2"
	allowedRegion  = "b"
	// limitedRate, in requests per second, and limitedBurst limit the rate-limited account.
	limitedRate      = 30
	limitedBurst     = 30
	routeTimeout     = 2 * time.Second
	latencyObjective = 500 * time.Millisecond
	streamEvents     = 6
	eventInterval    = 15 * time.Millisecond
	serverSlots      = 16
	// mainKey is the key of the account that is neither rate-limited nor has rotated keys.
	mainKey = "key-main"
	// extraAccounts is the number of client accounts that only harmful requests use.
	extraAccounts = 12
	limitedKey    = "key-metered"
)

var regions = []string{"a", "b"}

// server is a stand-in server behind a fault proxy.
type server struct {
	*standin.UpstreamServer
	link   *faultproxy.Proxy
	faults intervals
	// ratedSince is when the server began to name namedRate; zero if it names no rate.
	ratedSince time.Time
	// saysLeaving are the times in which its responses say that it leaves.
	saysLeaving intervals
}

// namedRate is the request rate, in requests a second, that some servers name.
const namedRate = 3

// nameRate makes the first active server of the plain service in each region name namedRate.
func (s *cluster) nameRate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := map[string]bool{}
	for _, srv := range s.active {
		if domain := srv.Config.FailureDomain; srv.Config.Service == servicePlain && !done[domain] {
			done[domain] = true
			srv.SetLimit(strconv.Itoa(namedRate))
			srv.ratedSince = time.Now()
		}
	}
}

// cluster is the stand-in platform of a run with its entry instances.
type cluster struct {
	dir         string
	program     string
	store       *standin.Store
	storeFaults intervals
	duties      *standin.DutyAPI
	dutyFaults  intervals
	nodes       []*node

	mu sync.Mutex
	// servers holds all servers ever started, and active those that are not draining.
	servers     map[string]*server
	active      []*server
	serverCount int
	// unexpectedExits describe processes that exited without a request, or not in time after one.
	unexpectedExits []string
	closed          bool
	ends            serverEnds
}

// serverEnds is how the servers of a run end under harmful requests, and their responses otherwise.
type serverEnds struct {
	mode standin.CrashMode
	// unframed makes the responses of plain services end with their connections.
	unframed bool
}

// drawServerEnds returns the ends of the run with a seed.
func drawServerEnds(seed uint64) serverEnds {
	modes := uint64(len(crashModes))
	ends := serverEnds{mode: crashModes[seed%modes], unframed: seed/modes%3 == 2}
	if ends.unframed && ends.mode == standin.CrashDuringResponse {
		// A part of such a response cannot be told from a whole one.
		ends.mode = standin.CrashAfterResponse
	}
	return ends
}

// startCluster starts the platform and prepares the given number of entry instances in each
// region.
func startCluster(dir, program string, perRegion int, ends serverEnds) (*cluster, error) {
	store, err := standin.StartStore()
	if err != nil {
		return nil, err
	}
	duties, err := standin.StartDutyAPI(standin.DutyAPIConfig{PerSecond: dutyCallsPerSecond, Lease: dutyLease})
	if err != nil {
		return nil, err
	}
	s := &cluster{dir: dir, program: program, store: store, duties: duties, servers: map[string]*server{}, ends: ends}
	for _, r := range regions {
		for _, service := range []string{servicePlain, servicePlain, servicePlain, serviceStatus1, serviceStatus2, serviceStream, serviceStream} {
			if _, err := s.addServer(service, r); err != nil {
				return s, err
			}
		}
	}
	for _, r := range regions {
		for n := range perRegion {
			e, err := newNode(s, fmt.Sprintf("%s-%d", r, n), r)
			if err != nil {
				return s, err
			}
			s.nodes = append(s.nodes, e)
		}
	}
	return s, nil
}

// startProcesses starts the processes of all entry instances.
func (s *cluster) startProcesses() error {
	for _, e := range s.nodes {
		if err := e.start(); err != nil {
			return err
		}
	}
	return nil
}

// close kills all processes and closes the stand-ins.
func (s *cluster) close() {
	for _, e := range s.nodes {
		e.mu.Lock()
		e.kill()
		e.mu.Unlock()
		e.storeLink.Close()
		e.serverLinks.Close()
		e.peerLink.Close()
		e.dutyLink.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, srv := range s.servers {
		srv.link.Close()
		srv.Close()
	}
	s.store.Close()
	s.duties.Close()
}

// domainOf returns the only failure domain of a region.
func domainOf(region string) string { return region + "-1" }

// addServer starts a server and registers it in the store.
func (s *cluster) addServer(service, region string) (*server, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serverCount++
	config := standin.ServerConfig{
		ID: fmt.Sprintf("s-%s-%d", service, s.serverCount), Service: service, FailureDomain: domainOf(region), MaxConcurrency: serverSlots,
		Unframed: s.ends.unframed && service != serviceStream,
	}
	if service == serviceStream {
		config.Events, config.EventInterval = streamEvents, eventInterval
	}
	upstream, err := standin.StartServer(config)
	if err != nil {
		return nil, err
	}
	link, err := faultproxy.Start(freePort, upstream.Address())
	if err != nil {
		upstream.Close()
		return nil, err
	}
	srv := &server{UpstreamServer: upstream, link: link}
	upstream.SetCrash(s.ends.mode, harmfulPath, harmfulPart)
	upstream.OnCrash = func() { s.replaceCrashed(srv) }
	s.servers[config.ID] = srv
	s.active = append(s.active, srv)
	s.store.PutServer(upstream.Config, link.Address(), false)
	return srv, nil
}

// crashModes are the ways in which servers end; all servers of a run end in the same way.
var crashModes = []standin.CrashMode{
	standin.CrashBeforeResponse, standin.CrashDuringResponse, standin.CrashSilently, standin.CrashSilentlyDuringResponse,
}

// rowExpiry is the time after which the store drops the row of a server that crashed.
const rowExpiry = 3300 * time.Millisecond

// replaceCrashed removes the row of a crashed server once it has expired, and starts another one.
func (s *cluster) replaceCrashed(srv *server) {
	srv.faults.begin()
	s.removeActive(srv)
	time.AfterFunc(rowExpiry, func() {
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		if closed {
			return
		}
		s.store.DeleteServer(srv.Config.ID)
		_, _ = s.addServer(srv.Config.Service, regionOf(srv.Config.FailureDomain))
	})
}

// randomServer returns a random server that is not draining.
func (s *cluster) randomServer(rng *rand.Rand) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active[rng.IntN(len(s.active))]
}

// removeActive removes a server from the list of those that are not draining.
func (s *cluster) removeActive(srv *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = slices.DeleteFunc(s.active, func(o *server) bool { return o == srv })
}

// allServers returns all servers ever started.
func (s *cluster) allServers() map[string]*server {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]*server, len(s.servers))
	for id, srv := range s.servers {
		all[id] = srv
	}
	return all
}

func (s *cluster) reportUnexpectedExit(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unexpectedExits = append(s.unexpectedExits, text)
}

const freePort = "127.0.0.1:0"

// settingsText renders the settings of an entry instance.
func (s *cluster) settingsText(e *node) string {
	domains := ""
	for i, r := range regions {
		if i > 0 {
			domains += ","
		}
		domains += domainOf(r) + ":" + r
	}
	var seeds string
	for i, other := range s.nodes {
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
%s`, e.id, e.region, domainOf(e.region), e.callerAddress, e.peerAddress, e.peerLink.Address(), e.operatorAddress, e.directoryAddress, e.readyAddress,
		e.storeLink.Address(), domains, maxRevokeDelay, seeds, shutdownTimeout, quotaSlack, dutySettings(e.dutyLink))
}

func (s *cluster) writeSettings(e *node) (string, error) {
	path := filepath.Join(s.dir, e.id+".ini")
	return path, os.WriteFile(path, []byte(s.settingsText(e)), 0o600)
}
