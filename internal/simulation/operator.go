// Operator changes items, documents and evacuations, often at one time with
// others and under one version, sends orders again, and reads back.
package simulation

import (
	"fmt"
	"time"
)

// Operator is one operating part.
type Operator struct{ *Caller }

// live gives orders until the end, many at once in a storm.
func (o *Operator) live() {
	w := o.world
	if w.ending {
		return
	}
	pause := time.Duration(20+o.luck.ExpFloat64()*350) * time.Millisecond
	most := 3
	if w.agenda.now < w.storm {
		pause, most = time.Duration(2+o.luck.Intn(20))*time.Millisecond, 8
	}
	w.agenda.After(pause, o.live)
	if o.busy >= most {
		return
	}
	switch pick := o.luck.Intn(20); {
	case pick < 3:
		o.read(w.recent(), func() {})
	case pick < 6:
		o.evacuate()
	case pick < 9 && w.document.open < mostOpen && w.document.writes < 60:
		o.set(w.document)
	default:
		o.set(w.item())
	}
}

// set writes a register under a version that is new, or that another may use too.
func (o *Operator) set(history *History) {
	if history.next == 0 || o.luck.Intn(4) != 0 {
		history.next++
	}
	o.world.requests++
	asked := call{version: history.next, content: fmt.Sprint(1000 + o.world.requests)}
	if history == o.world.document && o.luck.Intn(6) == 0 {
		asked.content = unwritten
	}
	o.order(Order{history: history, call: asked, another: o.luck.Intn(4) == 0}, 1)
}

func (o *Operator) evacuate() {
	asked := call{content: "active"}
	if o.luck.Intn(2) == 0 {
		asked.content = unwritten
	}
	o.order(Order{history: o.world.site(), call: asked}, 0)
}
