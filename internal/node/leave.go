package node

// A controller that is asked to stop transfers its leadership and asks the leader to be
// removed. Where no successor is near the leader says so at once, and it stops as the voter
// it is; else it stays until the new set is committed, within the time it has.

import (
	"context"
	"time"

	"tinpin/internal/raft"
	"tinpin/internal/rpc"
)

// LeaveStatus is the leader's answer to a controller that leaves.
type LeaveStatus uint8

// The answers: stop while still a member, wait, or removed from the members.
const (
	LeaveAsMember LeaveStatus = iota + 1
	LeavePending
	LeaveCompleted
)

// LeaveRequest asks to be removed from the members.
type LeaveRequest struct{ ID raft.ID }

// LeaveResponse has status 0 where the controller asked does not lead.
type LeaveResponse struct {
	Status LeaveStatus `wire:"Parting"`
}

// Leave notes a controller that is about to stop.
func (d *Service) Leave(ask LeaveRequest, reply *LeaveResponse) (err error) {
	status := make(chan LeaveStatus, 1)
	select {
	case d.node.calls <- func() { status <- d.node.handleLeave(ask.ID) }:
	default:
		return nil
	}
	timer := time.NewTimer(leaveWait)
	defer timer.Stop()
	select {
	case reply.Status = <-status:
	case <-timer.C:
	case <-d.node.stop:
	}
	// A controller that is partitioned may not know which members a later leader has added.
	if _, _, term, _, _ := d.node.Status(); reply.Status != 0 && !d.node.HoldsLease(term, 0) {
		reply.Status = 0
	}
	return nil
}

const (
	leaveWait  = 150 * time.Millisecond
	resignWait = 200 * time.Millisecond
	resignSpan = 50 * time.Millisecond
)

// handleLeave answers as the leader; the status is 0 where this controller does not lead.
func (n *Node) handleLeave(id raft.ID) (status LeaveStatus) {
	if !n.raft.CommittedInTerm() || n.departing {
		return 0
	}
	delete(n.joinCandidates, id)
	member, known := raft.FindMember(n.raft.Members(), id)
	switch {
	case !known && n.raft.MembersChanging():
		return LeavePending
	case !known:
		return LeaveCompleted
	case !member.Voter || !n.policy.HasSuccessor(n.membershipView(), id):
		delete(n.leaving, id)
		return LeaveAsMember
	}
	n.leaving[id] = n.ticks
	n.changeMembers()
	return LeavePending
}

// Leave has the node leave its group where a successor is ready, and transfers leadership if
// held. Where no leader answers it goes on asking for a third of the grace period if a
// successor is known, and only shortly if too few are left to elect one. It ends with its
// context; the node goes on as the member that it still is.
func (n *Node) Leave(ctx context.Context) {
	grace := n.settings.Bounds.GracePeriod
	ask, near := n.prepareLeave()
	heard, reached := time.Now(), time.Now()
	for ask {
		status, majority := n.requestLeave()
		if status == LeaveAsMember || status == LeaveCompleted {
			break
		}
		now := time.Now()
		if majority {
			reached = now
		}
		if status != 0 {
			heard, reached, near = now, now, true
		}
		if !near || now.Sub(heard) >= grace/3 || now.Sub(reached) >= resignWait || ctx.Err() != nil {
			break
		}
		time.Sleep(raft.TickInterval)
		n.prepareLeave()
	}
	// What was handed to the couriers may go out, and another may take over.
	time.Sleep(resignSpan)
	for waited := resignSpan; waited < resignWait && n.leads(); waited += raft.TickInterval {
		time.Sleep(raft.TickInterval)
	}
}

func (n *Node) leads() (leads bool) {
	leads, _, _, _, _ = n.Status()
	return leads
}

// departure is how a core that leaves stands in its group.
type departure struct{ isMember, successorNear bool }

// prepareLeave resigns and tells whether the leader is to be asked, which it is not
// where this core led and knows that nobody is near, and whether a member that
// could take its place is known.
func (n *Node) prepareLeave() (ask, near bool) {
	done := make(chan departure, 1)
	resign := func() {
		n.departing = true
		var now departure
		members := n.raft.Members()
		_, now.isMember = raft.FindMember(members, n.self.ID)
		for _, member := range members {
			now.successorNear = now.successorNear || !member.Voter
		}
		if n.raft.Role() == raft.Leader {
			now.isMember = now.isMember && n.policy.HasSuccessor(n.membershipView(), n.self.ID)
			if n.raft.AcceptsProposals() {
				n.handleOutput(n.raft.TransferLeadership())
			}
		}
		done <- now
	}
	timer := time.NewTimer(resignWait)
	defer timer.Stop()
	select {
	case n.calls <- resign:
	case <-timer.C:
		return false, false
	}
	select {
	case now := <-done:
		return now.isMember, now.successorNear
	case <-timer.C:
		return false, false
	}
}

// requestLeave asks all voters at once; the one that leads has an answer. With
// none, it tells whether enough answered to elect one.
func (n *Node) requestLeave() (status LeaveStatus, majority bool) {
	type answer struct {
		parting LeaveStatus
		reached bool
	}
	_, _, _, _, members := n.Status()
	answers := make(chan answer, len(members))
	voters, asked, reached := 0, 0, 0
	for _, member := range members {
		if !member.Voter {
			continue
		}
		voters++
		if member.ID == n.self.ID {
			reached++
			continue
		}
		asked++
		go func() {
			caller := rpc.NewClient(member.Inner)
			defer caller.Close()
			var reply LeaveResponse
			err := caller.Call(rpc.MethodLeave, LeaveRequest{n.self.ID}, &reply, leaveWait)
			answers <- answer{reply.Status, err == nil}
		}()
	}
	for ; asked > 0; asked-- {
		told := <-answers
		if told.parting != 0 {
			return told.parting, true
		}
		if told.reached {
			reached++
		}
	}
	return 0, 2*reached > voters
}
