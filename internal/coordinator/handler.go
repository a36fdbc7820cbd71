// Desk takes the inner calls of fellows on any core. A core that does not lead
// says who does, and one that leads answers only what its contact with a majority
// proves when the answer is made.
package coordinator

import (
	"sync/atomic"
	"time"

	"tinpin/internal/raft"
	"tinpin/internal/rpc"
)

const (
	// confirmTimeout is how long an answer waits for the next round where the last
	// one is too old, leadPatience how long the small answer that seekers wait for.
	confirmTimeout       = 300 * time.Millisecond
	seekerConfirmTimeout = 120 * time.Millisecond
	// claimTimeout is a little less than the callers of claims wait, so that none
	// is carried out for who has given up; freePatience that of who gives back.
	claimTimeout   = 480 * time.Millisecond
	releaseTimeout = 800 * time.Millisecond
)

// LeadershipChecker proves that this core leads in a term and that no other can.
type LeadershipChecker interface {
	InContact(term raft.Term, patience time.Duration) (proven bool)
}

// Handler answers fellows.
type Handler struct {
	node        *raft.Node
	leadership  LeadershipChecker
	coordinator atomic.Pointer[Coordinator]
}

// NewHandler is a desk without a forum.
func NewHandler(node *raft.Node, contact LeadershipChecker) (handler *Handler) {
	return &Handler{node: node, leadership: contact}
}

// ConfirmLeadership tells that what a forum has answered up to now is a leader's word. It is
// asked once the answer is made: one made before a freeze is not proven after it.
func (h *Handler) ConfirmLeadership(coordinator *Coordinator) (proven bool) {
	return h.leadership.InContact(raft.Term(coordinator.term), confirmTimeout)
}

// SetCoordinator sets the forum of a leadership, nil when it ended.
func (h *Handler) SetCoordinator(coordinator *Coordinator) (old *Coordinator) {
	return h.coordinator.Swap(coordinator)
}

// Coordinator gives the open forum, if any.
func (h *Handler) Coordinator() (coordinator *Coordinator) { return h.coordinator.Load() }

// Beat answers a beat.
func (h *Handler) Beat(request rpc.BeatAsk, update *rpc.News) (err error) {
	if coordinator := h.coordinator.Load(); coordinator != nil {
		if err = coordinator.Heartbeat(request, update); err != nil {
			return err
		}
		if update.Leader && !h.ConfirmLeadership(coordinator) {
			*update = rpc.News{}
		}
	}
	if !update.Leader {
		_, _, _, leader, members := h.node.Standing()
		update.Hint = leader.Inner
		for _, member := range members {
			update.Cores = append(update.Cores, rpc.Core{Inner: member.Inner, Control: member.Control})
		}
	}
	return nil
}

// Lead tells who leads.
func (h *Handler) Lead(_ rpc.LeadAsk, reply *rpc.LeadReply) (err error) {
	if coordinator := h.coordinator.Load(); coordinator != nil && h.leadership.InContact(raft.Term(coordinator.term), seekerConfirmTimeout) {
		reply.Leader, reply.Term = true, coordinator.term
	}
	_, _, _, _, members := h.node.Standing()
	for _, member := range members {
		reply.Cores = append(reply.Cores, rpc.Core{Inner: member.Inner, Control: member.Control})
	}
	return nil
}

// Report takes an owner's findings.
func (h *Handler) Report(request rpc.ReportAsk, reply *rpc.ReportReply) (err error) {
	if coordinator := h.coordinator.Load(); coordinator != nil {
		taken := coordinator.Report(request)
		if reply.Leader = h.ConfirmLeadership(coordinator); reply.Leader {
			reply.Taken = taken
		}
	}
	return nil
}

// Bind tells where sessions are bound.
func (h *Handler) Bind(request rpc.BindAsk, reply *rpc.BindReply) (err error) {
	if coordinator := h.coordinator.Load(); coordinator != nil && h.ConfirmLeadership(coordinator) {
		found := coordinator.Bind(request)
		if reply.Leader = h.ConfirmLeadership(coordinator); reply.Leader {
			reply.Found, reply.Term = found, coordinator.term
		}
	}
	return nil
}

// Claim puts a batch of key claims before the cores. Out of contact it takes none
// of them: that is a clear no, where a wish that nobody can commit has no outcome.
// What comes back is the log's word and needs no further proof.
func (h *Handler) Claim(request rpc.ClaimAsk, reply *rpc.ClaimReply) (err error) {
	coordinator, begun := h.coordinator.Load(), time.Now()
	if coordinator == nil || !h.ConfirmLeadership(coordinator) {
		return nil
	}
	reply.Leader = true
	commands := make([]raft.Command, 0, len(request.Frees)+len(request.Claims))
	for _, free := range request.Frees {
		commands = append(commands, raft.Command{Kind: raft.CommandFree, Claim: raft.Claim{Key: free.Key, Request: free.Request, Holder: string(request.Holder), Life: uint64(request.Life)}})
	}
	for _, claim := range request.Claims {
		commands = append(commands, raft.Command{Kind: raft.CommandClaim, Claim: raft.Claim{Key: claim.Key, Request: claim.Request, Holder: string(request.Holder), Life: uint64(request.Life)}})
	}
	patience := releaseTimeout
	if len(request.Claims) > 0 {
		patience = claimTimeout
	}
	if request.Left > 0 {
		patience = min(patience, request.Left)
	}
	answers := h.node.Wishes(commands, patience-time.Since(begun))
	reply.Freed = true
	for _, answer := range answers[:len(request.Frees)] {
		reply.Freed = reply.Freed && answer.Clear
	}
	for _, answer := range answers[len(request.Frees):] {
		found := rpc.ClaimFound{}
		switch {
		case answer.Refused:
			found.Outcome = rpc.Refused
		case !answer.Clear:
			found.Outcome = rpc.Unclear
		case answer.Result.Granted:
			found.Outcome = rpc.Granted
		default:
			held := answer.Result.Held
			found.Outcome = rpc.Held
			found.Holder, found.Life, found.Request = rpc.FellowID(held.Holder), rpc.Life(held.Life), held.Request
			found.Inner, _ = coordinator.NodeAddress(found.Holder)
		}
		reply.Found = append(reply.Found, found)
	}
	return nil
}
