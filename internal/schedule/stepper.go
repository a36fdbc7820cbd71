package schedule

import (
	"fmt"
	"sort"
	"time"

	"tinpin/internal/rpc"
)

// Stepper is the leader's side of the plan. Only it reads the time of day, and
// only to say what the plan wants now; what is done is agreed, in steps whose
// count and whose own time never go back. A clock that was set back, or a new
// leader whose clock is behind, therefore commits nothing until it has caught
// up; one that missed steps goes from what is agreed toward the present, by
// the plan's pace. A step that would send more to a region waits while that
// region lacks room or is being emptied, and says so.

// RegionCapacity is what a region has of a target's backends.
type RegionCapacity struct {
	// Slots are those of backends that may be sent new callers; Useful counts
	// these backends and Listed all of the region.
	Slots, Usable, Listed int
	// Evacuated tells that sites of the region are being emptied.
	Evacuated bool
}

// TargetState is a region as the leader sees it for one target.
type TargetState struct {
	Stock map[rpc.RegionName]RegionCapacity
	// InFlight is how many requests of the target are at work in all.
	InFlight int
}

// TargetStatus is one target's standing, for operators.
type TargetStatus struct {
	Target  string         `json:"target"`
	Now     map[string]int `json:"now"`
	Wanted  map[string]int `json:"wanted"`
	Waiting string         `json:"waiting,omitempty"`
}

// Stepper paces the steps of one leadership.
type Stepper struct {
	stepped time.Duration
	any     bool
}

// Step says which move to commit next, nil for none, and how each target
// stands. now is the steady clock, wall the time of day.
func (s *Stepper) Step(now time.Duration, wall time.Time, plan *Plan, agreed rpc.ScheduleStep, state func(Target) TargetState) (next *rpc.ScheduleStep, accounts []TargetStatus) {
	mine := agreed.Version == uint64(plan.Version)
	behind := agreed.Instant > wall.Unix()
	paced := s.any && now-s.stepped < time.Duration(plan.StepInterval)
	move := rpc.ScheduleStep{Version: uint64(plan.Version), Count: agreed.Count + 1, Instant: max(wall.Unix(), agreed.Instant)}
	changed := !mine
	for i := range plan.Targets {
		target := plan.Targets[i]
		held := current(agreed, target)
		wanted := plan.Targets[i].Weights(wall)
		if behind {
			wanted = held
		}
		account := TargetStatus{Target: target.Name(), Now: plain(held), Wanted: plain(wanted)}
		weights, _ := StepToward(held, wanted, int(plan.MaxStep*WeightSum))
		if !weights.equal(held) {
			if account.Waiting = s.waits(plan, held, weights, state(target)); account.Waiting != "" {
				weights = held
			} else if paced {
				account.Waiting = "paced"
				weights = held
			} else {
				changed = true
			}
		} else if behind {
			account.Waiting = "this leader's clock is behind the last step"
		}
		accounts = append(accounts, account)
		if weights != nil {
			move.Targets = append(move.Targets, rpc.ScheduleTarget{Host: target.Host, Service: target.Service, Weights: listed(weights)})
		}
	}
	if !changed || paced && mine {
		return nil, accounts
	}
	return &move, accounts
}

// Committed notes that a step was agreed.
func (s *Stepper) Committed(now time.Duration) { s.stepped, s.any = now, true }

// waits tells why a step has to wait, empty where it need not.
func (s *Stepper) waits(plan *Plan, held, weights Weights, state TargetState) (why string) {
	regions := make([]string, 0, len(weights))
	for region := range weights {
		regions = append(regions, string(region))
	}
	sort.Strings(regions)
	for _, name := range regions {
		region := rpc.RegionName(name)
		if weights[region] <= held[region] {
			continue
		}
		stock := state.Stock[region]
		switch {
		case stock.Evacuated:
			return fmt.Sprintf("%s is being evacuated", region)
		case stock.Listed == 0:
			return fmt.Sprintf("%s has no backends", region)
		case 2*stock.Usable < stock.Listed:
			return fmt.Sprintf("%s is being drained or is down: %d of %d backends are of use", region, stock.Usable, stock.Listed)
		}
		need := float64(state.InFlight) * float64(weights[region]) / WeightSum
		if room := plan.MaxUtilization * float64(stock.Slots); need > room {
			return fmt.Sprintf("%s lacks room: %.0f at work would meet %.0f slots", region, need, room)
		}
	}
	return ""
}

func current(agreed rpc.ScheduleStep, target Target) (weights Weights) {
	for _, held := range agreed.Targets {
		if held.Host == target.Host && held.Service == target.Service {
			weights = Weights{}
			for _, part := range held.Weights {
				weights[part.Region] = part.Weight
			}
			return weights
		}
	}
	return nil
}

func listed(weights Weights) (list []rpc.RegionWeight) {
	for region, weight := range weights {
		list = append(list, rpc.RegionWeight{Region: region, Weight: weight})
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Region < list[k].Region })
	return list
}

func plain(weights Weights) (parts map[string]int) {
	parts = map[string]int{}
	for region, weight := range weights {
		parts[string(region)] = weight
	}
	return parts
}

// Follows tells whether a step may follow what is agreed: of the plan that is
// in force, with the next count, and not before the last one's own time.
func Follows(agreed, next rpc.ScheduleStep, inForce uint64) bool {
	return next.Version == inForce && next.Count == agreed.Count+1 && next.Instant >= agreed.Instant
}
