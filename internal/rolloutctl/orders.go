package rolloutctl

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherloom/internal/control"
	"heatherloom/internal/external"
	"heatherloom/internal/rollout"
	"heatherloom/internal/routing"
)

const (
	// maxLoads bounds the engines of a failure domain that are told to load a version
	// in one reconciliation.
	maxLoads = 4
	// maxUnloads bounds the engines that are told to unload a version, so that a
	// version that turns out to be needed again does not disappear everywhere at once.
	maxUnloads = 1
	// minLoadWait is the minimum delay before the next load after a rate limit error of
	// the weight store, which may name no delay.
	minLoadWait = time.Second
	// engineConcurrency bounds the concurrent calls to engines.
	engineConcurrency = 16
)

// observeEngines reads which models the engines of the region have loaded and posts them
// to control, for engines that serve a target with a known rollout. An engine that does
// not respond keeps its last known state.
func (c *Controller) observeEngines(ctx context.Context, s *routing.Snapshot) {
	rollingOut := map[string]bool{}
	for _, r := range s.ModelRollouts {
		rollingOut[r.Target] = true
	}
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, engineConcurrency)
	for i := range s.Upstreams {
		if !serves(&s.Upstreams[i], func(target string) bool { return rollingOut[target] }) {
			continue
		}
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			c.observeEngine(ctx, &s.Upstreams[i])
		})
	}
	wg.Wait()
}

func (c *Controller) observeEngine(ctx context.Context, u *routing.Upstream) {
	state, err := c.Engines.State(ctx, u.Address)
	if err != nil {
		return
	}
	event := control.LoadedModelsEvent{Upstream: u.ID}
	if state.Order.FencingToken > 0 {
		event.Loaded = append([]string{}, state.Loaded...)
	}
	c.Loop.Post(ctx, event)
}

// enginesOf returns the engines of the own failure domain that serve any version of a
// target, given by its bare name, and are not draining, ordered by rendezvous hash for the target.
func (c *Controller) enginesOf(s *routing.Snapshot, target string) []*routing.Upstream {
	var engines []*routing.Upstream
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		if u.FailureDomain == c.Identity.FailureDomain && !u.Draining && serves(u, func(name string) bool { return name == target }) {
			engines = append(engines, u)
		}
	}
	weight := func(u *routing.Upstream) uint64 { return xxhash.Sum64String(target + "\x00" + u.ID) }
	slices.SortFunc(engines, func(a, b *routing.Upstream) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a.ID, b.ID))
	})
	return engines
}

// serves reports whether an engine serves a wanted target in any version. The models that
// the instance list names also count, as the engine may have nothing loaded at the moment.
func serves(u *routing.Upstream, wanted func(target string) bool) bool {
	match := func(model string) bool { return wanted(targetName(model)) }
	return u.IsEngine() && (slices.ContainsFunc(u.Targets, match) || slices.ContainsFunc(u.ListedTargets, match))
}

// orderEngines sends engine orders that bring the engines of the own failure domain closer to the
// versions required by the rollouts.
func (c *Controller) orderEngines(ctx context.Context, s *routing.Snapshot) {
	if !s.Ready || time.Since(c.term.since) < c.Timing.OrderDelay {
		return
	}
	wanted := c.wantedVersions(s)
	loads, unloads := maxLoads, maxUnloads
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		versions := wanted[u.ID]
		if len(versions) == 0 {
			continue
		}
		state, err := c.Engines.State(ctx, u.Address)
		if err != nil {
			continue
		}
		c.orderEngine(ctx, u, state, planEngineOrder(u, state, versions, loads > 0, unloads > 0), &loads, &unloads)
	}
}

