// Package timeline records the recent events of each process and merges those of several
// processes in causal order. It uses a hybrid logical clock whose readings are sent with
// the messages between instances.
package timeline

import "time"

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	KindRequestReceived Kind = "request_received"
	KindUpstreamPicked  Kind = "picked"
	KindAttemptFailed   Kind = "attempt_failed"
	KindForwarded       Kind = "forwarded"
	KindForwardReceived Kind = "forward_received"
	KindForwardEnded    Kind = "forward_ended"
	KindRequestComplete Kind = "request_complete"
	KindRequestRefused  Kind = "request_refused"
	KindConfigInForce   Kind = "config_in_force"
	KindMemberUp        Kind = "member_up"
	KindMemberDown      Kind = "member_down"
	KindUpstreamUp      Kind = "upstream_up"
	KindUpstreamDown    Kind = "upstream_down"
	// KindUpstreamLeaving means that an upstream is being removed and gets no new work.
	KindUpstreamLeaving Kind = "upstream_leaving"
	KindMemberDraining  Kind = "member_draining"
	KindDrain           Kind = "drain"
	// KindRollout means that the state of a version rollout changed.
	KindRollout Kind = "rollout"
	// KindLocalStop means that one instance stopped sending requests to a version.
	KindLocalStop Kind = "local_stop"
	KindTLSReload Kind = "tls_files"
	// KindQuarantine means that the quarantine of a request began or ended.
	KindQuarantine Kind = "quarantine"
)

// Event is an event on one instance. Fields that do not apply are empty.
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
