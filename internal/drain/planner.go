// Desk is the leader's side of retiring: it looks at what is agreed, at the
// daemons' confirmations, which their beats bring, and at the list, and says
// which epoch to commit next, or why an order waits. It holds nothing that a
// new leader would lack: notice is counted anew by each leader, which can only
// lengthen it.
package drain

import (
	"fmt"
	"math"
	"sort"
	"time"

	"tinpin/internal/rpc"
)

// ByPlatform marks orders that follow the platform's word that a backend
// leaves; others are an operator's.
const (
	ByPlatform = "platform"
	ByOperator = "operator"
)

// Phase is how far an order is.
type Phase string

// The phases, in their order. Held may come before Stopping.
const (
	Announced Phase = "announced"
	Waiting   Phase = "held"
	Stopping  Phase = "stopping"
	Complete  Phase = "together"
	// Removed is told of a backend that is gone from the list.
	Removed Phase = "left"
	// Withdrawn is told of an order that was taken, and taken back since.
	Withdrawn Phase = "taken back"
)

// Follower is one daemon as the leader hears it.
type Follower struct {
	ID rpc.NodeID
	// Revision is how far it has confirmed to follow; Here that it is heard now.
	Revision  uint64
	Connected bool
}

// EndpointCounts is one service's backends as the leader sees them.
type EndpointCounts struct {
	// Listed counts them all, Useful those that are neither leaving nor down nor
	// already stopped.
	Listed, Usable int
}

// RetirementStatus is one order's standing, for operators.
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

// Planner counts notice.
type Planner struct {
	firstSeen map[rpc.EndpointID]time.Duration
}

// NewPlanner has seen no order.
func NewPlanner() (desk *Planner) { return &Planner{firstSeen: map[rpc.EndpointID]time.Duration{}} }

// Plan looks at all orders. It gives the backends whose stop is to be
// committed now, and the account of each order.
func (d *Planner) Plan(now time.Duration, policy *Policy, orders []rpc.Retirement, followers []Follower, stock func(rpc.ServiceName) EndpointCounts) (stops []rpc.EndpointID, accounts []RetirementStatus) {
	sort.Slice(orders, func(i, k int) bool { return orders[i].Announced < orders[k].Announced })
	stopped := map[rpc.ServiceName]int{}
	standing := map[rpc.EndpointID]bool{}
	for _, retired := range orders {
		if retired.Gone {
			continue
		}
		standing[retired.Server] = true
		account := RetirementStatus{Backend: string(retired.Server), Service: string(retired.Service), By: retired.By, Nodes: len(followers)}
		rule := policy.RuleFor(retired.Service)
		if _, known := d.firstSeen[retired.Server]; !known {
			d.firstSeen[retired.Server] = now
		}
		account.Phase, account.Reason = d.phase(now, policy, rule, retired, followers, stock(retired.Service), stopped[retired.Service])
		if account.Phase == Stopping && retired.Stopped == 0 {
			stops = append(stops, retired.Server)
			stopped[retired.Service]++
		}
		upto := max(retired.Announced, retired.Stopped)
		for _, follower := range followers {
			if follower.Revision >= upto {
				account.Confirmed++
			} else {
				account.Missing = append(account.Missing, string(follower.ID))
			}
		}
		sort.Strings(account.Missing)
		accounts = append(accounts, account)
	}
	for id := range d.firstSeen {
		if !standing[id] {
			delete(d.firstSeen, id)
		}
	}
	return stops, accounts
}

func (d *Planner) phase(now time.Duration, policy *Policy, rule Rule, retired rpc.Retirement, followers []Follower, stock EndpointCounts, stoppedNow int) (phase Phase, why string) {
	confirmed, here, behind := 0, 0, 0
	upto := max(retired.Announced, retired.Stopped)
	for _, follower := range followers {
		if follower.Connected {
			here++
		}
		switch {
		case follower.Revision >= upto:
			confirmed++
		case follower.Connected:
			behind++
		}
	}
	if retired.Stopped > 0 {
		if behind > 0 {
			return Stopping, fmt.Sprintf("%d daemons in touch have not confirmed", behind)
		}
		return Complete, ""
	}
	if retired.By == ByPlatform {
		// It ends whatever is said here.
		return Stopping, ""
	}
	left := time.Duration(rule.Notice) - (now - d.firstSeen[retired.Server])
	switch {
	case behind > 0:
		return Announced, fmt.Sprintf("%d daemons in touch have not heard of it", behind)
	case left > 0:
		return Announced, "notice is running"
	// Daemons that hear neither a leader nor more than half of the others stop
	// by themselves; so no more than half may be out of touch here.
	case policy != nil && policy.WhenIsolated == IsolatedStop && 2*confirmed <= len(followers):
		return Waiting, fmt.Sprintf("only %d of %d daemons confirm", confirmed, len(followers))
	}
	least := max(1, int(math.Ceil(rule.LeastShare*float64(stock.Listed))))
	if remain := stock.Usable - stoppedNow - 1; remain < least {
		return Waiting, fmt.Sprintf("%d of %d backends would be left, the least share is %d", max(0, remain), stock.Listed, least)
	}
	return Stopping, ""
}
