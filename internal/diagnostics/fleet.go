// Package lens is the operator's view from outside: it asks the running
// daemons how they stand and what became of a change, and says plainly which
// of them cannot be reached or lack it. It needs the inner address of one
// accord daemon; the others it learns from there.
package diagnostics

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"

	"tinpin/internal/controller"
	"tinpin/internal/proxy"
	"tinpin/internal/rpc"
)

// Class marks what the tools cannot do.
var Class = errs.Class("lens")

const callTimeout = 2 * time.Second

// Fleet is what the daemons told.
type Fleet struct {
	Controllers []controller.Status `json:"cores"`
	Nodes       []proxy.NodeStatus  `json:"passages"`
	Unreachable []string            `json:"unreachable"`
	addresses   map[string]string
}

// callAll calls a method on all addresses at once.
func callAll[Reply any](addresses []string, method string, ask any, told func(address string, reply Reply, err error)) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, address := range addresses {
		calls.Add(1)
		go func() {
			defer calls.Done()
			caller := rpc.NewClient(address)
			defer caller.Close()
			var reply Reply
			err := caller.Call(method, ask, &reply, callTimeout)
			mu.Lock()
			defer mu.Unlock()
			told(address, reply, err)
		}()
	}
	calls.Wait()
}

// Inspect asks all daemons that can be found from some accord daemons.
func Inspect(starts []string) (fleet *Fleet, err error) {
	fleet = &Fleet{addresses: map[string]string{}}
	asked := map[string]bool{}
	for wave := starts; len(wave) > 0; {
		var next []string
		for _, address := range wave {
			asked[address] = true
		}
		callAll(wave, rpc.MethodStatus, rpc.StatusRequest{}, func(address string, reply rpc.StatusResponse, callErr error) {
			var account controller.Status
			if callErr == nil {
				callErr = json.Unmarshal(reply.JSON, &account)
			}
			if callErr != nil {
				fleet.Unreachable = append(fleet.Unreachable, "accord "+address)
				return
			}
			fleet.Controllers = append(fleet.Controllers, account)
			fleet.addresses[account.Name] = address
			for _, member := range account.Members {
				if !asked[member.Inner] {
					asked[member.Inner] = true
					next = append(next, member.Inner)
				}
			}
		})
		wave = next
	}
	if len(fleet.Controllers) == 0 {
		return fleet, Class.New("no accord daemon can be reached at %s", strings.Join(starts, ", "))
	}
	sort.Slice(fleet.Controllers, func(i, j int) bool { return fleet.Controllers[i].Name < fleet.Controllers[j].Name })
	leader := fleet.Leader()
	if leader == nil || leader.Coordinator == nil {
		return fleet, nil
	}
	names := map[string]string{}
	var addresses []string
	for _, fellow := range leader.Coordinator.Nodes {
		names[fellow.InternalAddress] = fellow.Name
		addresses = append(addresses, fellow.InternalAddress)
	}
	callAll(addresses, rpc.MethodStatus, rpc.StatusRequest{}, func(address string, reply rpc.StatusResponse, callErr error) {
		var account proxy.NodeStatus
		if callErr == nil {
			callErr = json.Unmarshal(reply.JSON, &account)
		}
		if callErr != nil {
			fleet.Unreachable = append(fleet.Unreachable, "passage "+names[address]+" at "+address)
			return
		}
		fleet.Nodes = append(fleet.Nodes, account)
		fleet.addresses[account.Name] = address
	})
	sort.Slice(fleet.Nodes, func(i, j int) bool { return fleet.Nodes[i].Name < fleet.Nodes[j].Name })
	sort.Strings(fleet.Unreachable)
	return fleet, nil
}

// Leader is the core that leads in the highest term.
func (f *Fleet) Leader() (leader *controller.Status) {
	for i := range f.Controllers {
		if core := &f.Controllers[i]; core.IsLeader && core.Settled && (leader == nil || core.Term > leader.Term) {
			leader = core
		}
	}
	return leader
}

// Status prints the fleet; good tells that all is reachable and led.
func (f *Fleet) Status(out io.Writer, asJSON bool) (good bool, err error) {
	leader := f.Leader()
	good = leader != nil && len(f.Unreachable) == 0
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return good, Class.Wrap(encoder.Encode(f))
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(cells ...any) {
		_, _ = fmt.Fprintln(table, strings.TrimRight(strings.Join(cellTexts(cells), "\t"), "\t"))
	}
	row("CORE", "LEADS", "TERM", "REV", "KEYS", "VOTERS")
	for _, core := range f.Controllers {
		voters := 0
		for _, member := range core.Members {
			if member.Voter {
				voters++
			}
		}
		row(core.Name, core.IsLeader, core.Term, core.Revision, core.Claims, voters)
	}
	if leader == nil {
		row("no leader")
	} else if leader.Coordinator != nil {
		row("")
		row("PASSAGE", "SITE", "READY", "HEARD", "REV", "AT WORK", "PROBES")
		for _, fellow := range leader.Coordinator.Nodes {
			rev, work, probes := any("?"), any("?"), "?"
			for _, account := range f.Nodes {
				if account.Name == fellow.Name {
					rev, work, probes = account.Revision, account.InFlight, strings.Join(account.Probes, ",")
				}
			}
			row(fellow.Name, fellow.Zone, fellow.Ready, fellow.Connected, rev, work, probes)
		}
		row("")
		row("SERVICE", "OWNER", fmt.Sprintf("MAP %d OF %d", leader.Coordinator.ShardMapVersion, len(leader.Coordinator.ShardMapMembers)))
		services := make([]string, 0, len(leader.Coordinator.Owners))
		for service := range leader.Coordinator.Owners {
			services = append(services, service)
		}
		sort.Strings(services)
		for _, service := range services {
			row(service, leader.Coordinator.Owners[service])
		}
		row("")
		row("BOUND", "LENT")
		for _, lent := range leader.Coordinator.Granted {
			row(lent.Limit, fmt.Sprintf("%.3f", lent.Granted))
		}
		row("")
		row("BACKENDS", leader.Coordinator.Backends, "DOWN", leader.Coordinator.Down)
	}
	for _, address := range f.Unreachable {
		row("unreachable: " + address)
	}
	return good, Class.Wrap(table.Flush())
}

func cellTexts(cells []any) (texts []string) {
	for _, cell := range cells {
		texts = append(texts, fmt.Sprint(cell))
	}
	return texts
}
