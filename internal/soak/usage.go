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

// checkUsages: a process does not hold much more at the end than at the beginning.
func (s *System) checkUsages(before, after map[Target]Usage) (violations []Violation) {
	for target, last := range after {
		first, known := before[target]
		if known && !last.within(maxUsage(first)) {
			violations = append(violations, Violation{
				Rule: ruleUsage, At: s.schedule.Time, Process: target,
				Text: fmt.Sprintf("%v held %+v at first, and %+v at the end", target, first, last),
			})
		}
	}
	return violations
}

// UsageTotal is what all processes of a role hold on average.
type UsageTotal struct {
	Role          Role  `json:"role"`
	Before, After Usage `json:"-"`
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
