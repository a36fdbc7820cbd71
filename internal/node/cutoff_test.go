package node

// Three nodes on loopback, with real tickers, disks and connections: the leader is
// cut off, and when another has won the old one must have stopped answering.

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/raft"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
)

// parted takes messages of the agreement, but none from or to who is cut off.
type parted struct {
	desk *Service
	off  *atomic.Pointer[raft.ID]
}

func (p *parted) Step(batch MessageBatch, empty *Empty) (err error) {
	if off := p.off.Load(); off != nil && (batch.From == *off || p.desk.node.self.ID == *off) {
		return raft.Class.New("cut off")
	}
	return p.desk.Step(batch, empty)
}

type winner struct {
	node *Node
	term raft.Term
}

func TestARealLeaderThatIsCutOffHasStoppedBeforeAnotherWins(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := free.Addr().(*net.TCPAddr).Port
	_ = free.Close()
	var seeds []string
	for i := 1; i <= 3; i++ {
		seeds = append(seeds, fmt.Sprintf("127.0.0.%d:1", i))
	}
	off := &atomic.Pointer[raft.ID]{}
	old := &atomic.Pointer[winner]{}
	won := make(chan winner, 16)
	for i := 1; i <= 3; i++ {
		address := fmt.Sprintf("127.0.0.%d", i)
		node, err := OpenNode(settings.Settings{Name: address, Address: address, ControlAddress: seeds[i-1], InternalPortLow: port, Seeds: seeds, DataDirectory: t.TempDir(), FirstStart: true, ToleratedMachineLosses: 1}, eventlog.Discard())
		if err != nil {
			t.Fatal(err)
		}
		node.OnLeadership = func(leads bool, term raft.Term) {
			if !leads {
				return
			}
			if before := old.Load(); before != nil && before.node != node && before.node.HoldsLease(before.term, 0) {
				t.Errorf("%s answers in term %d though %s leads in term %d", before.node.self.ID, before.term, node.self.ID, term)
			}
			won <- winner{node, term}
		}
		served, err := rpc.Serve(node.self.Inner, map[string]any{"Accord": &parted{node.Service(), off}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			node.Close()
			served.Close()
		})
		node.Run()
	}
	// On a busy machine the first leader may be followed by others before it is in
	// contact; each is held against the one before it.
	for first := range won {
		old.Store(&first)
		if first.node.HoldsLease(first.term, 2*time.Second) {
			break
		}
	}
	cut := old.Load().node.self.ID
	off.Store(&cut)
	for next := range won {
		if next.node.self.ID != cut {
			break
		}
		old.Store(&next)
	}
	if before := old.Load(); before.node.HoldsLease(before.term, 0) {
		t.Error("the old leader answers again")
	}
}
