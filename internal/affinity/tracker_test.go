package affinity

import (
	"testing"
	"time"

	"tinpin/internal/rpc"
)

func TestTrackerLimitsAndExpiresSessions(t *testing.T) {
	tracker := NewTracker()
	for n := 0; n < 10; n++ {
		tracker.Add(time.Duration(n)*time.Second, "s", session(n), time.Minute, uint64(n))
	}
	if !tracker.Touch(20*time.Second, "s", session(0), time.Minute) || tracker.Touch(20*time.Second, "s", session(99), time.Minute) {
		t.Fatal("what is tracked and what is not")
	}
	eight := func(rpc.ServiceName) int { return 8 }
	over := tracker.Expire(21*time.Second, eight, 100)
	if len(over) != 2 || over[0].Session != session(1) || over[1].Session != session(2) || over[0].Sequence != 1 || tracker.Evicted != 2 {
		t.Fatalf("the least recently used go: %v, %d counted", over, tracker.Evicted)
	}
	at := 3*time.Second + time.Minute + FreshFor(time.Minute) + callMargin
	if over = tracker.Expire(at, eight, 100); len(over) != 0 {
		t.Fatalf("gone too early: %v", over)
	}
	if over = tracker.Expire(at+time.Millisecond, eight, 100); len(over) != 1 || over[0].Session != session(3) || tracker.Evicted != 2 {
		t.Fatalf("gone after its time: %v", over)
	}
}

func TestCacheLimitsAndExpiresBindings(t *testing.T) {
	cache := NewBindingCache(3)
	for n := 0; n < 5; n++ {
		cache.Store(0, session(n), "i-1", time.Minute)
	}
	if cache.Len() != 3 || cache.Evicted != 2 {
		t.Fatalf("%d remembered, %d dropped", cache.Len(), cache.Evicted)
	}
	if server, fresh := cache.Find(FreshFor(time.Minute)-1, session(4)); server != "i-1" || !fresh {
		t.Fatal("an answer may be relied on for a quarter of the idle time")
	}
	if _, fresh := cache.Find(FreshFor(time.Minute), session(4)); fresh {
		t.Fatal("and no longer")
	}
	if server, _ := cache.Find(0, session(0)); server != "" {
		t.Fatal("what was dropped is known")
	}
}
