// Package raft is the consensus among the controllers as a pure state machine: a
// Replica is given messages (Step), ticks (Tick), proposals and reports of finished
// writes, and returns as Output what is to be sent, written and applied.
//
// It reads no clock, disk or network; its only randomness is the seeded source it is
// made with, so a run replays from its seed. It has pre-vote, check-quorum, leader
// leases, leadership transfer, learners, snapshots in chunks, and membership changes of
// one member at a time, which bind from the moment they are in the log. The leader
// counts its own log only once its disk has reported it, so a stalled disk holds up
// its own vote but not the group's.
//
// A Replica belongs to one goroutine: nothing in it may be called from two at a time.
package raft

import (
	"math/rand"
	"time"
)

// Role of a replica in its group.
type Role uint8

// The roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

// Timing is how often a leader sends heartbeats, and the shortest time to an election;
// the longest is twice as long. Both are in ticks.
type Timing struct {
	HeartbeatTicks, ElectionTicks int
}

// Replica is one member's part of the consensus. Its parts keep the state of one
// concern each and stand in the files of that concern.
type Replica struct {
	id        ID
	timing    Timing
	rng       *rand.Rand
	role      Role
	leader    ID
	members   []Member
	hardState HardState
	// now is the steady time of the driver, set by At.
	now time.Duration
	// peers is what a leader knows of the other members; nil on all but the leader.
	peers map[ID]*progress

	raftLog
	writeQueue
	electionState
	startState
	heartbeatState
	leaderHealth
	transferState
	snapshotTransfer

	output Output
}

// New starts a replica from what its disk holds; the log lies behind the snapshot.
func New(id ID, timing Timing, rng *rand.Rand, hard HardState, snapshot Snapshot, log []Entry) (replica *Replica) {
	r := &Replica{id: id, timing: timing, rng: rng, hardState: hard}
	r.raftLog = raftLog{
		snapshot: snapshot, logStart: position{snapshot.Index, snapshot.Term}, entries: log,
		logTail: LogTail{Entries: 4000, Bytes: 4 << 20}, commitIndex: snapshot.Index, appliedIndex: snapshot.Index,
	}
	r.chunkBytes = snapshotChunkBytes
	r.syncedIndex = r.lastIndex()
	r.refreshMembers()
	// A replica that has started again has forgotten whom it heard last. It withholds
	// its vote until the lease that it may have confirmed has run out, unless all others
	// say that they have known no leader either. One that never knew a term has heard
	// nobody. Both ask at once; where there is a leader, the pre-vote fails and harms nothing.
	r.startState = startState{leaderless: true, incarnation: rng.Uint64() | 1}
	r.timeoutTicks = r.shortTimeout()
	r.leaderSilentTicks = timing.ElectionTicks
	if hard.Term > 0 {
		r.leaderSilentTicks -= timing.LeaseTicks() + 1
	}
	return r
}

// Role is what this replica is in its group now.
func (r *Replica) Role() Role { return r.role }

// Timing is the timing that this replica was made with.
func (r *Replica) Timing() Timing { return r.timing }

// LeaderID is the leader of the term, empty where none is known.
func (r *Replica) LeaderID() ID { return r.leader }

// Term is the current term.
func (r *Replica) Term() Term { return r.hardState.Term }

// Members is the newest configuration in the log, committed or not; it is not to be changed.
func (r *Replica) Members() []Member { return r.members }

// CommitIndex is the last entry known to be committed.
func (r *Replica) CommitIndex() Index { return r.commitIndex }

// LastIndex is the last entry of the log in memory, synced or not.
func (r *Replica) LastIndex() Index { return r.lastIndex() }

// SnapshotIndex is the last entry that the newest snapshot stands for.
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

// write queues a write for the disk; the messages behind it wait for the sync.
func (r *Replica) write(w Write) {
	for i := range w.AfterSync {
		w.AfterSync[i].From = r.id
		if w.AfterSync[i].Term == 0 {
			w.AfterSync[i].Term = r.hardState.Term
		}
	}
	r.issue(w, r.lastIndex())
	r.output.Writes = append(r.output.Writes, w)
}

// reject reports a message of which nothing was taken.
func (r *Replica) reject(m Message, why string) {
	r.output.Rejected = append(r.output.Rejected, Rejection{m.From, m.Kind, why})
}

