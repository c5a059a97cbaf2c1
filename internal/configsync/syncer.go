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
	// retryInterval is the pause after a failed read, a failed pull or a broken watch.
	retryInterval = 500 * time.Millisecond
	// followInterval is the time between two looks at the revisions of the peers.
	followInterval = control.TickInterval
	// neighborWait is how long a starting instance waits for its first peer. It
	// covers a call to the most distant region, 110 ms, several times over.
	neighborWait = 500 * time.Millisecond
	// storeStartTimeout bounds the comparison with the store before a start from
	// neighbors.
	storeStartTimeout = 2 * time.Second
	// pullTimeout bounds the transfer of a base: 14 MB at a tenth of 140 Mbit/s.
	pullTimeout = 10 * time.Second
	// headInterval is the time between two reads of the head by a watcher. It bounds
	// the delay when a watch has gone silent, and costs 95 reads/s at 284 watchers.
	headInterval = 3 * time.Second
)

// Peers reaches other instances for configuration.
type Peers interface {
	PullConfig(ctx context.Context, address string, from int64) (*peerv1.PullConfigResponse, error)
}

// Syncer keeps the configuration of one instance up to date. The store is read by
// the two watchers of a failure domain; all other instances pull from peers that
// have a higher revision.
type Syncer struct {
	Identity control.Identity
	Store    external.Store
	Peers    Peers
	Loop     *control.Loop
	// Announce tells the members of the own failure domain about a new revision.
	Announce func(ctx context.Context)
	Log      *logrus.Entry

	mu sync.Mutex
	// posted is the latest configuration handed to control, which may not have
	// published it yet.
	posted *opconfig.Config
}

// Run brings the first configuration and keeps it up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	for !s.start(ctx) {
		clock.Sleep(ctx, retryInterval)
		if ctx.Err() != nil {
			return
		}
	}
	// Decoding a base leaves several times its size as garbage.
	debug.FreeOSMemory()
	var parts sync.WaitGroup
	parts.Go(func() { s.followPeers(ctx) })
	parts.Go(func() { s.watchStore(ctx) })
	parts.Wait()
}

// start asks the neighbors first and then the store, and posts the latest revision
// of both. It returns false if neither gave a configuration or if the store named a
// later revision that could not be read.
func (s *Syncer) start(ctx context.Context) bool {
	config, confirmed := s.fromNeighbors(ctx)
	started := time.Now()
	head, err := s.startHead(ctx)
	if err != nil {
		s.warn("key-value service not read at start", err)
		if config.Revision == 0 {
			return false
		}
		s.post(ctx, control.ConfigEvent{Config: config, Confirmed: confirmed})
		return true
	}
	config, deltas, err := catchUpTo(ctx, s.Store, config, head)
	if err != nil {
		s.warn("configuration not read at start", err)
		return false
	}
	s.post(ctx, control.ConfigEvent{Config: config, Deltas: deltas, Confirmed: started})
	return true
}

func (s *Syncer) startHead(ctx context.Context) (Head, error) {
	ctx, cancel := context.WithTimeout(ctx, storeStartTimeout)
	defer cancel()
	head, _, err := readHead(ctx, s.Store)
	return head, err
}

// fromNeighbors returns the configuration of the most advanced peer and when it was
// known to be the latest one. The configuration is empty if no peer gave one.
func (s *Syncer) fromNeighbors(ctx context.Context) (*opconfig.Config, time.Time) {
	empty := opconfig.New()
	for end := time.Now().Add(neighborWait); ctx.Err() == nil && time.Now().Before(end); clock.Sleep(ctx, followInterval) {
		candidates := ahead(s.Loop.Snapshot().Peers, 0)
		candidates = slices.DeleteFunc(candidates, func(p routing.Peer) bool { return p.Confirmed.IsZero() })
		for _, p := range candidates {
			config, _, err := s.pull(ctx, p, empty)
			if err == nil && config.Revision > 0 {
				return config, p.Confirmed
			}
			s.warn("configuration not pulled at start", err)
		}
	}
	return empty, time.Time{}
}

// ahead returns the peers whose revision is above revision, the highest first and
// those of equal revision in random order.
func ahead(peers []routing.Peer, revision int64) []routing.Peer {
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

func (s *Syncer) pull(ctx context.Context, p routing.Peer, have *opconfig.Config) (*opconfig.Config, []opconfig.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	resp, err := s.Peers.PullConfig(ctx, p.PeerAddress, have.Revision)
	if err != nil {
		return nil, nil, err
	}
	return decodePull(have, resp)
}

// post hands a configuration to control unless a later one was handed over.
func (s *Syncer) post(ctx context.Context, e control.ConfigEvent) {
	s.mu.Lock()
	if s.posted == nil || e.Config.Revision > s.posted.Revision {
		s.posted = e.Config
	}
	s.mu.Unlock()
	s.Loop.Post(ctx, e)
}

// latest returns the latest configuration that this instance has.
func (s *Syncer) latest() *opconfig.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	inForce := s.Loop.Snapshot().Config
	if s.posted != nil && s.posted.Revision > inForce.Revision {
		return s.posted
	}
	return inForce
}

