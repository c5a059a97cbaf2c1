package node

import (
	"context"
	"time"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/external"
	"heatherloom/internal/external/engineapi"
	"heatherloom/internal/routing"
)

const (
	// cacheRetryInterval is the delay before a broken stream of cache events is reopened.
	// Engines that publish no cache events are retried at the same interval.
	cacheRetryInterval = 5 * time.Second
	// engineReconcileInterval is the interval at which the followed engines are reconciled
	// with the snapshot.
	engineReconcileInterval = 250 * time.Millisecond
)

// engineWatcher follows the KV cache events of the engines in the snapshot.
type engineWatcher struct {
	loop     *control.Loop
	client   *engineapi.Client
	prefixes *routing.PrefixIndex
}

// engineKey identifies a followed engine. An engine whose address changed is a new one.
type engineKey struct {
	id      string
	address string
}

// run follows the engines until ctx is done.
func (w *engineWatcher) run(ctx context.Context) {
	cancels := map[engineKey]context.CancelFunc{}
	defer func() {
		for _, cancel := range cancels {
			cancel()
		}
	}()
	ticker := time.NewTicker(engineReconcileInterval)
	defer ticker.Stop()
	for {
		w.reconcile(ctx, cancels)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// reconcile starts following new engines and stops following removed ones.
func (w *engineWatcher) reconcile(ctx context.Context, cancels map[engineKey]context.CancelFunc) {
	present := map[engineKey]bool{}
	for _, u := range w.loop.Snapshot().Upstreams {
		if u.Role != external.RoleEngine {
			continue
		}
		key := engineKey{id: u.ID, address: u.Address}
		present[key] = true
		if _, ok := cancels[key]; !ok {
			watchCtx, cancel := context.WithCancel(ctx)
			cancels[key] = cancel
			go w.followCache(watchCtx, u)
		}
	}
	for key, cancel := range cancels {
		if !present[key] {
			cancel()
			delete(cancels, key)
		}
	}
}

// followCache applies the cache events of an engine to the prefix index. After an event gap
// or a broken stream it removes the engine from the index, since evictions may have been
// missed.
func (w *engineWatcher) followCache(ctx context.Context, u routing.Upstream) {
	for {
		last := int64(-1)
		_ = w.client.CacheEvents(ctx, u.Address, func(e engineapi.CacheEvent) {
			if last >= 0 && e.Sequence != last+1 {
				u.Counters.ForgetPrefixes()
			}
			last = e.Sequence
			w.prefixes.Remove(u.Counters.HolderID(), e.Removed)
			w.prefixes.Add(clock.Now().UnixNano(), u.Counters.HolderID(), e.Stored)
		})
		select {
		case <-ctx.Done():
			return
		case <-time.After(cacheRetryInterval):
		}
		u.Counters.ForgetPrefixes()
	}
}
