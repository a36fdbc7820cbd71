package simulation

// The event queue is the simulated time: events run in the order of their time and, at
// one time, in the order in which they were added.

import (
	"container/heap"
	"time"
)

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }

func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

func (e *eventHeap) Pop() (last any) {
	end := len(*e) - 1
	last = (*e)[end]
	(*e)[end] = event{}
	*e = (*e)[:end]
	return last
}

// EventQueue holds what is due.
type EventQueue struct {
	now   time.Duration
	seq   uint64
	steps uint64
	due   eventHeap
}

// After adds an event.
func (a *EventQueue) After(span time.Duration, run func()) {
	a.seq++
	heap.Push(&a.due, event{a.now + span, a.seq, run})
}

// Step carries out the next event that is due up to a time, and tells whether there was one.
func (a *EventQueue) Step(until time.Duration) (done bool) {
	if len(a.due) == 0 || a.due[0].at > until {
		a.now = until
		return false
	}
	next := heap.Pop(&a.due).(event)
	a.now = next.at
	a.steps++
	next.run()
	return true
}
