// Couriers carry the messages of the agreement, two duties for each other core:
// one for entries and parts of snapshots, one for all that is small, so that a
// beat is never held up behind what takes long on a thin link.
package raft

import (
	"time"
	"tinpin/internal/rpc"
)

// MessageBatch is what one core sends another.
type MessageBatch struct {
	From     ID
	Inner    string
	Messages []Message
}

// lane names one stream to one core.
type lane struct {
	to   ID
	bulk bool
}

func laneOf(message Message) lane {
	return lane{message.To, len(message.Entries) > 0 || message.Part != nil || message.Snapshot != nil}
}

// sender carries messages to one core.
type sender struct {
	ring   chan Message
	caller *rpc.Client
}

const (
	// callBytes bounds what one call carries beyond its first message.
	callBytes = 32 << 10
	callFloor = 500 * time.Millisecond
)

// callTime is how long a call of some bytes may take.
func callTime(bytes int) (limit time.Duration) {
	return callFloor + time.Duration(bytes)*time.Second/slowLinkBytesPerSecond
}

func (n *Node) post(message Message) {
	n.mu.Lock()
	inner := n.book[message.To]
	way := laneOf(message)
	s := n.senders[way]
	if inner != "" && (s == nil || s.caller.Address != inner) {
		if s != nil {
			close(s.ring)
		}
		s = &sender{ring: make(chan Message, 512), caller: rpc.NewClient(inner)}
		n.senders[way] = s
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

// gather adds messages that wait, up to what one call may carry.
func (s *sender) gather(first Message) (messages []Message, next *Message, size int, open bool) {
	messages, size = []Message{first}, first.size()
	for len(messages) < 64 {
		select {
		case message, more := <-s.ring:
			if !more {
				return nil, nil, 0, false
			}
			if size+message.size() > callBytes {
				return messages, &message, size, true
			}
			messages, size = append(messages, message), size+message.size()
		default:
			return messages, nil, size, true
		}
	}
	return messages, nil, size, true
}

func (n *Node) courier(s *sender) {
	defer s.caller.Close()
	var kept *Message
	for {
		var message Message
		var open bool
		if kept != nil {
			message = *kept
		} else {
			select {
			case <-n.stop:
				return
			case message, open = <-s.ring:
				if !open {
					return
				}
			}
		}
		batch := MessageBatch{From: n.self.ID, Inner: n.self.Inner}
		var size int
		if batch.Messages, kept, size, open = s.gather(message); !open {
			return
		}
		if err := s.caller.Call(rpc.MethodStep, &batch, &Empty{}, callTime(size)); err != nil {
			n.lost(message)
			select {
			case <-time.After(20 * time.Millisecond):
			case <-n.stop:
				return
			}
		}
	}
}

// lost tells the agreement that entries or a part did not arrive.
func (n *Node) lost(message Message) {
	if !laneOf(message).bulk {
		return
	}
	select {
	case n.tells <- func() { n.carry(n.raft.ReportLost(message.To)) }:
	default:
	}
}

// Step takes messages of the agreement.
func (d *Service) Step(batch MessageBatch, _ *Empty) (err error) {
	d.node.mu.Lock()
	d.node.book[batch.From] = batch.Inner
	d.node.mu.Unlock()
	select {
	case d.node.inbox <- batch.Messages:
	default:
	}
	return nil
}
