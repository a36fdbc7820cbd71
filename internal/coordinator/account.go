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
func (f *Coordinator) Status() (account *Status) {
	f.mu.Lock()
	defer f.mu.Unlock()
	account = &Status{ShardMapVersion: uint64(f.shards.Count), Owners: map[string]string{}}
	f.roll.Fellows.Each(func(id rpc.FellowID, fellow rpc.Fellow) {
		account.Nodes = append(account.Nodes, NodeStatus{string(id), string(fellow.Site), fellow.Inner, fellow.Ready && !fellow.Stopping, f.roll.Here(id)})
	})
	sort.Slice(account.Nodes, func(i, j int) bool { return account.Nodes[i].Name < account.Nodes[j].Name })
	for _, member := range f.shards.Members {
		account.ShardMapMembers = append(account.ShardMapMembers, string(member))
	}
	for name := range f.view.Services {
		account.Owners[name] = string(f.cache.Owner(rpc.ServiceName(name), f.absent))
	}
	f.list.Servers.Each(func(rpc.ServerID, rpc.Server) { account.Backends++ })
	f.cache.States.Each(func(_ rpc.ServerID, state rpc.State) {
		if state.Health == rpc.Down {
			account.Down++
		}
	})
	now := f.now()
	account.Granted = append(account.Granted, GrantStatus{"retry slack", f.book.Lent(now, quota.Key{Kind: rpc.RetrySlack})})
	for name := range f.view.Services {
		if rule, written := f.orders.retries.For(rpc.ServiceName(name)); written {
			account.Granted = append(account.Granted, GrantStatus{"retries of " + name + fmt.Sprintf(" (ratio %g, least %g/s)", rule.Ratio, rule.LeastPerSecond), f.retries.Lent(now, name)})
		}
	}
	for _, tenant := range f.view.Tenants() {
		account.Granted = append(account.Granted, GrantStatus{"tenant " + tenant.Name, f.lender.Lent(now, tenant.Name)})
	}
	sort.Slice(account.Granted, func(i, j int) bool { return account.Granted[i].Limit < account.Granted[j].Limit })
	return account
}

// CurrentStamp tells how a backend or its health stands at the leader.
func (f *Coordinator) CurrentStamp(kind string, id rpc.ServerID) (stamp string, has bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind == history.Backend {
		server, known := f.list.Servers.Get(id)
		return server.Stamp(), known
	}
	state, known := f.cache.States.Get(id)
	return f.cache.Remaining(f.now(), state).Stamp(), known
}
