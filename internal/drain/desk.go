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
	Held      Phase = "held"
	Stopping  Phase = "stopping"
	Together  Phase = "together"
	// Left is told of a backend that is gone from the list.
	Left Phase = "left"
	// TakenBack is told of an order that was taken, and taken back since.
	TakenBack Phase = "taken back"
)

// Follower is one daemon as the leader hears it.
type Follower struct {
	ID rpc.NodeID
	// Rev is how far it has confirmed to follow; Here that it is heard now.
	Rev  uint64
	Here bool
}

// Stock is one service's backends as the leader sees them.
type Stock struct {
	// Listed counts them all, Useful those that are neither leaving nor down nor
	// already stopped.
	Listed, Useful int
}

// Account is one order's standing, for operators.
type Account struct {
	Server  string   `json:"backend"`
	Service string   `json:"service"`
	By      string   `json:"by"`
	Phase   Phase    `json:"phase"`
	Why     string   `json:"why,omitempty"`
	Follow  int      `json:"followers"`
	Of      int      `json:"of"`
	Missing []string `json:"missing,omitempty"`
}

// Desk counts notice.
type Desk struct {
	seen map[rpc.EndpointID]time.Duration
}

// NewDesk has seen no order.
func NewDesk() (desk *Desk) { return &Desk{seen: map[rpc.EndpointID]time.Duration{}} }

// Step looks at all orders. It gives the backends whose stop is to be
// committed now, and the account of each order.
func (d *Desk) Step(now time.Duration, policy *Policy, orders []rpc.Retirement, followers []Follower, stock func(rpc.ServiceName) Stock) (stops []rpc.EndpointID, accounts []Account) {
	sort.Slice(orders, func(i, k int) bool { return orders[i].Announced < orders[k].Announced })
	stopped := map[rpc.ServiceName]int{}
	standing := map[rpc.EndpointID]bool{}
	for _, retired := range orders {
		if retired.Gone {
			continue
		}
		standing[retired.Server] = true
		account := Account{Server: string(retired.Server), Service: string(retired.Service), By: retired.By, Of: len(followers)}
		rule := policy.For(retired.Service)
		if _, known := d.seen[retired.Server]; !known {
			d.seen[retired.Server] = now
		}
		account.Phase, account.Why = d.phase(now, policy, rule, retired, followers, stock(retired.Service), stopped[retired.Service])
		if account.Phase == Stopping && retired.Stopped == 0 {
			stops = append(stops, retired.Server)
			stopped[retired.Service]++
		}
		upto := max(retired.Announced, retired.Stopped)
		for _, follower := range followers {
			if follower.Rev >= upto {
				account.Follow++
			} else {
				account.Missing = append(account.Missing, string(follower.ID))
			}
		}
		sort.Strings(account.Missing)
		accounts = append(accounts, account)
	}
	for id := range d.seen {
		if !standing[id] {
			delete(d.seen, id)
		}
	}
	return stops, accounts
}

func (d *Desk) phase(now time.Duration, policy *Policy, rule Rule, retired rpc.Retirement, followers []Follower, stock Stock, stoppedNow int) (phase Phase, why string) {
	confirmed, here, behind := 0, 0, 0
	upto := max(retired.Announced, retired.Stopped)
	for _, follower := range followers {
		if follower.Here {
			here++
		}
		switch {
		case follower.Rev >= upto:
			confirmed++
		case follower.Here:
			behind++
		}
	}
	if retired.Stopped > 0 {
		if behind > 0 {
			return Stopping, fmt.Sprintf("%d daemons in touch have not confirmed", behind)
		}
		return Together, ""
	}
	if retired.By == ByPlatform {
		// It ends whatever is said here.
		return Stopping, ""
	}
	left := time.Duration(rule.Notice) - (now - d.seen[retired.Server])
	switch {
	case behind > 0:
		return Announced, fmt.Sprintf("%d daemons in touch have not heard of it", behind)
	case left > 0:
		return Announced, "notice is running"
	// Daemons that hear neither a leader nor more than half of the others stop
	// by themselves; so no more than half may be out of touch here.
	case policy != nil && policy.CutOff == CutOffStop && 2*confirmed <= len(followers):
		return Held, fmt.Sprintf("only %d of %d daemons confirm", confirmed, len(followers))
	}
	least := max(1, int(math.Ceil(rule.LeastShare*float64(stock.Listed))))
	if remain := stock.Useful - stoppedNow - 1; remain < least {
		return Held, fmt.Sprintf("%d of %d backends would be left, the least share is %d", max(0, remain), stock.Listed, least)
	}
	return Stopping, ""
}
