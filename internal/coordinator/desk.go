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
	// contactPatience is how long an answer waits for the next round where the last
	// one is too old, leadPatience how long the small answer that seekers wait for.
	contactPatience = 300 * time.Millisecond
	leadPatience    = 120 * time.Millisecond
	// claimPatience is a little less than the callers of claims wait, so that none
	// is carried out for who has given up; freePatience that of who gives back.
	claimPatience = 480 * time.Millisecond
	freePatience  = 800 * time.Millisecond
)

// LeadershipChecker proves that this core leads in a term and that no other can.
type LeadershipChecker interface {
	InContact(term raft.Term, patience time.Duration) (proven bool)
}

// Handler answers fellows.
type Handler struct {
	node        *raft.Node
	contact     LeadershipChecker
	coordinator atomic.Pointer[Coordinator]
}

// NewHandler is a desk without a forum.
func NewHandler(node *raft.Node, contact LeadershipChecker) (desk *Handler) {
	return &Handler{node: node, contact: contact}
}

// ConfirmLeadership tells that what a forum has answered up to now is a leader's word. It is
// asked once the answer is made: one made before a freeze is not proven after it.
func (d *Handler) ConfirmLeadership(forum *Coordinator) (proven bool) {
	return d.contact.InContact(raft.Term(forum.term), contactPatience)
}

// SetCoordinator sets the forum of a leadership, nil when it ended.
func (d *Handler) SetCoordinator(forum *Coordinator) (old *Coordinator) {
	return d.coordinator.Swap(forum)
}

// Coordinator gives the open forum, if any.
func (d *Handler) Coordinator() (forum *Coordinator) { return d.coordinator.Load() }

// Beat answers a beat.
func (d *Handler) Beat(ask rpc.BeatAsk, news *rpc.News) (err error) {
	if forum := d.coordinator.Load(); forum != nil {
		if err = forum.Heartbeat(ask, news); err != nil {
			return err
		}
		if news.Leader && !d.ConfirmLeadership(forum) {
			*news = rpc.News{}
		}
	}
	if !news.Leader {
		_, _, _, leader, members := d.node.Standing()
		news.Hint = leader.Inner
		for _, member := range members {
			news.Cores = append(news.Cores, rpc.Core{Inner: member.Inner, Control: member.Control})
		}
	}
	return nil
}

// Lead tells who leads.
func (d *Handler) Lead(_ rpc.LeadAsk, reply *rpc.LeadReply) (err error) {
	if forum := d.coordinator.Load(); forum != nil && d.contact.InContact(raft.Term(forum.term), leadPatience) {
		reply.Leader, reply.Term = true, forum.term
	}
	_, _, _, _, members := d.node.Standing()
	for _, member := range members {
		reply.Cores = append(reply.Cores, rpc.Core{Inner: member.Inner, Control: member.Control})
	}
	return nil
}

// Report takes an owner's findings.
func (d *Handler) Report(ask rpc.ReportAsk, reply *rpc.ReportReply) (err error) {
	if forum := d.coordinator.Load(); forum != nil {
		taken := forum.Report(ask)
		if reply.Leader = d.ConfirmLeadership(forum); reply.Leader {
			reply.Taken = taken
		}
	}
	return nil
}

// Bind tells where sessions are bound.
func (d *Handler) Bind(ask rpc.BindAsk, reply *rpc.BindReply) (err error) {
	if forum := d.coordinator.Load(); forum != nil && d.ConfirmLeadership(forum) {
		found := forum.Bind(ask)
		if reply.Leader = d.ConfirmLeadership(forum); reply.Leader {
			reply.Found, reply.Term = found, forum.term
		}
	}
	return nil
}

// Claim puts a batch of key claims before the cores. Out of contact it takes none
// of them: that is a clear no, where a wish that nobody can commit has no outcome.
// What comes back is the log's word and needs no further proof.
func (d *Handler) Claim(ask rpc.ClaimAsk, reply *rpc.ClaimReply) (err error) {
	forum, begun := d.coordinator.Load(), time.Now()
	if forum == nil || !d.ConfirmLeadership(forum) {
		return nil
	}
	reply.Leader = true
	commands := make([]raft.Command, 0, len(ask.Frees)+len(ask.Claims))
	for _, free := range ask.Frees {
		commands = append(commands, raft.Command{Kind: raft.CommandFree, Claim: raft.Claim{Key: free.Key, Request: free.Request, Holder: string(ask.Holder), Life: uint64(ask.Life)}})
	}
	for _, claim := range ask.Claims {
		commands = append(commands, raft.Command{Kind: raft.CommandClaim, Claim: raft.Claim{Key: claim.Key, Request: claim.Request, Holder: string(ask.Holder), Life: uint64(ask.Life)}})
	}
	patience := freePatience
	if len(ask.Claims) > 0 {
		patience = claimPatience
	}
	if ask.Left > 0 {
		patience = min(patience, ask.Left)
	}
	answers := d.node.Wishes(commands, patience-time.Since(begun))
	reply.Freed = true
	for _, answer := range answers[:len(ask.Frees)] {
		reply.Freed = reply.Freed && answer.Clear
	}
	for _, answer := range answers[len(ask.Frees):] {
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
			found.Inner, _ = forum.NodeAddress(found.Holder)
		}
		reply.Found = append(reply.Found, found)
	}
	return nil
}
