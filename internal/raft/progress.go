package raft

// inflightAppend is an append that was not yet answered.
type inflightAppend struct {
	lastIndex Index
	size      int
}

// progress is what the leader knows of a member. One append probes for the index at
// which both logs agree; once it is answered, appends are pipelined up to a window.
type progress struct {
	// match is the last entry that the member is known to hold on disk, next the first to send.
	match, next Index
	// silentTicks counts since the member was heard.
	silentTicks int
	// ackedRound is the newest heartbeat round that it acknowledged.
	ackedRound uint64
	pipelined  bool
	// probed tells that a probe awaits its answer.
	probed        bool
	inflight      []inflightAppend
	inflightBytes int
	// stalledTicks counts since the last progress of what is in flight.
	stalledTicks int
	outgoing     *outgoingSnapshot
	catchUp      catchUp
}

// probe ends the pipeline: what is in flight counts no more, and the next append probes.
func (p *progress) probe() {
	p.inflight, p.inflightBytes, p.pipelined, p.probed, p.stalledTicks = nil, 0, false, false, 0
}

// releaseAcknowledged takes out of the window what match covers.
func (p *progress) releaseAcknowledged() {
	for len(p.inflight) > 0 && p.inflight[0].lastIndex <= p.match {
		p.inflightBytes -= p.inflight[0].size
		p.inflight = p.inflight[1:]
	}
}
