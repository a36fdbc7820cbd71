// Elections: pre-vote, vote and the hand-over of leadership to the member
// that has the whole log.
package raft

func (r *Replica) campaign(pre, force bool) {
	r.role, r.leader, r.pre = Candidate, "", pre
	r.askLater()
	r.votes = map[ID]bool{r.id: true}
	term := r.hard.Term + 1
	kind := MsgPreVote
	if pre {
		r.beginAsking()
	} else {
		kind = MsgVote
		r.hard = HardState{Term: term, Vote: r.id}
	}
	lives := r.lives()
	var asks []Message
	for _, member := range r.members {
		if member.ID == r.id || !member.Voter && !(pre && r.fresh) {
			continue
		}
		ask := Message{Kind: kind, To: member.ID, Term: term, Index: r.lastIndex(), LogTerm: r.termAt(r.lastIndex()), Force: force, Life: lives[member.ID]}
		if pre {
			ask.Round = r.attempt
		}
		asks = append(asks, ask)
	}
	if pre {
		for _, ask := range asks {
			r.send(ask)
		}
	} else {
		hard := r.hard
		r.write(Write{HardState: &hard, AfterSync: asks})
	}
	r.countVotes()
}

// askLater sets when this core asks again. Where no leader was known since the
// start that is soon, as others that have started a moment later may say no now;
// but a vote gets its time, since terms and disks are used up by it.
func (r *Replica) askLater() {
	r.resetTimer()
	if r.fresh && r.pre {
		r.timeout = r.soon()
	}
}

// standBack leaves the vote to another that asks at the same time and is as good:
// of two that stand, neither would win. One that stands already goes on.
func (r *Replica) standBack() {
	if !r.pre {
		return
	}
	r.askLater()
	r.role, r.votes, r.pre = Follower, nil, false
}

func (r *Replica) countVotes() {
	yes := 0
	for id, granted := range r.votes {
		if granted && r.voter(id) {
			yes++
		}
	}
	if r.pre && r.lives() != nil {
		r.campaign(false, false)
		return
	}
	if yes <= r.voters()/2 || r.pre && r.bound() {
		return
	}
	if r.pre {
		r.campaign(false, false)
		return
	}
	r.lead()
}

func (r *Replica) lead() {
	r.role, r.leader, r.transfer, r.yielded, r.fresh = Leader, r.id, "", false, false
	r.elapsed, r.quorumAt, r.lag = 0, 0, 0
	r.peers = map[ID]*progress{}
	r.refreshMembers()
	r.beginRound()
	r.push(Entry{})
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
		if p != nil && member.Voter && p.heard < r.pace.ElectionTicks && p.match >= r.commit && (best == "" || p.match > bestMatch) {
			best, bestMatch = member.ID, p.match
		}
	}
	if best != "" {
		r.transfer, r.transferAt = best, 0
		r.relieve()
	}
}

// relieve tells the successor to stand once it has the whole log.
func (r *Replica) relieve() {
	if p := r.peers[r.transfer]; p != nil && p.match == r.lastIndex() {
		r.yielded = true
		r.send(Message{Kind: MsgTimeoutNow, To: r.transfer})
	}
}

// renewTerm ends a hand-over that came to nothing. The one who was told to stand
// may yet do so, and voters that heard this leader will let it: only in a later
// term, in which that word is void, is contact a proof again.
func (r *Replica) renewTerm() {
	if r.stuck >= r.pace.ElectionTicks || !r.voter(r.id) {
		r.follow(r.hard.Term, "")
		return
	}
	r.campaign(false, true)
}

// AcceptsProposals tells whether the leader takes proposals now, or hands over.
func (r *Replica) AcceptsProposals() bool { return r.role == Leader && r.transfer == "" }

// TransferLeadership hands the leadership over and returns what to send.
func (r *Replica) TransferLeadership() (out Output) {
	r.startTransfer()
	return r.flush()
}

func (r *Replica) upToDate(m Message) bool {
	last := r.lastIndex()
	lastTerm := r.termAt(last)
	return m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.Index >= last
}
