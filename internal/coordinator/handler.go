package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"tinpin/internal/node"
	"tinpin/internal/raft"
	"tinpin/internal/rpc"
	"tinpin/internal/statemachine"
)

const (
	// confirmTimeout is how long an answer waits for the next contact with a
	// majority where the last one is too old, seekerConfirmTimeout how long the
	// short answer that nodes seeking the leader wait for.
	confirmTimeout       = 300 * time.Millisecond
	seekerConfirmTimeout = 120 * time.Millisecond
	// claimTimeout is a little less than callers wait for claims, so that no claim
	// is carried out for one who has given up; releaseTimeout is that of calls
	// that only give claims back.
	claimTimeout   = 480 * time.Millisecond
	releaseTimeout = 800 * time.Millisecond
)

// LeadershipChecker proves that this controller leads in a term and that no
// other can.
type LeadershipChecker interface {
	HoldsLease(term raft.Term, timeout time.Duration) (proven bool)
}

// Handler answers the remote calls of nodes, on any controller. One that does
// not lead says who does, and one that leads answers only what its contact with
// a majority proves when the answer is made. The names of its methods Beat,
// Lead, Report, Bind and Claim are those on the wire.
type Handler struct {
	node        *node.Node
	leadership  LeadershipChecker
	coordinator atomic.Pointer[Coordinator]
}

// NewHandler is a handler of a controller that does not lead yet.
func NewHandler(raftNode *node.Node, leadership LeadershipChecker) (h *Handler) {
	return &Handler{node: raftNode, leadership: leadership}
}

// ConfirmLeadership tells that what a coordinator has answered up to now is the
// leader's word. It must be asked after the answer is made: an answer made before
// this process was suspended is not confirmed after it.
func (h *Handler) ConfirmLeadership(coordinator *Coordinator) (confirmed bool) {
	return h.leadership.HoldsLease(raft.Term(coordinator.term), confirmTimeout)
}

// SetCoordinator sets the coordinator of a term, nil when it ended.
func (h *Handler) SetCoordinator(coordinator *Coordinator) (old *Coordinator) {
	return h.coordinator.Swap(coordinator)
}

// Coordinator gives the coordinator of this term, nil where another leads.
func (h *Handler) Coordinator() (coordinator *Coordinator) { return h.coordinator.Load() }

// Beat answers a heartbeat.
//
//words:frozen nodes call the method by this name
func (h *Handler) Beat(call rpc.Incoming[rpc.HeartbeatRequest], update *rpc.Update) (err error) {
	if coordinator := h.coordinator.Load(); coordinator != nil {
		if err = coordinator.Heartbeat(call.Context(), call.Request, update); err != nil {
			return err
		}
		if update.IsLeader && !h.ConfirmLeadership(coordinator) {
			*update = rpc.Update{}
		}
	}
	if !update.IsLeader {
		_, _, _, leader, _ := h.node.Status()
		update.LeaderAddress = leader.Inner
		update.Controllers = append(update.Controllers, controllersOf(h.node)...)
	}
	return nil
}

// Lead tells whether this controller leads.
func (h *Handler) Lead(_ rpc.LeaderRequest, reply *rpc.LeaderResponse) (err error) {
	coordinator := h.coordinator.Load()
	if coordinator != nil && h.leadership.HoldsLease(raft.Term(coordinator.term), seekerConfirmTimeout) {
		reply.IsLeader, reply.Term = true, coordinator.term
	}
	reply.Controllers = append(reply.Controllers, controllersOf(h.node)...)
	return nil
}

// Report takes up an owner's findings.
func (h *Handler) Report(request rpc.HealthReport, reply *rpc.HealthReportResponse) (err error) {
	if coordinator := h.coordinator.Load(); coordinator != nil {
		taken := coordinator.Report(request)
		if reply.IsLeader = h.ConfirmLeadership(coordinator); reply.IsLeader {
			reply.Accepted = taken
		}
	}
	return nil
}

// Bind tells where sessions are bound.
func (h *Handler) Bind(call rpc.Incoming[rpc.BindRequest], reply *rpc.BindResponse) (err error) {
	if coordinator := h.coordinator.Load(); coordinator != nil && h.ConfirmLeadership(coordinator) {
		found := coordinator.Bind(call.Context(), call.Request)
		if reply.IsLeader = h.ConfirmLeadership(coordinator); reply.IsLeader {
			reply.Results, reply.Term = found, coordinator.term
		}
	}
	return nil
}

// Claim proposes a batch of claims of idempotency keys, and of claims given back.
// Out of contact it takes none of them: that is a clear no, where a proposal that
// nobody can commit has no outcome. Its answers come from the log and need no
// further proof.
func (h *Handler) Claim(call rpc.Incoming[rpc.ClaimRequest], reply *rpc.ClaimResponse) (err error) {
	request, coordinator, begun := call.Request, h.coordinator.Load(), time.Now()
	if coordinator == nil || !h.ConfirmLeadership(coordinator) {
		return nil
	}
	reply.IsLeader = true
	ctx := call.Context()
	if len(request.Releases) > 0 {
		// Given back is given back, also by a node that has stopped since.
		ctx = context.WithoutCancel(ctx)
	}
	answers := h.node.ProposeAll(ctx, claimCommands(request), claimWait(request)-time.Since(begun))
	releases := len(request.Releases)
	reply.Released = true
	for _, answer := range answers[:releases] {
		reply.Released = reply.Released && answer.Known
	}
	for _, answer := range answers[releases:] {
		reply.Results = append(reply.Results, claimOutcome(answer, coordinator))
	}
	return nil
}

// claimCommands gives the releases first, then the claims.
func claimCommands(request rpc.ClaimRequest) (commands []statemachine.Command) {
	commands = make([]statemachine.Command, 0, len(request.Releases)+len(request.Claims))
	add := func(kind statemachine.CommandKind, claim rpc.KeyClaim) {
		commands = append(commands, statemachine.Command{Kind: kind, Claim: statemachine.Claim{
			Key: claim.Key, Request: claim.Request,
			Holder: string(request.Holder), Incarnation: uint64(request.Incarnation),
		}})
	}
	for _, release := range request.Releases {
		add(statemachine.CommandReleaseClaim, release)
	}
	for _, claim := range request.Claims {
		add(statemachine.CommandClaim, claim)
	}
	return commands
}

// claimWait is how long the caller of a batch waits for its outcome.
func claimWait(request rpc.ClaimRequest) (wait time.Duration) {
	wait = releaseTimeout
	if len(request.Claims) > 0 {
		wait = claimTimeout
	}
	if request.TimeLeft > 0 {
		wait = min(wait, request.TimeLeft)
	}
	return wait
}

func claimOutcome(answer node.Outcome, coordinator *Coordinator) (found rpc.ClaimResult) {
	switch {
	case answer.Rejected:
		found.Outcome = rpc.ClaimRejected
	case !answer.Known:
		found.Outcome = rpc.ClaimUnknown
	case answer.Result.Granted:
		found.Outcome = rpc.ClaimGranted
	default:
		held := answer.Result.Held
		found.Outcome = rpc.ClaimHeld
		found.Holder, found.Incarnation = rpc.NodeID(held.Holder), rpc.Incarnation(held.Incarnation)
		found.Request = held.Request
		found.InternalAddress, _ = coordinator.NodeAddress(found.Holder)
	}
	return found
}
