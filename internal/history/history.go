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
	Item         = "item"
	Evacuation   = "evacuation"
	Backend      = "backend"
	Health       = "health"
	Document     = "document"
	Retirement   = "retirement"
	ScheduleStep = "move"
	Session      = "session"
)

// Kinds lists them.
var Kinds = []string{Item, Evacuation, Backend, Health, Document, Retirement, ScheduleStep, Session}

// Change is one thing that happened to a subject here.
type Change struct {
	Subject
	Action string
	// State is the version, the state or the like.
	State    string
	Revision uint64
	At       time.Duration
}

const capacity = 2048

// Recorder is a ring of marks.
type Recorder struct {
	log     *eventlog.Logger
	started time.Time
	mu      sync.Mutex
	changes []Change
	next    int
	// OnChange is told of each new mark; it must not block.
	OnChange func(mark Change)
}

// New is an empty chronicle.
func New(log *eventlog.Logger) (c *Recorder) {
	return &Recorder{log: log, started: time.Now(), OnChange: func(Change) {}}
}

// Record marks a change; quiet ones, as of a first start, are not logged.
func (c *Recorder) Record(kind, name, what, stamp string, rev uint64, quiet bool) {
	mark := Change{Subject{kind, name}, what, stamp, rev, time.Since(c.started)}
	c.mu.Lock()
	if len(c.changes) < capacity {
		c.changes = append(c.changes, mark)
	} else {
		c.changes[c.next%capacity] = mark
	}
	c.next++
	c.mu.Unlock()
	if !quiet {
		c.log.Emit(eventlog.ChangeObserved, eventlog.KeyKind, kind, eventlog.KeyName, name, eventlog.KeyChange, what, eventlog.KeyState, stamp, eventlog.KeyRevision, rev)
		c.OnChange(mark)
	}
}

// AgedChange is a mark with its age.
type AgedChange struct {
	Change
	Age time.Duration
}

// Changes lists the marks of a subject, oldest first.
func (c *Recorder) Changes(subject Subject) (told []AgedChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Since(c.started)
	for i := range c.changes {
		at := i
		if len(c.changes) == capacity {
			at = (c.next + i) % capacity
		}
		if c.changes[at].Subject == subject {
			told = append(told, AgedChange{c.changes[at], now - c.changes[at].At})
		}
	}
	return told
}
