package autoscale

import (
	"slices"

	"heatherloom/internal/opconfig"
)

// minResponseShare is the share of the asked instances of a region whose responses make a load complete.
const minResponseShare = 0.75

// DomainLoad is what one instance knows of the upstreams of a service in a failure domain of its region.
type DomainLoad struct {
	Service string
	Domain  Domain
	// Slots is the number of requests that the upstreams which run can run at once.
	Slots int
	// InFlight is the number of requests of this instance at all of the upstreams.
	InFlight int
	// Reporting is the number of serving upstreams that told their load to this instance lately, and Running and Waiting are the
	// requests of all instances that they told.
	Reporting, Running, Waiting int
	// Arrivals and PromptTokens are the requests that this instance sent, and their prompt tokens to read, each a second.
	Arrivals, PromptTokens float64
	// ReadTokens is the number of prompt tokens that were read in ReadSeconds, by one upstream after another.
	ReadTokens, ReadSeconds float64
}

// InstanceLoad is what one instance reports.
type InstanceLoad struct {
	Domains []DomainLoad
	// Rejected are the requests of callers of this instance for which there was no room, a second, by service.
	Rejected map[string]float64
}

// RegionLoads are the responses of the instances of a region.
type RegionLoads struct {
	Region string
	// Instances is the number of live instances, of which Asked were asked.
	Instances, Asked int
	Responses        []InstanceLoad
}

// Autoscaled returns the names of the services whose number of upstreams the gateway orders, sorted.
func Autoscaled(services map[string]opconfig.Service) (names []string) {
	for name, s := range services {
		if s.Autoscale != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Pools combines the responses of all regions to the load of each service that may be scaled. A region without a response
// has no pool.
func Pools(services map[string]opconfig.Service, regions []RegionLoads) (pools []Pool) {
	for _, name := range Autoscaled(services) {
		service := services[name]
		bounds := Bounds{
			Min: service.Autoscale.Min, Max: service.Autoscale.Max, Startup: service.Autoscale.Startup, Cold: service.ColdFor,
		}
		for _, r := range regions {
			if p, ok := r.pool(name); ok {
				p.Bounds = bounds
				pools = append(pools, p)
			}
		}
	}
	return pools
}

// pool combines the responses for a service; ok is false if the service is not known to run in the region.
func (r RegionLoads) pool(service string) (p Pool, ok bool) {
	p = Pool{Service: service, Region: r.Region}
	byDomain := map[string][]DomainLoad{}
	var total DomainLoad
	for _, response := range r.Responses {
		p.Load.Rejected += response.Rejected[service]
		for _, d := range response.Domains {
			if d.Service == service {
				byDomain[d.Domain.Name] = append(byDomain[d.Domain.Name], d)
				total.add(d)
			}
		}
	}
	slots, running, serving := 0, 0, 0
	for name, loads := range byDomain {
		// Rows reach instances at different times: the median is what most of them have read.
		d := Domain{
			Name:        name,
			Serving:     median(loads, func(d DomainLoad) int { return d.Domain.Serving }),
			Cold:        median(loads, func(d DomainLoad) int { return d.Domain.Cold }),
			Unavailable: median(loads, func(d DomainLoad) int { return d.Domain.Unavailable }),
			Leaving:     median(loads, func(d DomainLoad) int { return d.Domain.Leaving }),
		}
		p.Domains = append(p.Domains, d)
		slots += median(loads, func(d DomainLoad) int { return d.Slots })
		running += d.Running()
		serving += d.Serving
	}
	if running > 0 {
		p.Load.SlotsPerUpstream = float64(slots) / float64(running)
	}
	if total.ReadSeconds > 0 {
		p.Load.ReadRate = total.ReadTokens / total.ReadSeconds
	}
	p.Load.Complete = float64(len(r.Responses)) >= minResponseShare*float64(r.Asked)
	r.scale(&p.Load, total, serving)
	return p, len(p.Domains) > 0
}

// scale sets what all instances of the region do, given what those do that responded.
func (r RegionLoads) scale(l *Load, total DomainLoad, serving int) {
	scale := float64(max(r.Instances, len(r.Responses))) / float64(len(r.Responses))
	l.Rejected *= scale
	l.Arrivals = total.Arrivals * scale
	l.PromptTokens = total.PromptTokens * scale
	requests := float64(total.InFlight) * scale
	if total.Reporting > 0 {
		perReport := float64(serving) / float64(total.Reporting)
		l.Waiting = float64(total.Waiting) * perReport
		if !l.Complete {
			// Upstreams also tell of the requests of instances that did not respond.
			requests = max(requests, float64(total.Running+total.Waiting)*perReport)
		}
	}
	l.Waiting = min(l.Waiting, requests)
	l.Running = requests - l.Waiting
}

// add adds what another instance does.
func (d *DomainLoad) add(o DomainLoad) {
	d.InFlight += o.InFlight
	d.Reporting += o.Reporting
	d.Running += o.Running
	d.Waiting += o.Waiting
	d.Arrivals += o.Arrivals
	d.PromptTokens += o.PromptTokens
	d.ReadTokens += o.ReadTokens
	d.ReadSeconds += o.ReadSeconds
}

func median(loads []DomainLoad, value func(DomainLoad) int) int {
	var values []int
	for _, d := range loads {
		values = append(values, value(d))
	}
	slices.Sort(values)
	return values[len(values)/2]
}
