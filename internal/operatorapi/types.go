// Package operatorapi defines the JSON messages of the operator listener and a client for
// it.
package operatorapi

import "heatherloom/internal/timeline"

// Status is the response to GET /v1/status.
type Status struct {
	Instance       string `json:"instance"`
	Region         string `json:"region"`
	FailureDomain  string `json:"failure_domain"`
	Ready          bool   `json:"ready"`
	Draining       bool   `json:"draining"`
	ConfigRevision int64  `json:"config_revision"`
	// ConfigAgeSeconds is the time since the configuration was last known to be the latest.
	ConfigAgeSeconds float64    `json:"config_age_seconds"`
	InFlight         int        `json:"in_flight"`
	Rollouts         []Rollout  `json:"rollouts"`
	Peers            []Peer     `json:"peers"`
	Upstreams        []Upstream `json:"upstreams"`
	// Duties are the calls to the platform that one instance makes at a time; empty if the settings
	// name no API for them.
	Duties []Duty `json:"duties,omitempty"`
}

// Duty is a kind of call to the platform that one instance makes at a time. Only the holder knows
// the token, the usage and the orders.
type Duty struct {
	Name string `json:"name"`
	// Holder is the instance that holds the duty; empty if none is known.
	Holder string `json:"holder"`
	// Held reports whether this instance may act, or waits until the former holder cannot act any
	// more. Token is 0 unless it may act.
	Held  bool  `json:"held"`
	Token int64 `json:"token,omitempty"`
	// LastCall is the outcome of the last call of this instance, LastCallSeconds the time since it.
	LastCall        string         `json:"last_call,omitempty"`
	LastCallSeconds float64        `json:"last_call_seconds,omitempty"`
	Usage           *DutyUsage     `json:"usage,omitempty"`
	Orders          []DutyCapacity `json:"orders,omitempty"`
}

// DutyUsage is what this instance has reported since its start.
type DutyUsage struct {
	// LastWindow is the last accepted window, LastDelaySeconds the time from its end to the response.
	LastWindow       int64   `json:"last_window"`
	LastDelaySeconds float64 `json:"last_delay_seconds"`
	// Windows counts the windows by outcome, see docs/OPERATIONS.md.
	Windows map[string]int64 `json:"windows"`
}

// DutyCapacity is the last number of upstreams that was ordered.
type DutyCapacity struct {
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Ordered       int    `json:"ordered"`
	Running       int    `json:"running"`
	Reason        string `json:"reason"`
}

// Rollout is the state of one version rollout as the instance sees it.
type Rollout struct {
	// Target is the name of a model or service.
	Target  string       `json:"target"`
	Version string       `json:"version"`
	State   RolloutState `json:"state"`
	// Step is the share of the fleet's traffic that the version gets, in percent.
	Step int `json:"step"`
	// Reason says why the version was rolled back, or what the rollout waits for.
	Reason string `json:"reason"`
}

// Peer is another live entry instance.
type Peer struct {
	ID             string `json:"id"`
	Region         string `json:"region"`
	OperatorURL    string `json:"operator_url"`
	ConfigRevision int64  `json:"config_revision"`
	Draining       bool   `json:"draining"`
	// LastHeardSeconds is the time since the last heartbeat.
	LastHeardSeconds float64 `json:"last_heard_seconds"`
}

// Upstream is a server of a model or plain service in the instance's region.
type Upstream struct {
	ID       string   `json:"id"`
	Targets  []string `json:"targets"`
	Draining bool     `json:"leaving"`
	Down     bool     `json:"down"`
	InFlight int64    `json:"in_flight"`
}

// Events is the response to GET /v1/events.
type Events struct {
	Instance string `json:"instance"`
	// Overwritten is the number of earlier events that the recorder has overwritten.
	Overwritten uint64           `json:"overwritten"`
	Events      []timeline.Event `json:"events"`
}

// DrainStatus is the response to GET and POST /v1/drain.
type DrainStatus struct {
	Instance string `json:"instance"`
	// Phase is serving, announced, refusing or done.
	Phase  string `json:"phase"`
	Reason string `json:"reason,omitempty"`
	// RefusesInSeconds is the time left until new requests are rejected.
	RefusesInSeconds float64 `json:"refuses_in_seconds,omitempty"`
	// InFlight is the number of requests that the drain still waits for.
	InFlight int `json:"in_flight"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

// Readiness is the response to GET /readyz.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reasons says why Ready is false.
	Reasons          []string `json:"reasons,omitempty"`
	Draining         bool     `json:"draining"`
	ConfigRevision   int64    `json:"config_revision"`
	ConfigAgeSeconds float64  `json:"config_age_seconds"`
	Peers            int      `json:"peers"`
}
