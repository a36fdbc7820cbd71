package coordinator

import (
	"fmt"
	"slices"
	"strings"

	"tinpin/internal/history"
	"tinpin/internal/quota"
	"tinpin/internal/rpc"
	"tinpin/internal/statusjson"
)

// NodeStatus is how one node stands. Ready tells that it takes requests, Connected
// that its heartbeats come.
type NodeStatus struct {
	Name            string `json:"name"`
	Zone            string `json:"zone"`
	InternalAddress string `json:"internal_address"`
	Ready           bool   `json:"ready"`
	Connected       bool   `json:"connected"`
}

// GrantStatus is what nodes hold of one fleet-wide limit.
type GrantStatus struct {
	Limit   string  `json:"limit"`
	Granted float64 `json:"granted"`
}

// Status is what the leader tells operators: the nodes, the shard map with the
// owner of each service, and what is granted of each limit.
type Status struct {
	Nodes           []NodeStatus      `json:"nodes"`
	ShardMapVersion uint64            `json:"shard_map_version"`
	ShardMapMembers []string          `json:"shard_map_members"`
	Owners          map[string]string `json:"owners"`
	Backends        int               `json:"backends"`
	Down            int               `json:"backends_down"`
	Granted         []GrantStatus     `json:"granted"`
}

// The fields' names of the release before, by the type that has them.
var (
	earlierNodeNames   = map[string]string{"site": "zone", "inner": "internal_address", "here": "connected"}
	earlierGrantNames  = map[string]string{"bound": "limit", "lent": "granted"}
	earlierStatusNames = map[string]string{
		"fellows": "nodes", "map_count": "shard_map_version", "map_members": "shard_map_members", "lent": "granted",
	}
)

// UnmarshalJSON reads the status of this release and of the one before.
func (n *NodeStatus) UnmarshalJSON(text []byte) (err error) {
	type fields NodeStatus
	return statusjson.Decode(text, earlierNodeNames, (*fields)(n))
}

// UnmarshalJSON reads the status of this release and of the one before.
func (g *GrantStatus) UnmarshalJSON(text []byte) (err error) {
	type fields GrantStatus
	return statusjson.Decode(text, earlierGrantNames, (*fields)(g))
}

// UnmarshalJSON reads the status of this release and of the one before.
func (s *Status) UnmarshalJSON(text []byte) (err error) {
	type fields Status
	return statusjson.Decode(text, earlierStatusNames, (*fields)(s))
}

// Status gives how the leader sees the fleet.
func (c *Coordinator) Status() (status *Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	status = &Status{
		Nodes: c.nodes.status(), ShardMapVersion: uint64(c.nodes.shardMap.Revision),
		Owners: map[string]string{}, Granted: c.grantStatus(),
	}
	for _, member := range c.nodes.shardMap.Members {
		status.ShardMapMembers = append(status.ShardMapMembers, string(member))
	}
	for name := range c.routingTable.Services {
		status.Owners[name] = string(c.health.Owner(rpc.ServiceName(name), c.nodes.absent))
	}
	c.endpoints.Endpoints.Each(func(rpc.EndpointID, rpc.Endpoint) { status.Backends++ })
	c.health.States.Each(func(_ rpc.EndpointID, state rpc.EndpointState) {
		if state.Health == rpc.Unhealthy {
			status.Down++
		}
	})
	return status
}

// status lists the nodes by name.
func (t *nodeTable) status() (nodes []NodeStatus) {
	t.registry.Nodes.Each(func(id rpc.NodeID, node rpc.Node) {
		nodes = append(nodes, NodeStatus{
			Name: string(id), Zone: string(node.Zone), InternalAddress: node.InternalAddress,
			Ready: node.Ready && !node.Stopping, Connected: t.registry.Present(id),
		})
	})
	slices.SortFunc(nodes, func(a, b NodeStatus) int { return strings.Compare(a.Name, b.Name) })
	return nodes
}

// grantStatus lists what is granted of each limit; the caller holds mu.
func (c *Coordinator) grantStatus() (grants []GrantStatus) {
	now := c.now()
	add := func(limit string, granted float64) {
		grants = append(grants, GrantStatus{Limit: limit, Granted: granted})
	}
	add("retry slack", c.leases.rates.Granted(now, quota.Key{Kind: rpc.RetrySlack}))
	for name := range c.routingTable.Services {
		if rule, limited := c.policies.retry.limit.RuleFor(rpc.ServiceName(name)); limited {
			limit := fmt.Sprintf("retries of %s (ratio %g, least %g/s)", name, rule.Ratio, rule.MinPerSecond)
			add(limit, c.leases.retries.Granted(now, name))
		}
	}
	for _, tenant := range c.routingTable.Tenants() {
		add("tenant "+tenant.Name, c.leases.tenants.Granted(now, tenant.Name))
	}
	slices.SortFunc(grants, func(a, b GrantStatus) int { return strings.Compare(a.Limit, b.Limit) })
	return grants
}

// CurrentSummary gives the summary of a backend or of its health, by the kind of
// subject, and whether the leader knows it.
func (c *Coordinator) CurrentSummary(kind string, id rpc.EndpointID) (summary string, has bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if kind == history.Backend {
		endpoint, known := c.endpoints.Endpoints.Get(id)
		return endpoint.Summary(), known
	}
	state, known := c.health.States.Get(id)
	return c.health.WithRemainingWarmup(c.now(), state).Summary(), known
}
