// Keeping house: the leader takes newcomers in and lets the departed go, and a
// core that is no member asks to become one.
package accord

import (
	crand "crypto/rand"
	"encoding/hex"
	"net"
	"time"
	"tinpin/internal/events"
	"tinpin/internal/parley"
	"tinpin/internal/props"
)

type joiner struct {
	member Member
	at     int
}

// JoinAsk asks to be taken in.
type JoinAsk struct{ Member Member }

// JoinReply names the leader where it is another.
type JoinReply struct {
	Leader bool
	Inners []string
}

// Join notes a core that wants to be taken in.
func (d *Desk) Join(ask JoinAsk, reply *JoinReply) (err error) {
	leads, _, _, _, members := d.node.Standing()
	reply.Leader = leads
	for _, member := range members {
		reply.Inners = append(reply.Inners, member.Inner)
	}
	if !leads {
		return nil
	}
	select {
	case d.node.tells <- func() { d.node.joiners[ask.Member.ID] = joiner{ask.Member, d.node.ticks} }:
	default:
	}
	return nil
}

// keepHouse takes newcomers in, lets the departed go, expires old keys and,
// where this core is no member, asks to become one.
func (n *Node) keepHouse() {
	if n.raft.Role() != Leader {
		_, member := find(n.raft.Members(), n.self.ID)
		if (!member || n.ticks-n.heardAt > 2*electTicks) && n.ticks%10 == 0 {
			go n.askToJoin()
		}
		return
	}
	if !n.raft.Settled() {
		return
	}
	for id, joiner := range n.joiners {
		if n.ticks-joiner.at > 100 {
			delete(n.joiners, id)
		}
	}
	var waiting []Member
	for _, joiner := range n.joiners {
		waiting = append(waiting, joiner.member)
	}
	next, change := NextMembers(n.raft.Members(), n.self, waiting, Voters(n.props.MachineLosses), n.raft.CaughtUp, func(id ID) bool {
		ticks, known := n.raft.Heard(id)
		return known && ticks > departTicks
	})
	if change {
		accepted, out := n.raft.Change(next)
		if accepted {
			n.log.Say(events.MemberChanged, "members", len(next))
			n.carry(out)
		}
	}
	if n.ticks%25 == 0 {
		n.mu.RLock()
		upto := n.state.Expirable(n.Now(), n.props.Bounds.KeyWindow+15*time.Second)
		n.mu.RUnlock()
		if upto > 0 {
			select {
			case n.wishes <- wish{Command{Kind: CommandExpire, Upto: upto}, make(chan Answer, 1), time.Now(), staleWish}:
			default:
			}
		}
	}
}

// Voters is how many cores should vote, so that what was acknowledged outlasts
// the loss of so many: of twice as many and one, a majority is left.
func Voters(losses int) (wanted int) { return max(3, 2*losses+1) }

// NextMembers is the next single change of membership, if one is due: a
// newcomer becomes a learner; a wiped or departed voter goes when a caught-up
// learner stands ready; a caught-up learner becomes a voter while there are
// fewer than wanted.
func NextMembers(members []Member, self Member, waiting []Member, wanted int, caughtUp func(ID) bool, departed func(ID) bool) (next []Member, change bool) {
	next = append([]Member(nil), members...)
	for _, newcomer := range waiting {
		if _, known := find(members, newcomer.ID); !known {
			newcomer.Voter = false
			return append(next, newcomer), true
		}
	}
	voters, ready := 0, -1
	for i, member := range members {
		if member.Voter {
			voters++
		} else if caughtUp(member.ID) {
			ready = i
		}
	}
	// A later member at the same address is the newer life of the same core.
	replaced := func(at int) bool {
		for _, newer := range members[at+1:] {
			if newer.Inner == members[at].Inner && (departed(members[at].ID) || caughtUp(newer.ID)) {
				return true
			}
		}
		return false
	}
	for i, member := range members {
		if member.ID == self.ID {
			continue
		}
		wiped := replaced(i)
		if member.Voter && wiped && ready >= 0 || member.Voter && departed(member.ID) && ready >= 0 || !member.Voter && (wiped && !caughtUp(member.ID) || departed(member.ID)) {
			return append(next[:i], next[i+1:]...), true
		}
	}
	if ready >= 0 && voters < wanted {
		next[ready].Voter = true
		return next, true
	}
	return nil, false
}

func (n *Node) askToJoin() {
	n.mu.RLock()
	targets := map[string]bool{}
	for _, seed := range n.seeds {
		targets[n.props.Accord(seed)] = true
	}
	for _, inner := range n.book {
		targets[inner] = true
	}
	n.mu.RUnlock()
	delete(targets, n.self.Inner)
	for target := range targets {
		caller := parley.NewCaller(target)
		var reply JoinReply
		if err := caller.Call("Accord.Join", JoinAsk{n.self}, &reply, 300*time.Millisecond); err == nil {
			n.mu.Lock()
			for _, inner := range reply.Inners {
				n.book[ID("heard-"+inner)] = inner
			}
			n.mu.Unlock()
		}
		caller.Close()
	}
}

// Identity decides who a core with an empty disk is: a founder where the
// whole system starts for the first time and it is among the seeds, else a
// newcomer that has to be taken in.
func Identity(p props.Props) (id ID, base Snapshot) {
	var founders []Member
	founder := false
	for _, seed := range p.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue
		}
		member := Member{ID: ID("founder-" + host), Inner: p.Accord(seed), Control: seed, Voter: true}
		founders = append(founders, member)
		founder = founder || host == p.Address
	}
	if p.FirstStart && founder {
		return ID("founder-" + p.Address), Snapshot{Index: 1, Term: 1, Members: founders}
	}
	var luck [8]byte
	_, _ = crand.Read(luck[:])
	return ID(p.Address + "-" + hex.EncodeToString(luck[:])), Snapshot{}
}
