// Window counts events over a span that slides, to the exact event where few
// are kept and by slices of a sixteenth of the span otherwise; an event counts
// until its whole slice has left the span, so the count never falls short.
package quota

import "time"

const slices = 16

// Window is a sliding count.
type Window struct {
	span  time.Duration
	count [slices + 1]int
	head  int64
}

// NewWindow counts over span.
func NewWindow(span time.Duration) (window *Window) { return &Window{span: span} }

func (w *Window) turn(now time.Duration) (at int64) {
	at = int64(now) * slices / int64(w.span)
	if at-w.head > slices {
		w.count = [slices + 1]int{}
		w.head = at
	}
	for w.head < at {
		w.head++
		w.count[w.head%(slices+1)] = 0
	}
	return at
}

// Add counts one event.
func (w *Window) Add(now time.Duration) {
	at := w.turn(now)
	w.count[at%(slices+1)]++
}

// Sum is the number of events within the span.
func (w *Window) Sum(now time.Duration) (sum int) {
	w.turn(now)
	for _, count := range w.count {
		sum += count
	}
	return sum
}
