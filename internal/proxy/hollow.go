// Hollow is a node without the traffic path: the real world, link and claims,
// with no door, pools or probes. Many share a process, so that leaders can be
// measured under more nodes than a machine could run.
package proxy

import (
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/idempotency"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
)

// StubNode node.
type StubNode struct {
	settings    settings.Settings
	leader      *LeaderClient
	state       *ClusterState
	incarnation rpc.Incarnation
}

// StartStubNode takes up the beats.
func StartStubNode(p settings.Settings, life rpc.Incarnation) (hollow *StubNode) {
	log, clock := eventlog.Discard(), NewClock()
	h := &StubNode{settings: p, incarnation: life, state: NewClusterState(p, log, clock)}
	book := idempotency.NewStore(p.Bounds.KeyWindow, 1<<16, clock.Now)
	h.leader = NewLeaderClient(p, log, clock, h.state, book, life, h.self)
	h.leader.OnUpdate = func() {}
	h.leader.Limits = NewTenantLimits(h.state.Leased, nil)
	go h.leader.RunHeartbeats()
	go h.leader.RunClaims()
	return h
}

func (h *StubNode) self() rpc.Node {
	return rpc.Node{
		ID: rpc.NodeID(h.settings.Name), Incarnation: h.incarnation, Zone: rpc.ZoneName(h.settings.Zone), Region: rpc.RegionName(h.settings.Region),
		FrontendAddress: h.settings.Address + ":1", InternalAddress: h.settings.ProxyInternalAddress(), Ready: true,
	}
}

// Known tells how far it has come.
func (h *StubNode) Known() (seen rpc.KnownState) { return h.state.Known() }

// Claim claims one key.
func (h *StubNode) Claim(key string) (granted bool) {
	return h.leader.Claim(rpc.KeyClaim{Key: key, Request: key}, time.Second, time.Second).Outcome == rpc.ClaimGranted
}

// Report tells of one backend's health as an owner would.
func (h *StubNode) Report(service rpc.ServiceName, server rpc.EndpointID, health rpc.Health) (taken bool) {
	shards := h.state.appliedShards()
	return h.leader.Report(rpc.HealthReport{Node: rpc.NodeID(h.settings.Name), Term: shards.Term, ShardMapRevision: shards.Revision, Service: service, States: []rpc.EndpointState{{Endpoint: server, Health: health}}})
}

// Stop ends it without a word, as a loss would.
func (h *StubNode) Stop() { close(h.leader.Done) }

func (w *ClusterState) appliedShards() rpc.ShardMap {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.assignment.AppliedMap()
}
