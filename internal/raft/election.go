package raft

// electionState times the next candidacy and counts its votes.
type electionState struct {
	// elapsedTicks counts since the last reset; a candidacy is due at timeoutTicks.
	// On a leader it counts towards the next heartbeat.
	elapsedTicks int
	timeoutTicks int
	// leaderSilentTicks counts the ticks since a leader was heard, or since the start.
	leaderSilentTicks int
	votes             map[ID]bool
	// preVoting tells a candidate that only asks whether it would get the votes.
	preVoting bool
}

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
		ask := Message{
			Kind: kind, To: member.ID, Term: term, Index: r.lastIndex(), LogTerm: r.termAt(r.lastIndex()),
			Force: force, Incarnation: lives[member.ID],
		}
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

// delayCampaign sets when this replica asks again. Where no leader was known since the
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
	r.elapsedTicks, r.quorumLostTicks, r.diskLagTicks, r.diskTarget = 0, 0, 0, 0
	r.peers = map[ID]*progress{}
	r.refreshMembers()
	r.startHeartbeatRound()
	r.appendEntry(Entry{})
}

func (r *Replica) isUpToDate(m Message) bool {
	last := r.lastIndex()
	lastTerm := r.termAt(last)
	return m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.Index >= last
}

func (r *Replica) handlePreVote(m Message) {
	electable := m.Term > r.hardState.Term && r.isUpToDate(m)
	granted, idle := electable && !r.withholdsVote(), electable && r.knowsNoLeader()
	if (granted || idle) && r.role == Candidate && m.From < r.id {
		r.withdrawCandidacy()
	}
	response := Message{
		Kind: MsgPreVoteResponse, To: m.From, Term: m.Term, Reject: !granted, Hint: Index(r.hardState.Term), Round: m.Round,
	}
	if idle {
		response.Idle, response.Incarnation, response.SinceStart = true, r.incarnation, r.sinceStart()
	}
	r.send(response)
}

func (r *Replica) handlePreVoteResponse(m Message) {
	if r.role != Candidate || !r.preVoting || m.Term != r.hardState.Term+1 {
		return
	}
	r.votes[m.From] = !m.Reject
	r.recordIdlePeer(m)
	if m.Reject && Term(m.Hint) > r.hardState.Term {
		r.becomeFollower(Term(m.Hint), "")
	} else {
		r.countVotes()
	}
}

// ignoresVote tells that a vote of a later term is not even answered: a leader may be
// active, the candidate is not the target of a transfer, and it was not this start of
// this replica that answered it with Idle.
func (r *Replica) ignoresVote(m Message) bool {
	return m.Term > r.hardState.Term && !m.Force && r.withholdsVote() && !(r.knowsNoLeader() && m.Incarnation == r.incarnation)
}

// handleVote answers a candidate of this term; a vote goes out once it is on disk.
func (r *Replica) handleVote(m Message) {
	granted := (r.hardState.Vote == "" || r.hardState.Vote == m.From) && r.isUpToDate(m)
	response := Message{Kind: MsgVoteResponse, To: m.From, Reject: !granted}
	if !granted {
		r.send(response)
		return
	}
	r.hardState.Vote = m.From
	hard := r.hardState
	r.resetTimer()
	r.write(Write{HardState: &hard, AfterSync: []Message{response}})
}

func (r *Replica) handleVoteResponse(m Message) {
	if r.role == Candidate && !r.preVoting {
		r.votes[m.From] = !m.Reject
		r.countVotes()
	}
}
