package sheet

import (
	"cmp"
	"fmt"

	"heatherloom/internal/opconfig"
	"heatherloom/internal/operatorapi"
)

// RowState is the state of a row on its way from the sheet to the instances, in the
// operators' words (see the package comment). A row is accepted once the latest revision in
// the store has its content. An instance has applied it if it reports that revision or a
// later one; the row is then in force on that instance. A row is done once it is in force
// on all instances or, for a version, once an instance reports its rollout as complete.
type RowState string

// The states of a row.
const (
	// RowNotAccepted rows differ from the accepted configuration.
	RowNotAccepted RowState = "not accepted"
	// RowAccepted rows are accepted, but in force on none of the instances that responded.
	RowAccepted RowState = "accepted"
	// RowInForce rows are in force on some instances, or are rollouts in progress.
	RowInForce RowState = "in force"
	// RowDone rows are in force on all instances or, for a version, its rollout is
	// complete.
	RowDone RowState = "done"
	// RowRolledBack rows are versions that were rolled back.
	RowRolledBack RowState = "taken back"
)

// RowStatus is the state of one row.
type RowStatus struct {
	Row   Row
	State RowState
	// Applied is the number of instances that have applied the accepted revision, and so
	// have the row in force, out of Total.
	Applied, Total int
	// Detail is the difference of a row that is not accepted, the step of a rollout in
	// progress, or the reason for which one was rolled back.
	Detail string
}

// String formats the state on one line.
func (s RowStatus) String() string {
	text := string(s.State)
	if s.State != RowNotAccepted && s.State != RowRolledBack {
		if s.State == RowInForce {
			text += fmt.Sprintf(" on %d of %d instances", s.Applied, s.Total)
		} else if s.Total > 0 {
			text += fmt.Sprintf(", in force on %d of %d instances", s.Applied, s.Total)
		}
	}
	if s.Detail != "" {
		text += ": " + s.Detail
	}
	return fmt.Sprintf("row %d %s %s: %s", s.Row.Number, s.Row.Type, s.Row.Name, text)
}

// Status returns the state of each row. config is the accepted configuration,
// responses are those of the instances that responded, and total counts all instances.
// A row counts as in force on an instance that has config's revision or a later one.
func Status(config *opconfig.Config, s Sheet, responses []operatorapi.Status, total int) []RowStatus {
	pending := map[opconfig.Table]map[string]Change{}
	for _, change := range Diff(config, s) {
		if pending[change.ConfigChange.Table] == nil {
			pending[change.ConfigChange.Table] = map[string]Change{}
		}
		pending[change.ConfigChange.Table][change.ConfigChange.ID] = change
	}
	applied := 0
	for _, response := range responses {
		if response.ConfigRevision >= config.Revision {
			applied++
		}
	}
	rollouts := mergeRollouts(responses)
	var result []RowStatus
	for _, row := range s.Rows {
		status := RowStatus{Row: row, Applied: applied, Total: total}
		change, differs := pending[row.Table][row.ID]
		rollout, reported := rollouts[row.ID]
		switch {
		case row.Table == opconfig.TableRollouts && reported && isFinal(rollout.State):
			status.setRollout(rollout)
		case differs:
			status.State = RowNotAccepted
			status.Detail = cmp.Or(change.Detail, string(change.Action))
		case row.Table == opconfig.TableRollouts:
			status.setProgress()
			status.setRollout(rollout)
		default:
			status.setProgress()
		}
		result = append(result, status)
	}
	return result
}

// setProgress derives the state from the number of instances that applied the revision.
func (s *RowStatus) setProgress() {
	switch {
	case s.Applied == 0:
		s.State = RowAccepted
	case s.Applied < s.Total:
		s.State = RowInForce
	default:
		s.State = RowDone
	}
}

// setRollout replaces RowDone by the state of the rollout. If no instance reports the
// rollout, the row stays in force.
func (s *RowStatus) setRollout(r operatorapi.Rollout) {
	switch r.State {
	case operatorapi.RolloutRolledBack:
		s.State = RowRolledBack
		s.Detail = cmp.Or(r.Reason, "no reason given")
		return
	case operatorapi.RolloutDone:
		s.State = RowDone
		return
	case operatorapi.RolloutServing:
		s.Detail = fmt.Sprintf("the version has %d%% of the traffic", r.Step)
	case "":
	default:
		s.Detail = "the rollout is " + string(r.State)
	}
	if s.State == RowDone {
		s.State = RowInForce
	}
}

func isFinal(state operatorapi.RolloutState) bool {
	return state == operatorapi.RolloutDone || state == operatorapi.RolloutRolledBack
}

// stateOrder orders the states of a rollout. Instances learn of a state at different
// times, so the most advanced one is the newest.
var stateOrder = map[operatorapi.RolloutState]int{
	operatorapi.RolloutPlanned:    1,
	operatorapi.RolloutLoading:    2,
	operatorapi.RolloutServing:    3,
	operatorapi.RolloutFinishing:  4,
	operatorapi.RolloutDone:       5,
	operatorapi.RolloutRolledBack: 6,
}

// mergeRollouts returns the most advanced state of each rollout, keyed by rollout id.
func mergeRollouts(responses []operatorapi.Status) map[string]operatorapi.Rollout {
	merged := map[string]operatorapi.Rollout{}
	for _, response := range responses {
		for _, r := range response.Rollouts {
			id := opconfig.Rollout{Target: r.Target, Version: r.Version}.ID()
			known := merged[id]
			order := cmp.Or(cmp.Compare(stateOrder[r.State], stateOrder[known.State]), cmp.Compare(r.Step, known.Step))
			if order > 0 {
				merged[id] = r
			}
		}
	}
	return merged
}
