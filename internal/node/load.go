package node

import (
	"context"
	"sync"
	"time"

	"heatherloom/internal/control"
	"heatherloom/internal/external"
	"heatherloom/internal/routing"
)

const (
	// loadPollInterval is the default interval at which the load of each upstream is polled.
	loadPollInterval = time.Second
	// loadPollConcurrency bounds the concurrent load polls. Upstreams that do not respond
	// hold a place until their poll times out, which delays the polls of others.
	loadPollConcurrency = 16
)

// pollLoads polls the load of every upstream in the own region until ctx is done. An
// upstream that returns no load keeps the last one.
func pollLoads(ctx context.Context, interval time.Duration, reporter external.LoadReader, loop *control.Loop) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		pollLoadsOnce(ctx, reporter, loop)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func pollLoadsOnce(ctx context.Context, reporter external.LoadReader, loop *control.Loop) {
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, loadPollConcurrency)
	upstreams := loop.Snapshot().Upstreams
	for i := range upstreams {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			readLoad(ctx, reporter, loop, &upstreams[i])
		})
	}
	wg.Wait()
}

func readLoad(ctx context.Context, reporter external.LoadReader, loop *control.Loop, u *routing.Upstream) {
	load, err := reporter.Load(ctx, u.Address)
	if err != nil {
		return
	}
	loop.Post(ctx, control.LoadEvent{Upstream: u.ID, Load: load})
}
