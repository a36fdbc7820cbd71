package simulation

// A Writer changes items without a pause, also while the cluster comes back to full strength: what the
// controllers wait for must not depend on a pause in the writes.

import (
	"fmt"
	"time"
)

const (
	// maxWriterInFlight bounds the writer's changes without an answer.
	maxWriterInFlight = 8
	// firstWrite is when the writer begins.
	firstWrite = 800 * time.Millisecond
)

// Writer is an operator that writes all the time.
type Writer struct {
	*Caller
	history *History
	stopped bool
}

// run writes at intervals until the writer is stopped.
func (w *Writer) run() {
	if w.stopped {
		return
	}
	w.cluster.events.After(w.cluster.options.WriteInterval, w.run)
	if w.inFlight >= maxWriterInFlight {
		return
	}
	if w.history == nil || w.history.full() {
		w.history = w.cluster.newHistory(Versioned, "")
	}
	w.history.next++
	w.cluster.requests++
	requested := call{version: w.history.next, content: fmt.Sprint(1000 + w.cluster.requests)}
	w.submit(Request{history: w.history, call: requested}, 0)
}
