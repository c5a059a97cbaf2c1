package configsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/external"
	"heatherloom/internal/membership"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/routing"
)

const (
	// retryInterval is the delay after a failed read, a failed pull or a broken watch.
	retryInterval = 500 * time.Millisecond
	// peerCheckInterval is the interval between checks of the revisions of the peers.
	peerCheckInterval = control.TickInterval
	// peerWaitTimeout is how long a starting instance waits for its first peer. It is
	// several times the latency of a call to the most distant region, 110 ms.
	peerWaitTimeout = 500 * time.Millisecond
	// storeStartTimeout limits the read of the store before an instance starts with the
	// configuration of its peers.
	storeStartTimeout = 2 * time.Second
	// pullTimeout limits the transfer of a base: 14 MB at a tenth of 140 Mbit/s.
	pullTimeout = 10 * time.Second
	// headInterval is the interval between reads of the head by a watcher. It limits the
	// delay when a watch delivers no events without failing, and costs 95 reads/s with 284
	// watchers.
	headInterval = 3 * time.Second
)

// Peers pulls configuration from other instances.
type Peers interface {
	PullConfig(ctx context.Context, address string, from int64) (*peerv1.PullConfigResponse, error)
}

// Syncer keeps the configuration of one instance up to date. After startup, only the two
// watchers of a failure domain read the store. All instances, watchers included, pull from
// peers that have a higher revision, so that a watcher without access to the store stays
// up to date too.
type Syncer struct {
	Identity control.Identity
	Store    external.Store
	Peers    Peers
	Loop     *control.Loop
	// AnnounceToDomain notifies the members of the own failure domain of a new revision.
	AnnounceToDomain func(ctx context.Context)
	Log              *logrus.Entry

	mu sync.Mutex
	// posted is the latest configuration posted to Loop, which may not have published it
	// yet.
	posted *opconfig.Config
}

// Run loads the initial configuration and keeps it up to date until ctx is done.
func (s *Syncer) Run(ctx context.Context) {
	for !s.start(ctx) {
		clock.Sleep(ctx, retryInterval)
		if ctx.Err() != nil {
			return
		}
	}
	// Decoding a base leaves garbage of several times its size.
	debug.FreeOSMemory()
	var workers sync.WaitGroup
	workers.Go(func() { s.syncFromPeers(ctx) })
	workers.Go(func() { s.watchStore(ctx) })
	workers.Wait()
}

// start pulls from peers, reads the store and posts the later of both revisions. It
// returns false if neither provided a configuration or if the store has a later revision
// that could not be read.
func (s *Syncer) start(ctx context.Context) bool {
	config, confirmed := s.pullInitial(ctx)
	started := time.Now()
	head, err := s.readHeadAtStart(ctx)
	if err != nil {
		s.warn("cannot read the store at startup", err)
		if config.Revision == 0 {
			return false
		}
		s.post(ctx, control.ConfigEvent{Config: config, ConfirmedAt: confirmed})
		return true
	}
	config, deltas, err := catchUpTo(ctx, s.Store, config, head)
	if err != nil {
		s.warn("cannot read the configuration at startup; retrying", err)
		return false
	}
	s.post(ctx, control.ConfigEvent{Config: config, Deltas: deltas, ConfirmedAt: started})
	return true
}

func (s *Syncer) readHeadAtStart(ctx context.Context) (Head, error) {
	ctx, cancel := context.WithTimeout(ctx, storeStartTimeout)
	defer cancel()
	head, _, err := readHead(ctx, s.Store)
	return head, err
}

