package schedule

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"tinpin/internal/rpc"
)

// RegionCapacity is the capacity that a region has for a target.
type RegionCapacity struct {
	// Slots are those of backends that may get new clients; Usable counts these
	// backends and Listed all of the region.
	Slots, Usable, Listed int
	// Evacuated tells that zones of the region are being evacuated.
	Evacuated bool
}

// TargetState is the load and capacity of one target as the leader knows them.
type TargetState struct {
	Capacity map[rpc.RegionName]RegionCapacity
	// InFlight counts the requests of the target in all regions.
	InFlight int
}

// TargetStatus is the state of one target for operators: its weights in force and
// those that the plan wants now, and why the next step waits, if it does.
type TargetStatus struct {
	Target  string         `json:"target"`
	Now     map[string]int `json:"now"`
	Wanted  map[string]int `json:"wanted"`
	Waiting string         `json:"waiting,omitempty"`
}

// Stepper is the leader's side of the plan, for one term. It alone reads the time of
// day, and only to compute the weights that the plan wants now. What is done is agreed
// in steps whose count and time never go back. A leader whose clock is behind the last
// step, because it was set back or was never right, therefore proposes nothing until
// it has caught up. After missed steps it goes from the agreed weights toward the wanted
// ones at the rate of the plan. A step that would send more to a region waits while
// that region lacks capacity or is being evacuated.
type Stepper struct {
	// committedAt is when the last step of this term was committed, on the steady
	// clock; committed tells that there was one.
	committedAt time.Duration
	committed   bool
}

// Step gives the step to propose next, nil for none, and the status of each target.
// now is the steady clock, wall the time of day.
func (s *Stepper) Step(
	now time.Duration, wall time.Time, plan *Plan, agreed rpc.ScheduleStep, state func(Target) TargetState,
) (next *rpc.ScheduleStep, statuses []TargetStatus) {
	samePlan := agreed.Version == uint64(plan.Version)
	behind := agreed.Instant > wall.Unix()
	paced := s.committed && now-s.committedAt < time.Duration(plan.StepInterval)
	next = &rpc.ScheduleStep{
		Version: uint64(plan.Version),
		Count:   agreed.Count + 1,
		Instant: max(wall.Unix(), agreed.Instant),
	}
	changed := !samePlan
	for i := range plan.Targets {
		target := plan.Targets[i]
		inForce := agreedWeights(agreed, target)
		wanted := plan.Targets[i].Weights(wall)
		if behind {
			wanted = inForce
		}
		status := TargetStatus{Target: target.Name(), Now: byName(inForce), Wanted: byName(wanted)}
		weights, _ := StepToward(inForce, wanted, int(plan.MaxStep*WeightSum))
		if !weights.equal(inForce) {
			status.Waiting = waitReason(plan, inForce, weights, state(target))
			if status.Waiting == "" && paced {
				status.Waiting = "paced"
			}
			if status.Waiting == "" {
				changed = true
			} else {
				weights = inForce
			}
		} else if behind {
			status.Waiting = "this leader's clock is behind the last step"
		}
		statuses = append(statuses, status)
		if weights != nil {
			next.Targets = append(next.Targets, rpc.ScheduleTarget{
				Host: target.Host, Service: target.Service, Weights: sortedWeights(weights),
			})
		}
	}
	if !changed || paced && samePlan {
		return nil, statuses
	}
	return next, statuses
}

// Committed notes that a step was committed.
func (s *Stepper) Committed(now time.Duration) { s.committedAt, s.committed = now, true }

// waitReason tells operators why a step has to wait, empty where it need not.
func waitReason(plan *Plan, inForce, weights Weights, state TargetState) (why string) {
	for _, region := range slices.Sorted(maps.Keys(weights)) {
		if weights[region] <= inForce[region] {
			continue
		}
		capacity := state.Capacity[region]
		switch {
		case capacity.Evacuated:
			return fmt.Sprintf("%s is being evacuated", region)
		case capacity.Listed == 0:
			return fmt.Sprintf("%s has no backends", region)
		case 2*capacity.Usable < capacity.Listed:
			return fmt.Sprintf("%s is being drained or is down: %d of %d backends are of use",
				region, capacity.Usable, capacity.Listed)
		}
		needed := float64(state.InFlight) * float64(weights[region]) / WeightSum
		if available := plan.MaxUtilization * float64(capacity.Slots); needed > available {
			return fmt.Sprintf("%s lacks room: %.0f at work would meet %.0f slots", region, needed, available)
		}
	}
	return ""
}

// agreedWeights gives the weights of a target in an agreed step, nil for none.
func agreedWeights(agreed rpc.ScheduleStep, target Target) (weights Weights) {
	for _, candidate := range agreed.Targets {
		if candidate.Host == target.Host && candidate.Service == target.Service {
			weights = Weights{}
			for _, part := range candidate.Weights {
				weights[part.Region] = part.Weight
			}
			return weights
		}
	}
	return nil
}

// sortedWeights lists weights by region.
func sortedWeights(weights Weights) (list []rpc.RegionWeight) {
	for region, weight := range weights {
		list = append(list, rpc.RegionWeight{Region: region, Weight: weight})
	}
	slices.SortFunc(list, func(a, b rpc.RegionWeight) int { return cmp.Compare(a.Region, b.Region) })
	return list
}

// byName gives weights as the status has them.
func byName(weights Weights) (named map[string]int) {
	named = map[string]int{}
	for region, weight := range weights {
		named[string(region)] = weight
	}
	return named
}

// Follows tells whether a step may follow the agreed one: it is of the plan in force,
// has the next count, and its time is not before that of the agreed step.
func Follows(agreed, next rpc.ScheduleStep, planVersion uint64) bool {
	return next.Version == planVersion && next.Count == agreed.Count+1 && next.Instant >= agreed.Instant
}
