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
	lost     time.Duration
	stops    bool
	led      time.Duration
	fellows  time.Duration
	retired  map[rpc.EndpointID]rpc.Retirement
	stoppedA map[rpc.EndpointID]time.Duration
}

// NewPermit begins in touch.
func NewPermit(now time.Duration) (permit *Permit) {
	return &Permit{led: now, fellows: now, retired: map[rpc.EndpointID]rpc.Retirement{}, stoppedA: map[rpc.EndpointID]time.Duration{}}
}

// Policy takes the policy in force, nil for none.
func (p *Permit) Policy(policy *Policy) {
	p.lost, p.stops = 0, false
	if policy != nil {
		p.lost, p.stops = time.Duration(policy.LostTouch), policy.CutOff == CutOffStop
	}
}

// Led notes news that were asked for at a time: the leader spoke later than that.
func (p *Permit) Led(asked time.Duration) { p.led = max(p.led, asked) }

// Heard notes that more than half of the fellows answered what was asked at a time.
func (p *Permit) Heard(asked time.Duration) { p.fellows = max(p.fellows, asked) }

// Take takes one agreed order; an older one changes nothing.
func (p *Permit) Take(now time.Duration, retired rpc.Retirement) {
	old := p.retired[retired.Server]
	if retired.Rev <= old.Rev {
		return
	}
	if retired.Gone {
		delete(p.stoppedA, retired.Server)
	} else if retired.Stopped > 0 && old.Stopped == 0 {
		p.stoppedA[retired.Server] = now
	}
	p.retired[retired.Server] = retired
}

// Forget drops a backend that is on no list any more.
func (p *Permit) Forget(server rpc.EndpointID) {
	delete(p.retired, server)
	delete(p.stoppedA, server)
}

// CutOff tells that the daemon must take nothing new at all.
func (p *Permit) CutOff(now time.Duration) bool {
	return p.stops && now-max(p.led, p.fellows) > p.lost
}

// Lonely tells that fellows should be asked whether they are there.
func (p *Permit) Lonely(now time.Duration) bool {
	return p.stops && now-p.led > p.lost/3
}

// Sends tells whether a new caller may be sent to a backend.
func (p *Permit) Sends(now time.Duration, server rpc.EndpointID) (sends bool) {
	retired, ordered := p.retired[server]
	if !ordered || retired.Gone {
		return true
	}
	if retired.Stopped > 0 {
		return false
	}
	return p.lost == 0 || now-p.led <= p.lost
}

// Finishing tells that a backend was stopped and what is there may go on.
func (p *Permit) Finishing(now time.Duration, server rpc.EndpointID, finish time.Duration) (finishing bool) {
	since, stopped := p.stoppedA[server]
	return stopped && now-since < finish
}

// Over lists the backends whose requests at work have had their time.
func (p *Permit) Over(now time.Duration, finish func(rpc.ServiceName) time.Duration) (over []rpc.Retirement) {
	for server, since := range p.stoppedA {
		if retired := p.retired[server]; now-since >= finish(retired.Service) {
			over = append(over, retired)
		}
	}
	return over
}
