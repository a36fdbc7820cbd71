// Window counts events over a span that slides, to the exact event where few
// are kept and by slices of a sixteenth of the span otherwise; an event counts
// until its whole slice has left the span, so the count never falls short.
package quota

import "time"

const sliceCount = 16

// Window is a sliding count.
type Window struct {
	span   time.Duration
	counts [sliceCount + 1]int
	head   int64
}

// NewWindow counts over span.
func NewWindow(span time.Duration) (window *Window) { return &Window{span: span} }

func (w *Window) advance(now time.Duration) (at int64) {
	at = int64(now) * sliceCount / int64(w.span)
	if at-w.head > sliceCount {
		w.counts = [sliceCount + 1]int{}
		w.head = at
	}
	for w.head < at {
		w.head++
		w.counts[w.head%(sliceCount+1)] = 0
	}
	return at
}

// Add counts one event.
func (w *Window) Add(now time.Duration) {
	at := w.advance(now)
	w.counts[at%(sliceCount+1)]++
}

// Sum is the number of events within the span.
func (w *Window) Sum(now time.Duration) (sum int) {
	w.advance(now)
	for _, count := range w.counts {
		sum += count
	}
	return sum
}
