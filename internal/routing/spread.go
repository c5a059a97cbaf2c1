package routing

// setPreferences sets the PreferencePenalty of each upstream, which is lowest for the most
// preferred one. Instances do not see the requests that the others have just sent. Each
// instance of a region starts at a different, evenly spaced position in the same order of
// upstreams, so its own requests are most of the load of the upstreams that it prefers. If
// instances disagree on the members, their preferences are only spaced less evenly.
func (s *Snapshot) setPreferences() {
	instances, rank := 1, 0
	for i := range s.Peers {
		if s.Peers[i].Region != s.Region {
			continue
		}
		instances++
		if s.Peers[i].ID < s.SelfID {
			rank++
		}
	}
	for _, candidates := range s.ByTarget {
		n := len(candidates)
		first := rank * n / instances
		for k, i := range candidates {
			s.Upstreams[i].PreferencePenalty = float64((k-first+n)%n) / float64(n)
		}
	}
}