// pullInitial returns the configuration of the peer with the highest revision and the
// time at which it was last confirmed as the latest. The configuration is empty if no peer
// provided one.
func (s *Syncer) pullInitial(ctx context.Context) (*opconfig.Config, time.Time) {
	empty := opconfig.New()
	for end := time.Now().Add(peerWaitTimeout); ctx.Err() == nil && time.Now().Before(end); clock.Sleep(ctx, peerCheckInterval) {
		candidates := peersAhead(s.Loop.Snapshot().Peers, 0)
		candidates = slices.DeleteFunc(candidates, func(p routing.Peer) bool { return p.ConfigConfirmed.IsZero() })
		for _, p := range candidates {
			config, _, err := s.pull(ctx, p, empty)
			if err == nil && config.Revision > 0 {
				return config, p.ConfigConfirmed
			}
			s.warn("cannot pull the configuration at startup", err)
		}
	}
	return empty, time.Time{}
}

// peersAhead returns the peers with a revision above the given one, the highest first
// and those of equal revision in random order.
func peersAhead(peers []routing.Peer, revision int64) []routing.Peer {
	var candidates []routing.Peer
	for _, p := range peers {
		if p.ConfigRevision > revision {
			candidates = append(candidates, p)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b routing.Peer) int { return int(b.ConfigRevision - a.ConfigRevision) })
	return candidates
}

func (s *Syncer) pull(ctx context.Context, p routing.Peer, current *opconfig.Config) (*opconfig.Config, []opconfig.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	resp, err := s.Peers.PullConfig(ctx, p.PeerAddress, current.Revision)
	if err != nil {
		return nil, nil, err
	}
	return decodePull(current, resp)
}

// post posts an event to Loop and records its configuration in posted if it is the
// latest.
func (s *Syncer) post(ctx context.Context, e control.ConfigEvent) {
	s.mu.Lock()
	if s.posted == nil || e.Config.Revision > s.posted.Revision {
		s.posted = e.Config
	}
	s.mu.Unlock()
	s.Loop.Post(ctx, e)
}

// latest returns the latest configuration of this instance, published or posted.
func (s *Syncer) latest() *opconfig.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	published := s.Loop.Snapshot().Config
	if s.posted != nil && s.posted.Revision > published.Revision {
		return s.posted
	}
	return published
}

// SyncFromPeers keeps the configuration up to date from peers alone until ctx is done. It
// is for an instance that reads its configuration from the platform with package storefeed;
// Store is not used.
func (s *Syncer) SyncFromPeers(ctx context.Context) { s.syncFromPeers(ctx) }

// syncFromPeers pulls from peers that are ahead and, on a watcher, announces new
// revisions.
func (s *Syncer) syncFromPeers(ctx context.Context) {
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	retryAt := map[string]time.Time{}
	announced := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		snapshot := s.Loop.Snapshot()
		if revision := snapshot.Config.Revision; revision > announced {
			announced = revision
			if s.isWatcherIn(snapshot) {
				go s.AnnounceToDomain(ctx)
			}
		}
		s.catchUpWithPeers(ctx, snapshot, retryAt)
	}
}

// catchUpWithPeers pulls from the peers that are ahead until one returns a newer
// configuration. Peers that failed, or did not have the revision that they announced, are
// skipped for retryInterval.
func (s *Syncer) catchUpWithPeers(ctx context.Context, snapshot *routing.Snapshot, retryAt map[string]time.Time) {
	current := s.latest()
	for _, p := range s.nearestFirst(peersAhead(snapshot.Peers, current.Revision)) {
		if time.Now().Before(retryAt[p.ID]) {
			continue
		}
		config, deltas, err := s.pull(ctx, p, current)
		if err == nil && config.Revision > current.Revision {
			delete(retryAt, p.ID)
			s.post(ctx, control.ConfigEvent{Config: config, Deltas: deltas})
			return
		}
		retryAt[p.ID] = time.Now().Add(retryInterval)
		if err != nil {
			s.warn("the current revision stays in use; cannot pull a later one from "+p.ID, err)
		}
	}
}

// nearestFirst moves the members of the own failure domain to the front.
func (s *Syncer) nearestFirst(peers []routing.Peer) []routing.Peer {
	slices.SortStableFunc(peers, func(a, b routing.Peer) int { return s.distance(a) - s.distance(b) })
	return peers
}

