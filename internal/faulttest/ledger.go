package faulttest

// The ledger holds what happened to each request by its id: how often it ran, as
// its backend knows, and what its client was told.

import (
	"fmt"
	"sync"
)

// Kind of a request.
type Kind uint8

// The kinds.
const (
	Repeatable Kind = iota
	Once
	Keyed
	kinds
)

func (k Kind) String() string { return [...]string{"idempotent", "non_idempotent", "keyed"}[k] }

// Told is what a client was told.
type Told uint8

// What a client may be told.
const (
	// Gone: it did not wait for an answer.
	Gone Told = iota
	// Served: a success.
	Served
	// Promised: the request has not run and never will.
	Promised
	// Unknown: it may have run.
	Unknown
	// OwnFailure: the backend's own failure.
	OwnFailure
	// AtWork: the key's first request is still at work.
	AtWork
	// Lost: no whole answer, though the daemon lived.
	Lost
	// Crossed: an answer that is another's.
	Crossed
	// Strange: a status that no daemon should give here.
	Strange
)

// ID names one try of a round; so many tries a round has at most.
type ID uint64

const triesBits = 4

// IDOf names a round's try.
func IDOf(round, try int) (id ID) { return ID(round)<<triesBits | ID(try) }

// Round is the round of a try.
func (id ID) Round() (round int) { return int(id >> triesBits) }

// Text is the id on the wire.
func (id ID) Text() (text string) { return fmt.Sprintf("%016x", uint64(id)) }

// Try is what is known of one.
type Try struct {
	kind Kind
	told Told
	runs uint16
	// ran is the try whose run the client was answered with.
	ran ID
}

// operation is what is known of a key.
type operation struct {
	runs uint16
	ran  ID
}

// Ledger of one play.
type Ledger struct {
	shards [64]shard
}

type shard struct {
	mu    sync.Mutex
	tries map[ID]*Try
	keys  map[int]*operation
}

// NewLedger knows of nothing.
func NewLedger() (ledger *Ledger) {
	ledger = &Ledger{}
	for i := range ledger.shards {
		ledger.shards[i].tries, ledger.shards[i].keys = map[ID]*Try{}, map[int]*operation{}
	}
	return ledger
}

// lock gives a round's shard, which the caller unlocks.
func (l *Ledger) lock(round int) (s *shard) {
	s = &l.shards[round%len(l.shards)]
	s.mu.Lock()
	return s
}

// Send notes a try before it is sent.
func (l *Ledger) Send(id ID, kind Kind) {
	s := l.lock(id.Round())
	defer s.mu.Unlock()
	s.tries[id] = &Try{kind: kind}
}

// Run notes that a backend runs a request, before it answers.
func (l *Ledger) Run(id ID) {
	s := l.lock(id.Round())
	defer s.mu.Unlock()
	try := s.tries[id]
	if try == nil {
		// A request that nobody sent is found as a run without a kind.
		try = &Try{told: Strange}
		s.tries[id] = try
	}
	try.runs++
	if try.kind == Keyed {
		if s.keys[id.Round()] == nil {
			s.keys[id.Round()] = &operation{}
		}
		s.keys[id.Round()].runs++
		s.keys[id.Round()].ran = id
	}
}

// Tell notes what a client was told, and by which run.
func (l *Ledger) Tell(id ID, told Told, ran ID) {
	s := l.lock(id.Round())
	defer s.mu.Unlock()
	s.tries[id].told, s.tries[id].ran = told, ran
}

// Line is the account of one kind.
type Line struct {
	Kind       string `json:"kind"`
	Tries      int    `json:"tries"`
	Runs       int    `json:"runs"`
	Served     int    `json:"served"`
	Promised   int    `json:"promised"`
	Unknown    int    `json:"unknown"`
	OwnFailure int    `json:"own_failure"`
	AtWork     int    `json:"at_work"`
	Gone       int    `json:"gone"`
	// What follows are mismatches.
	Repeats  int `json:"repeats"`
	Promises int `json:"promises_broken"`
	Crossed  int `json:"answers_of_another"`
	Unrun    int `json:"answers_without_a_run"`
	Lost     int `json:"lost"`
	Strange  int `json:"strange"`
}

// Mismatches of the line.
func (l Line) Mismatches() (count int) {
	return l.Repeats + l.Promises + l.Crossed + l.Unrun + l.Lost + l.Strange
}

// Balance goes through the whole ledger once nothing is at work any more; most is
// how often what may be repeated may be sent for one try.
func (l *Ledger) Balance(most int) (lines [kinds]Line) {
	for kind := range lines {
		lines[kind].Kind = Kind(kind).String()
	}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for id, try := range s.tries {
			lines[try.kind].add(id, *try, s.keys[id.Round()], most)
		}
		for _, operation := range s.keys {
			lines[Keyed].Repeats += max(0, int(operation.runs)-1)
		}
		s.mu.Unlock()
	}
	return lines
}

func (l *Line) add(id ID, try Try, key *operation, most int) {
	l.Tries++
	l.Runs += int(try.runs)
	switch try.kind {
	case Repeatable:
		l.Repeats += max(0, int(try.runs)-most)
	case Once:
		l.Repeats += max(0, int(try.runs)-1)
	}
	answered := try.runs > 0
	if try.kind == Keyed {
		answered = key != nil && key.ran == try.ran
	}
	switch try.told {
	case Gone:
		l.Gone++
	case Served:
		l.Served++
		l.Unrun += one(!answered)
	case OwnFailure:
		l.OwnFailure++
		l.Unrun += one(!answered)
	case Promised:
		l.Promised++
		l.Promises += one(try.runs > 0)
	case Unknown:
		l.Unknown++
	case AtWork:
		l.AtWork++
		l.Strange += one(try.kind != Keyed)
	case Lost:
		l.Lost++
	case Crossed:
		l.Crossed++
	case Strange:
		l.Strange++
	}
}

func one(holds bool) (count int) {
	if holds {
		return 1
	}
	return 0
}
