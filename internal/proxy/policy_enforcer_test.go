package proxy

import (
	"fmt"
	"net"
	"testing"
	"time"

	"tinpin/internal/drain"
	"tinpin/internal/rpc"
)

// A node that is cut off from all others notes it in time, however many of them do not answer: it went on
// taking requests while it waited for each in turn.
func TestIsolationIsNotedWhilePeersDoNotAnswer(t *testing.T) {
	const (
		isolatedAfter = 400 * time.Millisecond
		peers         = 16 * peerCallsInFlight
		// bound has a tick more than the policy asks for, and one for the machine.
		bound = isolatedAfter + 2*policyInterval + time.Second
	)
	d := newTestDaemon(t)
	policies := d.state.Policies
	addresses := unansweredAddresses(t, peers)
	policies.mu.Lock()
	policies.drainPolicy = &drain.Policy{
		Version: 1, IsolatedAfter: drain.Span(isolatedAfter), WhenIsolated: drain.IsolatedStop,
	}
	policies.drainPermit.SetPolicy(policies.drainPolicy)
	policies.drainPermit.LeaderResponded(d.clock.Now())
	for i, address := range addresses {
		id := rpc.NodeID(fmt.Sprintf("edge-%d", i+2))
		policies.recentNodes[id] = metNode{rpc.Node{ID: id, InternalAddress: address}, d.clock.Now()}
	}
	policies.mu.Unlock()
	begun := time.Now()
	go d.enforcePolicies()
	defer close(d.leader.Done)
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !policies.Isolated() {
		<-ticker.C
		if took := time.Since(begun); took > bound {
			t.Fatalf("the node does not count as isolated %s after its leader was heard last", took)
		}
	}
}

// unansweredAddresses are addresses that take connections and answer nothing.
func unansweredAddresses(t *testing.T, count int) (addresses []string) {
	t.Helper()
	for range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}
