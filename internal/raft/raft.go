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

// Pace holds the figures of time, counted in ticks.
type Pace struct {
	Beat, Election int
}

// Raft is one core's part of the agreement.
type Raft struct {
	id        ID
	pace      Pace
	luck      *rand.Rand
	hard      Hard
	role      Role
	leader    ID
	members   []Member
	base      Snapshot
	start     place
	tail      Tail
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

// NewRaft starts from what the disk holds.
func NewRaft(id ID, pace Pace, luck *rand.Rand, hard Hard, base Snapshot, log []Entry) (raft *Raft) {
	raft = &Raft{id: id, pace: pace, luck: luck, hard: hard, base: base, log: log}
	raft.start = place{base.Index, base.Term}
	raft.partSize = partSize
	raft.tail = Tail{Entries: 4000, Bytes: 4 << 20}
	raft.commit, raft.applied = base.Index, base.Index
	raft.synced = raft.lastIndex()
	raft.refreshMembers()
	// A core that has started again has forgotten whom it heard last, and waits
	// until what that one was told has run out, or all others say that they know of
	// nobody either. One that never knew a term has heard nobody. Both ask at once;
	// where there is a leader, the pre-vote fails and harms nothing.
	raft.restart = restart{fresh: true, life: luck.Uint64() | 1}
	raft.timeout = raft.soon()
	raft.silence = pace.Election
	if hard.Term > 0 {
		raft.silence -= pace.Lease() + 1
	}
	return raft
}

// Facts for those outside.
func (r *Raft) Role() Role { return r.role }

func (r *Raft) LeaderID() ID { return r.leader }

func (r *Raft) Term() Term { return r.hard.Term }

func (r *Raft) Members() []Member { return r.members }

func (r *Raft) Commit() Index { return r.commit }

func (r *Raft) Last() Index { return r.lastIndex() }

func (r *Raft) Base() Index { return r.base.Index }

// Settled tells whether the leader has committed an entry of its own term.
func (r *Raft) Settled() bool {
	return r.role == Leader && r.termAt(r.commit) == r.hard.Term
}

func (r *Raft) resetTimer() {
	r.elapsed = 0
	r.timeout = r.pace.Election + r.luck.Intn(r.pace.Election+1)
}

func (r *Raft) send(m Message) {
	m.From = r.id
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	r.out.Send = append(r.out.Send, m)
}

// write queues an order for the disk; the answers behind it wait for the sync.
func (r *Raft) write(w Write) {
	for i := range w.After {
		w.After[i].From = r.id
		if w.After[i].Term == 0 {
			w.After[i].Term = r.hard.Term
		}
	}
	r.issued++
	if len(w.Entries) > 0 || w.Snapshot != nil {
		r.marks = append(r.marks, mark{r.issued, r.lastIndex()})
	}
	if w.Hard != nil {
		r.hardAt = r.issued
	}
	r.out.Writes = append(r.out.Writes, w)
}

// refuse notes a message of which nothing is taken.
func (r *Raft) refuse(m Message, why string) {
	r.out.Refused = append(r.out.Refused, Refusal{m.From, m.Kind, why})
}

func (r *Raft) flush() (out Output) {
	r.advance()
	out = r.out
	r.out = Output{}
	return out
}

func (r *Raft) follow(term Term, leader ID) {
	if term > r.hard.Term {
		r.hard = Hard{Term: term}
		hard := r.hard
		r.write(Write{Hard: &hard})
	}
	r.role, r.leader, r.pre, r.transfer, r.told = Follower, leader, false, "", 0
	r.peers, r.votes = nil, nil
	r.resetTimer()
}

// Tick moves the steady clock on by one tick.
func (r *Raft) Tick() (out Output) {
	r.elapsed++
	r.silence++
	if r.issued > r.done {
		r.stuck++
	} else {
		r.stuck = 0
	}
	if r.role != Leader {
		// A core whose disk stands still could not win and would only raise terms.
		if r.elapsed >= r.timeout && (r.fresh || !r.bound()) && r.voter(r.id) && r.stuck < r.pace.Election {
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
		if member.Voter && (member.ID == r.id || p != nil && p.heard < r.pace.Election) {
			alive++
		}
	}
	if alive <= r.voters()/2 || !r.voter(r.id) {
		r.quorumAt++
		if r.quorumAt > r.pace.Election/2 {
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
		if r.transferAt++; r.transferAt > r.pace.Election {
			r.transfer = ""
			if r.yielded {
				r.renewTerm()
				return r.flush()
			}
		} else {
			r.relieve()
		}
	}
	if r.lag > r.pace.Election && r.transfer == "" {
		r.HandOver()
	}
	if r.elapsed >= r.pace.Beat {
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
func (r *Raft) Step(m Message) (out Output) {
	if m.To != r.id {
		return Output{}
	}
	if why := r.impossible(&m); why != "" {
		r.refuse(m, why)
		return r.flush()
	}
	switch m.Kind {
	case AskPreVote:
		good := m.Term > r.hard.Term && r.upToDate(m)
		granted, idle := good && !r.bound(), good && r.knowsNobody()
		if (granted || idle) && r.role == Candidate && m.From < r.id {
			r.standBack()
		}
		tell := Message{Kind: TellPreVote, To: m.From, Term: m.Term, Reject: !granted, Hint: Index(r.hard.Term), Round: m.Round}
		if idle {
			tell.Idle, tell.Life, tell.Age = true, r.life, r.age()
		}
		r.send(tell)
		return r.flush()
	case TellPreVote:
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
	case AskVote:
		if m.Term > r.hard.Term {
			if !m.Force && r.bound() && !(r.knowsNobody() && m.Life == r.life) {
				return Output{}
			}
			r.follow(m.Term, "")
		}
	default:
		if m.Term > r.hard.Term {
			leader := ID("")
			if m.Kind == Append || m.Kind == Install || m.Kind == InstallPart {
				leader = m.From
			}
			r.follow(m.Term, leader)
		}
	}
	if m.Term < r.hard.Term {
		if m.Kind == Append || m.Kind == Install || m.Kind == InstallPart {
			r.send(Message{Kind: TellAppend, To: m.From, Reject: true, Index: m.Index, Hint: r.lastIndex()})
		}
		return r.flush()
	}
	switch m.Kind {
	case AskVote:
		granted := (r.hard.Vote == "" || r.hard.Vote == m.From) && r.upToDate(m)
		tell := Message{Kind: TellVote, To: m.From, Reject: !granted}
		if granted {
			r.hard.Vote = m.From
			hard := r.hard
			r.resetTimer()
			r.write(Write{Hard: &hard, After: []Message{tell}})
		} else {
			r.send(tell)
		}
	case TellVote:
		if r.role == Candidate && !r.pre {
			r.votes[m.From] = !m.Reject
			r.countVotes()
		}
	case Append:
		r.takeAppend(m)
	case Install:
		r.takeInstall(m)
	case InstallPart:
		r.takePart(m)
	case TellAppend, TellPart:
		r.takeTell(m)
	case TellHeard:
		r.takeHeard(m)
	case TimeoutNow:
		if r.voter(r.id) {
			r.campaign(false, true)
		}
	}
	return r.flush()
}
