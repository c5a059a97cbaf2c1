package bench

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"heatherloom/internal/standin"
)

// Names of the faults.
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
	// lostRegion is the region that is lost or cut off. It is not the first one, where
	// the store is.
	lostRegion = 1
	// listLag is the time until the instance list shows that upstreams are gone.
	listLag = time.Second
	// crashCopies is how often the caller of a crashing request sends it.
	crashCopies = 20
)

// injectFault begins the fault a third into the run and ends it after two thirds.
func injectFault(ctx context.Context, c *cluster, fault string, duration time.Duration) error {
	if !pause(ctx, duration/3) {
		return nil
	}
	switch fault {
	case FaultRegionLoss:
		return loseRegion(ctx, c, duration/3)
	case FaultPartition:
		c.wan.setCut(lostRegion, true)
		pause(ctx, duration/3)
		c.wan.setCut(lostRegion, false)
	case FaultStoreOutage:
		c.store.SetFaults(standin.StoreFaults{Outage: true})
		pause(ctx, duration/3)
		c.store.SetFaults(standin.StoreFaults{})
	case FaultColdCache:
		eachEngine(c, func(_ int, e *standin.ModelEngine) { e.ClearCache() })
	case FaultBadVersion:
		firstEngines(c, standin.EngineFaults{Fail: true})
		pause(ctx, duration/3)
		firstEngines(c, standin.EngineFaults{})
	case FaultSilentConnections:
		eachEngine(c, func(i int, e *standin.ModelEngine) {
			if i == 0 {
				e.MuteConnections()
			}
		})
	}
	return nil
}

func firstEngines(c *cluster, f standin.EngineFaults) {
	eachEngine(c, func(i int, e *standin.ModelEngine) {
		if i == 0 {
			e.SetFaults(f)
		}
	})
}

// eachEngine calls fn with each engine and its index in its region.
func eachEngine(c *cluster, fn func(i int, e *standin.ModelEngine)) {
	for _, engines := range c.engines {
		for i, e := range engines {
			fn(i, e)
		}
	}
}

// loseRegion stops all engines of a region and starts them again with cold caches.
func loseRegion(ctx context.Context, c *cluster, length time.Duration) error {
	for _, e := range c.engines[lostRegion] {
		e.Stop()
	}
	if pause(ctx, listLag) {
		for _, i := range c.listed[lostRegion] {
			c.instances.Remove(i.ID)
		}
	}
	pause(ctx, length-listLag)
	for i, e := range c.engines[lostRegion] {
		if err := e.Restart(); err != nil {
			return err
		}
		c.instances.Set(c.listed[lostRegion][i])
	}
	return nil
}

// pause waits and reports whether ctx still runs.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
