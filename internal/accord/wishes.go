// Wishes are commands put before the cores by this daemon's own duties. Those
// that wait together become one log entry; one whose fate cannot be known is
// answered as unclear, never as refused.
package accord

import "time"

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
	// stale is when nobody waits for it any more.
	stale time.Time
}

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
	stale := time.Now().Add(min(limit, staleWish))
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for i, command := range commands {
		done[i] = make(chan Answer, 1)
		select {
		case n.wishes <- wish{command, done[i], stale}:
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
	for next, more := first, true; more && len(batch) < 256 && size < 1<<20; {
		// A wish whose caller must have given up is refused, not carried out:
		// a backlog would otherwise be worked off for nobody.
		if now.After(next.stale) {
			next.done <- Answer{Refused: true}
		} else {
			batch = append(batch, next)
			size += len(next.command.Body)
		}
		select {
		case next = <-n.wishes:
		default:
			more = false
		}
		if more && (len(batch) == 256 || size >= 1<<20) {
			batch = append(batch, next)
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
