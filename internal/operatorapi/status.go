// Package operatorapi holds the JSON types of the operator listener, shared by the
// listener and the commands that read it.
package operatorapi

// StatusPath is the path of GET on the operator listener that answers a Status.
const StatusPath = "/v1/status"

// Status is what one entry instance reports about itself.
type Status struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	// ConfigRevision is the configuration in force; 0 if there is none.
	ConfigRevision int64     `json:"config_revision"`
	Rollouts       []Rollout `json:"rollouts"`
	// Peers are the other entry instances that this one knows.
	Peers []Peer `json:"peers"`
}

// Peer is an entry instance that another one knows.
type Peer struct {
	ID string `json:"id"`
	// OperatorURL is the base URL of its operator listener.
	OperatorURL string `json:"operator_url"`
}

// RolloutState is the state of a version rollout.
type RolloutState string

// The states of a rollout. Done and TakenBack are final.
const (
	RolloutPlanned   RolloutState = "planned"
	RolloutLoading   RolloutState = "loading"
	RolloutShare     RolloutState = "share"
	RolloutFinishing RolloutState = "finishing"
	RolloutDone      RolloutState = "done"
	RolloutTakenBack RolloutState = "taken_back"
)

// Rollout is the state of one version rollout as an instance knows it.
type Rollout struct {
	// Target is the name of a model or service.
	Target  string       `json:"target"`
	Version string       `json:"version"`
	State   RolloutState `json:"state"`
	// Step is the fleet share of the version in percent.
	Step int `json:"step"`
	// Reason says why the version was taken back; empty in other states.
	Reason string `json:"reason"`
}
