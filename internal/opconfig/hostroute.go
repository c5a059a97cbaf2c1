package opconfig

import (
	"slices"
	"strings"
	"time"
)

// RouteKind determines whether the requests of a route may be retried.
type RouteKind string

// The kinds of host routes. Requests on a route of any other kind run at most once, as
// writes do, since they are not known to be safe to retry.
const (
	// KindUnknown is the kind of a route whose kind this version does not recognize.
	KindUnknown RouteKind = ""
	// KindIdempotent requests may run more than once.
	KindIdempotent RouteKind = "idempotent"
	// KindWrite requests run at most once.
	KindWrite RouteKind = "write"
	// KindStream requests receive a stream of events as response. They run at most once,
	// unless the route is resumable.
	KindStream RouteKind = "stream"
)

// WeightedService is one service of a route and its share of the traffic.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is relative to the sum of the weights of the route.
	Weight float64 `json:"weight"`
}

// HostRoute sends the requests of a host name and path prefix to services.
type HostRoute struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix starts and ends with a slash; the longest prefix of a host takes precedence.
	Prefix string `json:"prefix"`
	// Services has at least one element.
	Services []WeightedService `json:"services"`
	Kind     RouteKind         `json:"kind"`
	// Resumable streams can be resumed on another upstream after the last event received.
	Resumable bool `json:"resumable,omitempty"`
	// MaxAttempts is the maximum number of upstreams that may run one request; at least 1.
	MaxAttempts int `json:"attempts"`
	// Timeout limits the time until the response is complete; 0 for no limit.
	Timeout time.Duration `json:"timeout"`
	// LatencyObjective is the latency objective for a response, or for the first event of a
	// stream; 0 if the operators set none.
	LatencyObjective time.Duration `json:"objective"`
	// MaxEventGap is the longest pause between two events with which a stream meets its
	// objective.
	MaxEventGap time.Duration `json:"event_gap,omitempty"`
	// Priority orders routes; 0 is the highest.
	Priority int `json:"priority"`
	// Public routes require no API key.
	Public bool `json:"open,omitempty"`
	// AllowedRegions are the regions that may run the requests; empty allows any region.
	AllowedRegions []string `json:"homes,omitempty"`
	// HasPrompts is true if the requests contain prompts of which upstreams cache parts.
	HasPrompts bool `json:"prompts,omitempty"`
}

// ID returns the index of the route in Config.HostRoutes.
func (r HostRoute) ID() string { return r.Host + r.Prefix }

// Repeatable reports whether a request may be retried on a second upstream if the first
// one may have run it.
func (r HostRoute) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Service holds the operators' settings for the upstreams of a service.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path of the health check; empty for none.
	HealthPath string `json:"health_path,omitempty"`
	// MaxConns limits the connections of all instances to one upstream; 0 for no limit.
	MaxConns int `json:"max_conns,omitempty"`
	// ColdFor is the warm-up period of an upstream that starts during traffic, and
	// ColdRateLimit the requests per second across all instances that it can handle during
	// this period; 0 if the upstreams need no warm-up.
	ColdFor       time.Duration `json:"cold_for,omitempty"`
	ColdRateLimit float64       `json:"cold_rate,omitempty"`
	// KVCacheTokens is the capacity of the KV cache of an engine, which holds running
	// requests and cached prompts, in tokens; 0 for a plain service.
	KVCacheTokens int64 `json:"cache_tokens,omitempty"`
	// Autoscale bounds the number of upstreams that the gateway orders; nil if the operators set it.
	Autoscale *Autoscale `json:"autoscale,omitempty"`
}

// Autoscale bounds the number of upstreams of a service in each failure domain.
type Autoscale struct {
	Min int `json:"min"`
	Max int `json:"max"`
	// Startup is the time from an order until a new upstream serves.
	Startup time.Duration `json:"startup"`
}

// Limits restricts the requests and connections of callers on host routes. A zero field
// sets no limit.
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

// HostAllowedRegions returns the regions that are allowed by every route of the host that has
// AllowedRegions and is not public; nil if there is no such route.
func (c *Config) HostAllowedRegions(host string) []string {
	var regions []string
	restricted := false
	for _, r := range c.HostRoutes {
		if r.Host != host || len(r.AllowedRegions) == 0 || r.Public {
			continue
		}
		if !restricted {
			regions, restricted = slices.Clone(r.AllowedRegions), true
			continue
		}
		regions = slices.DeleteFunc(regions, func(region string) bool { return !slices.Contains(r.AllowedRegions, region) })
	}
	return regions
}

// IntersectRegions returns the regions that both the route and the account allow, and false
// if there are none. An empty result with true allows any region.
func IntersectRegions(route, account []string) ([]string, bool) {
	switch {
	case len(route) == 0:
		return account, true
	case len(account) == 0:
		return route, true
	}
	var common []string
	for _, region := range route {
		if slices.Contains(account, region) {
			common = append(common, region)
		}
	}
	return common, len(common) > 0
}
