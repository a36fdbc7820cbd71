package quota

import "time"

// sliceCount is into how many slices a window is divided.
const sliceCount = 16

// Window counts events over a span that slides by slices of a sixteenth. An event
// counts until its whole slice has left the span, so the count is never too low.
type Window struct {
	span   time.Duration
	counts [sliceCount + 1]int
	head   int64
}

// NewWindow makes a window of a span.
func NewWindow(span time.Duration) (window *Window) { return &Window{span: span} }

// advance clears the slices that have left the span, and gives the present one.
func (w *Window) advance(now time.Duration) (slice int64) {
	slice = int64(now) * sliceCount / int64(w.span)
	if slice-w.head > sliceCount {
		w.counts = [sliceCount + 1]int{}
		w.head = slice
	}
	for w.head < slice {
		w.head++
		w.counts[w.head%(sliceCount+1)] = 0
	}
	return slice
}

// Add counts one event.
func (w *Window) Add(now time.Duration) {
	slice := w.advance(now)
	w.counts[slice%(sliceCount+1)]++
}

// Sum is the number of events within the span.
func (w *Window) Sum(now time.Duration) (sum int) {
	w.advance(now)
	for _, count := range w.counts {
		sum += count
	}
	return sum
}
