package control

import (
	"time"

	"heatherloom/internal/routing"
)

// maxReportAge is the age up to which a demand report is used. In a large fleet an
// instance receives heartbeats from about four members of other failure domains per
// second, so this window covers reports from some twenty of them.
const maxReportAge = 5 * time.Second

// regionReports aggregates the demand reports of the members of one region.
type regionReports struct {
	members int
	// freshReports is the number of reports no older than maxReportAge, ageSum is the
	// sum of their ages, and sums holds their total demand by client account.
	freshReports int
	ageSum       time.Duration
	sums         map[string]float64
}

// estimateDemand estimates the demand of all peers by client account and returns the mean
// age of the reports used. In a large fleet an instance receives reports from only some of
// its peers, so the mean demand of a region's reports is applied to all of its members, and
// a region without reports is assumed to have the mean demand of all reports.
func estimateDemand(t *tables, peers []routing.Peer, now time.Time) (map[string]float64, time.Duration) {
	byRegion := groupReports(t, peers, now)
	all := regionReports{sums: map[string]float64{}}
	for _, r := range byRegion {
		all.add(r)
	}
	estimate := map[string]float64{}
	for _, r := range byRegion {
		from := r
		if r.freshReports == 0 {
			from = &all
		}
		for account, sum := range from.sums {
			estimate[account] += sum * float64(r.members) / float64(from.freshReports)
		}
	}
	if all.freshReports == 0 {
		return estimate, 0
	}
	return estimate, all.ageSum / time.Duration(all.freshReports)
}

func (r *regionReports) add(o *regionReports) {
	r.freshReports += o.freshReports
	r.ageSum += o.ageSum
	for account, sum := range o.sums {
		r.sums[account] += sum
	}
}

// groupReports groups members, live or only listed, and their fresh reports by region.
func groupReports(t *tables, peers []routing.Peer, now time.Time) map[string]*regionReports {
	byRegion := map[string]*regionReports{}
	group := func(region string) *regionReports {
		if byRegion[region] == nil {
			byRegion[region] = &regionReports{sums: map[string]float64{}}
		}
		return byRegion[region]
	}
	live := make(map[string]bool, len(peers))
	for _, p := range peers {
		live[p.ID] = true
		g := group(p.Region)
		g.members++
		row := t.peerRow(p.ID)
		age := max(now.Sub(row.reportedAt), 0)
		if row.demands == nil || age > maxReportAge {
			continue
		}
		g.freshReports++
		g.ageSum += age
		for account, demand := range row.demands {
			g.sums[account] += demand
		}
	}
	for id, entry := range t.listedInstances {
		if !live[id] && id != t.identity.ID {
			group(entry.Region).members++
		}
	}
	return byRegion
}
