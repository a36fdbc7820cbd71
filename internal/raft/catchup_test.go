package raft_test

import (
	"fmt"
	"testing"

	"tinpin/internal/raft"
)

// thinTick is what a link of 1 Mbit/s carries in a tick.
const thinTick = 3 << 10

// thinLink carries one message a tick, the small ones before the large ones as
// the couriers do; a large one takes a tick for each 3 KB.
type thinLink struct {
	small, bulk []raft.Message
	left        int
}

func (l *thinLink) put(message raft.Message) {
	if message.IsBulk() {
		if len(l.bulk) < 512 {
			l.bulk = append(l.bulk, message)
		}
	} else if len(l.small) < 512 {
		l.small = append(l.small, message)
	}
}

func (l *thinLink) pass() (message raft.Message, whole bool) {
	if len(l.small) > 0 {
		message, l.small = l.small[0], l.small[1:]
		return message, true
	}
	if len(l.bulk) == 0 {
		return message, false
	}
	if l.left == 0 {
		l.left = (l.bulk[0].Size() + thinTick - 1) / thinTick
	}
	if l.left--; l.left > 0 {
		return message, false
	}
	message, l.bulk = l.bulk[0], l.bulk[1:]
	return message, true
}

// behind plays 1,000 changes while one core is down, wiped or cut off, and gives
// the ticks from its return until it has them all, votes and is known to.
func behind(t *testing.T, seed int64, trouble string, thin bool, tail raft.LogTail) (ticks int) {
	t.Helper()
	s := newSim(seed, 3, planted{})
	s.shape = func(r *raft.Replica) { r.SetLogTail(tail); r.SetChunkBytes(raft.SnapshotChunkBytes) }
	for _, host := range s.order {
		s.shape(s.cores[host].raft)
	}
	for s.settledLeader() == nil && s.now < 400 {
		s.step()
	}
	host := ""
	for _, each := range s.order {
		if s.cores[each] != s.settledLeader() {
			host = each
		}
	}
	core := s.cores[host]
	switch trouble {
	case "cut":
		for _, other := range s.order {
			s.cut[[2]string{host, other}], s.cut[[2]string{other, host}] = true, true
		}
	default:
		s.crash(host, true)
	}
	if trouble == "wiped" {
		s.wipe(host)
		core = s.cores[host]
	}
	for before := len(s.acked); len(s.acked) < before+1000 && s.broken == ""; {
		for i := 0; i < 10; i++ {
			s.claim()
		}
		s.step()
	}
	if thin {
		s.thin = map[string]*thinLink{host: {}}
	}
	s.heal()
	held := func() bool {
		leader := s.settledLeader()
		if leader == nil || !core.raft.Votes(core.disk.ID) || !leader.raft.CaughtUp(core.disk.ID) {
			return false
		}
		lag, known := leader.raft.Lag(core.disk.ID)
		return known && lag == 0
	}
	for ; ticks < 4000 && s.broken == "" && !held(); ticks++ {
		if ticks%3 == 0 {
			s.claim()
		}
		s.step()
		if leader := s.settledLeader(); leader != nil && leader.raft.CaughtUp(core.disk.ID) && core.disk.end() < leader.raft.MatchIndex(core.disk.ID) {
			t.Fatalf("%s: counts as caught up, and its disk ends at %d", trouble, core.disk.end())
		}
	}
	if s.broken != "" {
		t.Fatal(s.broken)
	}
	for i := 0; i < 400; i++ {
		s.step()
	}
	for key := range s.acked {
		if _, known := core.state.ClaimOf(key); !known {
			t.Fatalf("%s: key %s is not in its state", trouble, key)
		}
	}
	return ticks
}

func (d *simDisk) end() (index raft.Index) {
	for index = d.Snapshot.Index; ; index++ {
		if _, known := d.Log[index+1]; !known {
			return index
		}
	}
}

// A tick is 25 ms. A wiped core has to be taken in as a learner and raised besides.
func TestAMemberCatchesUpAfterAThousandChanges(t *testing.T) {
	for _, c := range []struct {
		trouble string
		thin    bool
		tail    raft.LogTail
		within  int
	}{
		{"down", false, raft.LogTail{20, 1 << 12}, 160}, {"cut", false, raft.LogTail{20, 1 << 12}, 160}, {"wiped", false, raft.LogTail{20, 1 << 12}, 160},
		{"down", false, raft.LogTail{4000, 4 << 20}, 160}, {"cut", false, raft.LogTail{4000, 4 << 20}, 160},
		{"down", true, raft.LogTail{20, 1 << 12}, 240}, {"cut", true, raft.LogTail{20, 1 << 12}, 240}, {"wiped", true, raft.LogTail{20, 1 << 12}, 240},
		{"down", true, raft.LogTail{4000, 4 << 20}, 400}, {"cut", true, raft.LogTail{4000, 4 << 20}, 400},
	} {
		t.Run(fmt.Sprintf("%s thin %v tail %d", c.trouble, c.thin, c.tail.Entries), func(t *testing.T) {
			most := 0
			for seed := int64(1); seed <= 5; seed++ {
				most = max(most, behind(t, seed, c.trouble, c.thin, c.tail))
			}
			t.Logf("%d ticks at most", most)
			if most > c.within {
				t.Errorf("%d ticks, want %d at most", most, c.within)
			}
		})
	}
}
