// Package diagnostics is the operator's view from outside: it asks the running
// daemons for their status and for what became of a change, and says plainly
// which of them cannot be reached or lack it. It needs the internal address of
// one controller and learns the others from there. It changes nothing. A Fleet
// belongs to one goroutine.
package diagnostics

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"tinpin/internal/controller"
	"tinpin/internal/proxy"
	"tinpin/internal/rpc"
)

// The reasons for which a fleet cannot be inspected or a change not traced.
var (
	ErrUnreachable = errors.New("no controller can be reached")
	ErrNoLeader    = errors.New("there is no leader to compare with")
	ErrUnknown     = errors.New("unknown subject")
)

// callTimeout bounds one call to one daemon.
const callTimeout = 2 * time.Second

// Fleet is what the daemons reported.
type Fleet struct {
	Controllers []controller.Status `json:"controllers"`
	Nodes       []proxy.NodeStatus  `json:"nodes"`
	Unreachable []string            `json:"unreachable"`
	addresses   map[string]string   // internal address by name
}

// callAll calls a method on all addresses at once and hands each response to
// handle, one at a time.
func callAll[Response any](
	addresses []string, method string, request any, handle func(address string, response Response, err error),
) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, address := range addresses {
		calls.Go(func() {
			client := rpc.NewClient(address)
			defer client.Close()
			var response Response
			err := client.Call(method, request, &response, callTimeout)
			mu.Lock()
			defer mu.Unlock()
			handle(address, response, err)
		})
	}
	calls.Wait()
}

// statusOf asks daemons of one role for their status.
func statusOf[Status any](addresses []string, handle func(address string, status Status, err error)) {
	request := rpc.StatusRequest{}
	callAll(addresses, rpc.MethodStatus, request, func(address string, response rpc.StatusResponse, err error) {
		var status Status
		if err == nil {
			err = json.Unmarshal(response.JSON, &status)
		}
		handle(address, status, err)
	})
}

// Inspect asks all daemons that can be found from some controllers, given by
// their internal addresses.
func Inspect(starts []string) (fleet *Fleet, err error) {
	fleet = &Fleet{addresses: map[string]string{}}
	fleet.inspectControllers(starts)
	if len(fleet.Controllers) == 0 {
		return fleet, fmt.Errorf("status: %w at %s", ErrUnreachable, strings.Join(starts, ", "))
	}
	if leader := fleet.Leader(); leader != nil && leader.Coordinator != nil {
		fleet.inspectNodes(leader)
	}
	return fleet, nil
}

// inspectControllers asks the controllers at the given addresses, then those
// that they name as members, until no new one is named.
func (f *Fleet) inspectControllers(starts []string) {
	asked := map[string]bool{}
	for wave := starts; len(wave) > 0; {
		var next []string
		for _, address := range wave {
			asked[address] = true
		}
		statusOf(wave, func(address string, status controller.Status, err error) {
			if err != nil {
				f.Unreachable = append(f.Unreachable, "controller "+address)
				return
			}
			f.Controllers = append(f.Controllers, status)
			f.addresses[status.Name] = address
			for _, member := range status.Members {
				if !asked[member.Inner] {
					asked[member.Inner] = true
					next = append(next, member.Inner)
				}
			}
		})
		wave = next
	}
	slices.SortFunc(f.Controllers, func(a, b controller.Status) int { return strings.Compare(a.Name, b.Name) })
}

// inspectNodes asks the nodes that the leader knows.
func (f *Fleet) inspectNodes(leader *controller.Status) {
	names := map[string]string{}
	var addresses []string
	for _, node := range leader.Coordinator.Nodes {
		names[node.InternalAddress] = node.Name
		addresses = append(addresses, node.InternalAddress)
	}
	statusOf(addresses, func(address string, status proxy.NodeStatus, err error) {
		if err != nil {
			f.Unreachable = append(f.Unreachable, "node "+names[address]+" at "+address)
			return
		}
		f.Nodes = append(f.Nodes, status)
		f.addresses[status.Name] = address
	})
	slices.SortFunc(f.Nodes, func(a, b proxy.NodeStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.Sort(f.Unreachable)
}

// Leader is the controller that leads in the highest term; nil if none does.
func (f *Fleet) Leader() (leader *controller.Status) {
	for i := range f.Controllers {
		status := &f.Controllers[i]
		if status.IsLeader && status.Settled && (leader == nil || status.Term > leader.Term) {
			leader = status
		}
	}
	return leader
}