// takeOutput ends a step: it commits what can be committed and hands the output over.
func (r *Replica) takeOutput() (out Output) {
	r.advanceCommit()
	out = r.output
	r.output = Output{}
	return out
}

// becomeFollower gives up any candidacy or leadership; a later term is stored.
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

// Tick moves the timers on by one tick.
func (r *Replica) Tick() (out Output) {
	r.elapsedTicks++
	r.leaderSilentTicks++
	r.tickDisk()
	if r.role == Leader {
		r.tickLeader()
	} else if r.campaignDue() {
		r.campaign(true, false)
	}
	return r.takeOutput()
}

// campaignDue tells whether to ask for votes now. A replica whose disk stands still
// could not win and would only raise terms.
func (r *Replica) campaignDue() (due bool) {
	return r.elapsedTicks >= r.timeoutTicks && (r.leaderless || !r.withholdsVote()) && r.isVoter(r.id) &&
		r.diskStuckTicks < r.timing.ElectionTicks
}

func (r *Replica) tickLeader() {
	if !r.checkQuorum() {
		r.becomeFollower(r.hardState.Term, "")
		return
	}
	r.tickDiskLag()
	if r.tickTransfer() {
		return
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
}

// leaderHealth is what a leader watches to step down, or to hand over, in time.
type leaderHealth struct {
	// quorumLostTicks counts the ticks without a majority in touch.
	quorumLostTicks int
	// diskLagTicks counts the ticks for which its own disk lacks what was committed up to diskTarget.
	diskTarget   Index
	diskLagTicks int
}

// tickDiskLag measures how long the leader's own disk takes for what is committed. As with a member's rounds the
// target stays until the disk holds it: of a log that is always written to, the last commit may never be on disk.
func (r *Replica) tickDiskLag() {
	if r.syncedIndex < r.diskTarget {
		r.diskLagTicks++
		return
	}
	r.diskTarget, r.diskLagTicks = r.commitIndex, 0
}

// checkQuorum counts the silence of each member; it is false once no majority of
// voters has been heard for half an election, or the leader is no voter any more.
func (r *Replica) checkQuorum() (keeps bool) {
	alive := 0
	for _, member := range r.members {
		p := r.peers[member.ID]
		if p != nil {
			p.silentTicks++
			r.tickCatchUp(p)
			r.resendIfStalled(member.ID, p)
		}
		if member.Voter && (member.ID == r.id || p != nil && p.silentTicks < r.timing.ElectionTicks) {
			alive++
		}
	}
	if alive > r.voterCount()/2 && r.isVoter(r.id) {
		r.quorumLostTicks = 0
		return true
	}
	r.quorumLostTicks++
	return r.quorumLostTicks <= r.timing.ElectionTicks/2
}

// Step takes a message from another member.
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
		r.handlePreVote(m)
		return r.takeOutput()
	case MsgPreVoteResponse:
		r.handlePreVoteResponse(m)
		return r.takeOutput()
	case MsgVote:
		if r.ignoresVote(m) {
			return Output{}
		}
	}
	if m.Term > r.hardState.Term {
		leader := ID("")
		if m.fromLeader() {
			leader = m.From
		}
		r.becomeFollower(m.Term, leader)
	}
	if m.Term < r.hardState.Term {
		// The answer carries the newer term, at which an outdated leader steps down.
		if m.fromLeader() {
			r.send(Message{Kind: MsgAppendResponse, To: m.From, Reject: true, Index: m.Index, Hint: r.lastIndex()})
		}
		return r.takeOutput()
	}
	r.stepInTerm(m)
	return r.takeOutput()
}

// stepInTerm takes a message of the current term.
func (r *Replica) stepInTerm(m Message) {
	switch m.Kind {
	case MsgVote:
		r.handleVote(m)
	case MsgVoteResponse:
		r.handleVoteResponse(m)
	case MsgAppend:
		r.handleAppend(m)
	case MsgSnapshot:
		r.installSnapshot(m)
	case MsgSnapshotChunk:
		r.handleSnapshotChunk(m)
	case MsgAppendResponse:
		r.handleAppendResponse(m)
	case MsgSnapshotChunkResponse:
		r.handleSnapshotChunkResponse(m)
	case MsgHeartbeatResponse:
		r.recordResponse(m)
	case MsgTimeoutNow:
		if r.isVoter(r.id) {
			r.campaign(false, true)
		}
	}
}
