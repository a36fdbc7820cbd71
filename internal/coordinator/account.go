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

// FellowAccount is one fellow.
type FellowAccount struct {
	Name  string `json:"name"`
	Site  string `json:"site"`
	Inner string `json:"inner"`
	Ready bool   `json:"ready"`
	Here  bool   `json:"here"`
}

// LentAccount is what is lent of one bound.
type LentAccount struct {
	Bound string  `json:"bound"`
	Lent  float64 `json:"lent"`
}

// Account is the leader's.
type Account struct {
	Fellows  []FellowAccount   `json:"fellows"`
	MapCount uint64            `json:"map_count"`
	Members  []string          `json:"map_members"`
	Owners   map[string]string `json:"owners"`
	Backends int               `json:"backends"`
	Down     int               `json:"backends_down"`
	Lent     []LentAccount     `json:"lent"`
}

// Account gives it.
func (f *Forum) Account() (account *Account) {
	f.mu.Lock()
	defer f.mu.Unlock()
	account = &Account{MapCount: uint64(f.shards.Count), Owners: map[string]string{}}
	f.roll.Fellows.Each(func(id rpc.FellowID, fellow rpc.Fellow) {
		account.Fellows = append(account.Fellows, FellowAccount{string(id), string(fellow.Site), fellow.Inner, fellow.Ready && !fellow.Stopping, f.roll.Here(id)})
	})
	sort.Slice(account.Fellows, func(i, j int) bool { return account.Fellows[i].Name < account.Fellows[j].Name })
	for _, member := range f.shards.Members {
		account.Members = append(account.Members, string(member))
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
	account.Lent = append(account.Lent, LentAccount{"retry slack", f.book.Lent(now, quota.Key{Kind: rpc.RetrySlack})})
	for name := range f.view.Services {
		if rule, written := f.orders.retries.For(rpc.ServiceName(name)); written {
			account.Lent = append(account.Lent, LentAccount{"retries of " + name + fmt.Sprintf(" (ratio %g, least %g/s)", rule.Ratio, rule.LeastPerSecond), f.retries.Lent(now, name)})
		}
	}
	for _, tenant := range f.view.Tenants() {
		account.Lent = append(account.Lent, LentAccount{"tenant " + tenant.Name, f.lender.Lent(now, tenant.Name)})
	}
	sort.Slice(account.Lent, func(i, j int) bool { return account.Lent[i].Bound < account.Lent[j].Bound })
	return account
}

// Stands tells how a backend or its health stands at the leader.
func (f *Forum) Stands(kind string, id rpc.ServerID) (stamp string, has bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind == history.Backend {
		server, known := f.list.Servers.Get(id)
		return server.Stamp(), known
	}
	state, known := f.cache.States.Get(id)
	return f.cache.Remaining(f.now(), state).Stamp(), known
}
