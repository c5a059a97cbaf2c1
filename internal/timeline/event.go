// Package timeline records recent events of each process and merges them over
// processes in causal order, by means of a hybrid logical clock that travels with
// the messages between instances.
package timeline

import "time"

// Kind names what happened.
type Kind string

// The kinds of events.
const (
	KindReceived      Kind = "request_received"
	KindPicked        Kind = "picked"
	KindAttemptFailed Kind = "attempt_failed"
	KindForwarded     Kind = "forwarded"
	KindForwardIn     Kind = "forward_received"
	KindForwardEnd    Kind = "forward_ended"
	KindComplete      Kind = "request_complete"
	KindRefused       Kind = "request_refused"
	KindConfig        Kind = "config_in_force"
	KindMemberUp      Kind = "member_up"
	KindMemberDown    Kind = "member_down"
	KindUpstreamUp    Kind = "upstream_up"
	KindUpstreamDown  Kind = "upstream_down"
	// KindUpstreamLeaving means that an upstream gets no new work for good.
	KindUpstreamLeaving Kind = "upstream_leaving"
	KindMemberDraining  Kind = "member_draining"
	KindDrain           Kind = "drain"
	// KindRollout is a change of a version rollout.
	KindRollout Kind = "rollout"
	// KindLocalStop means that one instance stopped sending to a version.
	KindLocalStop Kind = "local_stop"
	KindTLS       Kind = "tls_files"
)

// Event is one thing that happened on one instance. Fields that do not apply are
// empty.
type Event struct {
	Clock    Stamp     `json:"clock"`
	Wall     time.Time `json:"wall"`
	Instance string    `json:"instance"`
	Kind     Kind      `json:"kind"`
	Request  string    `json:"request,omitempty"`
	Account  string    `json:"account,omitempty"`
	Version  string    `json:"version,omitempty"`
	Upstream string    `json:"upstream,omitempty"`
	Detail   string    `json:"detail,omitempty"`
}
