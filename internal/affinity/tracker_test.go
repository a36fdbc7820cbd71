package affinity

import (
	"testing"
	"time"

	"tinpin/internal/rpc"
)

func TestTheDeskBoundsWhatIsKept(t *testing.T) {
	desk := NewTracker()
	for n := 0; n < 10; n++ {
		desk.Add(time.Duration(n)*time.Second, "s", session(n), time.Minute, uint64(n))
	}
	if !desk.Touch(20*time.Second, "s", session(0), time.Minute) || desk.Touch(20*time.Second, "s", session(99), time.Minute) {
		t.Fatal("what is on the desk and what is not")
	}
	eight := func(rpc.ServiceName) int { return 8 }
	over := desk.Expire(21*time.Second, eight, 100)
	if len(over) != 2 || over[0].Session != session(1) || over[1].Session != session(2) || over[0].Sequence != 1 || desk.Evicted != 2 {
		t.Fatalf("the least recently used go: %v, %d counted", over, desk.Evicted)
	}
	at := 3*time.Second + time.Minute + FreshFor(time.Minute) + callMargin
	if over = desk.Expire(at, eight, 100); len(over) != 0 {
		t.Fatalf("gone too early: %v", over)
	}
	if over = desk.Expire(at+time.Millisecond, eight, 100); len(over) != 1 || over[0].Session != session(3) || desk.Evicted != 2 {
		t.Fatalf("gone after its time: %v", over)
	}
}

func TestTheTableBoundsWhatIsRemembered(t *testing.T) {
	table := NewBindingCache(3)
	for n := 0; n < 5; n++ {
		table.Store(0, session(n), "i-1", time.Minute)
	}
	if table.Len() != 3 || table.Evicted != 2 {
		t.Fatalf("%d remembered, %d dropped", table.Len(), table.Evicted)
	}
	if server, fresh := table.Find(FreshFor(time.Minute)-1, session(4)); server != "i-1" || !fresh {
		t.Fatal("an answer may be relied on for a quarter of the idle time")
	}
	if _, fresh := table.Find(FreshFor(time.Minute), session(4)); fresh {
		t.Fatal("and no longer")
	}
	if server, _ := table.Find(0, session(0)); server != "" {
		t.Fatal("what was dropped is known")
	}
}
