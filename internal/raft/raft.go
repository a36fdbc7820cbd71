// Raft is the agreement among the cores, as a pure state machine: it is given
// messages, ticks, proposals and reports of finished writes, and returns what
// is to be sent, written and applied. It reads no clock, disk or network; its
// only luck is the seeded source it is made with. Pre-vote, check-quorum,
// leadership transfer, learners, snapshots and membership changes of one
// member at a time are kept; a membership change binds from the moment it is
// in the log. The leader counts its own log only once its disk has reported
// it, so a stalled disk holds up its own vote but not the group's.
package raft

import (
	"math/rand"
	"time"
)

// Role of a core in its group.
type Role uint8

// The roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

// Timing holds the figures of time, counted in ticks.
type Timing struct {
	HeartbeatTicks, ElectionTicks int
}

// Replica is one core's part of the agreement.
type Replica struct {
	id             ID
	timing         Timing
	rng            *rand.Rand
	hardState      HardState
	role           Role
	leader         ID
	members        []Member
	snapshot       Snapshot
	logStart       position
	logTail        LogTail
	entries        []Entry
	commitIndex    Index
	appliedIndex   Index
	syncedIndex    Index
	pendingSyncs   []pendingSync
	chunkBytes     uint64
	incoming       *incomingSnapshot
	elapsedTicks   int
	timeoutTicks   int
	votes          map[ID]bool
	preVoting      bool
	peers          map[ID]*progress
	heartbeatRound uint64
	roundSentAt    [recordedRounds]time.Duration
	now            time.Duration
	leaderHeardAt  time.Duration
	// leaderSilentTicks counts the ticks since a leader was heard, or since the start.
	leaderSilentTicks int
	startState
	// timeoutNowSent tells that another was told to stand in this term.
	timeoutNowSent bool
	hardStateWrite uint64
	// confirmedRound is the newest round of this term's leader that was told as heard.
	confirmedRound  uint64
	quorumLostTicks int
	diskLagTicks    int
	transferTarget  ID
	transferTicks   int
	writesIssued    uint64
	writesDone      uint64
	diskStuckTicks  int
	output          Output
}

// New starts from what the disk holds.
func New(id ID, pace Timing, luck *rand.Rand, hard HardState, base Snapshot, log []Entry) (raft *Replica) {
	raft = &Replica{id: id, timing: pace, rng: luck, hardState: hard, snapshot: base, entries: log}
	raft.logStart = position{base.Index, base.Term}
	raft.chunkBytes = snapshotChunkBytes
	raft.logTail = LogTail{Entries: 4000, Bytes: 4 << 20}
	raft.commitIndex, raft.appliedIndex = base.Index, base.Index
	raft.syncedIndex = raft.lastIndex()
	raft.refreshMembers()
	// A core that has started again has forgotten whom it heard last, and waits
	// until what that one was told has run out, or all others say that they know of
	// nobody either. One that never knew a term has heard nobody. Both ask at once;
	// where there is a leader, the pre-vote fails and harms nothing.
	raft.startState = startState{leaderless: true, incarnation: luck.Uint64() | 1}
	raft.timeoutTicks = raft.shortTimeout()
	raft.leaderSilentTicks = pace.ElectionTicks
	if hard.Term > 0 {
		raft.leaderSilentTicks -= pace.LeaseTicks() + 1
	}
	return raft
}

// Facts for those outside.
func (r *Replica) Role() Role { return r.role }

func (r *Replica) LeaderID() ID { return r.leader }

func (r *Replica) Term() Term { return r.hardState.Term }

func (r *Replica) Members() []Member { return r.members }

func (r *Replica) CommitIndex() Index { return r.commitIndex }

func (r *Replica) LastIndex() Index { return r.lastIndex() }

func (r *Replica) SnapshotIndex() Index { return r.snapshot.Index }

// CommittedInTerm tells whether the leader has committed an entry of its own term.
func (r *Replica) CommittedInTerm() bool {
	return r.role == Leader && r.termAt(r.commitIndex) == r.hardState.Term
}

func (r *Replica) resetTimer() {
	r.elapsedTicks = 0
	r.timeoutTicks = r.timing.ElectionTicks + r.rng.Intn(r.timing.ElectionTicks+1)
}

func (r *Replica) send(m Message) {
	m.From = r.id
	if m.Term == 0 {
		m.Term = r.hardState.Term
	}
	r.output.Messages = append(r.output.Messages, m)
}

// write queues an order for the disk; the answers behind it wait for the sync.
func (r *Replica) write(w Write) {
	for i := range w.AfterSync {
		w.AfterSync[i].From = r.id
		if w.AfterSync[i].Term == 0 {
			w.AfterSync[i].Term = r.hardState.Term
		}
	}
	r.writesIssued++
	if len(w.Entries) > 0 || w.Snapshot != nil {
		r.pendingSyncs = append(r.pendingSyncs, pendingSync{r.writesIssued, r.lastIndex()})
	}
	if w.HardState != nil {
		r.hardStateWrite = r.writesIssued
	}
	r.output.Writes = append(r.output.Writes, w)
}

// reject notes a message of which nothing is taken.
func (r *Replica) reject(m Message, why string) {
	r.output.Rejected = append(r.output.Rejected, Rejection{m.From, m.Kind, why})
}

func (r *Replica) takeOutput() (out Output) {
	r.advanceCommit()
	out = r.output
	r.output = Output{}
	return out
}

func (r *Replica) becomeFollower(term Term, leader ID) {
	if term > r.hardState.Term {
		r.hardState = HardState{Term: term}
		hard := r.hardState
		r.write(Write{HardState: &hard})
	}
	r.role, r.leader, r.preVoting, r.transferTarget, r.confirmedRound = Follower, leader, false, "", 0
	r.peers, r.votes = nil, nil
	r.resetTimer()
}

