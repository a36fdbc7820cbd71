package proxy

import (
	"context"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
)

// StubNode is a node without the request path: the real cluster state, leader client
// and claims, with no frontend, connections or probes. Many share a process, so that
// leaders can be measured under more nodes than a machine could run.
type StubNode struct {
	settings    settings.Settings
	leader      *LeaderClient
	state       *ClusterState
	incarnation rpc.Incarnation
}

// StartStubNode starts the heartbeats.
func StartStubNode(settings settings.Settings, incarnation rpc.Incarnation) (node *StubNode) {
	log, clock := eventlog.Discard(), NewClock()
	node = &StubNode{settings: settings, incarnation: incarnation, state: NewClusterState(settings, log, clock)}
	node.leader = NewLeaderClient(settings, log, clock, node.state, incarnation, node.self)
	node.leader.OnUpdate = func() {}
	node.leader.Limits = NewTenantLimits(node.state.Leased, nil)
	go node.leader.RunHeartbeats()
	go node.leader.RunClaims()
	return node
}

// self is what the node says about itself.
func (n *StubNode) self() rpc.Node {
	return rpc.Node{
		ID: rpc.NodeID(n.settings.Name), Incarnation: n.incarnation,
		Zone: rpc.ZoneName(n.settings.Zone), Region: rpc.RegionName(n.settings.Region),
		FrontendAddress: n.settings.Address + ":1", InternalAddress: n.settings.ProxyInternalAddress(), Ready: true,
	}
}

// Known is how far it has come in the leader's updates.
func (n *StubNode) Known() rpc.KnownState { return n.state.Known() }

// Claim claims one key.
func (n *StubNode) Claim(key string) (granted bool) {
	return n.leader.Claim(
		context.Background(), rpc.KeyClaim{Key: key, Request: key}, time.Second, time.Second,
	).Outcome == rpc.ClaimGranted
}

// Report reports one backend's health as the owner of its service would.
func (n *StubNode) Report(service rpc.ServiceName, backend rpc.EndpointID, health rpc.Health) (accepted bool) {
	shards := n.state.appliedShards()
	return n.leader.Report(rpc.HealthReport{
		Node: rpc.NodeID(n.settings.Name), Term: shards.Term, ShardMapRevision: shards.Revision,
		Service: service, States: []rpc.EndpointState{{Endpoint: backend, Health: health}},
	})
}

// Stop ends it without a message, as a crash would.
func (n *StubNode) Stop() { close(n.leader.Done) }
