package drain

import (
	"time"

	"tinpin/internal/rpc"
)

// Permit tells at one node whether a new client may be sent to a backend. It
// follows the committed revisions in the leader's updates. What it may not have
// received it guards against by time: an announced backend is used only while
// updates keep coming, and a node that hears neither a leader nor more than half
// of its peers counts as isolated. Where there is no leader at all, the nodes
// still hear each other, and nothing but announced backends is drained; and a
// leader stops a backend only while more than half of the nodes confirm, so that
// nodes that go on by hearing each other cannot all have missed it.
type Permit struct {
	isolatedAfter     time.Duration // 0 without a policy
	stopsWhenIsolated bool
	// leaderRespondedTo and peersHeard are when the last request was sent that the leader,
	// or more than half of the peers, answered.
	leaderRespondedTo, peersRespondedTo time.Duration
	retired                             map[rpc.EndpointID]rpc.Retirement
	stoppedAt                           map[rpc.EndpointID]time.Duration // when the stop was received
}

// NewPermit makes a permit of a node that counts as connected.
func NewPermit(now time.Duration) (permit *Permit) {
	return &Permit{
		leaderRespondedTo: now, peersRespondedTo: now,
		retired: map[rpc.EndpointID]rpc.Retirement{}, stoppedAt: map[rpc.EndpointID]time.Duration{},
	}
}

// SetPolicy sets the policy in force, nil for none.
func (p *Permit) SetPolicy(policy *Policy) {
	p.isolatedAfter, p.stopsWhenIsolated = 0, false
	if policy != nil {
		p.isolatedAfter, p.stopsWhenIsolated = time.Duration(policy.IsolatedAfter), policy.WhenIsolated == IsolatedStop
	}
}

// LeaderResponded notes that the leader answered a heartbeat that was sent at a time.
func (p *Permit) LeaderResponded(asked time.Duration) {
	p.leaderRespondedTo = max(p.leaderRespondedTo, asked)
}

// PeersResponded notes that more than half of the peers answered what was sent at a time.
func (p *Permit) PeersResponded(asked time.Duration) {
	p.peersRespondedTo = max(p.peersRespondedTo, asked)
}

// Apply applies a committed retirement; an older revision changes nothing.
func (p *Permit) Apply(now time.Duration, retirement rpc.Retirement) {
	earlier := p.retired[retirement.Server]
	if retirement.Rev <= earlier.Rev {
		return
	}
	if retirement.Gone {
		delete(p.stoppedAt, retirement.Server)
	} else if retirement.Stopped > 0 && earlier.Stopped == 0 {
		p.stoppedAt[retirement.Server] = now
	}
	p.retired[retirement.Server] = retirement
}

// Forget drops a backend that is on no endpoint list any more.
func (p *Permit) Forget(server rpc.EndpointID) {
	delete(p.retired, server)
	delete(p.stoppedAt, server)
}

// Isolated tells that the node must accept nothing new at all.
func (p *Permit) Isolated(now time.Duration) bool {
	return p.stopsWhenIsolated && now-max(p.leaderRespondedTo, p.peersRespondedTo) > p.isolatedAfter
}

// ShouldAskPeers tells that the peers should be asked whether they are there.
func (p *Permit) ShouldAskPeers(now time.Duration) bool {
	return p.stopsWhenIsolated && now-p.leaderRespondedTo > p.isolatedAfter/3
}

// AllowsNew tells whether a new client may be sent to a backend.
func (p *Permit) AllowsNew(now time.Duration, server rpc.EndpointID) (allowed bool) {
	retirement, known := p.retired[server]
	if !known || retirement.Gone {
		return true
	}
	if retirement.Stopped > 0 {
		return false
	}
	return p.isolatedAfter == 0 || now-p.leaderRespondedTo <= p.isolatedAfter
}

// MayFinish tells that a backend was stopped and what is in flight may go on.
func (p *Permit) MayFinish(now time.Duration, server rpc.EndpointID, finish time.Duration) (finishing bool) {
	since, stopped := p.stoppedAt[server]
	return stopped && now-since < finish
}

// Expired lists the backends whose requests in flight have had their time to finish.
func (p *Permit) Expired(now time.Duration, finish func(rpc.ServiceName) time.Duration) (expired []rpc.Retirement) {
	for server, since := range p.stoppedAt {
		if retirement := p.retired[server]; now-since >= finish(retirement.Service) {
			expired = append(expired, retirement)
		}
	}
	return expired
}
