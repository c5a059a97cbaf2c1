package routing

// setPreferences sets how little this instance prefers each upstream. Instances do not
// see what the others have just sent. Because the instances of a region start at evenly
// spaced upstreams of the same order, what an instance sent itself tells most about
// those that it prefers. Instances that disagree on the members only prefer less evenly.
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
			s.Upstreams[i].Preference = float64((k-first+n)%n) / float64(n)
		}
	}
}
