// Retries is what the leader tells operators of the written limit on retries:
// the rule of each service, what is lent of its least rate, and whether every
// node keeps it yet.
package coordinator

import (
	"sort"
	"time"

	"tinpin/internal/quota"
	"tinpin/internal/rpc"
)

// RetryStatus is how the limit of one service stands.
type RetryStatus struct {
	Service        string  `json:"service"`
	Ratio          float64 `json:"ratio"`
	LeastPerSecond float64 `json:"least_per_s"`
	Window         string  `json:"window"`
	// Granted is the part of the least rate that nodes hold now.
	Granted float64 `json:"lent"`
	// Followers of Of nodes keep the limit; Holds tells that no node can be left
	// that keeps to an older one.
	Followers         int      `json:"followers"`
	Nodes             int      `json:"of"`
	Missing           []string `json:"missing,omitempty"`
	InForceEverywhere bool     `json:"holds"`
}

// RetryStatus gives the standing of each service under the limit.
func (f *Coordinator) RetryStatus() (accounts []RetryStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	follow, missing, holds := 0, []string{}, true
	followers := f.followers(now)
	for _, follower := range followers {
		if follower.Rev >= f.orders.retryRev {
			follow++
			continue
		}
		missing = append(missing, string(follower.ID))
		// A node that has not been heard for longer than floors last makes no
		// retries at all; until then it may keep to what it knew. One that only
		// older leaders heard counts from when this one began.
		if now-f.orders.follows[follower.ID].heard <= quota.RetryFloorSpan+time.Second {
			holds = false
		}
	}
	sort.Strings(missing)
	for name := range f.view.Services {
		rule, written := f.orders.retries.For(rpc.ServiceName(name))
		if !written {
			continue
		}
		accounts = append(accounts, RetryStatus{
			Service: name, Ratio: rule.Ratio, LeastPerSecond: rule.LeastPerSecond, Window: time.Duration(rule.Window).String(),
			Granted: f.retries.Lent(now, name), Followers: follow, Nodes: len(followers), Missing: missing, InForceEverywhere: holds,
		})
	}
	sort.Slice(accounts, func(i, j int) bool { return accounts[i].Service < accounts[j].Service })
	return accounts
}
