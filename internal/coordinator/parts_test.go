package coordinator

import (
	"errors"
	"testing"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/rpc"
)

func TestPartsOfAnotherVersionAreDropped(t *testing.T) {
	var cache partCache[int, string, int]
	cache.use(1)
	cache.parts["a"] = 7
	if cache.use(1); cache.parts["a"] != 7 {
		t.Error("a part of the same version was forgotten")
	}
	if cache.use(2); len(cache.parts) != 0 {
		t.Errorf("of the version before: %v", cache.parts)
	}
	for i := range maxCachedParts {
		if cache.full() {
			t.Fatalf("full with %d parts", i)
		}
		cache.parts[string(rune(i))] = i
	}
	if !cache.full() {
		t.Error("it takes more parts than it may")
	}
}

func TestOutcomesAreRelayedOnceAndBounded(t *testing.T) {
	relay := newOutcomeRelay()
	for range maxPendingRows + 5 {
		relay.add("owner", rpc.OutcomeCount{Service: "s"})
	}
	if rows := relay.take("owner"); len(rows) != maxPendingRows {
		t.Errorf("%d rows", len(rows))
	}
	if rows := relay.take("owner"); len(rows) != 0 {
		t.Errorf("%d rows again", len(rows))
	}
}

func TestFollowersAreCountedByTheirHeartbeats(t *testing.T) {
	table := newFollowerTable()
	heartbeat := func(id rpc.NodeID, logIndex uint64, position string, stopping bool) rpc.HeartbeatRequest {
		return rpc.HeartbeatRequest{
			Node:       rpc.Node{ID: id, Stopping: stopping},
			KnownState: rpc.KnownState{LogIndex: logIndex, LastItem: position}, KnownNodes: 3,
		}
	}
	table.observe(0, heartbeat("all", 9, rpc.AfterAllItems, false))
	table.observe(0, heartbeat("part", 9, "routes/r", false))
	table.observe(0, heartbeat("stopping", 9, rpc.AfterAllItems, true))
	connected := func(id rpc.NodeID) bool { return id == "all" }
	indexes := map[rpc.NodeID]uint64{}
	for _, follower := range table.list(time.Second, connected) {
		if indexes[follower.ID] = follower.Revision; follower.Connected != (follower.ID == "all") {
			t.Errorf("%+v", follower)
		}
	}
	// The third that the nodes know of has not been heard in this term.
	if len(indexes) != 3 || indexes["all"] != 9 || indexes["part"] != 8 {
		t.Errorf("%v", indexes)
	}
	if left := table.list(rememberNode+time.Second, connected); len(left) != 0 || len(table.byNode) != 0 {
		t.Errorf("not heard for long: %v", left)
	}
}

func TestRejectedCallsNameCallAndReason(t *testing.T) {
	var log rejectionLog
	reason := errors.New("a reason")
	err := log.reject(eventlog.Discard(), "heartbeat", "node", reason)
	var invalid *InvalidCallError
	if !errors.As(err, &invalid) || invalid.Call != "heartbeat" || !errors.Is(err, reason) || log.count.Load() != 1 {
		t.Errorf("%v", err)
	}
}
