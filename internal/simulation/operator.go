package simulation

// Operator changes items, documents and evacuations, often at one time with
// others and under one version, sends requests again, and reads back.

import (
	"fmt"
	"time"
)

// Operator is one operating part.
type Operator struct{ *Caller }

// run sends requests until the end, many at once in a storm.
func (o *Operator) run() {
	w := o.cluster
	if w.ending {
		return
	}
	pause := time.Duration(20+o.rng.ExpFloat64()*350) * time.Millisecond
	limit := 3
	if w.events.now < w.requestBurstUntil {
		pause, limit = time.Duration(2+o.rng.Intn(20))*time.Millisecond, 8
	}
	w.events.After(pause, o.run)
	if o.inFlight >= limit {
		return
	}
	switch pick := o.rng.Intn(20); {
	case pick < 3:
		o.read(w.recent(), func() {})
	case pick < 6:
		o.evacuate()
	case pick < 9 && w.document.open < maxOpenOperations && w.document.writes < 60:
		o.set(w.document)
	default:
		o.set(w.item())
	}
}

// set writes a register under a version that is new, or that another may use too.
func (o *Operator) set(history *History) {
	if history.next == 0 || o.rng.Intn(4) != 0 {
		history.next++
	}
	o.cluster.requests++
	requested := call{version: history.next, content: fmt.Sprint(1000 + o.cluster.requests)}
	if history == o.cluster.document && o.rng.Intn(6) == 0 {
		requested.content = unwritten
	}
	o.submit(Request{history: history, call: requested, reworded: o.rng.Intn(4) == 0}, 1)
}

func (o *Operator) evacuate() {
	requested := call{content: "active"}
	if o.rng.Intn(2) == 0 {
		requested.content = unwritten
	}
	o.submit(Request{history: o.cluster.evacuatedZone(), call: requested}, 0)
}
