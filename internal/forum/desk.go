// Desk takes the inner calls of fellows on any core. A core that does not lead
// says who does.
package forum

import (
	"sync/atomic"
	"time"

	"tinpin/internal/accord"
	"tinpin/internal/parley"
)

// Desk answers fellows.
type Desk struct {
	node  *accord.Node
	forum atomic.Pointer[Forum]
}

// NewDesk is a desk without a forum.
func NewDesk(node *accord.Node) (desk *Desk) { return &Desk{node: node} }

// Use sets the forum of a leadership, nil when it ended.
func (d *Desk) Use(forum *Forum) (old *Forum) { return d.forum.Swap(forum) }

// Forum gives the open forum, if any.
func (d *Desk) Forum() (forum *Forum) { return d.forum.Load() }

// Beat answers a beat.
func (d *Desk) Beat(ask parley.BeatAsk, news *parley.News) (err error) {
	if forum := d.forum.Load(); forum != nil {
		if err = forum.Beat(ask, news); err != nil {
			return err
		}
	}
	if !news.Leader {
		_, _, _, leader, members := d.node.Standing()
		news.Hint = leader.Inner
		for _, member := range members {
			news.Cores = append(news.Cores, parley.Core{Inner: member.Inner, Control: member.Control})
		}
	}
	return nil
}

// Lead tells who leads.
func (d *Desk) Lead(_ parley.LeadAsk, reply *parley.LeadReply) (err error) {
	if forum := d.forum.Load(); forum != nil {
		reply.Leader, reply.Term = true, forum.term
	}
	_, _, _, _, members := d.node.Standing()
	for _, member := range members {
		reply.Cores = append(reply.Cores, parley.Core{Inner: member.Inner, Control: member.Control})
	}
	return nil
}

// Report takes an owner's findings.
func (d *Desk) Report(ask parley.ReportAsk, reply *parley.ReportReply) (err error) {
	if forum := d.forum.Load(); forum != nil {
		reply.Leader = true
		reply.Taken = forum.Report(ask)
	}
	return nil
}

// Bind tells where sessions are bound.
func (d *Desk) Bind(ask parley.BindAsk, reply *parley.BindReply) (err error) {
	if forum := d.forum.Load(); forum != nil {
		reply.Leader = true
		reply.Found = forum.Bind(ask)
	}
	return nil
}

// Claim puts a batch of key claims before the cores.
func (d *Desk) Claim(ask parley.ClaimAsk, reply *parley.ClaimReply) (err error) {
	forum := d.forum.Load()
	if forum == nil {
		return nil
	}
	reply.Leader = true
	commands := make([]accord.Command, 0, len(ask.Frees)+len(ask.Claims))
	for _, free := range ask.Frees {
		commands = append(commands, accord.Command{Kind: accord.CommandFree, Claim: accord.Claim{Key: free.Key, Request: free.Request, Holder: string(ask.Holder), Life: uint64(ask.Life)}})
	}
	for _, claim := range ask.Claims {
		commands = append(commands, accord.Command{Kind: accord.CommandClaim, Claim: accord.Claim{Key: claim.Key, Request: claim.Request, Holder: string(ask.Holder), Life: uint64(ask.Life)}})
	}
	limit := 800 * time.Millisecond
	if ask.Left > 0 {
		limit = min(limit, ask.Left)
	}
	answers := d.node.Wishes(commands, limit)
	reply.Freed = true
	for _, answer := range answers[:len(ask.Frees)] {
		reply.Freed = reply.Freed && answer.Clear
	}
	for _, answer := range answers[len(ask.Frees):] {
		found := parley.ClaimFound{}
		switch {
		case answer.Refused:
			found.Outcome = parley.Refused
		case !answer.Clear:
			found.Outcome = parley.Unclear
		case answer.Result.Granted:
			found.Outcome = parley.Granted
		default:
			held := answer.Result.Held
			found.Outcome = parley.Held
			found.Holder, found.Life, found.Request = parley.FellowID(held.Holder), parley.Life(held.Life), held.Request
			found.Inner, _ = forum.Inner(found.Holder)
		}
		reply.Found = append(reply.Found, found)
	}
	return nil
}
