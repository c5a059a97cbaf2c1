package operatorapi

// StatusPath is the path of the operator listener at which GET returns a Status.
const StatusPath = "/v1/status"

// RolloutState is the state of a version rollout.
type RolloutState string

// The states of a rollout. RolloutDone and RolloutRolledBack are final.
const (
	RolloutPlanned    RolloutState = "planned"
	RolloutLoading    RolloutState = "loading"
	RolloutServing    RolloutState = "share"
	RolloutFinishing  RolloutState = "finishing"
	RolloutDone       RolloutState = "done"
	RolloutRolledBack RolloutState = "taken_back"
)
