package simulation

// The invariants hold at each step: one leader a term, one vote a controller and term, logs
// that match, one committed entry an index, and nothing acknowledged that is not on disk.

import (
	"encoding/binary"
	"hash/fnv"

	"tinpin/internal/raft"
)

type entryID struct {
	index raft.Index
	term  raft.Term
}

type voteID struct {
	id   raft.ID
	term raft.Term
}

type entryRecord struct {
	digest uint64
	before raft.Term
}

// InvariantChecker of one run.
type InvariantChecker struct {
	cluster *Cluster
	leaders map[raft.Term]raft.ID
	votes   map[voteID]raft.ID
	agreed  map[raft.Index]uint64
	logs    map[entryID]entryRecord
}

func newInvariantChecker(cluster *Cluster) (invariants *InvariantChecker) {
	return &InvariantChecker{cluster: cluster, leaders: map[raft.Term]raft.ID{}, votes: map[voteID]raft.ID{}, agreed: map[raft.Index]uint64{}, logs: map[entryID]entryRecord{}}
}

func digestOf(entry raft.Entry) (digest uint64) {
	hash := fnv.New64a()
	var term [8]byte
	binary.BigEndian.PutUint64(term[:], uint64(entry.Term))
	_, _ = hash.Write(term[:])
	for _, member := range entry.Members {
		_, _ = hash.Write([]byte(member.ID))
		if member.Voter {
			_, _ = hash.Write([]byte{1})
		}
	}
	_, _ = hash.Write(entry.Data)
	return hash.Sum64()
}

// Leads records who leads a term.
func (t *InvariantChecker) Leads(term raft.Term, id raft.ID) {
	other, known := t.leaders[term]
	if known && other != id {
		t.cluster.fail("one leader a term: in term %d lead %s and %s", term, other, id)
	}
	if !known {
		t.leaders[term] = id
		t.cluster.logEvent("%s leads in term %d", id, term)
	}
}

// Applied records what a controller takes as committed.
func (t *InvariantChecker) Applied(host string, entry raft.Entry) {
	digest := digestOf(entry)
	if other, known := t.agreed[entry.Index]; known && other != digest {
		t.cluster.fail("one entry an index: %s applies another entry %d than those before it", host, entry.Index)
	}
	t.agreed[entry.Index] = digest
}

// Restored checks a state that a controller takes from a snapshot.
func (t *InvariantChecker) Restored(host string, snapshot raft.Snapshot) {
	if _, known := t.agreed[snapshot.Index]; !known && snapshot.Index > 1 {
		t.cluster.fail("only what is committed: %s takes a snapshot of %d, which nobody has applied", host, snapshot.Index)
	}
}

// Wrote records the entries that a controller has put on its disk.
func (t *InvariantChecker) Wrote(host string, writes []raft.Write) {
	for _, write := range writes {
		for i, entry := range write.Entries {
			var before raft.Term
			if i > 0 {
				before = write.Entries[i-1].Term
			}
			t.match(host, entry, before)
		}
	}
}

// Loaded checks the complete log that a controller starts from.
func (t *InvariantChecker) Loaded(host string, base raft.Snapshot, log []raft.Entry) {
	before := base.Term
	for _, entry := range log {
		t.match(host, entry, before)
		before = entry.Term
	}
}

// match checks the log matching property: an index and a term have one
// entry, and one entry before it.
func (t *InvariantChecker) match(host string, entry raft.Entry, before raft.Term) {
	at := entryID{entry.Index, entry.Term}
	digest := digestOf(entry)
	known, seen := t.logs[at]
	switch {
	case seen && known.digest != digest:
		t.cluster.fail("logs match: %s has another entry %d of term %d than those before it", host, entry.Index, entry.Term)
	case seen && known.before != 0 && before != 0 && known.before != before:
		t.cluster.fail("logs match: before entry %d of term %d, %s has one of term %d and another controller one of term %d", entry.Index, entry.Term, host, before, known.before)
	case before == 0:
		before = known.before
	}
	t.logs[at] = entryRecord{digest, before}
}

// Sends checks a message on its way out: what it says must be on disk.
func (t *InvariantChecker) Sends(controller *Controller, message raft.Message) {
	switch message.Kind {
	case raft.MsgAppendResponse:
		if message.Reject || message.Term != controller.raft.Term() {
			return
		}
		if !controller.disk.Holds(message.Index, controller.raft.TermAt(message.Index)) {
			t.cluster.fail("acknowledged once it is on disk: %s acknowledges %d, its disk ends at %d", controller.host, message.Index, controller.disk.Last())
		}
	case raft.MsgVoteResponse:
		if !message.Reject {
			t.vote(controller, message.Term, message.To)
		}
	case raft.MsgVote:
		t.vote(controller, message.Term, controller.member.ID)
	}
}

func (t *InvariantChecker) vote(controller *Controller, term raft.Term, chosen raft.ID) {
	at := voteID{controller.member.ID, term}
	if other, known := t.votes[at]; known && other != chosen {
		t.cluster.fail("one vote a term: %s votes for %s and for %s in term %d", controller.member.ID, other, chosen, term)
	}
	t.votes[at] = chosen
	if hard := controller.disk.hard; hard.Term < term || hard.Term == term && hard.Vote != chosen {
		t.cluster.fail("acknowledged once it is on disk: %s votes for %s in term %d, its disk has term %d and %q", controller.member.ID, chosen, term, hard.Term, hard.Vote)
	}
}
