package control

import (
	"time"

	"heatherloom/internal/routing"
)

// freshReport is the age up to which a report of demand counts. In a large fleet an
// instance hears about four members of other failure domains in a second, so that this
// time brings reports of some twenty of them.
const freshReport = 5 * time.Second

// demandReports are the reports of the members of one region.
type demandReports struct {
	members int
	// fresh reports, the sum of their ages, and the sums of their demands by client account.
	fresh int
	age   time.Duration
	sums  map[string]float64
}

// demandOf estimates the demands of all peers by client account, and the mean age of the
// reports behind the estimate. An instance hears only some of a large fleet, so that the
// reports of each region stand for all of its members, and those of all regions for a
// region without reports.
func demandOf(t *tables, peers []routing.Peer, now time.Time) (map[string]float64, time.Duration) {
	byRegion := reportsOf(t, peers, now)
	all := demandReports{sums: map[string]float64{}}
	for _, r := range byRegion {
		all.add(r)
	}
	estimate := map[string]float64{}
	for _, r := range byRegion {
		from := r
		if r.fresh == 0 {
			from = &all
		}
		for account, sum := range from.sums {
			estimate[account] += sum * float64(r.members) / float64(from.fresh)
		}
	}
	if all.fresh == 0 {
		return estimate, 0
	}
	return estimate, all.age / time.Duration(all.fresh)
}

func (r *demandReports) add(o *demandReports) {
	r.fresh += o.fresh
	r.age += o.age
	for account, sum := range o.sums {
		r.sums[account] += sum
	}
}

// reportsOf groups the members, live or listed, and their fresh reports by region.
func reportsOf(t *tables, peers []routing.Peer, now time.Time) map[string]*demandReports {
	byRegion := map[string]*demandReports{}
	group := func(region string) *demandReports {
		if byRegion[region] == nil {
			byRegion[region] = &demandReports{sums: map[string]float64{}}
		}
		return byRegion[region]
	}
	live := make(map[string]bool, len(peers))
	for _, p := range peers {
		live[p.ID] = true
		g := group(p.Region)
		g.members++
		link := t.linkTo(p.ID)
		age := max(now.Sub(link.reported), 0)
		if link.demands == nil || age > freshReport {
			continue
		}
		g.fresh++
		g.age += age
		for account, demand := range link.demands {
			g.sums[account] += demand
		}
	}
	for id, entry := range t.entries {
		if !live[id] && id != t.identity.ID {
			group(entry.Region).members++
		}
	}
	return byRegion
}
