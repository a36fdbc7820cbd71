package node

// The leader carries out what the membership policy decides, and a controller that is no
// member asks to become one.

import (
	"context"
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

type joinCandidate struct {
	member   raft.Member
	seenTick int
}

const (
	reconcileTicks        = 5
	joinRetryTicks        = 10
	joinExpiryTicks       = 10 * joinRetryTicks
	leavingExpiryTicks    = 2 * raft.ElectionTicks
	joinRejectionLogTicks = 400
	maxRejectedCandidates = 64
	// waitLogTicks is for how long a change of members has to wait to be logged, waitLogInterval the ticks until
	// it is logged again.
	waitLogTicks    = int(time.Second / raft.TickInterval)
	waitLogInterval = int(10 * time.Second / raft.TickInterval)
)

// waitingChange is a change of members that is due and waits.
type waitingChange struct {
	// waits tells whether one does; since is the tick at which its wait began, and nextLog that of its next log line.
	waits          bool
	since, nextLog int
}

// JoinRequest asks for membership.
type JoinRequest struct{ Member raft.Member }

// JoinResponse names the leader where it is another.
type JoinResponse struct {
	Leader          bool
	MemberAddresses []string `wire:"Inners"`
}

// Join notes a controller that asks to become a member.
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

// handleJoin keeps a candidate for the next decision, or logs why it cannot become a
// member.
func (n *Node) handleJoin(candidate raft.Member) {
	why := n.policy.RejectReason(n.raft.Members(), candidate)
	if _, member := raft.FindMember(n.raft.Members(), candidate.ID); why == "" && member {
		return
	}
	if _, waits := n.joinCandidates[candidate.ID]; why == "" && !waits && len(n.joinCandidates) >= n.policy.MaxLearners {
		why = "too many wait to be taken in"
	}
	if why == "" {
		n.addJoinCandidate(candidate)
		return
	}
	if loggedTick, known := n.rejectedCandidates[candidate.ID]; known && n.ticks-loggedTick < joinRejectionLogTicks {
		return
	}
	if len(n.rejectedCandidates) >= maxRejectedCandidates {
		n.rejectedCandidates = map[raft.ID]int{}
	}
	n.rejectedCandidates[candidate.ID] = n.ticks
	n.log.Emit(eventlog.JoinRejected, eventlog.KeyMember, string(candidate.ID), "address", candidate.Inner, eventlog.KeyReason, why)
}

// addJoinCandidate keeps the newest incarnation at an address.
func (n *Node) addJoinCandidate(candidate raft.Member) {
	_, waits := n.joinCandidates[candidate.ID]
	for id, other := range n.joinCandidates {
		if other.member.Inner == candidate.Inner {
			delete(n.joinCandidates, id)
		}
	}
	n.joinCandidates[candidate.ID] = joinCandidate{candidate, n.ticks}
	if !waits && n.raft.CommittedInTerm() {
		n.changeMembers()
	}
}

// membershipView is the state of the members as this leader sees it.
func (n *Node) membershipView() (view membership.View) {
	for id, waiting := range n.joinCandidates {
		if n.ticks-waiting.seenTick > joinExpiryTicks {
			delete(n.joinCandidates, id)
			continue
		}
		view.Joining = append(view.Joining, waiting.member)
	}
	sort.Slice(view.Joining, func(i, j int) bool { return view.Joining[i].ID < view.Joining[j].ID })
	for id, at := range n.leaving {
		if n.ticks-at > leavingExpiryTicks {
			delete(n.leaving, id)
		}
	}
	view.Self, view.Tick, view.Members, view.CaughtUp = n.self.ID, n.ticks, n.raft.Members(), n.raft.CaughtUp
	view.Leaving = func(id raft.ID) bool { _, leaving := n.leaving[id]; return leaving }
	view.SinceContact = func(id raft.ID) int { ticks, _ := n.raft.SinceHeard(id); return ticks }
	return view
}

// reconcileMembers carries out the membership policy and expires old key claims where this
// controller leads; where it is no member, it asks to become one.
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
			case n.proposals <- proposal{context.Background(), statemachine.Command{Kind: statemachine.CommandExpireClaims, Number: upto}, make(chan Outcome, 1), time.Now(), proposalTimeout}:
			default:
			}
		}
	}
}

// changeMembers proposes the one membership change that is due. After a change it is called
// again at each tick, so that a second one is not delayed by the reconcile interval.
func (n *Node) changeMembers() {
	view := n.membershipView()
	decision := n.policy.Decide(view)
	if decision.Change == membership.NoChange {
		n.membersChanged = false
		n.logWaitingChange(n.policy.Waiting(view))
		return
	}
	n.waiting = waitingChange{}
	accepted, out := n.raft.ProposeMembers(decision.Next)
	if !accepted {
		return
	}
	n.membersChanged = true
	n.policy.Record(view, decision)
	delete(n.joinCandidates, decision.Member.ID)
	n.log.Emit(eventlog.MembershipChanged, eventlog.KeyChange, decision.Change.String(), eventlog.KeyMember, string(decision.Member.ID), eventlog.KeyMembers, len(decision.Next))
	n.handleOutput(out)
}

// logWaitingChange logs what a change of members waits for, once it has waited for a while, and again at intervals.
func (n *Node) logWaitingChange(wait membership.Wait) {
	if wait.Reason == membership.NotWaiting {
		n.waiting = waitingChange{}
		return
	}
	if !n.waiting.waits {
		n.waiting = waitingChange{waits: true, since: n.ticks, nextLog: n.ticks + waitLogTicks}
	}
	if n.ticks < n.waiting.nextLog {
		return
	}
	n.waiting.nextLog = n.ticks + waitLogInterval
	lag, _ := n.raft.Lag(wait.Learner)
	waited := time.Duration(n.ticks-n.waiting.since) * raft.TickInterval
	n.log.Emit(eventlog.MembershipWaits, eventlog.KeyReason, wait.Reason.String(), "voter", string(wait.Voter),
		"learner", string(wait.Learner), "lag", uint64(lag), "waited_ms", waited.Milliseconds())
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

// NewIdentity gives a controller with an empty disk its id and first snapshot: an initial
// voter where the whole system starts for the first time and it is among the seeds, else a
// fresh id that has to join.
func NewIdentity(p settings.Settings) (id raft.ID, base raft.Snapshot) {
	var initialVoters []raft.Member
	isInitialVoter := false
	for _, seed := range p.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue
		}
		member := raft.Member{ID: raft.ID("founder-" + host), Inner: p.SeedInternalAddress(seed), Control: seed, Voter: true}
		initialVoters = append(initialVoters, member)
		isInitialVoter = isInitialVoter || host == p.Address
	}
	if p.FirstStart && isInitialVoter {
		return raft.ID("founder-" + p.Address), raft.Snapshot{Index: 1, Term: 1, Members: initialVoters}
	}
	var random [8]byte
	_, _ = crand.Read(random[:])
	return raft.ID(p.Address + "-" + hex.EncodeToString(random[:])), raft.Snapshot{}
}
