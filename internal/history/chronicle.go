// Package chronicle is a daemon's short memory of changes: what became of an
// item of the configuration, an evacuation, a backend or its health here, and
// how long ago on the daemon's steady clock. The tracer reads it from running
// daemons; each mark is also logged, so that the same can be read from logs.
package history

import (
	"sync"
	"time"

	"tinpin/internal/eventlog"
)

// Subject says what a change is about.
type Subject struct{ Kind, Name string }

// The kinds of subjects.
const (
	Item       = "item"
	Evacuation = "evacuation"
	Backend    = "backend"
	Health     = "health"
	Document   = "document"
	Retirement = "retirement"
	Move       = "move"
	Session    = "session"
)

// Kinds lists them.
var Kinds = []string{Item, Evacuation, Backend, Health, Document, Retirement, Move, Session}

// Mark is one thing that happened to a subject here.
type Mark struct {
	Subject
	What string
	// Stamp is the version, the state or the like.
	Stamp string
	Rev   uint64
	At    time.Duration
}

const room = 2048

// Chronicle is a ring of marks.
type Chronicle struct {
	log   *eventlog.Logger
	birth time.Time
	mu    sync.Mutex
	marks []Mark
	next  int
	// OnMark is told of each new mark; it must not block.
	OnMark func(mark Mark)
}

// New is an empty chronicle.
func New(log *eventlog.Logger) (c *Chronicle) {
	return &Chronicle{log: log, birth: time.Now(), OnMark: func(Mark) {}}
}

// Note marks a change; quiet ones, as of a first start, are not logged.
func (c *Chronicle) Note(kind, name, what, stamp string, rev uint64, quiet bool) {
	mark := Mark{Subject{kind, name}, what, stamp, rev, time.Since(c.birth)}
	c.mu.Lock()
	if len(c.marks) < room {
		c.marks = append(c.marks, mark)
	} else {
		c.marks[c.next%room] = mark
	}
	c.next++
	c.mu.Unlock()
	if !quiet {
		c.log.Emit(eventlog.ChangeObserved, eventlog.KeyKind, kind, eventlog.KeyName, name, eventlog.KeyChange, what, eventlog.KeyState, stamp, eventlog.KeyRevision, rev)
		c.OnMark(mark)
	}
}

// Told is a mark with its age.
type Told struct {
	Mark
	Age time.Duration
}

// Tell lists the marks of a subject, oldest first.
func (c *Chronicle) Tell(subject Subject) (told []Told) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Since(c.birth)
	for i := range c.marks {
		at := i
		if len(c.marks) == room {
			at = (c.next + i) % room
		}
		if c.marks[at].Subject == subject {
			told = append(told, Told{c.marks[at], now - c.marks[at].At})
		}
	}
	return told
}
