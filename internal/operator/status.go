package operator

import (
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"heatherloom/internal/operatorapi"
	"heatherloom/internal/routing"
)

func (s *server) status(w http.ResponseWriter, _ *http.Request) {
	snapshot := s.Snapshot()
	writeJSON(w, http.StatusOK, operatorapi.Status{
		Instance:         snapshot.SelfID,
		Region:           snapshot.Region,
		FailureDomain:    snapshot.FailureDomain,
		Ready:            snapshot.Ready,
		Draining:         s.draining(snapshot),
		ConfigRevision:   snapshot.Config.Revision,
		ConfigAgeSeconds: snapshot.ConfigAge.Seconds(),
		InFlight:         s.Drain.Progress().InFlight,
		Rollouts:         s.Rollouts(snapshot),
		Peers:            encodePeers(snapshot, s.Now()),
		Upstreams:        encodeUpstreams(snapshot),
		Duties:           s.Duties(),
	})
}

func encodePeers(s *routing.Snapshot, now time.Time) []operatorapi.Peer {
	peers := make([]operatorapi.Peer, 0, len(s.Peers))
	for _, p := range s.Peers {
		peers = append(peers, operatorapi.Peer{
			ID:               p.ID,
			Region:           p.Region,
			OperatorURL:      p.OperatorURL,
			ConfigRevision:   p.ConfigRevision,
			Draining:         p.Draining,
			LastHeardSeconds: now.Sub(p.LastHeard).Seconds(),
		})
	}
	return peers
}

func encodeUpstreams(s *routing.Snapshot) []operatorapi.Upstream {
	upstreams := make([]operatorapi.Upstream, 0, len(s.Upstreams))
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		upstreams = append(upstreams, operatorapi.Upstream{
			ID:       u.ID,
			Targets:  append([]string{}, u.Targets...),
			Draining: u.Draining,
			Down:     u.Down,
			InFlight: u.Counters.InFlight.Load(),
		})
	}
	return upstreams
}

// Rollouts returns the configured and the known rollouts. The state of one that is only
// configured is derived from the traffic splits.
func Rollouts(s *routing.Snapshot) []operatorapi.Rollout {
	rows := map[string]operatorapi.Rollout{}
	for id, configured := range s.Config.Rollouts {
		row := operatorapi.Rollout{Target: configured.Target, Version: configured.Version, State: operatorapi.RolloutPlanned}
		split, isModel := s.ModelSplits[configured.Target]
		switch configured.Version {
		case split.RunningVersion:
			row.State = operatorapi.RolloutDone
		case split.Candidate:
			row.State = operatorapi.RolloutServing
			row.Step = int(math.Round(split.Share * 100))
		}
		if !isModel {
			row.Reason = "versions of plain services have no gradual rollout"
		}
		rows[id] = row
	}
	for _, m := range s.ModelRollouts {
		rows[m.ID()] = operatorapi.Rollout{
			Target:  m.Target,
			Version: m.Version,
			State:   operatorapi.RolloutState(m.State),
			Step:    m.Percent(),
			Reason:  m.Reason,
		}
	}
	for _, stop := range s.RolloutStops {
		if row, known := rows[stop.RolloutID]; known && row.Reason == "" {
			row.Reason = stop.Instance + " stopped sending to the version: " + stop.Reason
			rows[stop.RolloutID] = row
		}
	}
	return slices.SortedFunc(maps.Values(rows), func(a, b operatorapi.Rollout) int {
		return strings.Compare(a.Target+"@"+a.Version, b.Target+"@"+b.Version)
	})
}
