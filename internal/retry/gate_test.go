package retry

import (
	"testing"
	"time"
)

func TestGateLeavesATrickleAndReopensSlowly(t *testing.T) {
	var gate CircuitGate
	passed := func(now time.Duration, of int) (passes int) {
		for i := 0; i < of; i++ {
			if gate.Allow(now) {
				passes++
			}
		}
		return passes
	}
	if got := passed(0, 100); got != 100 {
		t.Fatalf("%d of 100 pass an open gate", got)
	}
	record := func(now time.Duration, inTime bool) {
		for i := 0; i < gateSamples; i++ {
			gate.Record(now, inTime)
		}
	}
	record(time.Second, false)
	if got := passed(time.Second, 200); got < 9 || got > 10 {
		t.Fatalf("%d of 200 pass a shut gate", got)
	}
	record(2*time.Second, true)
	last := 0
	for second := 2; second <= 8; second++ {
		got := passed(time.Duration(second)*time.Second, 200)
		if got < last || got-last > 60 {
			t.Fatalf("after %d s %d of 200 pass, a second before it were %d", second-2, got, last)
		}
		last = got
	}
	if last != 200 {
		t.Fatalf("only %d of 200 pass long after the recovery", last)
	}
}

func TestEarnedBudgetExpires(t *testing.T) {
	var budget Budget
	window := 8 * time.Second
	for i := 0; i < 20; i++ {
		budget.Earn(time.Second, window, 0.1)
	}
	if !budget.Spend(time.Second, window) {
		t.Fatal("two were earned, none can be spent")
	}
	if budget.Spend(3*time.Second, window) {
		t.Fatal("what was earned two seconds ago should have lapsed")
	}
	for i := 0; i < 10; i++ {
		budget.Earn(time.Hour, window, 0.1)
	}
	if !budget.Spend(time.Hour, window) || budget.Spend(time.Hour, window) {
		t.Fatal("ten tenths are one retry")
	}
}
