// Agenda is the simulated time: what is due, in the order of its time and, at
// one time, in the order in which it was put there.
package simulation

import (
	"container/heap"
	"time"
)

type errand struct {
	at  time.Duration
	seq uint64
	run func()
}

type errands []errand

func (e errands) Len() int { return len(e) }

func (e errands) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e errands) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *errands) Push(x any) { *e = append(*e, x.(errand)) }

func (e *errands) Pop() (last any) {
	end := len(*e) - 1
	last = (*e)[end]
	(*e)[end] = errand{}
	*e = (*e)[:end]
	return last
}

// Agenda holds what is due.
type Agenda struct {
	now   time.Duration
	seq   uint64
	steps uint64
	due   errands
}

// After puts something onto the agenda.
func (a *Agenda) After(span time.Duration, run func()) {
	a.seq++
	heap.Push(&a.due, errand{a.now + span, a.seq, run})
}

// Step carries out what is due next, up to a time, and tells whether there was any.
func (a *Agenda) Step(until time.Duration) (done bool) {
	if len(a.due) == 0 || a.due[0].at > until {
		a.now = until
		return false
	}
	next := heap.Pop(&a.due).(errand)
	a.now = next.at
	a.steps++
	next.run()
	return true
}
