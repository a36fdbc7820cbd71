package node

// Each peer has two send loops: one for entries and snapshot chunks, one for all that is
// small, so that a heartbeat is never held up behind what takes long on a thin link.

import (
	"time"

	"tinpin/internal/raft"
	"tinpin/internal/rpc"
)

// MessageBatch is one call from a controller to a peer.
type MessageBatch struct {
	From     raft.ID
	Address  string `wire:"Inner"`
	Messages []raft.Message
}

// sendPath names one of the two send loops of a peer.
type sendPath struct {
	to   raft.ID
	bulk bool
}

func pathOf(message raft.Message) sendPath {
	return sendPath{message.To, message.IsBulk()}
}

// peerSender sends messages to one peer.
type peerSender struct {
	queue  chan raft.Message
	caller *rpc.Client
}

const (
	// maxCallBytes bounds what one call carries beyond its first message.
	maxCallBytes   = 32 << 10
	minCallTimeout = 500 * time.Millisecond
)

// callTimeout is how long a call with so many bytes may take.
func callTimeout(bytes int) (limit time.Duration) {
	return minCallTimeout + time.Duration(bytes)*time.Second/raft.SlowLinkBytesPerSecond
}

func (n *Node) send(message raft.Message) {
	n.mu.Lock()
	inner := n.peerAddresses[message.To]
	way := pathOf(message)
	s := n.senders[way]
	if inner != "" && (s == nil || s.caller.Address != inner) {
		if s != nil {
			close(s.queue)
		}
		s = &peerSender{queue: make(chan raft.Message, 512), caller: rpc.NewClient(inner)}
		n.senders[way] = s
		s.caller.DialWait = peerDialTimeout
		go n.sendLoop(s)
	}
	if s != nil {
		select {
		case s.queue <- message:
		default:
		}
	}
	n.mu.Unlock()
}

// nextBatch adds queued messages, up to what one call may carry.
func (s *peerSender) nextBatch(first raft.Message) (messages []raft.Message, next *raft.Message, size int, open bool) {
	messages, size = []raft.Message{first}, first.Size()
	for len(messages) < 64 {
		select {
		case message, more := <-s.queue:
			if !more {
				return nil, nil, 0, false
			}
			if size+message.Size() > maxCallBytes {
				return messages, &message, size, true
			}
			messages, size = append(messages, message), size+message.Size()
		default:
			return messages, nil, size, true
		}
	}
	return messages, nil, size, true
}

func (n *Node) sendLoop(s *peerSender) {
	defer s.caller.Close()
	var kept *raft.Message
	for {
		var message raft.Message
		var open bool
		if kept != nil {
			message = *kept
		} else {
			select {
			case <-n.stop:
				return
			case message, open = <-s.queue:
				if !open {
					return
				}
			}
		}
		batch := MessageBatch{From: n.self.ID, Address: n.self.Inner}
		var size int
		if batch.Messages, kept, size, open = s.nextBatch(message); !open {
			return
		}
		if err := s.caller.Call(rpc.MethodStep, &batch, &Empty{}, callTimeout(size)); err != nil {
			n.reportLost(message)
			select {
			case <-time.After(20 * time.Millisecond):
			case <-n.stop:
				return
			}
		}
	}
}

// reportLost reports to the replica that entries or a snapshot chunk did not arrive.
func (n *Node) reportLost(message raft.Message) {
	if !message.IsBulk() {
		return
	}
	select {
	case n.calls <- func() { n.handleOutput(n.raft.ReportLost(message.To)) }:
	default:
	}
}

// Step receives raft messages of a peer.
func (d *Service) Step(batch MessageBatch, _ *Empty) (err error) {
	d.node.mu.Lock()
	d.node.peerAddresses[batch.From] = batch.Address
	d.node.mu.Unlock()
	select {
	case d.node.inbox <- batch.Messages:
	default:
	}
	return nil
}
