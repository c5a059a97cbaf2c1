package autoscale

import (
	"maps"
	"slices"
	"strings"
	"time"

	"heatherloom/internal/routing"
)

// maxReportedDomains bounds a report, to 20 KB with names of the usual length.
const maxReportedDomains = 256

// LoadOf returns what an instance knows of the load of services, from its snapshot and its counters.
func LoadOf(s *routing.Snapshot, rejections *routing.Rejections, services []string, now time.Time) InstanceLoad {
	load := InstanceLoad{Rejected: map[string]float64{}}
	for _, service := range services[:min(len(services), maxReportedDomains)] {
		if n := rejections.PerSecond(service, now); n > 0 {
			load.Rejected[service] = n
		}
		byDomain := map[string]*DomainLoad{}
		for _, i := range s.ByTarget[service] {
			u := &s.Upstreams[i]
			if byDomain[u.FailureDomain] == nil {
				byDomain[u.FailureDomain] = &DomainLoad{Service: service, Domain: Domain{Name: u.FailureDomain}}
			}
			byDomain[u.FailureDomain].count(u, now)
		}
		domains := slices.SortedFunc(maps.Values(byDomain), func(a, b *DomainLoad) int { return strings.Compare(a.Domain.Name, b.Domain.Name) })
		for _, d := range domains[:min(len(domains), maxReportedDomains-len(load.Domains))] {
			load.Domains = append(load.Domains, *d)
		}
	}
	return load
}

// count adds an upstream. Attempts at one that leaves count: they go on elsewhere.
func (d *DomainLoad) count(u *routing.Upstream, now time.Time) {
	d.InFlight += int(u.Counters.InFlight.Load())
	rates := u.Counters.AttemptRates(now)
	d.Arrivals += rates.Attempts
	d.PromptTokens += rates.PromptTokens
	d.ReadTokens += rates.ReadTokens
	d.ReadSeconds += rates.ReadSeconds
	if u.Draining || u.GoneAt != 0 {
		d.Domain.Leaving++
		return
	}
	reported, ok := u.Counters.ReportedLoad(now)
	d.Slots += max(u.MaxConcurrency, reported.Slots)
	switch {
	case u.Down || u.Evacuated || u.Counters.PausedFor(now.UnixNano()) > 0:
		d.Domain.Unavailable++
		return
	case u.Cold:
		d.Domain.Cold++
		return
	}
	d.Domain.Serving++
	if ok {
		d.Reporting++
		d.Running += reported.Running
		d.Waiting += reported.Waiting
	}
}
