package membership

import (
	"fmt"
	"math/bits"
	"testing"
	"time"

	"tinpin/internal/raft"
)

// set is some of the cores of the model, a bit each.
type set uint16

func (s set) majorityOf(voters set) (majority bool) {
	return bits.OnesCount16(uint16(s&voters)) > bits.OnesCount16(uint16(voters))/2
}

func voterSet(members []raft.Member) (voters set) {
	for _, member := range members {
		if member.Voter {
			voters |= 1 << (member.ID[0] - 'a')
		}
	}
	return voters
}

// instant is a moment of a change: survivors may hold the one set of voters in
// their log or the other, and must be able to elect whichever it is.
type instant struct{ old, new set }

func (i instant) elects(survivors set) (elects bool) {
	return survivors.majorityOf(i.old) && survivors.majorityOf(i.new)
}

// bears is how many of the living may be lost, whichever they are.
func (i instant) bears(living set) (losses int) {
	for losses = 0; ; losses++ {
		for lost := set(0); lost <= living; lost++ {
			if lost&^living == 0 && bits.OnesCount16(uint16(lost)) == losses+1 && !i.elects(living&^lost) {
				return losses
			}
		}
	}
}

// instants gives each moment of the changes that the policy makes in turn.
func instants(losses int, members []raft.Member, dead, leaving string) (moments []instant, living set) {
	membership := NewPolicy(losses, 0, 4*time.Second)
	for i := range members {
		living |= 1 << i
	}
	for _, id := range dead {
		living &^= 1 << (id - 'a')
	}
	now := voterSet(members)
	moments = append(moments, instant{now, now})
	for {
		decision := membership.Decide(viewOf(members, dead, leaving, ""))
		if decision.Change == NoChange {
			return moments, living
		}
		members = decision.Next
		next := voterSet(members)
		if next != now {
			moments = append(moments, instant{now, next}, instant{next, next})
		}
		now = next
	}
}

// Every instant of each replacement is gone through with every set of
// survivors: who can elect holds all that was acknowledged before and since,
// no instant bears fewer losses than the one before the replacement, and
// joint consensus would bear no more of them. What joint consensus bears
// beside that number is counted: sets of more losses that happen to spare a
// majority of both.
func TestEachInstantOfAReplacement(t *testing.T) {
	for _, c := range []struct {
		name          string
		losses        int
		voters, spare int
		dead, leaving string
		before, worst int // losses borne before, and at the worst instant
		after         int
		jointOnly     int // most sets of survivors at an instant that only joint consensus bears
		oursOnly      int // most sets that only this order bears
	}{
		{"3, one leaves", 1, 3, 1, "", "c", 1, 1, 1, 1, 0},
		{"3, one dead", 1, 3, 1, "c", "", 0, 0, 1, 0, 0},
		{"5, one leaves", 2, 5, 1, "", "e", 2, 2, 2, 4, 0},
		{"5, one dead", 2, 5, 1, "e", "", 1, 1, 2, 0, 0},
		{"5, two leave", 2, 5, 2, "", "de", 2, 2, 2, 8, 21},
		{"5, two dead", 2, 5, 2, "de", "", 0, 0, 2, 0, 6},
		{"5, one dead, one leaves", 2, 5, 2, "e", "d", 1, 1, 2, 1, 15},
	} {
		moments, living := instants(c.losses, group(c.voters, c.spare), c.dead, c.leaving)
		last := len(moments) - 1
		joint := instant{moments[0].old, moments[last].new}
		worst, jointOnly, oursOnly := c.voters, 0, 0
		for at, moment := range moments {
			worst = min(worst, moment.bears(living))
			requireNothingLost(t, c.name, moment, living, 1<<(c.voters+c.spare))
			if at == 0 || at == last {
				continue
			}
			onlyJoint, onlyOurs := compare(moment, joint, living)
			jointOnly, oursOnly = max(jointOnly, onlyJoint), max(oursOnly, onlyOurs)
			t.Logf("%s: %06b to %06b bears %d, joint %d; sets borne by joint alone %d, by this alone %d", c.name,
				moment.old, moment.new, moment.bears(living), joint.bears(living), onlyJoint, onlyOurs)
		}
		before, after, jointBears := moments[0].bears(living), moments[last].bears(living), joint.bears(living)
		if before != c.before || worst != c.worst || after != c.after {
			t.Errorf("%s: bears %d before, %d at worst, %d after", c.name, before, worst, after)
		}
		if worst < before || jointBears > worst {
			t.Errorf("%s: bears %d before, %d at worst; joint %d", c.name, before, worst, jointBears)
		}
		if jointOnly != c.jointOnly || oursOnly != c.oursOnly {
			t.Errorf("%s: joint alone %d, this alone %d", c.name, jointOnly, oursOnly)
		}
	}
}

// requireNothingLost fails a test if some survivors can elect and hold nothing that others, of all sets below
// limit, acknowledged.
func requireNothingLost(t *testing.T, name string, moment instant, living, limit set) {
	t.Helper()
	for survivors := set(0); survivors <= living; survivors++ {
		if survivors&^living != 0 || !survivors.majorityOf(moment.old) && !survivors.majorityOf(moment.new) {
			continue
		}
		for acked := set(0); acked < limit; acked++ {
			if (acked.majorityOf(moment.old) || acked.majorityOf(moment.new)) && survivors&acked == 0 {
				t.Fatalf("%s, %b to %b: %b elects and holds nothing that %b acknowledged", name,
					moment.old, moment.new, survivors, acked)
			}
		}
	}
}

// compare counts the sets of survivors that can elect under joint consensus alone, and at this instant alone.
func compare(moment, joint instant, living set) (onlyJoint, onlyOurs int) {
	for survivors := set(0); survivors <= living; survivors++ {
		if survivors&^living != 0 {
			continue
		}
		ours, both := moment.elects(survivors), joint.elects(survivors)
		if both && !ours {
			onlyJoint++
		}
		if ours && !both {
			onlyOurs++
		}
	}
	return onlyJoint, onlyOurs
}

// The other order bears less: the model finds it.
func TestOtherOrdersBearLess(t *testing.T) {
	three, living := set(0b0111), set(0b1111)
	removedFirst := instant{three, 0b0011}
	if before, now := (instant{three, three}).bears(living), removedFirst.bears(living); now >= before {
		t.Errorf("removing a living voter first bears %d of %d", now, before)
	}
	living = 0b1011
	raisedFirst, removed := instant{three, 0b1111}, instant{three, 0b0011}
	ours, theirs := 0, 0
	for survivors := set(0); survivors <= living; survivors++ {
		if survivors&^living == 0 && removed.elects(survivors) {
			ours++
		}
		if survivors&^living == 0 && raisedFirst.elects(survivors) {
			theirs++
		}
	}
	if theirs >= ours {
		t.Error(fmt.Sprint("raising first beside a dead voter bears ", theirs, " sets, removing it first ", ours))
	}
}
