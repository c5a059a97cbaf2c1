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
	move, instance string
}

// rollouts holds the state of version rollouts.
type rollouts struct {
	// moves is keyed by Move.ID.
	moves map[string]rollout.Rollout
	stops map[stopKey]rollout.Stop
	// samples holds the latest samples of other members of the failure domain, by
	// instance id.
	samples map[string][]rollout.KeyedSample
}

func newRollouts() rollouts {
	return rollouts{
		moves:   map[string]rollout.Rollout{},
		stops:   map[stopKey]rollout.Stop{},
		samples: map[string][]rollout.KeyedSample{},
	}
}

func (r *rollouts) sortedMoves() []rollout.Rollout {
	return slices.SortedFunc(maps.Values(r.moves), func(a, b rollout.Rollout) int { return cmp.Compare(a.ID(), b.ID()) })
}

func (r *rollouts) sortedStops() []rollout.Stop {
	return slices.SortedFunc(maps.Values(r.stops), func(a, b rollout.Stop) int {
		return cmp.Or(cmp.Compare(a.RolloutID, b.RolloutID), cmp.Compare(a.Instance, b.Instance))
	})
}

// forTarget returns the moves of a target.
func (r *rollouts) forTarget(target string) []rollout.Rollout {
	var moves []rollout.Rollout
	for _, m := range r.moves {
		if m.Target == target {
			moves = append(moves, m)
		}
	}
	return moves
}

// ModelRolloutsEvent delivers rollout states from the key-value service or a peer.
type ModelRolloutsEvent struct {
	Rollouts []rollout.Rollout
}

func (e ModelRolloutsEvent) apply(t *tables, _ time.Time) {
	for _, m := range e.Rollouts {
		old, known := t.rollouts.moves[m.ID()]
		if !known || m.Supersedes(old) {
			t.rollouts.moves[m.ID()] = m
		}
	}
}

// Prunable reports whether a final move that is no longer configured can be
// dropped. moves are all known moves of its target. A completed move is kept as long as
// the running version is derived from it; dropping it would send traffic back to the old
// version.
func Prunable(c *opconfig.Config, m rollout.Rollout, moves []rollout.Rollout) bool {
	if _, configured := c.Rollouts[m.ID()]; c.Revision == 0 || configured || !m.Final() {
		return false
	}
	model, known := c.Models[m.Target]
	if m.State == rollout.RolledBack || !known {
		return true
	}
	return !slices.ContainsFunc(rollout.CompletedChain(model.Version, moves), func(used rollout.Rollout) bool { return used.ID() == m.ID() })
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
	Loaded   []string
}

func (e LoadedModelsEvent) apply(t *tables, _ time.Time) {
	if row, ok := t.upstreams[e.Upstream]; ok {
		row.loaded = e.Loaded
	}
}

// pruneRollouts drops final moves that are no longer needed, the stops of rollouts that
// are not in progress, and all samples once no rollout is in progress.
func pruneRollouts(t *tables, _ time.Time) {
	for id, m := range t.rollouts.moves {
		if Prunable(t.config, m, t.rollouts.forTarget(m.Target)) {
			delete(t.rollouts.moves, id)
		}
	}
	for key := range t.rollouts.stops {
		m, known := t.rollouts.moves[key.move]
		if (!known || m.Final()) && !t.serviceRolloutActive(key.move) {
			delete(t.rollouts.stops, key)
		}
	}
	for _, m := range t.rollouts.moves {
		if !m.Final() {
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
	return slices.ContainsFunc(t.orders, func(o rollout.ServiceRollout) bool {
		return !o.Final() && (id == "" || id == o.ID())
	})
}

// modelSplits returns the traffic split of each model. The candidate's share is 0 if this
// instance stopped sending to its version.
func modelSplits(t *tables) map[string]routing.Split {
	splits := make(map[string]routing.Split, len(t.config.Models))
	for name, model := range t.config.Models {
		moves := t.rollouts.forTarget(name)
		split := routing.Split{RunningVersion: rollout.RunningVersion(model.Version, moves)}
		if m, ok := rollout.ActiveRollout(moves); ok {
			split.Candidate, split.Share, split.RolloutID, split.Step = m.Version, m.Share(), m.ID(), m.Step
			if _, stopped := t.rollouts.stops[stopKey{m.ID(), t.identity.ID}]; stopped {
				split.Share = 0
			}
		}
		splits[name] = split
	}
	return splits
}
