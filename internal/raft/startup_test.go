package raft

import (
	"math/rand"
	"testing"
	"time"
)

// restarted is a core of three, or four with a learner, that has started again in
// term 5 and asks at some time.
func restarted(asked time.Duration, learner bool) (r *Replica) {
	members := []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	if learner {
		members = append(members, Member{ID: "d"})
	}
	r = New("a", Timing{HeartbeatTicks, ElectionTicks}, rand.New(rand.NewSource(1)), HardState{Term: 5}, Snapshot{Index: 9, Term: 5, Members: members}, nil)
	r.At(0)
	for r.role != Candidate {
		r.At(asked).Tick()
	}
	return r
}

// The word of all that they know nobody replaces the wait; each row lacks one of
// the things that make it a proof.
func TestOnlyTheWordOfAllReplacesTheWait(t *testing.T) {
	word := func(from ID, attempt, life uint64, age time.Duration) Message {
		return Message{Kind: MsgPreVoteResponse, From: from, To: "a", Term: 6, Reject: true, Hint: 5, Round: attempt, Idle: true, Incarnation: life, SinceStart: age}
	}
	at, later := 300*time.Millisecond, 310*time.Millisecond
	young := word("c", 1, 8, 5*time.Millisecond)
	early := word("c", 9, 8, time.Second)
	bound := Message{Kind: MsgPreVoteResponse, From: "c", To: "a", Term: 6, Reject: true, Hint: 5, Round: 1}
	whole := word("c", 1, 8, time.Second)
	for name, c := range map[string]struct {
		third   Message
		learner bool
		stands  bool
	}{
		"all say so":                             {whole, false, true},
		"one is bound by a leader":               {bound, false, false},
		"one started after it was asked":         {young, false, false},
		"one answered another asking":            {early, false, false},
		"a learner that may lead has not spoken": {whole, true, false},
	} {
		r := restarted(at, c.learner)
		r.At(later).Step(word("b", 1, 7, time.Second))
		out := r.At(later).Step(c.third)
		var asks []Message
		for _, write := range out.Writes {
			asks = append(asks, write.AfterSync...)
		}
		if stands := r.role == Candidate && !r.preVoting; stands != c.stands {
			t.Errorf("%s: stands %v", name, stands)
		}
		for _, ask := range asks {
			if want := map[ID]uint64{"b": 7, "c": 8}[ask.To]; ask.Kind != MsgVote || ask.Incarnation != want {
				t.Errorf("%s: %+v", name, ask)
			}
		}
	}
}

// A vote that is asked of one start is not given by another, nor by one that has
// heard a leader since it gave its word, nor by one that stands itself.
func TestAVoteIsGivenByTheStartThatGaveItsWord(t *testing.T) {
	ask := func(r *Replica, life uint64) Message {
		return Message{Kind: MsgVote, From: "c", To: "a", Term: 7, Index: 9, LogTerm: 5, Incarnation: life}
	}
	for name, c := range map[string]struct {
		do     func(r *Replica)
		other  uint64
		grants bool
	}{
		"the same start": {func(*Replica) {}, 0, true},
		"another start":  {func(*Replica) {}, 2, false},
		"a leader is known": {func(r *Replica) {
			r.Step(Message{Kind: MsgAppend, From: "b", To: "a", Term: 6, Index: 9, LogTerm: 5, Round: 1})
		}, 0, false},
		"it stands itself":  {func(r *Replica) { r.campaign(false, false) }, 0, false},
		"no start is named": {func(r *Replica) { r.incarnation = 4 }, 4, false},
	} {
		r := restarted(time.Millisecond, false)
		life := r.incarnation
		c.do(r)
		r.Step(ask(r, life^c.other))
		if granted := r.hardState.Term == 7 && r.hardState.Vote == "c"; granted != c.grants {
			t.Errorf("%s: granted %v", name, granted)
		}
	}
}
