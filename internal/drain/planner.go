package drain

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"tinpin/internal/rpc"
)

// Who began a retirement: the platform, which says that a backend leaves, or an
// operator.
const (
	ByPlatform = "platform"
	ByOperator = "operator"
)

// Phase is how far a retirement is. The texts are shown to operators.
type Phase string

// The phases, in their order. Waiting may come before Stopping.
const (
	Announced Phase = "announced"
	Waiting   Phase = "held"
	Stopping  Phase = "stopping"
	Complete  Phase = "together"
	// Removed is reported of a backend that is on the endpoint list no more.
	Removed Phase = "left"
	// Withdrawn is reported of a retirement that was accepted and taken back since.
	Withdrawn Phase = "taken back"
)

// Follower is one node as the leader knows it.
type Follower struct {
	ID rpc.NodeID
	// Revision is the last that the node has confirmed to follow.
	Revision uint64
	// Connected tells that its heartbeats come.
	Connected bool
}

// EndpointCounts is one service's backends as the leader sees them.
type EndpointCounts struct {
	// Listed counts them all, Usable those that are neither draining nor unhealthy
	// nor stopped.
	Listed, Usable int
}

// RetirementStatus is one retirement as operators see it; Missing names the nodes
// that have not confirmed.
type RetirementStatus struct {
	Backend   string   `json:"backend"`
	Service   string   `json:"service"`
	By        string   `json:"by"`
	Phase     Phase    `json:"phase"`
	Reason    string   `json:"why,omitempty"`
	Confirmed int      `json:"followers"`
	Nodes     int      `json:"of"`
	Missing   []string `json:"missing,omitempty"`
}

// Planner decides at the leader which retirements to stop next, by the agreed
// state, the nodes' confirmations, which their heartbeats bring, and the endpoint
// list. It holds nothing that a new leader would lack: notice is counted anew by
// each leader, which can only lengthen it.
type Planner struct {
	// firstSeen is when each retirement's notice began.
	firstSeen map[rpc.EndpointID]time.Duration
}

// NewPlanner makes a planner that has seen no retirement.
func NewPlanner() (planner *Planner) { return &Planner{firstSeen: map[rpc.EndpointID]time.Duration{}} }

// Plan looks at all retirements. It returns the backends whose stop is to be
// committed now, and the status of each retirement. It sorts retirements.
func (p *Planner) Plan(
	now time.Duration, policy *Policy, retirements []rpc.Retirement, followers []Follower, countsOf func(rpc.ServiceName) EndpointCounts,
) (stops []rpc.EndpointID, statuses []RetirementStatus) {
	slices.SortFunc(retirements, func(a, b rpc.Retirement) int { return cmp.Compare(a.Announced, b.Announced) })
	stopped := map[rpc.ServiceName]int{}
	current := map[rpc.EndpointID]bool{}
	for _, retirement := range retirements {
		if retirement.Gone {
			continue
		}
		current[retirement.Server] = true
		if _, known := p.firstSeen[retirement.Server]; !known {
			p.firstSeen[retirement.Server] = now
		}
		status := newStatus(retirement, followers)
		counts := countsOf(retirement.Service)
		counts.Usable -= stopped[retirement.Service]
		status.Phase, status.Reason = p.phase(now, policy, retirement, followers, counts)
		if status.Phase == Stopping && retirement.Stopped == 0 {
			stops = append(stops, retirement.Server)
			stopped[retirement.Service]++
		}
		statuses = append(statuses, status)
	}
	for id := range p.firstSeen {
		if !current[id] {
			delete(p.firstSeen, id)
		}
	}
	return stops, statuses
}

// newStatus counts who confirms a retirement as it stands.
func newStatus(retirement rpc.Retirement, followers []Follower) (status RetirementStatus) {
	status = RetirementStatus{
		Backend: string(retirement.Server), Service: string(retirement.Service), By: retirement.By, Nodes: len(followers),
	}
	revision := max(retirement.Announced, retirement.Stopped)
	for _, follower := range followers {
		if follower.Revision >= revision {
			status.Confirmed++
		} else {
			status.Missing = append(status.Missing, string(follower.ID))
		}
	}
	slices.Sort(status.Missing)
	return status
}

// phase is how far a retirement is and, unless it goes on, why. The counts leave
// out what is stopped in the same plan.
func (p *Planner) phase(
	now time.Duration, policy *Policy, retirement rpc.Retirement, followers []Follower, counts EndpointCounts,
) (phase Phase, reason string) {
	confirmed, behind := 0, 0
	revision := max(retirement.Announced, retirement.Stopped)
	for _, follower := range followers {
		switch {
		case follower.Revision >= revision:
			confirmed++
		case follower.Connected:
			behind++
		}
	}
	if retirement.Stopped > 0 {
		if behind > 0 {
			return Stopping, fmt.Sprintf("%d daemons in touch have not confirmed", behind)
		}
		return Complete, ""
	}
	if retirement.By == ByPlatform {
		// The platform ends the backend whatever is decided here.
		return Stopping, ""
	}
	rule := policy.RuleFor(retirement.Service)
	noticeLeft := time.Duration(rule.Notice) - (now - p.firstSeen[retirement.Server])
	switch {
	case behind > 0:
		return Announced, fmt.Sprintf("%d daemons in touch have not heard of it", behind)
	case noticeLeft > 0:
		return Announced, "notice is running"
	// Nodes that hear neither a leader nor more than half of the others stop by
	// themselves; so no more than half may be unconfirmed here.
	case policy != nil && policy.WhenIsolated == IsolatedStop && 2*confirmed <= len(followers):
		return Waiting, fmt.Sprintf("only %d of %d daemons confirm", confirmed, len(followers))
	}
	minUsable := max(1, int(math.Ceil(rule.MinShare*float64(counts.Listed))))
	if remaining := counts.Usable - 1; remaining < minUsable {
		return Waiting, fmt.Sprintf("%d of %d backends would be left, the least share is %d",
			max(0, remaining), counts.Listed, minUsable)
	}
	return Stopping, ""
}