func (s *Syncer) distance(p routing.Peer) int {
	if p.FailureDomain == s.Identity.FailureDomain {
		return 0
	}
	return 1
}

// IsWatcher reports whether this instance is one of the two in its failure domain that
// use the store: they watch it, and only they are candidates for the leader lease.
func (s *Syncer) IsWatcher() bool { return s.isWatcherIn(s.Loop.Snapshot()) }

// isWatcherIn implements IsWatcher for the members in snapshot.
func (s *Syncer) isWatcherIn(snapshot *routing.Snapshot) bool {
	members := []membership.Member{{ID: s.Identity.ID, FailureDomain: s.Identity.FailureDomain}}
	for _, p := range snapshot.Peers {
		members = append(members, membership.Member{ID: p.ID, FailureDomain: p.FailureDomain, Suspect: p.Suspect})
	}
	return slices.Contains(membership.Watchers(s.Identity.FailureDomain, members), s.Identity.ID)
}

// watchStore watches the store whenever this instance is a watcher.
func (s *Syncer) watchStore(ctx context.Context) {
	for ctx.Err() == nil {
		if s.IsWatcher() {
			s.watchWhileWatcher(ctx)
		}
		clock.Sleep(ctx, retryInterval)
	}
}

func (s *Syncer) watchWhileWatcher(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := make(chan struct{}, 1)
	go s.keepWatch(ctx, changed)
	headTicker, roleTicker := time.NewTicker(headInterval), time.NewTicker(retryInterval)
	defer headTicker.Stop()
	defer roleTicker.Stop()
	for s.IsWatcher() {
		select {
		case <-ctx.Done():
			return
		case <-roleTicker.C:
			continue
		case <-changed:
		case <-headTicker.C:
		}
		if err := s.readStore(ctx); err != nil && ctx.Err() == nil {
			s.warn("cannot read the configuration from the store; the current revision stays in use until it is too old to check API keys; retrying", err)
		}
	}
}

// readStore reads the latest revision from the store and posts it.
func (s *Syncer) readStore(ctx context.Context) error {
	started := time.Now()
	head, _, err := readHead(ctx, s.Store)
	if err != nil {
		return err
	}
	current := s.latest()
	config, deltas, err := catchUpTo(ctx, s.Store, current, head)
	if err != nil {
		return err
	}
	if config.Revision > current.Revision {
		s.post(ctx, control.ConfigEvent{Config: config, Deltas: deltas, ConfirmedAt: started})
		return nil
	}
	s.Loop.Post(ctx, control.ConfigConfirmedEvent{Revision: head.Revision, At: started})
	return nil
}

// fromNow starts a watch at the current store revision.
const fromNow = -1

// keepWatch signals changes of the head until ctx is done. A watch from the ModRevision of
// the head fails permanently once the store has compacted that revision. Any failure other
// than ErrUnavailable is taken for compaction; the next watch then starts at the current
// revision, and the periodic reads of the head cover the gap.
func (s *Syncer) keepWatch(ctx context.Context, changed chan<- struct{}) {
	signal := func([]external.WatchEvent) {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
	compacted := false
	for ctx.Err() == nil {
		_, from, err := readHead(ctx, s.Store)
		if compacted {
			from = fromNow
		}
		if err == nil {
			signal(nil)
			err = s.Store.Watch(ctx, headKey, from, signal)
			compacted = !errors.Is(err, external.ErrUnavailable)
		}
		if ctx.Err() == nil {
			s.warn("watch of the configuration failed; the current revision stays in use until it is too old to check API keys; starting the watch again", err)
		}
		clock.Sleep(ctx, retryInterval)
	}
}

func (s *Syncer) warn(message string, err error) {
	s.Log.WithField("event", "config_sync").WithError(err).Warn(message)
}
