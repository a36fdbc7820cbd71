// Permit is a daemon's side: whether it may send a new caller to a backend. It
// follows the agreed epochs in its news. What it may not have heard of it
// guards against by time: an announced backend is used only while news keep
// coming, and a daemon that hears neither a leader nor more than half of its
// fellows counts itself as cut off. Where there is no leader at all, the
// daemons still hear each other, and nothing but the announced is emptied; and
// a leader stops a backend only while more than half of the daemons confirm,
// so that those who may go on by hearing each other cannot have missed it.
package drain

import (
	"time"

	"tinpin/internal/rpc"
)

// Permit of one daemon.
type Permit struct {
	isolatedAfter     time.Duration
	stopsWhenIsolated bool
	leaderHeard       time.Duration
	peersHeard        time.Duration
	retired           map[rpc.EndpointID]rpc.Retirement
	stoppedAt         map[rpc.EndpointID]time.Duration
}

// NewPermit begins in touch.
func NewPermit(now time.Duration) (permit *Permit) {
	return &Permit{leaderHeard: now, peersHeard: now, retired: map[rpc.EndpointID]rpc.Retirement{}, stoppedAt: map[rpc.EndpointID]time.Duration{}}
}

// SetPolicy takes the policy in force, nil for none.
func (p *Permit) SetPolicy(policy *Policy) {
	p.isolatedAfter, p.stopsWhenIsolated = 0, false
	if policy != nil {
		p.isolatedAfter, p.stopsWhenIsolated = time.Duration(policy.IsolatedAfter), policy.WhenIsolated == IsolatedStop
	}
}

// LeaderHeard notes news that were asked for at a time: the leader spoke later than that.
func (p *Permit) LeaderHeard(asked time.Duration) { p.leaderHeard = max(p.leaderHeard, asked) }

// PeersHeard notes that more than half of the fellows answered what was asked at a time.
func (p *Permit) PeersHeard(asked time.Duration) { p.peersHeard = max(p.peersHeard, asked) }

// Apply takes one agreed order; an older one changes nothing.
func (p *Permit) Apply(now time.Duration, retired rpc.Retirement) {
	old := p.retired[retired.Server]
	if retired.Rev <= old.Rev {
		return
	}
	if retired.Gone {
		delete(p.stoppedAt, retired.Server)
	} else if retired.Stopped > 0 && old.Stopped == 0 {
		p.stoppedAt[retired.Server] = now
	}
	p.retired[retired.Server] = retired
}

// Forget drops a backend that is on no list any more.
func (p *Permit) Forget(server rpc.EndpointID) {
	delete(p.retired, server)
	delete(p.stoppedAt, server)
}

// Isolated tells that the daemon must take nothing new at all.
func (p *Permit) Isolated(now time.Duration) bool {
	return p.stopsWhenIsolated && now-max(p.leaderHeard, p.peersHeard) > p.isolatedAfter
}

// ShouldAskPeers tells that fellows should be asked whether they are there.
func (p *Permit) ShouldAskPeers(now time.Duration) bool {
	return p.stopsWhenIsolated && now-p.leaderHeard > p.isolatedAfter/3
}

// AllowsNew tells whether a new caller may be sent to a backend.
func (p *Permit) AllowsNew(now time.Duration, server rpc.EndpointID) (sends bool) {
	retired, ordered := p.retired[server]
	if !ordered || retired.Gone {
		return true
	}
	if retired.Stopped > 0 {
		return false
	}
	return p.isolatedAfter == 0 || now-p.leaderHeard <= p.isolatedAfter
}

// MayFinish tells that a backend was stopped and what is there may go on.
func (p *Permit) MayFinish(now time.Duration, server rpc.EndpointID, finish time.Duration) (finishing bool) {
	since, stopped := p.stoppedAt[server]
	return stopped && now-since < finish
}

// Expired lists the backends whose requests at work have had their time.
func (p *Permit) Expired(now time.Duration, finish func(rpc.ServiceName) time.Duration) (over []rpc.Retirement) {
	for server, since := range p.stoppedAt {
		if retired := p.retired[server]; now-since >= finish(retired.Service) {
			over = append(over, retired)
		}
	}
	return over
}
