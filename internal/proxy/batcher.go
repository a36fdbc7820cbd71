package proxy

import (
	"context"
	"time"
)

type pendingRequest[A, R any] struct {
	ctx      context.Context
	request  A
	deadline time.Time
	reply    chan R
}

// Batcher gathers what many requests ask of one place and asks it in few calls: all
// that waits goes into the next one. The queue is bounded; a request that finds it full
// is not taken at all, which its caller may tell apart from one whose reply did not
// come. What nobody waits for any more is not sent, and a call says how long somebody
// waits for it. Replies that are not as many as the requests answer none: which
// belongs to which would be a guess.
type Batcher[A, R any] struct {
	queue    chan pendingRequest[A, R]
	slots    chan struct{}
	maxBatch int
	send     func(asks []A, left time.Duration) []R
}

// NewBatcher queues so many requests and has so many calls in flight, each with at most
// maxBatch requests.
func NewBatcher[A, R any](
	queued, calls, maxBatch int, send func(asks []A, left time.Duration) []R,
) (batcher *Batcher[A, R]) {
	return &Batcher[A, R]{
		queue: make(chan pendingRequest[A, R], queued), slots: make(chan struct{}, calls), maxBatch: maxBatch,
		send: send,
	}
}

// Run sends batches until done is closed.
func (b *Batcher[A, R]) Run(done <-chan struct{}) {
	for {
		var batch []pendingRequest[A, R]
		select {
		case first := <-b.queue:
			batch = append(batch, first)
		case <-done:
			return
		}
		b.slots <- struct{}{}
		for more := true; more && len(batch) < b.maxBatch; {
			select {
			case next := <-b.queue:
				batch = append(batch, next)
			default:
				more = false
			}
		}
		go b.sendBatch(batch)
	}
}

func (b *Batcher[A, R]) sendBatch(batch []pendingRequest[A, R]) {
	defer func() { <-b.slots }()
	now := time.Now()
	var left time.Duration
	requests, waiting := make([]A, 0, len(batch)), batch[:0]
	for _, pending := range batch {
		if remaining := pending.deadline.Sub(now); remaining > 0 && pending.ctx.Err() == nil {
			requests, waiting, left = append(requests, pending.request), append(waiting, pending), max(left, remaining)
		}
	}
	if len(requests) == 0 {
		return
	}
	replies := b.send(requests, left)
	if len(replies) != len(requests) {
		replies = make([]R, len(requests))
	}
	for i := range waiting {
		waiting[i].reply <- replies[i]
	}
}

// Call waits for the reply to a request no longer than limit and its context; queued tells that it may
// have been sent, answered that reply is one.
func (b *Batcher[A, R]) Call(
	ctx context.Context, request A, limit time.Duration,
) (reply R, queued, answered bool) {
	pending := pendingRequest[A, R]{ctx, request, time.Now().Add(limit), make(chan R, 1)}
	select {
	case b.queue <- pending:
	default:
		return reply, false, false
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case reply = <-pending.reply:
		return reply, true, true
	case <-timer.C:
		return reply, true, false
	case <-ctx.Done():
		return reply, true, false
	}
}
