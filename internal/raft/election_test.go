package raft_test

import (
	"testing"

	"tinpin/internal/raft"
)

// Of two voters that ask at the same time one stands back, so that the votes are
// not split; over many seeds a leader that is cut off is followed by the next
// term's in nearly all.
func TestTwoThatAskAtOnceDoNotSplitTheVotes(t *testing.T) {
	split := 0
	for seed := int64(1); seed <= 60; seed++ {
		s, _ := calm(t, seed, false)
		leader := s.settledLeader()
		term := leader.raft.Term()
		s.cutOff(leader.member.Inner, true, true, true)
		s.run(200)
		next := s.settledLeader()
		if next == nil || next == leader {
			t.Fatalf("seed %d: nobody else leads", seed)
		}
		if next.raft.Term() > term+1 {
			split++
		}
	}
	if split > 6 {
		t.Errorf("%d of 60 elections were split", split)
	}
}

// A core that has started again asks soon after the others can say yes: all of
// them back at once are led within two elections in the mean, though none votes before what a
// leader was told may have run out.
func TestAllThatStartAgainAreLedSoon(t *testing.T) {
	total := 0
	for seed := int64(1); seed <= 60; seed++ {
		s, _ := calm(t, seed, false)
		for _, host := range s.order {
			s.crash(host, true)
		}
		for _, host := range s.order {
			s.start(host)
			s.run(1)
		}
		if leader := s.settledLeader(); leader != nil {
			t.Fatalf("seed %d: one leads at once", seed)
		}
		took := 0
		for ; s.settledLeader() == nil && took < 200; took++ {
			s.run(1)
		}
		if took > 3*raft.ElectionTicks {
			t.Errorf("seed %d: %d ticks", seed, took)
		}
		total += took
	}
	if mean := float64(total) / 60; mean > 2*raft.ElectionTicks {
		t.Errorf("%.1f ticks in the mean", mean)
	} else {
		t.Logf("%.1f ticks in the mean", mean)
	}
}
