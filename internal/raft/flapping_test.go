package raft_test

import (
	"testing"

	"tinpin/internal/raft"
)

// copyDisk keeps a disk as it is now, to be put back later.
func (d *simDisk) copyDisk() (kept *simDisk) {
	kept = &simDisk{MemoryDisk: raft.MemoryDisk{ID: d.ID, HardState: d.HardState, Snapshot: d.Snapshot, Log: map[raft.Index]raft.Entry{}}}
	for index, entry := range d.Log {
		kept.Log[index] = entry
	}
	return kept
}

// cutOff parts a core from the others: what it says, what it hears, or both.
func (s *sim) cutOff(host string, says, hears, cut bool) {
	for _, far := range s.order {
		if far == host {
			continue
		}
		if says {
			s.cut[[2]string{host, far}] = cut
		}
		if hears {
			s.cut[[2]string{far, host}] = cut
		}
	}
}

// calm starts three cores, with one to spare if asked for, and names a
// follower to be in trouble.
func calm(t *testing.T, seed int64, spare bool) (s *sim, host string) {
	t.Helper()
	s = newSim(seed, 3, planted{})
	s.run(100)
	if spare {
		s.add("core-3")
		s.run(60)
	}
	leader := s.settledLeader()
	if leader == nil {
		t.Fatalf("seed %d: no leader to begin with", seed)
	}
	for _, host = range s.order[:3] {
		if host != leader.member.Inner {
			break
		}
	}
	return s, host
}

// undisturbed tells what a trouble did to the rest of the group.
func (s *sim) undisturbed(t *testing.T, name string, seed int64, most int, trouble func()) {
	t.Helper()
	leader, term, changes := s.settledLeader(), s.settledLeader().raft.Term(), s.changes
	trouble()
	now := s.settledLeader()
	if now != leader || now.raft.Term() != term {
		t.Errorf("%s, seed %d: the group changed its leader or term", name, seed)
	}
	if s.changes-changes > most {
		t.Errorf("%s, seed %d: %d changes of membership, %d at most", name, seed, s.changes-changes, most)
	}
	if broken := s.whole(); broken != "" {
		t.Errorf("%s, seed %d: %s", name, seed, broken)
	}
}

// A core comes and goes each few seconds for over a minute and a half. Without
// one to spare nothing changes; with one it is struck out once, and after that
// it is a learner that comes and goes.
func TestCoreThatComesAndGoes(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		for _, spare := range []bool{false, true} {
			s, host := calm(t, seed, spare)
			most := 0
			if spare {
				most = 3
			}
			s.undisturbed(t, "comes and goes", seed, most, func() {
				for n := 0; n < 30; n++ {
					s.crash(host, n%2 == 0)
					s.run(50 + n%4*10)
					s.start(host)
					s.run(30 + n%5*12)
				}
			})
		}
	}
}

// Two that come and go in turn, with one to spare: each may be struck out
// anew only after it stayed for twice as long as the time before.
func TestTwoThatComeAndGo(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		s, host := calm(t, seed, true)
		s.undisturbed(t, "two come and go", seed, 24, func() {
			for n := 0; n < 60; n++ {
				each := []string{host, "core-3"}[n%2]
				s.crash(each, n%3 == 0)
				s.run(50)
				s.start(each)
				s.run(40)
			}
		})
	}
}

func TestCutOneWay(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		for name, way := range map[string][2]bool{"hears and does not speak": {true, false}, "speaks and does not hear": {false, true}, "neither": {true, true}} {
			for _, spare := range []bool{false, true} {
				s, host := calm(t, seed, spare)
				most := 0
				if spare {
					most = 3
				}
				s.undisturbed(t, name, seed, most, func() {
					s.cutOff(host, way[0], way[1], true)
					s.run(600)
					s.cutOff(host, way[0], way[1], false)
					s.run(200)
				})
			}
		}
	}
}

// A leader cut one way loses its place once, and that is all.
func TestLeaderCutOneWay(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		for name, way := range map[string][2]bool{"hears and does not speak": {true, false}, "speaks and does not hear": {false, true}} {
			s, _ := calm(t, seed, false)
			leader := s.settledLeader()
			host, term := leader.member.Inner, leader.raft.Term()
			s.cutOff(host, way[0], way[1], true)
			s.run(200)
			if s.settledLeader() == nil || s.settledLeader() == leader {
				t.Fatalf("%s, seed %d: no other leads", name, seed)
			}
			s.undisturbed(t, name, seed, 0, func() {
				s.run(400)
				s.cutOff(host, way[0], way[1], false)
				s.run(200)
			})
			if after := s.settledLeader().raft.Term(); after > term+3 {
				t.Errorf("%s, seed %d: term %d grew to %d", name, seed, term, after)
			}
		}
	}
}

// One that was struck out while it was away believes that it votes; even if
// nobody takes it in, it disturbs nobody.
func TestStruckOutThatBelievesItVotes(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		s, host := calm(t, seed, true)
		s.crash(host, true)
		s.run(200)
		if s.settledLeader().raft.Votes(s.cores[host].disk.ID) {
			t.Fatalf("seed %d: it was not struck out", seed)
		}
		s.undisturbed(t, "believes that it votes", seed, 1, func() {
			s.mute = true
			s.start(host)
			s.run(400)
			if !s.cores[host].raft.Votes(s.cores[host].disk.ID) {
				t.Errorf("seed %d: it does not believe that it votes", seed)
			}
			s.mute = false
			s.run(100)
		})
	}
}

// The disk of an id that was struck out is put back in the place of the newer
// life: it comes in as a learner, counts once, and votes after it has all.
func TestOldDiskPutBack(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		s, host := calm(t, seed, false)
		kept := s.cores[host].disk.copyDisk()
		s.run(100)
		s.lose(host)
		s.run(20)
		s.start(host)
		s.run(200)
		newer := s.cores[host].disk.ID
		s.undisturbed(t, "old disk of a struck-out id", seed, 3, func() {
			s.crash(host, true)
			s.cores[host].disk = kept
			s.run(20)
			s.start(host)
			s.run(200)
		})
		leader := s.settledLeader()
		if !leader.raft.Votes(kept.ID) || leader.raft.Votes(newer) || len(leader.raft.Members()) != 3 {
			t.Errorf("seed %d: members %+v", seed, leader.raft.Members())
		}
	}
}

// The disk of a voter is put back to an older state: it is a disk lost. It
// disturbs nobody and gets all that it lacks.
func TestOldDiskOfAVoterPutBack(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		s, host := calm(t, seed, false)
		kept := s.cores[host].disk.copyDisk()
		s.run(30)
		s.undisturbed(t, "old disk of a voter", seed, 0, func() {
			s.crash(host, true)
			s.cores[host].disk = kept
			s.run(20)
			s.start(host)
			s.run(20)
			// Before the next snapshot would bring it what it lacks.
			leader := s.settledLeader()
			upto := leader.raft.CommitIndex()
			s.run(10)
			if match := leader.raft.MatchIndex(kept.ID); match < upto || s.cores[host].raft.CommitIndex() < upto {
				t.Errorf("seed %d: it has %d and committed %d of %d", seed, match, s.cores[host].raft.CommitIndex(), upto)
			}
		})
	}
}
