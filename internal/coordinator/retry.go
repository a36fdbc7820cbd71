package coordinator

import (
	"slices"
	"strings"
	"time"

	"tinpin/internal/quota"
	"tinpin/internal/rpc"
)

// RetryStatus is how the limit on retries to one service stands.
type RetryStatus struct {
	Service      string  `json:"service"`
	Ratio        float64 `json:"ratio"`
	MinPerSecond float64 `json:"least_per_s"`
	Window       string  `json:"window"`
	// Granted is the part of the least rate that nodes hold now.
	Granted float64 `json:"lent"`
	// Followers of Nodes keep the limit; InForceEverywhere tells that no node can
	// be left that keeps to an older one.
	Followers         int      `json:"followers"`
	Nodes             int      `json:"of"`
	Missing           []string `json:"missing,omitempty"`
	InForceEverywhere bool     `json:"holds"`
}

// retryLimitMemory is how long a node that is not heard may keep to an older
// limit: when its guaranteed minimum has run out, it makes no retries at all.
const retryLimitMemory = quota.RetryMinimumDuration + time.Second

// RetryStatus gives how the limit on retries to each service stands.
func (c *Coordinator) RetryStatus() (statuses []RetryStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	followers, missing, everywhere := 0, []string{}, true
	nodes := c.listFollowers(now)
	for _, node := range nodes {
		if node.Revision >= c.policies.retry.logIndex {
			followers++
			continue
		}
		missing = append(missing, string(node.ID))
		// One that only older leaders heard counts from the start of this term.
		if now-c.followers.byNode[node.ID].lastHeartbeat <= retryLimitMemory {
			everywhere = false
		}
	}
	slices.Sort(missing)
	for name := range c.routingTable.Services {
		rule, limited := c.policies.retry.limit.RuleFor(rpc.ServiceName(name))
		if !limited {
			continue
		}
		statuses = append(statuses, RetryStatus{
			Service: name, Ratio: rule.Ratio, MinPerSecond: rule.MinPerSecond,
			Window:    time.Duration(rule.Window).String(),
			Granted:   c.leases.retries.Granted(now, name),
			Followers: followers, Nodes: len(nodes), Missing: missing, InForceEverywhere: everywhere,
		})
	}
	slices.SortFunc(statuses, func(a, b RetryStatus) int { return strings.Compare(a.Service, b.Service) })
	return statuses
}
