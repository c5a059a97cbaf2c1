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

// rollouts are the tables of version rollouts.
type rollouts struct {
	// moves is indexed by Move.ID.
	moves map[string]rollout.Move
	stops map[stopKey]rollout.Stop
	// samples are the latest reports of other members of the failure domain.
	samples map[string][]rollout.KeyedSample
}

func newRollouts() rollouts {
	return rollouts{
		moves:   map[string]rollout.Move{},
		stops:   map[stopKey]rollout.Stop{},
		samples: map[string][]rollout.KeyedSample{},
	}
}

func (r *rollouts) list() []rollout.Move {
	return slices.SortedFunc(maps.Values(r.moves), func(a, b rollout.Move) int { return cmp.Compare(a.ID(), b.ID()) })
}

func (r *rollouts) stopList() []rollout.Stop {
	return slices.SortedFunc(maps.Values(r.stops), func(a, b rollout.Stop) int {
		return cmp.Or(cmp.Compare(a.Move, b.Move), cmp.Compare(a.Instance, b.Instance))
	})
}

// of returns the moves of a target.
func (r *rollouts) of(target string) []rollout.Move {
	var moves []rollout.Move
	for _, m := range r.moves {
		if m.Target == target {
			moves = append(moves, m)
		}
	}
	return moves
}

// MovesEvent brings states of rollouts from the key-value service or a peer.
type MovesEvent struct {
	Moves []rollout.Move
}

func (e MovesEvent) apply(t *tables, _ time.Time) {
	for _, m := range e.Moves {
		old, known := t.rollouts.moves[m.ID()]
		if !known || m.Supersedes(old) {
			t.rollouts.moves[m.ID()] = m
		}
	}
}

// Forgettable reports whether a final move that is no longer configured can be
// dropped. moves are all known moves of its target. A completed one is kept while the
// running version follows from it; the traffic would return to the old version otherwise.
func Forgettable(c *opconfig.Config, m rollout.Move, moves []rollout.Move) bool {
	if _, configured := c.Moves[m.ID()]; c.Revision == 0 || configured || !m.Final() {
		return false
	}
	model, known := c.Models[m.Target]
	if m.State == rollout.TakenBack || !known {
		return true
	}
	return !slices.ContainsFunc(rollout.Chain(model.Version, moves), func(used rollout.Move) bool { return used.ID() == m.ID() })
}

// StopsEvent brings local stops of this instance or of peers.
type StopsEvent struct {
	Stops []rollout.Stop
}

func (e StopsEvent) apply(t *tables, _ time.Time) {
	for _, s := range e.Stops {
		t.rollouts.stops[stopKey{s.Move, s.Instance}] = s
	}
}

// SamplesEvent brings the cumulative samples of another instance.
type SamplesEvent struct {
	Instance string
	Samples  []rollout.KeyedSample
}

func (e SamplesEvent) apply(t *tables, _ time.Time) {
	if len(e.Samples) == 0 {
		delete(t.rollouts.samples, e.Instance)
		return
	}
	t.rollouts.samples[e.Instance] = e.Samples
}

// LoadedEvent brings the models that an engine can serve now.
type LoadedEvent struct {
	Upstream string
	Loaded   []string
}

func (e LoadedEvent) apply(t *tables, _ time.Time) {
	if row, ok := t.upstreams[e.Upstream]; ok {
		row.loaded = e.Loaded
	}
}

// forgetRollouts drops final moves that are no longer needed, and the stops of moves
// that are not under way.
func forgetRollouts(t *tables, _ time.Time) {
	for id, m := range t.rollouts.moves {
		if Forgettable(t.config, m, t.rollouts.of(m.Target)) {
			delete(t.rollouts.moves, id)
		}
	}
	for key := range t.rollouts.stops {
		m, known := t.rollouts.moves[key.move]
		if (!known || m.Final()) && !t.orderUnderWay(key.move) {
			delete(t.rollouts.stops, key)
		}
	}
	for _, m := range t.rollouts.moves {
		if !m.Final() {
			return
		}
	}
	if !t.orderUnderWay("") {
		clear(t.rollouts.samples)
	}
}

// orderUnderWay reports whether the rollout of a service with the given id is under way;
// any if the id is empty.
func (t *tables) orderUnderWay(id string) bool {
	return slices.ContainsFunc(t.orders, func(o rollout.ServiceOrder) bool {
		return !o.Final() && (id == "" || id == o.ID())
	})
}

// splitsOf returns the division of the traffic of each model. A move whose version
// this instance stopped sending to has no share here.
func splitsOf(t *tables) map[string]routing.Split {
	splits := make(map[string]routing.Split, len(t.config.Models))
	for name, model := range t.config.Models {
		moves := t.rollouts.of(name)
		split := routing.Split{Running: rollout.Running(model.Version, moves)}
		if m, ok := rollout.Active(moves); ok {
			split.Candidate, split.Share, split.Move, split.Step = m.Version, m.Share(), m.ID(), m.Step
			if _, stopped := t.rollouts.stops[stopKey{m.ID(), t.identity.ID}]; stopped {
				split.Share = 0
			}
		}
		splits[name] = split
	}
	return splits
}
