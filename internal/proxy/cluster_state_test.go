package proxy

import (
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// An older leader's answer that comes late lends nothing, and neither does one of
// the same leader that a later one has overtaken.
func TestOvertakenNewsLendNothing(t *testing.T) {
	d := daemonOf(t)
	news := func(term rpc.Term, epoch rpc.Revision, amount float64) *rpc.Update {
		return &rpc.Update{IsLeader: true, Term: term, Revision: epoch, Leases: []rpc.Lease{{Kind: rpc.RetrySlack, Amount: amount, Duration: time.Minute}}}
	}
	for _, step := range []struct {
		term   rpc.Term
		epoch  rpc.Revision
		amount float64
		led    bool
		share  float64
	}{{3, 9, 5, true, 5}, {2, 50, 8, false, 5}, {3, 8, 7, true, 5}, {3, 9, 6, true, 6}, {4, 1, 2, true, 2}, {3, 10, 9, false, 2}} {
		if led := d.state.Apply(d.clock.Now(), news(step.term, step.epoch, step.amount)); led != step.led {
			t.Errorf("%+v: led %v", step, led)
		}
		if share := d.state.Leased(rpc.RetrySlack, ""); share != step.share {
			t.Errorf("%+v: share %g", step, share)
		}
	}
	// A lease runs from when it was asked for, however late its answer is.
	d.state.Apply(d.clock.Now()-time.Minute, news(5, 1, 4))
	if share := d.state.Leased(rpc.RetrySlack, ""); share != 0 {
		t.Errorf("a lease that was asked for a minute ago: share %g", share)
	}
}

// A leader of an older term does not become the one that is asked again.
func TestAnOlderLeaderIsNotFoundAgain(t *testing.T) {
	d := daemonOf(t)
	if !d.leader.noteLeader("new:1", 4) || d.leader.noteLeader("old:1", 3) || *d.leader.leader.Load() != "new:1" {
		t.Fatalf("the leader is %s", *d.leader.leader.Load())
	}
	if !d.leader.noteLeader("next:1", 5) || *d.leader.leader.Load() != "next:1" {
		t.Fatalf("the leader is %s", *d.leader.leader.Load())
	}
}

// lateForum binds in the name of a term.
type lateForum struct{ term rpc.Term }

func (f *lateForum) Bind(ask rpc.BindRequest, reply *rpc.BindResponse) (err error) {
	reply.IsLeader, reply.Term, reply.Results = true, f.term, []rpc.BindResult{{Outcome: rpc.Bound, Endpoint: "i-1"}}
	return nil
}

// What an older leader says of a session is no answer any more.
func TestALateBindingIsNoAnswer(t *testing.T) {
	d := daemonOf(t)
	d.state.Apply(0, &rpc.Update{IsLeader: true, Term: 6, Revision: 1})
	for term, answers := range map[rpc.Term]int{5: 0, 6: 1, 7: 1} {
		inner := serveInner(t, map[string]any{"Forum": &lateForum{term}})
		d.leader.leader.Store(&inner)
		if found := d.leader.sendBinds([]rpc.SessionBinding{{Session: "x"}}, claimCallTimeout); len(found) != answers {
			t.Errorf("term %d: %+v", term, found)
		}
	}
}
