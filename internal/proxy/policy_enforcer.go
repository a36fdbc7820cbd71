package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"tinpin/internal/drain"
	"tinpin/internal/eventlog"
	"tinpin/internal/rpc"
)

const (
	peerCallTimeout   = 300 * time.Millisecond
	peerCallsInFlight = 16
	policyInterval    = 250 * time.Millisecond
)

// policyEnforcer is the loop that does what policies want at a time. It waits for no other node.
type policyEnforcer struct {
	daemon *Daemon
	// askedAt is when other nodes were asked last; asking is set until they have answered or timed out.
	askedAt time.Duration
	asking  atomic.Bool
}

// enforcePolicies does what policies want at a time, until the node stops: it asks other
// nodes where no leader is heard, notes when this node is isolated, and ends requests
// that have had their time at a retired backend.
func (d *Daemon) enforcePolicies() {
	ticker := time.NewTicker(policyInterval)
	defer ticker.Stop()
	enforcer := policyEnforcer{daemon: d}
	for {
		select {
		case <-ticker.C:
			enforcer.tick()
		case <-d.leader.Done:
			return
		}
	}
}

// tick does what is due now.
func (e *policyEnforcer) tick() {
	d := e.daemon
	now := d.clock.Now()
	policies := d.state.Policies
	policies.mu.Lock()
	unheard, drainPolicy := policies.drainPermit.ShouldAskPeers(now), policies.drainPolicy
	expired := policies.drainPermit.Expired(now, func(service rpc.ServiceName) time.Duration {
		return time.Duration(drainPolicy.RuleFor(service).Finish)
	})
	isolated := policies.drainPermit.Isolated(now)
	policies.mu.Unlock()
	for _, retirement := range expired {
		keepKeyed := drainPolicy.RuleFor(retirement.Service).KeyedRequests == drain.KeyedDeadline
		d.state.abortRequests(retirement.Server, keepKeyed)
	}
	if drainPolicy == nil {
		policies.isolated.Store(false)
		return
	}
	if unheard && now-e.askedAt > time.Duration(drainPolicy.IsolatedAfter)/4 && e.asking.CompareAndSwap(false, true) {
		e.askedAt = now
		go func() {
			defer e.asking.Store(false)
			d.askPeers(now)
		}()
	}
	if policies.isolated.Swap(isolated) != isolated {
		d.log.Emit(eventlog.IsolationChanged, "isolated", isolated)
	}
}

// askPeers asks all nodes which retirements they follow. Once more than half of the fleet, this node counted,
// has answered, it counts as having heard them when it asked.
func (d *Daemon) askPeers(now time.Duration) {
	policies := d.state.Policies
	policies.mu.Lock()
	var addresses []string
	for id, node := range policies.recentNodes {
		if string(id) != d.settings.Name {
			addresses = append(addresses, node.InternalAddress)
		}
	}
	policies.mu.Unlock()
	var calls sync.WaitGroup
	var answers atomic.Int64
	slots := make(chan struct{}, peerCallsInFlight)
	for _, address := range addresses {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			retirements, err := d.askPeer(address)
			if err != nil {
				return
			}
			majority := 2*(int(answers.Add(1))+1) > len(addresses)+1
			policies.mu.Lock()
			policies.applyRetirements(d.clock.Now(), retirements, d.state.History, true)
			if majority {
				policies.drainPermit.PeersResponded(now)
			}
			policies.mu.Unlock()
		})
	}
	calls.Wait()
	if len(addresses) == 0 {
		policies.mu.Lock()
		policies.drainPermit.PeersResponded(now)
		policies.mu.Unlock()
	}
}

// askPeer asks one node which retirements it follows.
func (d *Daemon) askPeer(address string) (retirements []rpc.Retirement, err error) {
	var response rpc.RetirementsResponse
	request := rpc.RetirementsRequest{From: rpc.NodeID(d.settings.Name)}
	err = d.leader.clients.of(address, peerCalls).Call(rpc.MethodRetirements, request, &response, peerCallTimeout)
	return response.Retirements, err
}

// Orders tells another node which retirements this one follows.
func (k *PeerService) Orders(_ rpc.RetirementsRequest, reply *rpc.RetirementsResponse) (err error) {
	reply.Retirements = k.daemon.state.Policies.Retirements()
	return nil
}
