package statemachine

import (
	"encoding/json"

	"tinpin/internal/policy"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
)

// applyScheduleStep applies a step of the plan in force that follows the last one.
func (s *State) applyScheduleStep(index uint64, command Command) (result Result) {
	var next rpc.ScheduleStep
	plan := s.Documents[policy.DayPlan]
	if json.Unmarshal(command.Body, &next) != nil || !plan.Active() ||
		!schedule.Follows(s.ScheduleStep, next, uint64(plan.Version)) {
		return rejected(ErrStepOutOfOrder)
	}
	next.Rev = index
	s.ScheduleStep, s.Revision = next, index
	return granted()
}
