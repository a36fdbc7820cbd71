package node

// The leader carries out what the membership policy decides, and a controller that is no
// member asks to become one.

import (
	crand "crypto/rand"
	"encoding/hex"
	"net"
	"sort"
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/membership"
	"tinpin/internal/raft"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
	"tinpin/internal/statemachine"
)

type joiner struct {
	member   raft.Member
	seenTick int
}

const (
	reconcileTicks        = 5
	joinRetryTicks        = 10
	joinerExpiryTicks     = 10 * joinRetryTicks
	leavingExpiryTicks    = 2 * raft.ElectionTicks
	joinRejectionLogTicks = 400
	maxRejectedJoiners    = 64
)

// JoinRequest asks to be taken in.
type JoinRequest struct{ Member raft.Member }

// JoinResponse names the leader where it is another.
type JoinResponse struct {
	Leader          bool
	MemberAddresses []string `wire:"Inners"`
}

// Join notes a core that wants to be taken in.
func (d *Service) Join(ask JoinRequest, reply *JoinResponse) (err error) {
	leads, _, term, _, members := d.node.Status()
	reply.Leader = leads && d.node.HoldsLease(term, 0)
	for _, member := range members {
		reply.MemberAddresses = append(reply.MemberAddresses, member.Inner)
	}
	if !leads {
		return nil
	}
	select {
	case d.node.calls <- func() { d.node.handleJoin(ask.Member) }:
	default:
	}
	return nil
}

// handleJoin keeps a newcomer for the next decision, or says why it cannot be
// taken in.
func (n *Node) handleJoin(newcomer raft.Member) {
	why := n.policy.RejectReason(n.raft.Members(), newcomer)
	if _, member := raft.FindMember(n.raft.Members(), newcomer.ID); why == "" && member {
		return
	}
	if _, waits := n.joiners[newcomer.ID]; why == "" && !waits && len(n.joiners) >= n.policy.MaxLearners {
		why = "too many wait to be taken in"
	}
	if why == "" {
		n.addJoiner(newcomer)
		return
	}
	if said, known := n.rejectedJoiners[newcomer.ID]; known && n.ticks-said < joinRejectionLogTicks {
		return
	}
	if len(n.rejectedJoiners) >= maxRejectedJoiners {
		n.rejectedJoiners = map[raft.ID]int{}
	}
	n.rejectedJoiners[newcomer.ID] = n.ticks
	n.log.Emit(eventlog.JoinRejected, eventlog.KeyMember, string(newcomer.ID), "address", newcomer.Inner, eventlog.KeyReason, why)
}

// addJoiner keeps the newest life at an address.
func (n *Node) addJoiner(newcomer raft.Member) {
	_, waits := n.joiners[newcomer.ID]
	for id, other := range n.joiners {
		if other.member.Inner == newcomer.Inner {
			delete(n.joiners, id)
		}
	}
	n.joiners[newcomer.ID] = joiner{newcomer, n.ticks}
	if !waits && n.raft.CommittedInTerm() {
		n.changeMembers()
	}
}

// membershipView is what this leader sees of the members.
func (n *Node) membershipView() (roll membership.View) {
	for id, joiner := range n.joiners {
		if n.ticks-joiner.seenTick > joinerExpiryTicks {
			delete(n.joiners, id)
			continue
		}
		roll.Joining = append(roll.Joining, joiner.member)
	}
	sort.Slice(roll.Joining, func(i, j int) bool { return roll.Joining[i].ID < roll.Joining[j].ID })
	for id, at := range n.leaving {
		if n.ticks-at > leavingExpiryTicks {
			delete(n.leaving, id)
		}
	}
	roll.Self, roll.Tick, roll.Members, roll.CaughtUp = n.self.ID, n.ticks, n.raft.Members(), n.raft.CaughtUp
	roll.Leaving = func(id raft.ID) bool { _, leaving := n.leaving[id]; return leaving }
	roll.SinceHeard = func(id raft.ID) int { ticks, _ := n.raft.SinceHeard(id); return ticks }
	return roll
}

// reconcileMembers takes newcomers in, lets the departed go, expires old keys and,
// where this core is no member, asks to become one.
func (n *Node) reconcileMembers() {
	if n.raft.Role() != raft.Leader {
		_, member := raft.FindMember(n.raft.Members(), n.self.ID)
		if !n.departing && (!member || n.ticks-n.leaderSeenTick > 2*raft.ElectionTicks) && n.ticks%joinRetryTicks == 0 {
			n.requestJoin()
		}
		return
	}
	if !n.raft.CommittedInTerm() {
		return
	}
	n.changeMembers()
	if n.ticks%25 == 0 {
		n.mu.RLock()
		upto := n.state.ExpiredClaims(n.Now(), n.settings.Bounds.KeyWindow+15*time.Second)
		n.mu.RUnlock()
		if upto > 0 {
			select {
			case n.proposals <- proposal{statemachine.Command{Kind: statemachine.CommandExpireClaims, Number: upto}, make(chan Outcome, 1), time.Now(), proposalTimeout}:
			default:
			}
		}
	}
}

// changeMembers makes the one change of membership that is due; after one it
// looks again at each tick, as the second of two should not be waited for.
func (n *Node) changeMembers() {
	roll := n.membershipView()
	decision := n.policy.Decide(roll)
	if decision.Change == membership.NoChange {
		n.membersChanged = false
		return
	}
	accepted, out := n.raft.ProposeMembers(decision.Next)
	if !accepted {
		return
	}
	n.membersChanged = true
	n.policy.Record(roll, decision)
	delete(n.joiners, decision.Member.ID)
	n.log.Emit(eventlog.MembershipChanged, eventlog.KeyChange, decision.Change.String(), eventlog.KeyMember, string(decision.Member.ID), eventlog.KeyMembers, len(decision.Next))
	n.handleOutput(out)
}

func (n *Node) requestJoin() {
	n.mu.RLock()
	targets := map[string]bool{}
	for _, seed := range n.seeds {
		targets[n.settings.SeedInternalAddress(seed)] = true
	}
	for _, inner := range n.peerAddresses {
		targets[inner] = true
	}
	n.mu.RUnlock()
	delete(targets, n.self.Inner)
	for target := range targets {
		go n.requestJoinAt(target)
	}
}

func (n *Node) requestJoinAt(target string) {
	caller := rpc.NewClient(target)
	defer caller.Close()
	var reply JoinResponse
	if err := caller.Call(rpc.MethodJoin, JoinRequest{n.self}, &reply, 300*time.Millisecond); err != nil {
		return
	}
	n.mu.Lock()
	for _, inner := range reply.MemberAddresses {
		n.peerAddresses[raft.ID("heard-"+inner)] = inner
	}
	n.mu.Unlock()
}

// NewIdentity decides who a core with an empty disk is: a founder where the
// whole system starts for the first time and it is among the seeds, else a
// newcomer that has to be taken in.
func NewIdentity(p settings.Settings) (id raft.ID, base raft.Snapshot) {
	var founders []raft.Member
	founder := false
	for _, seed := range p.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue
		}
		member := raft.Member{ID: raft.ID("founder-" + host), Inner: p.SeedInternalAddress(seed), Control: seed, Voter: true}
		founders = append(founders, member)
		founder = founder || host == p.Address
	}
	if p.FirstStart && founder {
		return raft.ID("founder-" + p.Address), raft.Snapshot{Index: 1, Term: 1, Members: founders}
	}
	var luck [8]byte
	_, _ = crand.Read(luck[:])
	return raft.ID(p.Address + "-" + hex.EncodeToString(luck[:])), raft.Snapshot{}
}
