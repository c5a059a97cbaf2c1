package opconfig

import (
	"slices"
	"strings"
	"time"
)

// RouteKind states what may be repeated on a route.
type RouteKind string

// The kinds of host routes. Requests on a route of any other kind run at most once, as
// writes do: nothing says that they may be repeated.
const (
	// KindUnknown is the kind of a route whose kind this version cannot read.
	KindUnknown RouteKind = ""
	// KindIdempotent requests may run more than once.
	KindIdempotent RouteKind = "idempotent"
	// KindWrite requests run at most once.
	KindWrite RouteKind = "write"
	// KindStream requests are answered with a stream of events. They run at most once,
	// unless the route is resumable.
	KindStream RouteKind = "stream"
)

// WeightedService is one service of a route and its part of the traffic.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is relative to the sum over the route.
	Weight float64 `json:"weight"`
}

// HostRoute sends the requests of a host name and path prefix to services.
type HostRoute struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash; the longest prefix of a host wins.
	Prefix string `json:"prefix"`
	// Services has at least one element.
	Services []WeightedService `json:"services"`
	Kind     RouteKind         `json:"kind"`
	// Resumable streams may be continued on another upstream after their last event.
	Resumable bool `json:"resumable,omitempty"`
	// Attempts bounds the upstreams that may run one request of a caller; at least 1.
	Attempts int `json:"attempts"`
	// Timeout is the longest time a caller waits for the whole answer; 0 for no limit.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time within which an answer, or the first event of a stream, is
	// on time; 0 if the operators set none.
	Objective time.Duration `json:"objective"`
	// EventGap is the longest pause between two events of a stream that is on time.
	EventGap time.Duration `json:"event_gap,omitempty"`
	// Priority ranks routes; 0 is the most urgent.
	Priority int `json:"priority"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
	// Homes are the regions that may run the requests; empty for any.
	Homes []string `json:"homes,omitempty"`
	// Prompts is true if the requests carry prompts whose parts upstreams cache.
	Prompts bool `json:"prompts,omitempty"`
}

// ID returns the index of the route in Config.HostRoutes.
func (r HostRoute) ID() string { return r.Host + r.Prefix }

// Repeatable reports whether a request may run on a second upstream after a first one
// may have run it.
func (r HostRoute) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Service holds what the operators set for the upstreams of a service.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path of the health check; empty for none.
	HealthPath string `json:"health_path,omitempty"`
	// MaxConns bounds the connections of all instances to one upstream; 0 for no limit.
	MaxConns int `json:"max_conns,omitempty"`
	// ColdFor is how long an upstream is cold after it starts during traffic, and
	// ColdRate the requests per second that it bears then, over all instances; 0 if
	// its upstreams are never cold.
	ColdFor  time.Duration `json:"cold_for,omitempty"`
	ColdRate float64       `json:"cold_rate,omitempty"`
	// CacheTokens is the memory of an engine for running requests and cached prompts, in
	// tokens; 0 for a plain service.
	CacheTokens int64 `json:"cache_tokens,omitempty"`
}

// Limits bound what a caller may send on the host routes. A zero field sets no limit.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// LimitsID is the index of the only record of TableLimits.
const LimitsID = "callers"

// HostRoute returns the route of the host with the longest prefix of path.
func (c *Config) HostRoute(host, path string) (HostRoute, bool) {
	for end := len(path); end > 0; end-- {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return HostRoute{}, false
		}
		if route, ok := c.HostRoutes[host+path[:slash+1]]; ok {
			return route, true
		}
		end = slash + 1
	}
	return HostRoute{}, false
}

// HostHomes returns the regions that are homes of every bound route of the host; nil if
// the host has no bound route.
func (c *Config) HostHomes(host string) []string {
	var homes []string
	bound := false
	for _, r := range c.HostRoutes {
		if r.Host != host || len(r.Homes) == 0 || r.Open {
			continue
		}
		if !bound {
			homes, bound = slices.Clone(r.Homes), true
			continue
		}
		homes = slices.DeleteFunc(homes, func(region string) bool { return !slices.Contains(r.Homes, region) })
	}
	return homes
}

// BoundRegions returns the regions in which a request of both lists of homes may run,
// and false if there is none. An empty result with true allows any region.
func BoundRegions(route, account []string) ([]string, bool) {
	switch {
	case len(route) == 0:
		return account, true
	case len(account) == 0:
		return route, true
	}
	var both []string
	for _, region := range route {
		if slices.Contains(account, region) {
			both = append(both, region)
		}
	}
	return both, len(both) > 0
}
