package membership

import "tinpin/internal/raft"

const (
	// maxFailures bounds how long a member that was removed may have to wait to vote again.
	maxFailures = 6
	// forgiveAfter is for how many voter timeouts a member has to stay until its failures are forgotten.
	forgiveAfter = 32
	// maxFailureRecords bounds the members whose failures are remembered.
	maxFailureRecords = 64
)

// observe keeps how long each member has been in contact without a gap.
func (p *Policy) observe(view View) {
	for _, member := range view.Members {
		since, known := p.contactSince[member.ID]
		switch {
		case view.SinceContact(member.ID) > p.VoterTimeout/2:
			delete(p.contactSince, member.ID)
		case !known:
			p.contactSince[member.ID] = view.Tick
		case p.failures[member.ID] > 0 && view.Tick-since > forgiveAfter*p.VoterTimeout:
			delete(p.failures, member.ID)
		}
	}
	for id := range p.contactSince {
		if _, member := raft.FindMember(view.Members, id); !member {
			delete(p.contactSince, id)
		}
	}
}

// replaced tells that a newer process at the same address has been in contact since, while the older was not
// for longer than heartbeats may take.
func (p *Policy) replaced(view View, at int) (replaced bool) {
	member := view.Members[at]
	sinceContact := view.SinceContact(member.ID)
	for i, other := range view.Members {
		if i == at || other.Inner != member.Inner || view.SinceContact(other.ID) >= sinceContact {
			continue
		}
		if i > at && sinceContact > raft.ElectionTicks || sinceContact > p.VoterTimeout {
			return true
		}
	}
	return false
}

// lost tells that a member has been without contact for too long to count.
func (p *Policy) lost(view View, at int) (lost bool) {
	return p.replaced(view, at) || view.SinceContact(view.Members[at].ID) > p.VoterTimeout
}

// ready tells that a learner may vote. It asks more of one that was removed before: twice as long without
// a gap after each time, so that one that comes and goes stays a learner.
func (p *Policy) ready(view View, at int) (ready bool) {
	id := view.Members[at].ID
	if !view.CaughtUp(id) {
		return false
	}
	failures := p.failures[id]
	if failures == 0 {
		return true
	}
	since, known := p.contactSince[id]
	return known && view.Tick-since >= p.VoterTimeout<<(failures-1)
}

// Record notes a decision that went into the log: a voter that was removed because it was not in contact
// has failed.
func (p *Policy) Record(view View, decision Decision) {
	id := decision.Member.ID
	if decision.Change != Remove || !decision.Member.Voter || view.Leaving(id) {
		return
	}
	if len(p.failures) >= maxFailureRecords {
		p.failures = map[raft.ID]int{}
	}
	p.failures[id] = min(p.failures[id]+1, maxFailures)
}
