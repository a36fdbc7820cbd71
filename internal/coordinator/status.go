// Account is what the leader tells operators: the fellows, the shard map with
// the owner of each service, and what is lent of each bound.
package coordinator

import (
	"fmt"
	"sort"

	"tinpin/internal/history"
	"tinpin/internal/quota"
	"tinpin/internal/rpc"
)

// NodeStatus is one fellow.
type NodeStatus struct {
	Name            string `json:"name"`
	Zone            string `json:"site"`
	InternalAddress string `json:"inner"`
	Ready           bool   `json:"ready"`
	Connected       bool   `json:"here"`
}

// GrantStatus is what is lent of one bound.
type GrantStatus struct {
	Limit   string  `json:"bound"`
	Granted float64 `json:"lent"`
}

// Status is the leader's.
type Status struct {
	Nodes           []NodeStatus      `json:"fellows"`
	ShardMapVersion uint64            `json:"map_count"`
	ShardMapMembers []string          `json:"map_members"`
	Owners          map[string]string `json:"owners"`
	Backends        int               `json:"backends"`
	Down            int               `json:"backends_down"`
	Granted         []GrantStatus     `json:"lent"`
}

// Status gives it.
func (c *Coordinator) Status() (status *Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	status = &Status{ShardMapVersion: uint64(c.shardMap.Count), Owners: map[string]string{}}
	c.nodes.Fellows.Each(func(id rpc.FellowID, node rpc.Fellow) {
		status.Nodes = append(status.Nodes, NodeStatus{string(id), string(node.Site), node.Inner, node.Ready && !node.Stopping, c.nodes.Here(id)})
	})
	sort.Slice(status.Nodes, func(i, j int) bool { return status.Nodes[i].Name < status.Nodes[j].Name })
	for _, member := range c.shardMap.Members {
		status.ShardMapMembers = append(status.ShardMapMembers, string(member))
	}
	for name := range c.view.Services {
		status.Owners[name] = string(c.health.Owner(rpc.ServiceName(name), c.absent))
	}
	c.endpoints.Servers.Each(func(rpc.ServerID, rpc.Server) { status.Backends++ })
	c.health.States.Each(func(_ rpc.ServerID, state rpc.State) {
		if state.Health == rpc.Down {
			status.Down++
		}
	})
	now := c.now()
	status.Granted = append(status.Granted, GrantStatus{"retry slack", c.leases.Lent(now, quota.Key{Kind: rpc.RetrySlack})})
	for name := range c.view.Services {
		if rule, written := c.policies.retryLimit.For(rpc.ServiceName(name)); written {
			status.Granted = append(status.Granted, GrantStatus{"retries of " + name + fmt.Sprintf(" (ratio %g, least %g/s)", rule.Ratio, rule.LeastPerSecond), c.retryQuota.Lent(now, name)})
		}
	}
	for _, tenant := range c.view.Tenants() {
		status.Granted = append(status.Granted, GrantStatus{"tenant " + tenant.Name, c.tenantQuota.Lent(now, tenant.Name)})
	}
	sort.Slice(status.Granted, func(i, j int) bool { return status.Granted[i].Limit < status.Granted[j].Limit })
	return status
}

// CurrentStamp tells how a backend or its health stands at the leader.
func (c *Coordinator) CurrentStamp(kind string, id rpc.ServerID) (stamp string, has bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kind == history.Backend {
		server, known := c.endpoints.Servers.Get(id)
		return server.Stamp(), known
	}
	state, known := c.health.States.Get(id)
	return c.health.Remaining(c.now(), state).Stamp(), known
}
