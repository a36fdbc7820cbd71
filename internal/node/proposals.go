package node

// Proposals that wait together become one log entry. One whose fate cannot be known is
// answered as unknown, never as rejected.

import (
	"time"

	"tinpin/internal/raft"
	"tinpin/internal/statemachine"
)

// What one log entry takes at most of wishes, and of their bytes.
const (
	maxBatchCommands = 256
	maxBatchBytes    = 1 << 20
)

// Outcome is what became of a wish.
type Outcome struct {
	Result statemachine.Result
	// Known is false where nobody can tell whether the wish was carried out.
	Known bool
	// Rejected tells that it was not and will not be carried out.
	Rejected bool
}

type proposal struct {
	command   statemachine.Command
	done      chan Outcome
	createdAt time.Time
	timeout   time.Duration
}

// expired tells that the one who put it before the cores has given up by now, or is
// about to.
func (w proposal) expired(now time.Time) bool {
	return now.Sub(w.createdAt) >= min(w.timeout, proposalTimeout)
}

type pendingEntry struct {
	term      raft.Term
	proposals []proposal
}

// Propose puts a command before the cores and waits for its outcome.
func (n *Node) Propose(command statemachine.Command, limit time.Duration) (answer Outcome) {
	return n.ProposeAll([]statemachine.Command{command}, limit)[0]
}

// ProposeAll puts several commands at once.
func (n *Node) ProposeAll(commands []statemachine.Command, limit time.Duration) (answers []Outcome) {
	answers = make([]Outcome, len(commands))
	done := make([]chan Outcome, len(commands))
	now := time.Now()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for i, command := range commands {
		done[i] = make(chan Outcome, 1)
		select {
		case n.proposals <- proposal{command, done[i], now, limit}:
		default:
			done[i] <- Outcome{Rejected: true}
		}
	}
	for i := range done {
		select {
		case answers[i] = <-done[i]:
		case <-timer.C:
			for ; i < len(done); i++ {
				select {
				case answers[i] = <-done[i]:
				default:
				}
			}
			return answers
		}
	}
	return answers
}

func (n *Node) proposeBatch(first proposal) {
	var batch []proposal
	size := 0
	now := time.Now()
	for next, more := first, true; more; {
		// A wish whose caller must have given up is refused, not carried out:
		// a backlog would otherwise be worked off for nobody.
		if next.expired(now) {
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
