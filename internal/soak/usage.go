package soak

import (
	"context"
	"fmt"
	"time"
)

// undisturbedTime is how long a process must have been left alone before its usage counts.
const undisturbedTime = 1500 * time.Millisecond

// usages are what the processes hold that have been left alone for a moment.
func (s *System) usages(ctx context.Context) (usages map[Target]Usage) {
	usages = map[Target]Usage{}
	for _, process := range s.processes() {
		now := s.log.Now()
		process.mu.Lock()
		undisturbed := !process.disturbedWithin(now-undisturbedTime, now)
		process.mu.Unlock()
		if usage, known := usageOf(ctx, process); known && undisturbed {
			usages[process.Target] = usage
		}
	}
	return usages
}

// maxUsage is what a process may hold at the end that held something at the beginning.
func maxUsage(first Usage) Usage {
	return Usage{
		Descriptors: 3*first.Descriptors + 60, MemoryMB: 2*first.MemoryMB + 64, Goroutines: 3*first.Goroutines + 100,
	}
}

// within tells that nothing is above a limit.
func (u Usage) within(limit Usage) bool {
	return u.Descriptors <= limit.Descriptors && u.MemoryMB <= limit.MemoryMB && u.Goroutines <= limit.Goroutines
}

// largest is the most that any process of a role holds, of each thing. A process may take another's part:
// the controller that leads has a connection to every proxy.
func largest(role Role, usages map[Target]Usage) (sum Usage) {
	for target, usage := range usages {
		if target.Role == role {
			sum.Descriptors = max(sum.Descriptors, usage.Descriptors)
			sum.MemoryMB = max(sum.MemoryMB, usage.MemoryMB)
			sum.Goroutines = max(sum.Goroutines, usage.Goroutines)
		}
	}
	return sum
}

// checkUsages: a process does not hold much more at the end than any of its role did at the beginning.
func (s *System) checkUsages(before, after map[Target]Usage) (violations []Violation) {
	for target, last := range after {
		first := largest(target.Role, before)
		if first != (Usage{}) && !last.within(maxUsage(first)) {
			violations = append(violations, Violation{
				Rule: ruleUsage, At: s.schedule.Time, Process: target,
				Text: fmt.Sprintf("%v holds %+v at the end, its role %+v at most at first", target, last, first),
			})
		}
	}
	return violations
}

// UsageTotal is what all processes of a role hold on average.
type UsageTotal struct {
	Role   Role  `json:"role"`
	Before Usage `json:"before"`
	After  Usage `json:"after"`
}

// compareUsages are the means by role.
func compareUsages(before, after map[Target]Usage) (totals []UsageTotal) {
	for _, role := range []Role{ControllerRole, ProxyRole} {
		totals = append(totals, UsageTotal{Role: role, Before: meanUsage(role, before), After: meanUsage(role, after)})
	}
	return totals
}

func meanUsage(role Role, usages map[Target]Usage) (mean Usage) {
	count := 0
	for target, usage := range usages {
		if target.Role == role {
			count++
			mean.Descriptors += usage.Descriptors
			mean.MemoryMB += usage.MemoryMB
			mean.Goroutines += usage.Goroutines
		}
	}
	if count > 0 {
		mean = Usage{mean.Descriptors / count, mean.MemoryMB / count, mean.Goroutines / count}
	}
	return mean
}
