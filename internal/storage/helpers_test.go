package storage

import (
	"math/rand"

	"tinpin/internal/raft"
)

var trio = []raft.Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}

func entry(index raft.Index, term raft.Term) raft.Entry {
	return raft.Entry{Index: index, Term: term, Data: []byte{byte(index), byte(term)}}
}

func run(from, to raft.Index, term raft.Term) (entries []raft.Entry) {
	for index := from; index <= to; index++ {
		entries = append(entries, entry(index, term))
	}
	return entries
}

// replica steps one replica by hand; its writes are kept until they are reported as synced.
type replica struct {
	raft   *raft.Replica
	queued []raft.Write
}

func newReplica(id raft.ID, hard raft.HardState, snapshot raft.Snapshot, log ...raft.Entry) *replica {
	return &replica{raft: raft.New(id, raft.DefaultTiming(), rand.New(rand.NewSource(1)), hard, snapshot, log)}
}

// step gives a message of a, which unless it says otherwise.
func (r *replica) step(id raft.ID, m raft.Message) {
	m.To = id
	if m.From == "" {
		m.From = "a"
	}
	r.queued = append(r.queued, r.raft.Step(m).Writes...)
}

// syncAll reports the queued writes as synced, one by one.
func (r *replica) syncAll() {
	for len(r.queued) > 0 {
		r.queued = append(r.queued[1:], r.raft.ReportSynced(1).Writes...)
	}
}
