package node

import (
	"context"
	"time"

	"heatherloom/internal/control"
	"heatherloom/internal/external"
	"heatherloom/internal/external/engineapi"
	"heatherloom/internal/routing"
)

const (
	// cacheRetryInterval is the pause after a stream of cache events broke. Engines
	// that publish none are asked as often.
	cacheRetryInterval = 5 * time.Second
	// watchedEnginesInterval is the time between two comparisons with the snapshot.
	watchedEnginesInterval = 250 * time.Millisecond
)

// engineWatcher follows the cache events of the engines of the snapshot.
type engineWatcher struct {
	loop     *control.Loop
	client   *engineapi.Client
	prefixes *routing.PrefixIndex
}

// watched identifies an engine; one that moved to another address is another one.
type watched struct {
	id      string
	address string
}

// run follows engines until ctx ends.
func (w *engineWatcher) run(ctx context.Context) {
	followed := map[watched]context.CancelFunc{}
	defer func() {
		for _, cancel := range followed {
			cancel()
		}
	}()
	ticker := time.NewTicker(watchedEnginesInterval)
	defer ticker.Stop()
	for {
		w.compare(ctx, followed)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// compare starts following new engines and stops following those that are gone.
func (w *engineWatcher) compare(ctx context.Context, followed map[watched]context.CancelFunc) {
	present := map[watched]bool{}
	for _, u := range w.loop.Snapshot().Upstreams {
		if u.Role != external.RoleEngine {
			continue
		}
		key := watched{id: u.ID, address: u.Address}
		present[key] = true
		if _, ok := followed[key]; !ok {
			own, cancel := context.WithCancel(ctx)
			followed[key] = cancel
			go w.followCache(own, u)
		}
	}
	for key, cancel := range followed {
		if !present[key] {
			cancel()
			delete(followed, key)
		}
	}
}

// followCache corrects the index by the engine's events. A gap or a broken stream
// clears the view of the engine, since dropped blocks may have gone unnoticed.
func (w *engineWatcher) followCache(ctx context.Context, u routing.Upstream) {
	for {
		last := int64(-1)
		_ = w.client.CacheEvents(ctx, u.Address, func(e engineapi.CacheEvent) {
			if last >= 0 && e.Sequence != last+1 {
				u.Counters.ForgetPrefixes()
			}
			last = e.Sequence
			w.prefixes.Remove(u.Counters.HolderID(), e.Removed)
			w.prefixes.Add(time.Now().UnixNano(), u.Counters.HolderID(), e.Stored)
		})
		select {
		case <-ctx.Done():
			return
		case <-time.After(cacheRetryInterval):
		}
		u.Counters.ForgetPrefixes()
	}
}
