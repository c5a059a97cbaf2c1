package control

import (
	"maps"
	"time"

	"heatherloom/internal/membership"
	"heatherloom/internal/routing"
)

// maxReportAge is the age up to which a demand report is used. In a large fleet an
// instance receives heartbeats from about four members of other failure domains per
// second, so this window covers reports from some twenty of them.
const maxReportAge = 5 * time.Second

const (
	// directReportAge is the age up to which a report that came from an instance itself counts for the total of
	// its failure domain. Collectors get one each second.
	directReportAge = 2500 * time.Millisecond
	// minDirectShare is the share of a failure domain's members from which this instance needs such reports
	// to make the total itself.
	minDirectShare = 0.8
	// fewerInstancesAfter is how long a total is kept in place of a later one of fewer instances, as a
	// collector makes them in its first second.
	fewerInstancesAfter = 1500 * time.Millisecond
)

// recordDomainDemand records the total of a failure domain that a peer reported.
func (t *tables) recordDomainDemand(d routing.DomainDemand) {
	held, ok := t.domainDemands[d.FailureDomain]
	later := d.At.Sub(held.At)
	if d.FailureDomain == "" || (ok && (later <= 0 || (d.Instances < held.Instances && later < fewerInstancesAfter))) {
		return
	}
	t.domainDemands[d.FailureDomain] = d
}

// ownDomainDemand returns the demand of the other instances of a large failure domain, from their own reports or
// from what a collector made of them. direct tells which. It returns false if neither is known.
func (t *tables) ownDomainDemand(now time.Time) (d routing.DomainDemand, direct bool) {
	d = routing.DomainDemand{FailureDomain: t.identity.FailureDomain, Demands: map[string]float64{}}
	members, ages := 0, time.Duration(0)
	t.members.Each(func(m *membership.Member) {
		if m.FailureDomain != t.identity.FailureDomain {
			return
		}
		members++
		row := t.peerRow(m.ID)
		age := max(now.Sub(row.reportedAt), 0)
		if row.demands == nil || age > directReportAge {
			return
		}
		d.Instances++
		ages += age
		for account, demand := range row.demands {
			d.Demands[account] += demand
		}
	})
	if members <= membership.MaxDomainMesh {
		return routing.DomainDemand{}, false
	}
	if float64(d.Instances) >= minDirectShare*float64(members) {
		d.At = now.Add(-ages / time.Duration(d.Instances))
		return d, true
	}
	if held := t.domainDemands[t.identity.FailureDomain]; now.Sub(held.At) <= maxReportAge {
		return held, false
	}
	return routing.DomainDemand{}, false
}

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
func estimateDemand(t *tables, peers []routing.Peer, own routing.DomainDemand, now time.Time) (map[string]float64, time.Duration) {
	byRegion := groupReports(t, peers, own, now)
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

// groupReports groups members, live or only listed, and their fresh reports by region. The total of a failure
// domain counts as the reports of its instances, whose own reports are left out then.
func groupReports(t *tables, peers []routing.Peer, own routing.DomainDemand, now time.Time) map[string]*regionReports {
	byRegion := map[string]*regionReports{}
	group := func(region string) *regionReports {
		if byRegion[region] == nil {
			byRegion[region] = &regionReports{sums: map[string]float64{}}
		}
		return byRegion[region]
	}
	totals := t.freshTotals(own, now)
	domainRegions := map[string]string{}
	live := make(map[string]bool, len(peers))
	for _, p := range peers {
		live[p.ID] = true
		g := group(p.Region)
		g.members++
		if totals[p.FailureDomain].Instances > 0 {
			domainRegions[p.FailureDomain] = p.Region
			continue
		}
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
	for domain, region := range domainRegions {
		d := totals[domain]
		group(region).add(&regionReports{
			freshReports: d.Instances, ageSum: time.Duration(d.Instances) * max(now.Sub(d.At), 0), sums: d.Demands,
		})
	}
	for id, entry := range t.listedInstances {
		if !live[id] && id != t.identity.ID {
			group(entry.Region).members++
		}
	}
	return byRegion
}

// freshTotals returns the totals of failure domains that are no older than maxReportAge. It forgets older ones.
func (t *tables) freshTotals(own routing.DomainDemand, now time.Time) map[string]routing.DomainDemand {
	maps.DeleteFunc(t.domainDemands, func(_ string, d routing.DomainDemand) bool { return now.Sub(d.At) > maxReportAge })
	totals := maps.Clone(t.domainDemands)
	delete(totals, t.identity.FailureDomain)
	if own.Instances > 0 {
		totals[own.FailureDomain] = own
	}
	return totals
}
