package raft

// inflightAppend is an append that was not yet answered.
type inflightAppend struct {
	lastIndex Index
	size      int
}

// progress is what the leader knows of a member. Until it is steady, one append
// is asked and its answer awaited, to find the place where both logs agree;
// then appends follow each other, up to a window.
type progress struct {
	match, next   Index
	silentTicks   int
	ackedRound    uint64
	pipelined     bool
	probed        bool
	inflight      []inflightAppend
	inflightBytes int
	stalledTicks  int
	outgoing      *outgoingSnapshot
}

// probe makes a member unsteady: what is under way to it counts no more.
func (p *progress) probe() {
	p.inflight, p.inflightBytes, p.pipelined, p.probed, p.stalledTicks = nil, 0, false, false, 0
}

// releaseAcknowledged takes out what a match answers.
func (p *progress) releaseAcknowledged() {
	for len(p.inflight) > 0 && p.inflight[0].lastIndex <= p.match {
		p.inflightBytes -= p.inflight[0].size
		p.inflight = p.inflight[1:]
	}
}
