// Elections: pre-vote, vote and the hand-over of leadership to the member
// that has the whole log.
package raft

func (r *Replica) campaign(pre, force bool) {
	r.role, r.leader, r.preVoting = Candidate, "", pre
	r.delayCampaign()
	r.votes = map[ID]bool{r.id: true}
	term := r.hardState.Term + 1
	kind := MsgPreVote
	if pre {
		r.startPreVoteRound()
	} else {
		kind = MsgVote
		r.hardState = HardState{Term: term, Vote: r.id}
	}
	lives := r.idleIncarnations()
	var asks []Message
	for _, member := range r.members {
		if member.ID == r.id || !member.Voter && !(pre && r.leaderless) {
			continue
		}
		ask := Message{Kind: kind, To: member.ID, Term: term, Index: r.lastIndex(), LogTerm: r.termAt(r.lastIndex()), Force: force, Life: lives[member.ID]}
		if pre {
			ask.Round = r.preVoteRound
		}
		asks = append(asks, ask)
	}
	if pre {
		for _, ask := range asks {
			r.send(ask)
		}
	} else {
		hard := r.hardState
		r.write(Write{HardState: &hard, AfterSync: asks})
	}
	r.countVotes()
}

// delayCampaign sets when this core asks again. Where no leader was known since the
// start that is soon, as others that have started a moment later may say no now;
// but a vote gets its time, since terms and disks are used up by it.
func (r *Replica) delayCampaign() {
	r.resetTimer()
	if r.leaderless && r.preVoting {
		r.timeoutTicks = r.shortTimeout()
	}
}

// withdrawCandidacy leaves the vote to another that asks at the same time and is as good:
// of two that stand, neither would win. One that stands already goes on.
func (r *Replica) withdrawCandidacy() {
	if !r.preVoting {
		return
	}
	r.delayCampaign()
	r.role, r.votes, r.preVoting = Follower, nil, false
}

func (r *Replica) countVotes() {
	yes := 0
	for id, granted := range r.votes {
		if granted && r.isVoter(id) {
			yes++
		}
	}
	if r.preVoting && r.idleIncarnations() != nil {
		r.campaign(false, false)
		return
	}
	if yes <= r.voterCount()/2 || r.preVoting && r.withholdsVote() {
		return
	}
	if r.preVoting {
		r.campaign(false, false)
		return
	}
	r.becomeLeader()
}

func (r *Replica) becomeLeader() {
	r.role, r.leader, r.transferTarget, r.timeoutNowSent, r.leaderless = Leader, r.id, "", false, false
	r.elapsedTicks, r.quorumLostTicks, r.diskLagTicks = 0, 0, 0
	r.peers = map[ID]*progress{}
	r.refreshMembers()
	r.startHeartbeatRound()
	r.appendEntry(Entry{})
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
		if p != nil && member.Voter && p.silentTicks < r.timing.ElectionTicks && p.match >= r.commitIndex && (best == "" || p.match > bestMatch) {
			best, bestMatch = member.ID, p.match
		}
	}
	if best != "" {
		r.transferTarget, r.transferTicks = best, 0
		r.completeTransfer()
	}
}

// completeTransfer tells the successor to stand once it has the whole log.
func (r *Replica) completeTransfer() {
	if p := r.peers[r.transferTarget]; p != nil && p.match == r.lastIndex() {
		r.timeoutNowSent = true
		r.send(Message{Kind: MsgTimeoutNow, To: r.transferTarget})
	}
}

// abortTransfer ends a hand-over that came to nothing. The one who was told to stand
// may yet do so, and voters that heard this leader will let it: only in a later
// term, in which that word is void, is contact a proof again.
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

func (r *Replica) isUpToDate(m Message) bool {
	last := r.lastIndex()
	lastTerm := r.termAt(last)
	return m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.Index >= last
}