// FollowPeers keeps the configuration up to date from peers alone, for an instance that
// follows the store in another way, until ctx ends.
func (s *Syncer) FollowPeers(ctx context.Context) { s.followPeers(ctx) }

// followPeers pulls from peers that are ahead, and announces revisions as a watcher.
func (s *Syncer) followPeers(ctx context.Context) {
	ticker := time.NewTicker(followInterval)
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
			if s.isWatcher(snapshot) {
				go s.Announce(ctx)
			}
		}
		s.catchUpWithPeers(ctx, snapshot, retryAt)
	}
}

// catchUpWithPeers pulls from the first peer ahead that leads further. Peers that
// failed, or did not have what they announced, are passed over for a while.
func (s *Syncer) catchUpWithPeers(ctx context.Context, snapshot *routing.Snapshot, retryAt map[string]time.Time) {
	have := s.latest()
	for _, p := range s.nearestFirst(ahead(snapshot.Peers, have.Revision)) {
		if time.Now().Before(retryAt[p.ID]) {
			continue
		}
		config, deltas, err := s.pull(ctx, p, have)
		if err == nil && config.Revision > have.Revision {
			delete(retryAt, p.ID)
			s.post(ctx, control.ConfigEvent{Config: config, Deltas: deltas})
			return
		}
		retryAt[p.ID] = time.Now().Add(retryInterval)
		if err != nil {
			s.warn("configuration not pulled from "+p.ID, err)
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

// IsWatcher reports whether this instance is one of the two of its failure domain
// that use the store: they watch it and contend for the leader lease.
func (s *Syncer) IsWatcher() bool { return s.isWatcher(s.Loop.Snapshot()) }

// isWatcher reports whether this instance watches the store for its failure domain.
func (s *Syncer) isWatcher(snapshot *routing.Snapshot) bool {
	members := []membership.Member{{ID: s.Identity.ID, FailureDomain: s.Identity.FailureDomain}}
	for _, p := range snapshot.Peers {
		members = append(members, membership.Member{ID: p.ID, FailureDomain: p.FailureDomain, Suspect: p.Suspect})
	}
	return slices.Contains(membership.Watchers(s.Identity.FailureDomain, members), s.Identity.ID)
}

// watchStore watches the store while this instance is a watcher.
func (s *Syncer) watchStore(ctx context.Context) {
	for ctx.Err() == nil {
		if s.IsWatcher() {
			s.watchWhileChosen(ctx)
		}
		clock.Sleep(ctx, retryInterval)
	}
}

func (s *Syncer) watchWhileChosen(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := make(chan struct{}, 1)
	go s.keepWatch(ctx, changed)
	reads, role := time.NewTicker(headInterval), time.NewTicker(retryInterval)
	defer reads.Stop()
	defer role.Stop()
	for s.IsWatcher() {
		select {
		case <-ctx.Done():
			return
		case <-role.C:
			continue
		case <-changed:
		case <-reads.C:
		}
		if err := s.readStore(ctx); err != nil && ctx.Err() == nil {
			s.warn("configuration not read", err)
		}
	}
}

// readStore brings the latest revision from the store.
func (s *Syncer) readStore(ctx context.Context) error {
	started := time.Now()
	head, _, err := readHead(ctx, s.Store)
	if err != nil {
		return err
	}
	have := s.latest()
	config, deltas, err := catchUpTo(ctx, s.Store, have, head)
	if err != nil {
		return err
	}
	if config.Revision > have.Revision {
		s.post(ctx, control.ConfigEvent{Config: config, Deltas: deltas, Confirmed: started})
		return nil
	}
	s.Loop.Post(ctx, control.ConfirmedEvent{Revision: head.Revision, At: started})
	return nil
}

// fromNow lets a watch begin at the present store revision.
const fromNow = -1

// keepWatch signals changes of the head until ctx ends. A watch from the version of
// the head fails for good once the store has compacted that version; it then begins
// at the present, and the regular reads of the head cover the gap.
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
			s.warn("watch of the configuration broke", err)
		}
		clock.Sleep(ctx, retryInterval)
	}
}

func (s *Syncer) warn(message string, err error) {
	s.Log.WithField("event", "config_sync").WithError(err).Warn(message)
}
