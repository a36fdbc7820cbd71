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
	id        ID
	pace      Timing
	luck      *rand.Rand
	hard      HardState
	role      Role
	leader    ID
	members   []Member
	base      Snapshot
	start     place
	tail      LogTail
	log       []Entry
	commit    Index
	applied   Index
	synced    Index
	marks     []mark
	partSize  uint64
	gathering *gathering
	elapsed   int
	timeout   int
	votes     map[ID]bool
	pre       bool
	peers     map[ID]*progress
	round     uint64
	sent      [roundsKept]time.Duration
	now       time.Duration
	heardAt   time.Duration
	// silence counts the ticks since a leader was heard, or since the start.
	silence int
	restart
	// yielded tells that another was told to stand in this term.
	yielded bool
	hardAt  uint64
	// told is the newest round of this term's leader that was told as heard.
	told       uint64
	quorumAt   int
	lag        int
	transfer   ID
	transferAt int
	issued     uint64
	done       uint64
	stuck      int
	out        Output
}

// New starts from what the disk holds.
func New(id ID, pace Timing, luck *rand.Rand, hard HardState, base Snapshot, log []Entry) (raft *Replica) {
	raft = &Replica{id: id, pace: pace, luck: luck, hard: hard, base: base, log: log}
	raft.start = place{base.Index, base.Term}
	raft.partSize = partSize
	raft.tail = LogTail{Entries: 4000, Bytes: 4 << 20}
	raft.commit, raft.applied = base.Index, base.Index
	raft.synced = raft.lastIndex()
	raft.refreshMembers()
	// A core that has started again has forgotten whom it heard last, and waits
	// until what that one was told has run out, or all others say that they know of
	// nobody either. One that never knew a term has heard nobody. Both ask at once;
	// where there is a leader, the pre-vote fails and harms nothing.
	raft.restart = restart{fresh: true, life: luck.Uint64() | 1}
	raft.timeout = raft.soon()
	raft.silence = pace.ElectionTicks
	if hard.Term > 0 {
		raft.silence -= pace.LeaseTicks() + 1
	}
	return raft
}

// Facts for those outside.
func (r *Replica) Role() Role { return r.role }

func (r *Replica) LeaderID() ID { return r.leader }

func (r *Replica) Term() Term { return r.hard.Term }

func (r *Replica) Members() []Member { return r.members }

func (r *Replica) CommitIndex() Index { return r.commit }

func (r *Replica) LastIndex() Index { return r.lastIndex() }

func (r *Replica) SnapshotIndex() Index { return r.base.Index }

// CommittedInTerm tells whether the leader has committed an entry of its own term.
func (r *Replica) CommittedInTerm() bool {
	return r.role == Leader && r.termAt(r.commit) == r.hard.Term
}

func (r *Replica) resetTimer() {
	r.elapsed = 0
	r.timeout = r.pace.ElectionTicks + r.luck.Intn(r.pace.ElectionTicks+1)
}

func (r *Replica) send(m Message) {
	m.From = r.id
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	r.out.Messages = append(r.out.Messages, m)
}

// write queues an order for the disk; the answers behind it wait for the sync.
func (r *Replica) write(w Write) {
	for i := range w.AfterSync {
		w.AfterSync[i].From = r.id
		if w.AfterSync[i].Term == 0 {
			w.AfterSync[i].Term = r.hard.Term
		}
	}
	r.issued++
	if len(w.Entries) > 0 || w.Snapshot != nil {
		r.marks = append(r.marks, mark{r.issued, r.lastIndex()})
	}
	if w.HardState != nil {
		r.hardAt = r.issued
	}
	r.out.Writes = append(r.out.Writes, w)
}

// refuse notes a message of which nothing is taken.
func (r *Replica) refuse(m Message, why string) {
	r.out.Rejected = append(r.out.Rejected, Rejection{m.From, m.Kind, why})
}

func (r *Replica) flush() (out Output) {
	r.advance()
	out = r.out
	r.out = Output{}
	return out
}

func (r *Replica) follow(term Term, leader ID) {
	if term > r.hard.Term {
		r.hard = HardState{Term: term}
		hard := r.hard
		r.write(Write{HardState: &hard})
	}
	r.role, r.leader, r.pre, r.transfer, r.told = Follower, leader, false, "", 0
	r.peers, r.votes = nil, nil
	r.resetTimer()
}

