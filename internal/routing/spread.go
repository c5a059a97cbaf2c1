package routing

// setPreferences sets the PreferencePenalty of each upstream, which is lowest for the most
// preferred one. Instances do not see the requests that the others have just sent. Each
// instance of a region starts at a different, evenly spaced position in the same order of
// upstreams, so its own requests are most of the load of the upstreams that it prefers. If
// instances disagree on the members, their preferences are only spaced less evenly.
func (s *Snapshot) setPreferences() {
	for _, candidates := range s.ByTarget {
		n := len(candidates)
		first := s.spread.rank * n / s.spread.instances
		for k, i := range candidates {
			s.Upstreams[i].PreferencePenalty = float64((k-first+n)%n) / float64(n)
		}
	}
}

// spreadPosition is the number of known instances of the region, and the rank of this one among them by id.
type spreadPosition struct {
	instances, rank int
}

func (s *Snapshot) spreadPosition() spreadPosition {
	position := spreadPosition{instances: 1}
	for i := range s.Peers {
		if s.Peers[i].Region != s.Region {
			continue
		}
		position.instances++
		if s.Peers[i].ID < s.SelfID {
			position.rank++
		}
	}
	return position
}
