package idempotency

import (
	"testing"
	"time"

	"tinpin/internal/rpc"
)

func TestOperationStates(t *testing.T) {
	now := time.Duration(0)
	book := NewStore(time.Minute, 1000, func() time.Duration { return now })
	op, old := book.Begin("k", "r1")
	if op == nil || old != nil {
		t.Fatal("a new key opens")
	}
	if again, running := book.Begin("k", "r2"); again != nil || running.Response().State != rpc.OperationRunning {
		t.Fatal("a running key does not open again")
	}
	book.Complete(op, 200, [][2]string{{"A", "b"}}, []byte("body"))
	book.MarkLost(op)
	if reply := book.Find("k", "r1"); reply.State != rpc.OperationCompleted || string(reply.Body) != "body" {
		t.Fatalf("answered once, always answered: %v", reply)
	}
	if reply := book.Find("k", "r2"); reply.State != rpc.OperationLost {
		t.Fatal("a request that never held the key is not known")
	}
	now = 2 * time.Minute
	if op, _ = book.Begin("k", "r3"); op == nil {
		t.Fatal("past the window the key opens again")
	}
	book.Release(op)
	if book.Find("k", "r3").State != rpc.OperationReleased || !book.Released("k", "r3") {
		t.Fatal("freed is remembered by request")
	}
	if op, _ = book.Begin("k", "r4"); op == nil {
		t.Fatal("a freed key opens again")
	}
	if book.Find("k", "r3").State != rpc.OperationReleased || book.Find("k", "r4").State != rpc.OperationRunning {
		t.Fatal("the old request stays freed beside the new one")
	}
}

func TestStoreKeepsWithinMaxBytes(t *testing.T) {
	book := NewStore(time.Minute, 1000, func() time.Duration { return 0 })
	for _, key := range []string{"a", "b", "c", "d"} {
		op, _ := book.Begin(key, key)
		book.Complete(op, 200, nil, make([]byte, 400))
	}
	_, _ = book.Begin("e", "e")
	if book.Find("a", "a").State != rpc.OperationLost || book.Find("d", "d").State != rpc.OperationCompleted {
		t.Fatal("the oldest body goes first, and its operation stays run")
	}
	if op, _ := book.Begin("a", "again"); op != nil {
		t.Fatal("an operation whose answer was dropped must not run again")
	}
}
