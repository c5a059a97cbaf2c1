package soak

import (
	"time"

	"heatherloom/platform/standin"
)

// kind names a kind of request.
type requestKind string

// The kinds of requests.
const (
	kindWrite  requestKind = "write"
	kindRead   requestKind = "read"
	kindStream requestKind = "stream"
	// kindRerouted requests are reads on a route that the operator switches between services.
	kindRerouted requestKind = "moving"
	// kindRegionBound requests are writes that must be executed in allowedRegion.
	kindRegionBound requestKind = "bound"
	// kindLimited requests are reads of a client account that exceeds its rate limit.
	kindLimited requestKind = "metered"
	// kindHarmful requests are reads that crash every server which executes them.
	kindHarmful requestKind = "harmful"
	// kindHarmfulPart requests are streams with a prompt part that crashes every server.
	kindHarmfulPart requestKind = "harmful_part"
)

// idempotent reports whether a request may be executed more than once.
func (k requestKind) idempotent() bool {
	return k == kindRead || k == kindRerouted || k == kindLimited || k == kindHarmful
}

// result classifies the response that a caller received.
type result string

const (
	// valid is the complete response to the caller's own request.
	valid result = "whole"
	// rejected is a response that guarantees that the request was not executed.
	rejected result = "refused"
	// failed is any other error response of the gateway or of a server.
	failed result = "failed"
	// incomplete is a missing response, or one that is recognizably truncated.
	incomplete result = "broken"
	// abandoned is a missing response to a caller that left before it came.
	abandoned result = "left"
	// wrong is a response that looks complete and has the wrong content.
	wrong result = "wrong"
)

// call is one request as its caller saw it.
type call struct {
	id     string
	kind   requestKind
	node   *node
	key    string
	sent   time.Time
	ended  time.Time
	result result
	status int
	// written is true if the request was written to a connection completely.
	written bool
	detail  string
	// content names the harmful content of a kindHarmful or kindHarmfulPart request.
	content string
}

// configVersion is one version of the operators' configuration.
type configVersion struct {
	number int64
	at     time.Time
	// service receives kindRerouted requests.
	service string
}

// history is what callers, servers and the operator recorded in a run.
type history struct {
	calls []call
	// executions are indexed by the id of their request.
	executions map[string][]standin.ExecutedRequest
	versions   []configVersion
	// revoked is the time when each key was revoked, draining the time when each server
	// began to drain.
	revoked  map[string]time.Time
	draining map[string]time.Time
	// evacuated holds the evacuations of each failure domain.
	evacuated   map[string][]interval
	nodes       []*node
	servers     map[string]*server
	storeFaults *intervals
	// started and ended are the times between which all instances were meant to run.
	started, ended time.Time
	dutyCalls      []standin.DutyCall
	dutyFaults     *intervals
}

// regionOf returns the region of a failure domain.
func regionOf(domain string) string { return domain[:1] }

// undisturbed reports whether the instance and the store had no fault from settleTime
// before from until to, so that the rules with a time bound apply.
func (e *history) undisturbed(i *node, from, to time.Time) bool {
	return !i.faults.overlaps(from.Add(-settleTime), to) &&
		!i.plannedShutdowns.overlaps(from.Add(-settleTime), to) &&
		!e.storeFaults.overlaps(from.Add(-settleTime), to)
}

// sendersUndisturbed reports whether every instance that may have forwarded the request was
// undisturbed.
func (e *history) sendersUndisturbed(c call, execution standin.ExecutedRequest) bool {
	if !e.undisturbed(c.node, c.sent, execution.At) {
		return false
	}
	if c.node.region == regionOf(execution.FailureDomain) {
		return true
	}
	for _, other := range e.nodes {
		if other.region == regionOf(execution.FailureDomain) && !e.undisturbed(other, c.sent, execution.At) {
			return false
		}
	}
	return true
}
