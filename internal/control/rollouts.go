package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherloom/internal/opconfig"
	"heatherloom/internal/rollout"
	"heatherloom/internal/routing"
)

// stopKey identifies the local stop of one instance.
type stopKey struct {
	rolloutID, instance string
}

// rollouts holds the state of version rollouts.
type rollouts struct {
	// byID is keyed by Rollout.ID.
	byID  map[string]rollout.Rollout
	stops map[stopKey]rollout.Stop
	// samples holds the latest samples of other members, by instance id: those of the failure
	// domain or, on instances that serve host routes, all members.
	samples map[string][]rollout.KeyedSample
}

func newRollouts() rollouts {
	return rollouts{
		byID:    map[string]rollout.Rollout{},
		stops:   map[stopKey]rollout.Stop{},
		samples: map[string][]rollout.KeyedSample{},
	}
}

func (r *rollouts) sortedRollouts() []rollout.Rollout {
	return slices.SortedFunc(maps.Values(r.byID), func(a, b rollout.Rollout) int { return cmp.Compare(a.ID(), b.ID()) })
}

func (r *rollouts) sortedStops() []rollout.Stop {
	return slices.SortedFunc(maps.Values(r.stops), func(a, b rollout.Stop) int {
		return cmp.Or(cmp.Compare(a.RolloutID, b.RolloutID), cmp.Compare(a.Instance, b.Instance))
	})
}

// forTarget returns the rollouts of a target.
func (r *rollouts) forTarget(target string) []rollout.Rollout {
	var targetRollouts []rollout.Rollout
	for _, known := range r.byID {
		if known.Target == target {
			targetRollouts = append(targetRollouts, known)
		}
	}
	return targetRollouts
}

// ModelRolloutsEvent delivers rollout states from the key-value service or a peer.
type ModelRolloutsEvent struct {
	Rollouts []rollout.Rollout
}

func (e ModelRolloutsEvent) apply(t *tables, _ time.Time) {
	for _, r := range e.Rollouts {
		old, known := t.rollouts.byID[r.ID()]
		if !known || r.Supersedes(old) {
			t.rollouts.byID[r.ID()] = r
		}
	}
}

// Prunable reports whether a rollout that has ended and is no longer configured can be
// dropped. targetRollouts are all known rollouts of its target. A completed rollout is kept
// as long as the running version is derived from it; dropping it would send traffic back to
// the old version.
func Prunable(c *opconfig.Config, r rollout.Rollout, targetRollouts []rollout.Rollout) bool {
	if _, configured := c.Rollouts[r.ID()]; c.Revision == 0 || configured || !r.Final() {
		return false
	}
	model, known := c.Models[r.Target]
	if r.State == rollout.RolledBack || !known {
		return true
	}
	return !slices.ContainsFunc(rollout.CompletedChain(model.Version, targetRollouts), func(used rollout.Rollout) bool { return used.ID() == r.ID() })
}

// LocalStopsEvent delivers local stops made by this instance or by peers.
type LocalStopsEvent struct {
	Stops []rollout.Stop
}

func (e LocalStopsEvent) apply(t *tables, _ time.Time) {
	for _, s := range e.Stops {
		t.rollouts.stops[stopKey{s.RolloutID, s.Instance}] = s
	}
}

// VersionSamplesEvent delivers the cumulative samples of another instance.
type VersionSamplesEvent struct {
	Instance string
	Samples  []rollout.KeyedSample
}

func (e VersionSamplesEvent) apply(t *tables, _ time.Time) {
	if len(e.Samples) == 0 {
		delete(t.rollouts.samples, e.Instance)
		return
	}
	t.rollouts.samples[e.Instance] = e.Samples
}

// LoadedModelsEvent delivers the models that an engine has loaded.
type LoadedModelsEvent struct {
	Upstream string
	// Loaded is nil if the engine has accepted no order; its models in the instance list then
	// apply. Empty means that nothing is loaded.
	Loaded []string
}

func (e LoadedModelsEvent) apply(t *tables, _ time.Time) {
	if row, ok := t.upstreams[e.Upstream]; ok {
		row.loaded = e.Loaded
	}
}

// pruneRollouts drops ended rollouts that are no longer needed, the stops of rollouts that
// are not in progress, and all samples once no rollout is in progress.
func pruneRollouts(t *tables, _ time.Time) {
	for id, r := range t.rollouts.byID {
		if Prunable(t.config, r, t.rollouts.forTarget(r.Target)) {
			delete(t.rollouts.byID, id)
		}
	}
	for key := range t.rollouts.stops {
		r, known := t.rollouts.byID[key.rolloutID]
		if (!known || r.Final()) && !t.serviceRolloutActive(key.rolloutID) {
			delete(t.rollouts.stops, key)
		}
	}
	for _, r := range t.rollouts.byID {
		if !r.Final() {
			return
		}
	}
	if !t.serviceRolloutActive("") {
		clear(t.rollouts.samples)
	}
}

// serviceRolloutActive reports whether the service rollout with the given id is in
// progress; with an empty id, whether any is.
func (t *tables) serviceRolloutActive(id string) bool {
	return slices.ContainsFunc(t.serviceRollouts, func(r rollout.ServiceRollout) bool {
		return !r.Final() && (id == "" || id == r.ID())
	})
}

// modelSplits returns the traffic split of each model. The candidate's share is 0 if this
// instance stopped sending to it.
func modelSplits(t *tables) map[string]routing.ModelSplit {
	splits := make(map[string]routing.ModelSplit, len(t.config.Models))
	for name, model := range t.config.Models {
		targetRollouts := t.rollouts.forTarget(name)
		split := routing.ModelSplit{RunningVersion: rollout.RunningVersion(model.Version, targetRollouts)}
		if r, ok := rollout.ActiveRollout(targetRollouts); ok {
			split.Candidate, split.Share, split.RolloutID, split.Step = r.Version, r.Share(), r.ID(), r.Step
			if _, stopped := t.rollouts.stops[stopKey{r.ID(), t.identity.ID}]; stopped {
				split.Share = 0
			}
		}
		splits[name] = split
	}
	return splits
}
