package history

import (
	"fmt"
	"testing"

	"tinpin/internal/eventlog"
)

func TestChangesOfOneSubjectOldestFirst(t *testing.T) {
	recorder := New(eventlog.Discard())
	var notified []Change
	recorder.OnChange = func(change Change) { notified = append(notified, change) }
	recorder.Record(Item, "r1", "acknowledged", "", 0, true)
	recorder.Record(Item, "r2", "applied", "1", 4, false)
	recorder.Record(Item, "r1", "applied", "7", 5, false)
	changes := recorder.Changes(Subject{Item, "r1"})
	if len(changes) != 2 || changes[0].Action != "acknowledged" || changes[1].State != "7" || changes[1].Revision != 5 {
		t.Fatalf("%+v", changes)
	}
	if changes[0].Age < changes[1].Age {
		t.Errorf("the older change has the lower age: %+v", changes)
	}
	if len(notified) != 2 || notified[0].Name != "r2" || notified[1].Name != "r1" {
		t.Errorf("notified of %+v, want all but the quiet one", notified)
	}
}

func TestOldestChangesAreDropped(t *testing.T) {
	recorder := New(eventlog.Discard())
	for i := range capacity + 3 {
		recorder.Record(Item, "r", "applied", fmt.Sprint(i), uint64(i), true)
	}
	changes := recorder.Changes(Subject{Item, "r"})
	if len(changes) != capacity || changes[0].Revision != 3 || changes[capacity-1].Revision != capacity+2 {
		t.Fatalf("%d changes, from %+v to %+v", len(changes), changes[0], changes[len(changes)-1])
	}
}
