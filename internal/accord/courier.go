// Couriers carry the messages of the agreement, one duty for each other core.
package accord

import (
	"time"
	"tinpin/internal/parley"
)

// Batch is what one core sends another.
type Batch struct {
	From     ID
	Inner    string
	Messages []Message
}

// sender carries messages to one core.
type sender struct {
	ring   chan Message
	caller *parley.Caller
}

func (n *Node) post(message Message) {
	n.mu.Lock()
	inner := n.book[message.To]
	s := n.senders[message.To]
	if inner != "" && (s == nil || s.caller.Address != inner) {
		if s != nil {
			close(s.ring)
		}
		s = &sender{ring: make(chan Message, 512), caller: parley.NewCaller(inner)}
		n.senders[message.To] = s
		s.caller.DialWait = courierDial
		go n.courier(s)
	}
	if s != nil {
		select {
		case s.ring <- message:
		default:
		}
	}
	n.mu.Unlock()
}

func (n *Node) courier(s *sender) {
	defer s.caller.Close()
	for {
		var message Message
		var open bool
		select {
		case <-n.stop:
			return
		case message, open = <-s.ring:
			if !open {
				return
			}
		}
		batch := Batch{From: n.self.ID, Inner: n.self.Inner, Messages: []Message{message}}
		for more := true; more && len(batch.Messages) < 64; {
			select {
			case message, open = <-s.ring:
				if !open {
					return
				}
				batch.Messages = append(batch.Messages, message)
			default:
				more = false
			}
		}
		if err := s.caller.Call("Accord.Step", batch, &Empty{}, 500*time.Millisecond); err != nil {
			select {
			case <-time.After(20 * time.Millisecond):
			case <-n.stop:
				return
			}
		}
	}
}

// Step takes messages of the agreement.
func (d *Desk) Step(batch Batch, _ *Empty) (err error) {
	d.node.mu.Lock()
	d.node.book[batch.From] = batch.Inner
	d.node.mu.Unlock()
	select {
	case d.node.inbox <- batch.Messages:
	default:
	}
	return nil
}