// Tick moves the steady clock on by one tick.
func (r *Replica) Tick() (out Output) {
	r.elapsedTicks++
	r.leaderSilentTicks++
	if r.writesIssued > r.writesDone {
		r.diskStuckTicks++
	} else {
		r.diskStuckTicks = 0
	}
	if r.role != Leader {
		// A core whose disk stands still could not win and would only raise terms.
		if r.elapsedTicks >= r.timeoutTicks && (r.leaderless || !r.withholdsVote()) && r.isVoter(r.id) && r.diskStuckTicks < r.timing.ElectionTicks {
			r.campaign(true, false)
		}
		return r.takeOutput()
	}
	alive := 0
	for _, member := range r.members {
		p := r.peers[member.ID]
		if p != nil {
			p.silentTicks++
			r.resendIfStalled(member.ID, p)
		}
		if member.Voter && (member.ID == r.id || p != nil && p.silentTicks < r.timing.ElectionTicks) {
			alive++
		}
	}
	if alive <= r.voterCount()/2 || !r.isVoter(r.id) {
		r.quorumLostTicks++
		if r.quorumLostTicks > r.timing.ElectionTicks/2 {
			r.becomeFollower(r.hardState.Term, "")
			return r.takeOutput()
		}
	} else {
		r.quorumLostTicks = 0
	}
	if r.syncedIndex < r.commitIndex {
		r.diskLagTicks++
	} else {
		r.diskLagTicks = 0
	}
	if r.transferTarget != "" {
		if r.transferTicks++; r.transferTicks > r.timing.ElectionTicks {
			r.transferTarget = ""
			if r.timeoutNowSent {
				r.abortTransfer()
				return r.takeOutput()
			}
		} else {
			r.completeTransfer()
		}
	}
	if r.diskLagTicks > r.timing.ElectionTicks && r.transferTarget == "" {
		r.startTransfer()
	}
	if r.elapsedTicks >= r.timing.HeartbeatTicks {
		r.elapsedTicks = 0
		r.startHeartbeatRound()
		for _, member := range r.members {
			if p := r.peers[member.ID]; p != nil {
				r.sendHeartbeat(member.ID, p)
			}
		}
	}
	return r.takeOutput()
}

// Step takes a message from another core.
func (r *Replica) Step(m Message) (out Output) {
	if m.To != r.id {
		return Output{}
	}
	if why := r.rejectReason(&m); why != "" {
		r.reject(m, why)
		return r.takeOutput()
	}
	switch m.Kind {
	case MsgPreVote:
		good := m.Term > r.hardState.Term && r.isUpToDate(m)
		granted, idle := good && !r.withholdsVote(), good && r.knowsNoLeader()
		if (granted || idle) && r.role == Candidate && m.From < r.id {
			r.withdrawCandidacy()
		}
		tell := Message{Kind: MsgPreVoteResponse, To: m.From, Term: m.Term, Reject: !granted, Hint: Index(r.hardState.Term), Round: m.Round}
		if idle {
			tell.Idle, tell.Life, tell.Age = true, r.incarnation, r.sinceStart()
		}
		r.send(tell)
		return r.takeOutput()
	case MsgPreVoteResponse:
		if r.role == Candidate && r.preVoting && m.Term == r.hardState.Term+1 {
			r.votes[m.From] = !m.Reject
			r.recordIdlePeer(m)
			if m.Reject && Term(m.Hint) > r.hardState.Term {
				r.becomeFollower(Term(m.Hint), "")
			} else {
				r.countVotes()
			}
		}
		return r.takeOutput()
	case MsgVote:
		if m.Term > r.hardState.Term {
			if !m.Force && r.withholdsVote() && !(r.knowsNoLeader() && m.Life == r.incarnation) {
				return Output{}
			}
			r.becomeFollower(m.Term, "")
		}
	default:
		if m.Term > r.hardState.Term {
			leader := ID("")
			if m.Kind == MsgAppend || m.Kind == MsgSnapshot || m.Kind == MsgSnapshotChunk {
				leader = m.From
			}
			r.becomeFollower(m.Term, leader)
		}
	}
	if m.Term < r.hardState.Term {
		if m.Kind == MsgAppend || m.Kind == MsgSnapshot || m.Kind == MsgSnapshotChunk {
			r.send(Message{Kind: MsgAppendResponse, To: m.From, Reject: true, Index: m.Index, Hint: r.lastIndex()})
		}
		return r.takeOutput()
	}
	switch m.Kind {
	case MsgVote:
		granted := (r.hardState.Vote == "" || r.hardState.Vote == m.From) && r.isUpToDate(m)
		tell := Message{Kind: MsgVoteResponse, To: m.From, Reject: !granted}
		if granted {
			r.hardState.Vote = m.From
			hard := r.hardState
			r.resetTimer()
			r.write(Write{HardState: &hard, AfterSync: []Message{tell}})
		} else {
			r.send(tell)
		}
	case MsgVoteResponse:
		if r.role == Candidate && !r.preVoting {
			r.votes[m.From] = !m.Reject
			r.countVotes()
		}
	case MsgAppend:
		r.handleAppend(m)
	case MsgSnapshot:
		r.installSnapshot(m)
	case MsgSnapshotChunk:
		r.handleSnapshotChunk(m)
	case MsgAppendResponse, MsgSnapshotChunkResponse:
		r.handleFollowerResponse(m)
	case MsgHeartbeatResponse:
		r.handleHeartbeatResponse(m)
	case MsgTimeoutNow:
		if r.isVoter(r.id) {
			r.campaign(false, true)
		}
	}
	return r.takeOutput()
}
