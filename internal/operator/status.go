package operator

import (
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
	write(w, http.StatusOK, operatorapi.Status{
		Instance:         snapshot.SelfID,
		Region:           snapshot.Region,
		FailureDomain:    snapshot.FailureDomain,
		Ready:            snapshot.Ready,
		Draining:         s.draining(snapshot),
		ConfigRevision:   snapshot.Config.Revision,
		ConfigAgeSeconds: snapshot.ConfigAge.Seconds(),
		InFlight:         s.Gate.Progress().InFlight,
		Rollouts:         s.Rollouts(snapshot),
		Peers:            peersOf(snapshot, s.Now()),
		Upstreams:        upstreamsOf(snapshot),
	})
}

func peersOf(s *routing.Snapshot, now time.Time) []operatorapi.Peer {
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

func upstreamsOf(s *routing.Snapshot) []operatorapi.Upstream {
	upstreams := make([]operatorapi.Upstream, 0, len(s.Upstreams))
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		upstreams = append(upstreams, operatorapi.Upstream{
			ID:       u.ID,
			Targets:  append([]string{}, u.Targets...),
			Leaving:  u.Leaving,
			Down:     u.Down,
			InFlight: u.Counters.InFlight.Load(),
		})
	}
	return upstreams
}

// Rollouts returns the rollouts of the configuration with the state that the
// traffic splits show.
func Rollouts(s *routing.Snapshot) []operatorapi.Rollout {
	rollouts := make([]operatorapi.Rollout, 0, len(s.Config.Moves))
	for _, move := range s.Config.Moves {
		row := operatorapi.Rollout{Target: move.Target, Version: move.Version, State: operatorapi.RolloutPlanned}
		split := s.Splits[move.Target]
		switch move.Version {
		case split.Running:
			row.State = operatorapi.RolloutDone
		case split.Candidate:
			row.State = operatorapi.RolloutShare
			row.Step = int(math.Round(split.Share * 100))
		}
		rollouts = append(rollouts, row)
	}
	slices.SortFunc(rollouts, func(a, b operatorapi.Rollout) int {
		return strings.Compare(a.Target+"@"+a.Version, b.Target+"@"+b.Version)
	})
	return rollouts
}
