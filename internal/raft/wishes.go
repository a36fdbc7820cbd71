// Wishes are commands put before the cores by this daemon's own duties. Those
// that wait together become one log entry; one whose fate cannot be known is
// answered as unclear, never as refused.
package raft

import "time"

// What one log entry takes at most of wishes, and of their bytes.
const (
	mostInBatch = 256
	mostOfBatch = 1 << 20
)

// Answer is what became of a wish.
type Answer struct {
	Result Result
	// Clear is false where nobody can tell whether the wish was carried out.
	Clear bool
	// Refused tells that it was not and will not be carried out.
	Refused bool
}

type wish struct {
	command Command
	done    chan Answer
	born    time.Time
	limit   time.Duration
}

// givenUp tells that the one who put it before the cores has given up by now, or is
// about to.
func (w wish) givenUp(now time.Time) bool { return now.Sub(w.born) >= min(w.limit, staleWish) }

type pendingEntry struct {
	term   Term
	wishes []wish
}

// Wish puts a command before the cores and waits for its outcome.
func (n *Node) Wish(command Command, limit time.Duration) (answer Answer) {
	return n.Wishes([]Command{command}, limit)[0]
}

// Wishes puts several commands at once.
func (n *Node) Wishes(commands []Command, limit time.Duration) (answers []Answer) {
	answers = make([]Answer, len(commands))
	done := make([]chan Answer, len(commands))
	now := time.Now()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for i, command := range commands {
		done[i] = make(chan Answer, 1)
		select {
		case n.wishes <- wish{command, done[i], now, limit}:
		default:
			done[i] <- Answer{Refused: true}
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

func (n *Node) propose(first wish) {
	var batch []wish
	size := 0
	now := time.Now()
	for next, more := first, true; more; {
		// A wish whose caller must have given up is refused, not carried out:
		// a backlog would otherwise be worked off for nobody.
		if next.givenUp(now) {
			next.done <- Answer{Refused: true}
		} else {
			batch = append(batch, next)
			size += len(next.command.Body)
		}
		if len(batch) == mostInBatch || size >= mostOfBatch {
			break
		}
		select {
		case next = <-n.wishes:
		default:
			more = false
		}
	}
	if len(batch) == 0 {
		return
	}
	commands := make([]Command, len(batch))
	for i := range batch {
		commands[i] = batch[i].command
	}
	data := Inscribe(commands)
	index, term, accepted, out := n.raft.Propose(data)
	if !accepted {
		for i := range batch {
			batch[i].done <- Answer{Refused: true}
		}
		return
	}
	n.pending[index] = pendingEntry{term, batch}
	n.carry(out)
}
