package node

// Proposals that wait together become one log entry. One whose fate cannot be known is
// answered as unknown, never as rejected.

import (
	"context"
	"sync/atomic"
	"time"

	"tinpin/internal/raft"
	"tinpin/internal/statemachine"
)

// One log entry carries at most so many proposals and bytes of them.
const (
	maxBatchCommands = 256
	maxBatchBytes    = 1 << 20
)

// Outcome is what became of a proposal.
type Outcome struct {
	Result statemachine.Result
	// Known is false where nobody can tell whether the command was carried out.
	Known bool
	// Rejected tells that it was not and will not be carried out.
	Rejected bool
}

type proposal struct {
	ctx       context.Context
	command   statemachine.Command
	done      chan Outcome
	createdAt time.Time
	timeout   time.Duration
}

// expired reports whether the caller has left, or has given up on the proposal by now or is about to.
func (p proposal) expired(now time.Time) bool {
	return p.ctx.Err() != nil || now.Sub(p.createdAt) >= min(p.timeout, proposalTimeout)
}

type pendingEntry struct {
	term      raft.Term
	proposals []proposal
}

// Propose proposes a command to the group and waits for its outcome.
func (n *Node) Propose(ctx context.Context, command statemachine.Command, limit time.Duration) (answer Outcome) {
	return n.ProposeAll(ctx, []statemachine.Command{command}, limit)[0]
}

// ProposeAll proposes several commands at once. Of a caller who has left nothing more is put into the
// log; what is in it stands.
func (n *Node) ProposeAll(
	ctx context.Context, commands []statemachine.Command, limit time.Duration,
) (answers []Outcome) {
	answers = make([]Outcome, len(commands))
	done := make([]chan Outcome, len(commands))
	now := time.Now()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for i, command := range commands {
		done[i] = make(chan Outcome, 1)
		select {
		case n.proposals <- proposal{ctx, command, done[i], now, limit}:
		default:
			done[i] <- Outcome{Rejected: true}
		}
	}
	for i := range done {
		select {
		case answers[i] = <-done[i]:
		case <-timer.C:
			return collect(answers, done, i)
		case <-ctx.Done():
			return collect(answers, done, i)
		}
	}
	return answers
}

// DroppedProposals counts proposals that were not put into the log because their callers had left or
// given up.
func (n *Node) DroppedProposals() *atomic.Int64 { return &n.droppedProposals }

// collect adds the outcomes from one on that are there by now.
func collect(answers []Outcome, done []chan Outcome, from int) []Outcome {
	for i := from; i < len(done); i++ {
		select {
		case answers[i] = <-done[i]:
		default:
		}
	}
	return answers
}

// proposeBatch appends the proposals that wait together as one log entry.
func (n *Node) proposeBatch(first proposal) {
	var batch []proposal
	size := 0
	now := time.Now()
	for next, more := first, true; more; {
		// A proposal whose caller must have given up is rejected, not appended:
		// a backlog would otherwise be worked off for nobody.
		if next.expired(now) {
			n.droppedProposals.Add(1)
			next.done <- Outcome{Rejected: true}
		} else {
			batch = append(batch, next)
			size += len(next.command.Body)
		}
		if len(batch) == maxBatchCommands || size >= maxBatchBytes {
			break
		}
		select {
		case next = <-n.proposals:
		default:
			more = false
		}
	}
	if len(batch) == 0 {
		return
	}
	commands := make([]statemachine.Command, len(batch))
	for i := range batch {
		commands[i] = batch[i].command
	}
	data := statemachine.EncodeCommands(commands)
	index, term, accepted, out := n.raft.Propose(data)
	if !accepted {
		for i := range batch {
			batch[i].done <- Outcome{Rejected: true}
		}
		return
	}
	n.pending[index] = pendingEntry{term, batch}
	n.handleOutput(out)
}
