package bench

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"heatherloom/internal/standin"
)

// Names of the faults that a run can inject.
const (
	FaultNone              = "none"
	FaultRegionLoss        = "region-loss"
	FaultPartition         = "partition"
	FaultStoreOutage       = "store-outage"
	FaultColdCache         = "cold-cache"
	FaultBadVersion        = "bad-version"
	FaultSilentConnections = "silent-connections"
	FaultCrashingRequest   = "crashing-request"
)

// FaultNames returns the names of all faults.
func FaultNames() []string {
	return []string{FaultNone, FaultRegionLoss, FaultPartition, FaultStoreOutage, FaultColdCache,
		FaultBadVersion, FaultSilentConnections, FaultCrashingRequest}
}

func checkFault(name string) error {
	if slices.Contains(FaultNames(), name) {
		return nil
	}
	return fmt.Errorf("fault %q does not exist; allowed are %s", name, strings.Join(FaultNames(), ", "))
}

const (
	// failedRegion is the region that fails or is partitioned. It is not the first one, which
	// hosts the store.
	failedRegion = 1
	// instanceListLag is the time until failed upstreams disappear from the instance list.
	instanceListLag = time.Second
	// crashCopies is the number of times that the crashing request is sent.
	crashCopies = 20
)

// injectFault starts the fault after a third of the run and ends it after two thirds.
func injectFault(ctx context.Context, c *cluster, fault string, duration time.Duration) error {
	if !sleep(ctx, duration/3) {
		return nil
	}
	switch fault {
	case FaultRegionLoss:
		return failRegion(ctx, c, duration/3)
	case FaultPartition:
		c.wan.setCut(failedRegion, true)
		sleep(ctx, duration/3)
		c.wan.setCut(failedRegion, false)
	case FaultStoreOutage:
		c.store.SetFaults(standin.StoreFaults{Outage: true})
		sleep(ctx, duration/3)
		c.store.SetFaults(standin.StoreFaults{})
	case FaultColdCache:
		forEachEngine(c, func(_ int, e *standin.SimulatedEngine) { e.ClearCache() })
	case FaultBadVersion:
		setFirstEngineFaults(c, standin.EngineFaults{Fail: true})
		sleep(ctx, duration/3)
		setFirstEngineFaults(c, standin.EngineFaults{})
	case FaultSilentConnections:
		forEachEngine(c, func(i int, e *standin.SimulatedEngine) {
			if i == 0 {
				e.SilenceConnections()
			}
		})
	}
	return nil
}

func setFirstEngineFaults(c *cluster, f standin.EngineFaults) {
	forEachEngine(c, func(i int, e *standin.SimulatedEngine) {
		if i == 0 {
			e.SetFaults(f)
		}
	})
}

// forEachEngine calls fn with each engine and its index within its region.
func forEachEngine(c *cluster, fn func(i int, e *standin.SimulatedEngine)) {
	for _, engines := range c.engines {
		for i, e := range engines {
			fn(i, e)
		}
	}
}

// failRegion stops all engines of failedRegion and restarts them with cold caches.
func failRegion(ctx context.Context, c *cluster, duration time.Duration) error {
	for _, e := range c.engines[failedRegion] {
		e.Stop()
	}
	if sleep(ctx, instanceListLag) {
		for _, i := range c.engineInstances[failedRegion] {
			c.instances.Remove(i.ID)
		}
	}
	sleep(ctx, duration-instanceListLag)
	for i, e := range c.engines[failedRegion] {
		if err := e.Restart(); err != nil {
			return err
		}
		c.instances.Set(c.engineInstances[failedRegion][i])
	}
	return nil
}

// sleep waits for d or the end of ctx and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
