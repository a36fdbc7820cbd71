package idempotency

import (
	"testing"
	"time"

	"tinpin/internal/rpc"
)

func TestOperationStates(t *testing.T) {
	now := time.Duration(0)
	store := NewStore(time.Minute, 1000, func() time.Duration { return now })
	operation, old := store.Begin("k", "r1")
	if operation == nil || old != nil {
		t.Fatal("a new key begins an operation")
	}
	if again, running := store.Begin("k", "r2"); again != nil || running.Response().State != rpc.OperationRunning {
		t.Fatal("a running key does not begin again")
	}
	store.Complete(operation, 200, [][2]string{{"A", "b"}}, []byte("body"))
	store.SetLost(operation)
	if response := store.Find("k", "r1"); response.State != rpc.OperationCompleted || string(response.Body) != "body" {
		t.Fatalf("complete once, always complete: %v", response)
	}
	if response := store.Find("k", "r2"); response.State != rpc.OperationLost {
		t.Fatal("a request that never held the key is not known")
	}
	now = 2 * time.Minute
	if operation, _ = store.Begin("k", "r3"); operation == nil {
		t.Fatal("past the retention the key begins again")
	}
	store.Release(operation)
	if store.Find("k", "r3").State != rpc.OperationReleased || !store.Released("k", "r3") {
		t.Fatal("a release is remembered by request")
	}
	if operation, _ = store.Begin("k", "r4"); operation == nil {
		t.Fatal("a released key begins again")
	}
	if store.Find("k", "r3").State != rpc.OperationReleased || store.Find("k", "r4").State != rpc.OperationRunning {
		t.Fatal("the old request stays released beside the new one")
	}
}

func TestStoreKeepsWithinMaxBytes(t *testing.T) {
	store := NewStore(time.Minute, 1000, func() time.Duration { return 0 })
	for _, key := range []string{"a", "b", "c", "d"} {
		operation, _ := store.Begin(key, key)
		store.Complete(operation, 200, nil, make([]byte, 400))
	}
	_, _ = store.Begin("e", "e")
	if store.Find("a", "a").State != rpc.OperationLost || store.Find("d", "d").State != rpc.OperationCompleted {
		t.Fatal("the oldest body is dropped first, and its operation has still run")
	}
	if operation, _ := store.Begin("a", "again"); operation != nil {
		t.Fatal("an operation whose response was dropped must not run again")
	}
}
