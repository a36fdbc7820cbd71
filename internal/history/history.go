// Package history owns a daemon's short memory of changes: what became of an
// item of the configuration, an evacuation, a backend or its health here, and
// how long ago by the daemon's steady clock. `tinpin trace` reads it from running
// daemons; each change is also logged as event 120, so that logs tell the same.
// It does not own the state itself. A Recorder may be used by any goroutine.
package history

import (
	"sync"
	"time"

	"tinpin/internal/eventlog"
)

// Subject is what a change is about.
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
	// Action is what happened, such as "applied" or "acknowledged".
	Action string
	// State is the version, the health or the like after it.
	State    string
	Revision uint64
	// At counts from the recorder's start.
	At time.Duration
}

// capacity is how many changes a daemon remembers.
const capacity = 2048

// Recorder is a ring of changes.
type Recorder struct {
	log     *eventlog.Logger
	started time.Time
	// OnChange is called with each change that is logged; it must not block. It is
	// set before the first Record.
	OnChange func(change Change)

	mu      sync.Mutex
	changes []Change
	next    int // position in the ring, counted on without end
}

// New makes an empty recorder.
func New(log *eventlog.Logger) (r *Recorder) {
	return &Recorder{log: log, started: time.Now(), OnChange: func(Change) {}}
}

// Record adds a change; quiet ones, as of a first start, are not logged.
func (r *Recorder) Record(kind, name, action, state string, revision uint64, quiet bool) {
	change := Change{Subject{kind, name}, action, state, revision, time.Since(r.started)}
	r.mu.Lock()
	if len(r.changes) < capacity {
		r.changes = append(r.changes, change)
	} else {
		r.changes[r.next%capacity] = change
	}
	r.next++
	r.mu.Unlock()
	if quiet {
		return
	}
	r.log.Emit(eventlog.ChangeObserved, eventlog.KeyKind, kind, eventlog.KeyName, name,
		eventlog.KeyChange, action, eventlog.KeyState, state, eventlog.KeyRevision, revision)
	r.OnChange(change)
}

// AgedChange is a change with its age.
type AgedChange struct {
	Change
	Age time.Duration
}

// Changes lists what is remembered of a subject, oldest first.
func (r *Recorder) Changes(subject Subject) (changes []AgedChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Since(r.started)
	for i := range r.changes {
		at := i
		if len(r.changes) == capacity {
			at = (r.next + i) % capacity
		}
		if change := r.changes[at]; change.Subject == subject {
			changes = append(changes, AgedChange{change, now - change.At})
		}
	}
	return changes
}
