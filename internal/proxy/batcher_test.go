package proxy

import (
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// A reply without exactly one result for each request answers none of them.
func TestAReplyOfTheWrongLengthAnswersNobody(t *testing.T) {
	for _, size := range []int{0, 1, 3} {
		batcher := NewBatcher(4, 1, 4, func(_ []int, _ time.Duration) (replies []rpc.ClaimResult) {
			for range size {
				replies = append(replies, rpc.ClaimResult{Outcome: rpc.ClaimGranted})
			}
			return replies
		})
		batch := make([]pendingRequest[int, rpc.ClaimResult], 2)
		for i := range batch {
			batch[i] = pendingRequest[int, rpc.ClaimResult]{
				t.Context(), i, time.Now().Add(time.Hour), make(chan rpc.ClaimResult, 1),
			}
		}
		batcher.slots <- struct{}{}
		batcher.sendBatch(batch)
		for i := range batch {
			if found := <-batch[i].reply; found.Outcome != rpc.ClaimUnknown {
				t.Errorf("%d answers to 2 claims: the one at %d is %+v", size, i, found)
			}
		}
	}
}

// Requests whose deadline has passed are not sent, and a call gets the longest remaining time of its batch.
func TestExpiredRequestsAreNotSent(t *testing.T) {
	var sent []int
	var remaining time.Duration
	batcher := NewBatcher(4, 1, 4, func(requests []int, left time.Duration) []int {
		sent, remaining = append(sent, requests...), left
		return requests
	})
	batch := []pendingRequest[int, int]{
		{t.Context(), 1, time.Now().Add(-time.Second), make(chan int, 1)},
		{t.Context(), 2, time.Now().Add(time.Hour), make(chan int, 1)},
		{t.Context(), 3, time.Now().Add(time.Minute), make(chan int, 1)},
	}
	second := batch[1].reply
	batcher.slots <- struct{}{}
	batcher.sendBatch(batch)
	if len(sent) != 2 || sent[0] != 2 || sent[1] != 3 || <-second != 2 ||
		remaining <= 59*time.Minute || remaining > time.Hour {
		t.Fatalf("sent %v, left %v", sent, remaining)
	}
	sent = nil
	batcher.slots <- struct{}{}
	batcher.sendBatch([]pendingRequest[int, int]{{t.Context(), 1, time.Now().Add(-time.Second), make(chan int, 1)}})
	if sent != nil {
		t.Fatalf("sent %v", sent)
	}
}

// emptyCoordinator is a leader whose replies have no results.
type emptyCoordinator struct{}

func (emptyCoordinator) Claim(_ rpc.ClaimRequest, reply *rpc.ClaimResponse) (err error) {
	reply.IsLeader = true
	return nil
}

func (emptyCoordinator) Bind(_ rpc.BindRequest, reply *rpc.BindResponse) (err error) {
	reply.IsLeader = true
	return nil
}

// A leader's reply without a result for a claim or a binding leaves its outcome unknown.
func TestAShortReplyOfALeaderLeavesTheOutcomeUnknown(t *testing.T) {
	d := newTestDaemon(t)
	address := serveRPC(t, map[string]any{"Forum": emptyCoordinator{}})
	d.leader.leader.Store(&address)
	d.leader.lastHeard.Store(int64(d.clock.Now() + time.Hour))
	go d.leader.RunClaims()
	go d.leader.RunBinds()
	t.Cleanup(func() { close(d.leader.Done) })
	claim := rpc.KeyClaim{Key: "k", Request: "a"}
	if result := d.leader.claimOnce(t.Context(), claim, time.Second); result.Outcome != rpc.ClaimUnknown {
		t.Errorf("%+v", result)
	}
	result, accepted, answered := d.leader.binds.Call(t.Context(), rpc.SessionBinding{Session: "s"}, time.Second)
	if !accepted || !answered || result.Outcome != rpc.BindUnknown {
		t.Errorf("%+v", result)
	}
}
