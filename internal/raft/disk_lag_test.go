package raft

import "testing"

// writeSteadily has a leader write an entry each tick, which the others acknowledge at once. Its own disk has so many
// writes left after each tick, or none at all finished. It gives the tick at which it began to hand its leadership
// over, -1 for none.
func writeSteadily(t *testing.T, ticks, left int) (transferredAt int) {
	t.Helper()
	leader := newBench(t, "a", HardState{Term: 2}, run(2, 50, 2)...)
	leader.elect()
	for tick := range ticks {
		_, _, accepted, out := leader.raft.Propose([]byte("x"))
		if !accepted {
			return tick
		}
		leader.take(out)
		for len(leader.queued) > left {
			leader.sync()
		}
		leader.acknowledge("b", leader.raft.LastIndex())
		leader.acknowledge("c", leader.raft.LastIndex())
		leader.take(leader.raft.Tick())
	}
	return -1
}

// Guards against a leader that hands over since there is always a commit that its disk does not hold yet.
func TestALeaderWhoseDiskIsALittleLateKeepsItsLeadership(t *testing.T) {
	for _, left := range []int{1, 4} {
		if at := writeSteadily(t, 200, left); at >= 0 {
			t.Errorf("with a disk %d writes late it hands over at tick %d", left, at)
		}
	}
	for _, left := range []int{ElectionTicks + 3, 1000} {
		if at := writeSteadily(t, 200, left); at < ElectionTicks || at > 3*ElectionTicks {
			t.Errorf("with a disk %d writes late it hands over at tick %d", left, at)
		}
	}
}
