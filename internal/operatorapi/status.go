package operatorapi

// StatusPath is the path of GET on the operator listener that answers a Status.
const StatusPath = "/v1/status"

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