// Tick moves the steady clock on by one tick.
func (r *Replica) Tick() (out Output) {
	r.elapsed++
	r.silence++
	if r.issued > r.done {
		r.stuck++
	} else {
		r.stuck = 0
	}
	if r.role != Leader {
		// A core whose disk stands still could not win and would only raise terms.
		if r.elapsed >= r.timeout && (r.fresh || !r.bound()) && r.voter(r.id) && r.stuck < r.pace.ElectionTicks {
			r.campaign(true, false)
		}
		return r.flush()
	}
	alive := 0
	for _, member := range r.members {
		p := r.peers[member.ID]
		if p != nil {
			p.heard++
			r.recover(member.ID, p)
		}
		if member.Voter && (member.ID == r.id || p != nil && p.heard < r.pace.ElectionTicks) {
			alive++
		}
	}
	if alive <= r.voters()/2 || !r.voter(r.id) {
		r.quorumAt++
		if r.quorumAt > r.pace.ElectionTicks/2 {
			r.follow(r.hard.Term, "")
			return r.flush()
		}
	} else {
		r.quorumAt = 0
	}
	if r.synced < r.commit {
		r.lag++
	} else {
		r.lag = 0
	}
	if r.transfer != "" {
		if r.transferAt++; r.transferAt > r.pace.ElectionTicks {
			r.transfer = ""
			if r.yielded {
				r.renewTerm()
				return r.flush()
			}
		} else {
			r.relieve()
		}
	}
	if r.lag > r.pace.ElectionTicks && r.transfer == "" {
		r.startTransfer()
	}
	if r.elapsed >= r.pace.HeartbeatTicks {
		r.elapsed = 0
		r.beginRound()
		for _, member := range r.members {
			if p := r.peers[member.ID]; p != nil {
				r.beat(member.ID, p)
			}
		}
	}
	return r.flush()
}

// Step takes a message from another core.
func (r *Replica) Step(m Message) (out Output) {
	if m.To != r.id {
		return Output{}
	}
	if why := r.impossible(&m); why != "" {
		r.refuse(m, why)
		return r.flush()
	}
	switch m.Kind {
	case MsgPreVote:
		good := m.Term > r.hard.Term && r.upToDate(m)
		granted, idle := good && !r.bound(), good && r.knowsNobody()
		if (granted || idle) && r.role == Candidate && m.From < r.id {
			r.standBack()
		}
		tell := Message{Kind: MsgPreVoteResponse, To: m.From, Term: m.Term, Reject: !granted, Hint: Index(r.hard.Term), Round: m.Round}
		if idle {
			tell.Idle, tell.Life, tell.Age = true, r.life, r.age()
		}
		r.send(tell)
		return r.flush()
	case MsgPreVoteResponse:
		if r.role == Candidate && r.pre && m.Term == r.hard.Term+1 {
			r.votes[m.From] = !m.Reject
			r.noteIdle(m)
			if m.Reject && Term(m.Hint) > r.hard.Term {
				r.follow(Term(m.Hint), "")
			} else {
				r.countVotes()
			}
		}
		return r.flush()
	case MsgVote:
		if m.Term > r.hard.Term {
			if !m.Force && r.bound() && !(r.knowsNobody() && m.Life == r.life) {
				return Output{}
			}
			r.follow(m.Term, "")
		}
	default:
		if m.Term > r.hard.Term {
			leader := ID("")
			if m.Kind == MsgAppend || m.Kind == MsgSnapshot || m.Kind == MsgSnapshotChunk {
				leader = m.From
			}
			r.follow(m.Term, leader)
		}
	}
	if m.Term < r.hard.Term {
		if m.Kind == MsgAppend || m.Kind == MsgSnapshot || m.Kind == MsgSnapshotChunk {
			r.send(Message{Kind: MsgAppendResponse, To: m.From, Reject: true, Index: m.Index, Hint: r.lastIndex()})
		}
		return r.flush()
	}
	switch m.Kind {
	case MsgVote:
		granted := (r.hard.Vote == "" || r.hard.Vote == m.From) && r.upToDate(m)
		tell := Message{Kind: MsgVoteResponse, To: m.From, Reject: !granted}
		if granted {
			r.hard.Vote = m.From
			hard := r.hard
			r.resetTimer()
			r.write(Write{HardState: &hard, AfterSync: []Message{tell}})
		} else {
			r.send(tell)
		}
	case MsgVoteResponse:
		if r.role == Candidate && !r.pre {
			r.votes[m.From] = !m.Reject
			r.countVotes()
		}
	case MsgAppend:
		r.takeAppend(m)
	case MsgSnapshot:
		r.takeInstall(m)
	case MsgSnapshotChunk:
		r.takePart(m)
	case MsgAppendResponse, MsgSnapshotChunkResponse:
		r.takeTell(m)
	case MsgHeartbeatResponse:
		r.takeHeard(m)
	case MsgTimeoutNow:
		if r.voter(r.id) {
			r.campaign(false, true)
		}
	}
	return r.flush()
}
