package coordinator

import (
	"sync/atomic"
	"time"

	"tinpin/internal/raft"
	"tinpin/internal/rpc"
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
	HoldsLease(term raft.Term, patience time.Duration) (proven bool)
}

// Handler answers the remote calls of nodes, on any controller. One that does
// not lead says who does, and one that leads answers only what its contact with
// a majority proves when the answer is made. The names of its methods Beat,
// Lead, Report, Bind and Claim are those on the wire.
type Handler struct {
	node        *raft.Node
	leadership  LeadershipChecker
	coordinator atomic.Pointer[Coordinator]
}

// NewHandler is a handler of a controller that does not lead yet.
func NewHandler(node *raft.Node, leadership LeadershipChecker) (h *Handler) {
	return &Handler{node: node, leadership: leadership}
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
		_, _, _, leader, _ := h.node.Status()
		update.Hint = leader.Inner
		update.Cores = append(update.Cores, controllersOf(h.node)...)
	}
	return nil
}

// Lead tells whether this controller leads.
func (h *Handler) Lead(_ rpc.LeadAsk, reply *rpc.LeadReply) (err error) {
	if coordinator := h.coordinator.Load(); coordinator != nil && h.leadership.HoldsLease(raft.Term(coordinator.term), seekerConfirmTimeout) {
		reply.Leader, reply.Term = true, coordinator.term
	}
	reply.Cores = append(reply.Cores, controllersOf(h.node)...)
	return nil
}

// Report takes up an owner's findings.
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

// Claim proposes a batch of claims of idempotency keys, and of claims given back.
// Out of contact it takes none of them: that is a clear no, where a proposal that
// nobody can commit has no outcome. Its answers come from the log and need no
// further proof.
func (h *Handler) Claim(request rpc.ClaimAsk, reply *rpc.ClaimReply) (err error) {
	coordinator, begun := h.coordinator.Load(), time.Now()
	if coordinator == nil || !h.ConfirmLeadership(coordinator) {
		return nil
	}
	reply.Leader = true
	answers := h.node.ProposeAll(claimCommands(request), claimWait(request)-time.Since(begun))
	releases := len(request.Frees)
	reply.Freed = true
	for _, answer := range answers[:releases] {
		reply.Freed = reply.Freed && answer.Known
	}
	for _, answer := range answers[releases:] {
		reply.Found = append(reply.Found, claimOutcome(answer, coordinator))
	}
	return nil
}

// claimCommands gives the releases first, then the claims.
func claimCommands(request rpc.ClaimAsk) (commands []raft.Command) {
	commands = make([]raft.Command, 0, len(request.Frees)+len(request.Claims))
	add := func(kind raft.CommandKind, claim rpc.KeyClaim) {
		commands = append(commands, raft.Command{Kind: kind, Claim: raft.Claim{
			Key: claim.Key, Request: claim.Request, Holder: string(request.Holder), Life: uint64(request.Life),
		}})
	}
	for _, release := range request.Frees {
		add(raft.CommandFree, release)
	}
	for _, claim := range request.Claims {
		add(raft.CommandClaim, claim)
	}
	return commands
}

// claimWait is how long the caller of a batch waits for its outcome.
func claimWait(request rpc.ClaimAsk) (wait time.Duration) {
	wait = releaseTimeout
	if len(request.Claims) > 0 {
		wait = claimTimeout
	}
	if request.Left > 0 {
		wait = min(wait, request.Left)
	}
	return wait
}

func claimOutcome(answer raft.Outcome, coordinator *Coordinator) (found rpc.ClaimFound) {
	switch {
	case answer.Rejected:
		found.Outcome = rpc.Refused
	case !answer.Known:
		found.Outcome = rpc.Unclear
	case answer.Result.Granted:
		found.Outcome = rpc.Granted
	default:
		held := answer.Result.Held
		found.Outcome = rpc.Held
		found.Holder, found.Life, found.Request = rpc.FellowID(held.Holder), rpc.Life(held.Life), held.Request
		found.Inner, _ = coordinator.NodeAddress(found.Holder)
	}
	return found
}