// wantedVersions returns, by engine id and by target with a rollout, the versions that the
// engine should have loaded.
func (c *Controller) wantedVersions(s *routing.Snapshot) map[string]map[string][]string {
	wanted := map[string]map[string][]string{}
	for _, r := range s.ModelRollouts {
		split := s.ModelSplits[r.Target]
		if split.RunningVersion == "" {
			continue
		}
		engines := c.enginesOf(s, r.Target)
		for i, u := range engines {
			if wanted[u.ID] == nil {
				wanted[u.ID] = map[string][]string{}
			}
			versions := []string{r.Target + "@" + split.RunningVersion}
			if active, ok := activeRollout(s, split); ok && i < active.LoadedCount(len(engines)) {
				versions = append(versions, active.ID())
			}
			wanted[u.ID][r.Target] = versions
		}
	}
	return wanted
}

func activeRollout(s *routing.Snapshot, split routing.ModelSplit) (rollout.Rollout, bool) {
	for _, r := range s.ModelRollouts {
		if r.ID() == split.RolloutID {
			return r, true
		}
	}
	return rollout.Rollout{}, false
}

// plannedEngineOrder is the next order for an engine.
type plannedEngineOrder struct {
	models []string
	// load is a model that the engine order adds; empty if there is none.
	load   string
	unload bool
}

// planEngineOrder returns the models that an engine should be told to load. Models of targets
// without a rollout are kept. A version is unloaded only once the engine has loaded all
// wanted versions of the target.
func planEngineOrder(u *routing.Upstream, state external.EngineState, versions map[string][]string, mayLoad, mayUnload bool) plannedEngineOrder {
	current := u.Targets
	if state.Order.FencingToken > 0 {
		current = state.Order.Models
	}
	n := plannedEngineOrder{models: slices.Clone(current)}
	for target, wanted := range versions {
		for _, model := range wanted {
			if !contains(n.models, model) && mayLoad {
				n.models, n.load = append(n.models, model), model
			}
		}
		ready := !slices.ContainsFunc(wanted, func(m string) bool { return !contains(u.Targets, m) })
		surplus := func(m string) bool { return targetName(m) == target && !contains(wanted, m) }
		if ready && mayUnload && slices.ContainsFunc(n.models, surplus) {
			n.models, n.unload = slices.DeleteFunc(n.models, surplus), true
		}
	}
	slices.Sort(n.models)
	return n
}

// orderEngine sends the planned engine order if it changes the models or carries a higher
// token. After most errors the order may be in effect; the next reconciliation reads the
// engine's state again.
func (c *Controller) orderEngine(ctx context.Context, u *routing.Upstream, state external.EngineState, n plannedEngineOrder, loads, unloads *int) {
	ordered := state.Order.FencingToken > 0
	changes := n.load != "" || n.unload
	if state.Order.FencingToken > c.term.token || (!changes && (!ordered || state.Order.FencingToken == c.term.token)) {
		return
	}
	if n.load != "" && !c.mayLoad(ctx, n.load) {
		return
	}
	if !c.holdsLease() {
		return
	}
	err := c.Engines.Apply(ctx, u.Address, external.EngineOrder{FencingToken: c.term.token, Models: n.models})
	if err != nil {
		c.warn("engine "+u.ID+" did not confirm the engine order, which may be in effect; its state will be read again", err)
		return
	}
	if n.load != "" {
		*loads--
	}
	if n.unload {
		*unloads--
	}
}

// mayLoad asks the weight store for the version, so that its rate limit also delays the
// loads that would follow.
func (c *Controller) mayLoad(ctx context.Context, model string) bool {
	if time.Now().Before(c.nextLoad) {
		return false
	}
	if c.Weights == nil {
		return true
	}
	_, err := c.Weights.Describe(ctx, model)
	var limited *external.RateLimitedError
	if errors.As(err, &limited) {
		c.nextLoad = time.Now().Add(max(limited.RetryAfter, minLoadWait))
	} else if err != nil {
		c.warn("lookup of the weights of "+model+" failed; the load is not ordered until it succeeds", err)
	}
	return err == nil
}

func contains(list []string, s string) bool { return slices.Contains(list, s) }
