package raft

// transferState is a leadership transfer under way.
type transferState struct {
	// transferTarget is the successor, empty where none is sought.
	transferTarget ID
	transferTicks  int
	// timeoutNowSent tells that MsgTimeoutNow went out in this term; there is no lease then.
	timeoutNowSent bool
}

// startTransfer asks the best caught-up voter to take the leadership.
func (r *Replica) startTransfer() {
	if r.role != Leader {
		return
	}
	var best ID
	var bestMatch Index
	for _, member := range r.members {
		p := r.peers[member.ID]
		if p == nil || !member.Voter || p.silentTicks >= r.timing.ElectionTicks || p.match < r.commitIndex {
			continue
		}
		if best == "" || p.match > bestMatch {
			best, bestMatch = member.ID, p.match
		}
	}
	if best != "" {
		r.transferTarget, r.transferTicks = best, 0
		r.completeTransfer()
	}
}

// completeTransfer has the successor campaign once it has the whole log.
func (r *Replica) completeTransfer() {
	if p := r.peers[r.transferTarget]; p != nil && p.match == r.lastIndex() {
		r.timeoutNowSent = true
		r.send(Message{Kind: MsgTimeoutNow, To: r.transferTarget})
	}
}

// abortTransfer ends a transfer that came to nothing. The successor that was sent
// MsgTimeoutNow may yet campaign, and voters will not withhold their votes from it: only
// in a later term, in which that message is void, does contact prove leadership again.
func (r *Replica) abortTransfer() {
	if r.diskStuckTicks >= r.timing.ElectionTicks || !r.isVoter(r.id) {
		r.becomeFollower(r.hardState.Term, "")
		return
	}
	r.campaign(false, true)
}

// AcceptsProposals tells whether the leader takes proposals now, or hands over.
func (r *Replica) AcceptsProposals() bool { return r.role == Leader && r.transferTarget == "" }

// TransferLeadership hands the leadership over and returns what to send.
func (r *Replica) TransferLeadership() (out Output) {
	r.startTransfer()
	return r.takeOutput()
}

// tickTransfer repeats or gives up a transfer; it is true where that began a new term
// or ended the leadership.
func (r *Replica) tickTransfer() (ended bool) {
	if r.transferTarget == "" {
		return false
	}
	if r.transferTicks++; r.transferTicks <= r.timing.ElectionTicks {
		r.completeTransfer()
		return false
	}
	r.transferTarget = ""
	if !r.timeoutNowSent {
		return false
	}
	r.abortTransfer()
	return true
}
