package faulttest

// The request log holds what happened to each request by its id: how often it ran, as its
// backend recorded, and the outcome that its client observed.

import (
	"fmt"
	"sync"
)

// Kind of a request.
type Kind uint8

// The kinds.
const (
	Idempotent Kind = iota
	NonIdempotent
	Keyed
	kindCount
)

func (k Kind) String() string { return [...]string{"idempotent", "non_idempotent", "keyed"}[k] }

// Outcome is what a client observed.
type Outcome uint8

// The outcomes.
const (
	// ClientGone: it did not wait for an answer.
	ClientGone Outcome = iota
	// Served: a success.
	Served
	// NotRun: the request has not run and never will.
	NotRun
	// Unknown: it may have run.
	Unknown
	// BackendFailure: the backend's own failure.
	BackendFailure
	// InProgress: the key's first request is still running.
	InProgress
	// Lost: no complete response, though the daemon was running.
	Lost
	// WrongResponse: the response of another request.
	WrongResponse
	// Unexpected: a status that no daemon should give here.
	Unexpected
)

// ID names one attempt of an operation; the low attemptBits bits are the attempt.
type ID uint64

const attemptBits = 4

// IDOf is the id of an attempt of an operation.
func IDOf(number, attempt int) (id ID) { return ID(number)<<attemptBits | ID(attempt) }

// Operation is the number of the operation.
func (id ID) Operation() (number int) { return int(id >> attemptBits) }

// Text is the id on the wire.
func (id ID) Text() (text string) { return fmt.Sprintf("%016x", uint64(id)) }

// Attempt is what is known of one attempt.
type Attempt struct {
	kind    Kind
	outcome Outcome
	runs    uint16
	// executedBy is the attempt whose run the client got the response of.
	executedBy ID
}

// operation is what is known of a key.
type operation struct {
	runs       uint16
	executedBy ID
}

// RequestLog of one play. It is safe for concurrent use.
type RequestLog struct {
	shards [64]shard
}

type shard struct {
	mu       sync.Mutex
	attempts map[ID]*Attempt
	keys     map[int]*operation
}

// NewRequestLog is empty.
func NewRequestLog() (log *RequestLog) {
	log = &RequestLog{}
	for i := range log.shards {
		log.shards[i].attempts, log.shards[i].keys = map[ID]*Attempt{}, map[int]*operation{}
	}
	return log
}

// lock returns the locked shard of an operation; the caller unlocks it.
func (l *RequestLog) lock(number int) (s *shard) {
	s = &l.shards[number%len(l.shards)]
	s.mu.Lock()
	return s
}

// RecordSend records an attempt before it is sent.
func (l *RequestLog) RecordSend(id ID, kind Kind) {
	s := l.lock(id.Operation())
	defer s.mu.Unlock()
	s.attempts[id] = &Attempt{kind: kind}
}

// RecordRun records that a backend runs a request, before it responds.
func (l *RequestLog) RecordRun(id ID) {
	s := l.lock(id.Operation())
	defer s.mu.Unlock()
	attempt := s.attempts[id]
	if attempt == nil {
		// A request that nobody sent is found as a run without a kind.
		attempt = &Attempt{outcome: Unexpected}
		s.attempts[id] = attempt
	}
	attempt.runs++
	if attempt.kind == Keyed {
		if s.keys[id.Operation()] == nil {
			s.keys[id.Operation()] = &operation{}
		}
		s.keys[id.Operation()].runs++
		s.keys[id.Operation()].executedBy = id
	}
}

// RecordOutcome records the outcome of an attempt, and which run it came from.
func (l *RequestLog) RecordOutcome(id ID, outcome Outcome, executedBy ID) {
	s := l.lock(id.Operation())
	defer s.mu.Unlock()
	s.attempts[id].outcome, s.attempts[id].executedBy = outcome, executedBy
}

// KindSummary counts the attempts of one kind. The JSON names are those of kept journal entries.
type KindSummary struct {
	Kind           string `json:"kind"`
	Attempts       int    `json:"tries"`
	Runs           int    `json:"runs"`
	Served         int    `json:"served"`
	NotRun         int    `json:"promised"`
	Unknown        int    `json:"unknown"`
	BackendFailure int    `json:"own_failure"`
	InProgress     int    `json:"at_work"`
	ClientGone     int    `json:"gone"`
	// What follows are mismatches.
	Repeats        int `json:"repeats"`
	RanAfterNotRun int `json:"promises_broken"`
	WrongResponse  int `json:"answers_of_another"`
	WithoutRun     int `json:"answers_without_a_run"`
	Lost           int `json:"lost"`
	Unexpected     int `json:"strange"`
}

// Mismatches of the line.
func (l KindSummary) Mismatches() (count int) {
	return l.Repeats + l.RanAfterNotRun + l.WrongResponse + l.WithoutRun + l.Lost + l.Unexpected
}

// Summarize counts everything once nothing is in flight any more; maxSends is how often
// an idempotent request may be sent for one attempt.
func (l *RequestLog) Summarize(maxSends int) (lines [kindCount]KindSummary) {
	for kind := range lines {
		lines[kind].Kind = Kind(kind).String()
	}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for id, attempt := range s.attempts {
			lines[attempt.kind].add(*attempt, s.keys[id.Operation()], maxSends)
		}
		for _, operation := range s.keys {
			lines[Keyed].Repeats += max(0, int(operation.runs)-1)
		}
		s.mu.Unlock()
	}
	return lines
}

func (l *KindSummary) add(attempt Attempt, key *operation, maxSends int) {
	l.Attempts++
	l.Runs += int(attempt.runs)
	switch attempt.kind {
	case Idempotent:
		l.Repeats += max(0, int(attempt.runs)-maxSends)
	case NonIdempotent:
		l.Repeats += max(0, int(attempt.runs)-1)
	}
	answered := attempt.runs > 0
	if attempt.kind == Keyed {
		answered = key != nil && key.executedBy == attempt.executedBy
	}
	switch attempt.outcome {
	case ClientGone:
		l.ClientGone++
	case Served:
		l.Served++
		l.WithoutRun += countIf(!answered)
	case BackendFailure:
		l.BackendFailure++
		l.WithoutRun += countIf(!answered)
	case NotRun:
		l.NotRun++
		l.RanAfterNotRun += countIf(attempt.runs > 0)
	case Unknown:
		l.Unknown++
	case InProgress:
		l.InProgress++
		l.Unexpected += countIf(attempt.kind != Keyed)
	case Lost:
		l.Lost++
	case WrongResponse:
		l.WrongResponse++
	case Unexpected:
		l.Unexpected++
	}
}

func countIf(holds bool) (count int) {
	if holds {
		return 1
	}
	return 0
}
