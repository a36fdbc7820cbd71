package proxy

import (
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// Of a reply that has not an answer for each ask none is taken.
func TestAReplyOfAnotherLengthAnswersNobody(t *testing.T) {
	for _, size := range []int{0, 1, 3} {
		batcher := NewBatcher(4, 1, 4, func(asks []int, _ time.Duration) (replies []rpc.ClaimResult) {
			for range size {
				replies = append(replies, rpc.ClaimResult{Outcome: rpc.ClaimGranted})
			}
			return replies
		})
		batch := make([]pendingRequest[int, rpc.ClaimResult], 2)
		for i := range batch {
			batch[i] = pendingRequest[int, rpc.ClaimResult]{i, time.Now().Add(time.Hour), make(chan rpc.ClaimResult, 1)}
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

// What nobody waits for any more is not sent, and a call tells how long the
// longest is waited for.
func TestWhatIsGivenUpIsNotSent(t *testing.T) {
	var sent []int
	var told time.Duration
	batcher := NewBatcher(4, 1, 4, func(asks []int, left time.Duration) []int {
		sent, told = append(sent, asks...), left
		return asks
	})
	batch := []pendingRequest[int, int]{{1, time.Now().Add(-time.Second), make(chan int, 1)}, {2, time.Now().Add(time.Hour), make(chan int, 1)}, {3, time.Now().Add(time.Minute), make(chan int, 1)}}
	second := batch[1].reply
	batcher.slots <- struct{}{}
	batcher.sendBatch(batch)
	if len(sent) != 2 || sent[0] != 2 || sent[1] != 3 || <-second != 2 || told <= 59*time.Minute || told > time.Hour {
		t.Fatalf("sent %v, left %v", sent, told)
	}
	sent = nil
	batcher.slots <- struct{}{}
	batcher.sendBatch([]pendingRequest[int, int]{{1, time.Now().Add(-time.Second), make(chan int, 1)}})
	if sent != nil {
		t.Fatalf("sent %v", sent)
	}
}

// shortForum leads and answers a batch with no rows.
type shortForum struct{}

func (shortForum) Claim(ask rpc.ClaimRequest, reply *rpc.ClaimResponse) (err error) {
	reply.IsLeader = true
	return nil
}

func (shortForum) Bind(ask rpc.BindRequest, reply *rpc.BindResponse) (err error) {
	reply.IsLeader = true
	return nil
}

// A leader's reply without the row for a claim or a binding leaves its outcome open.
func TestAShortReplyOfALeaderLeavesItOpen(t *testing.T) {
	d := daemonOf(t)
	inner := serveInner(t, map[string]any{"Forum": shortForum{}})
	d.leader.leader.Store(&inner)
	d.leader.lastHeard.Store(int64(d.clock.Now() + time.Hour))
	go d.leader.RunClaims()
	go d.leader.RunBinds()
	t.Cleanup(func() { close(d.leader.Done) })
	if found := d.leader.claimOnce(rpc.KeyClaim{Key: "k", Request: "a"}, time.Second); found.Outcome != rpc.ClaimUnknown {
		t.Errorf("%+v", found)
	}
	if found, taken, answered := d.leader.binds.Call(rpc.SessionBinding{Session: "s"}, time.Second); !taken || !answered || found.Outcome != rpc.BindUnknown {
		t.Errorf("%+v", found)
	}
}
