package proxy

import "time"

type pendingRequest[A, R any] struct {
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

// NewBatcher holds so many asks, has so many calls under way, each with so many.
func NewBatcher[A, R any](ring, calls, most int, send func(asks []A, left time.Duration) []R) (batcher *Batcher[A, R]) {
	return &Batcher[A, R]{queue: make(chan pendingRequest[A, R], ring), slots: make(chan struct{}, calls), maxBatch: most, send: send}
}

// Run is the duty that sends, until it is ended.
func (b *Batcher[A, R]) Run(ended <-chan struct{}) {
	for {
		var batch []pendingRequest[A, R]
		select {
		case first := <-b.queue:
			batch = append(batch, first)
		case <-ended:
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
	asks, waiting := make([]A, 0, len(batch)), batch[:0]
	for _, wish := range batch {
		if rest := wish.deadline.Sub(now); rest > 0 {
			asks, waiting, left = append(asks, wish.request), append(waiting, wish), max(left, rest)
		}
	}
	if len(asks) == 0 {
		return
	}
	replies := b.send(asks, left)
	if len(replies) != len(asks) {
		replies = make([]R, len(asks))
	}
	for i := range waiting {
		waiting[i].reply <- replies[i]
	}
}

// Call asks and waits no longer than limit; taken tells that it may have been
// sent, answered that the reply is one.
func (b *Batcher[A, R]) Call(ask A, limit time.Duration) (reply R, taken, answered bool) {
	wish := pendingRequest[A, R]{ask, time.Now().Add(limit), make(chan R, 1)}
	select {
	case b.queue <- wish:
	default:
		return reply, false, false
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case reply = <-wish.reply:
		return reply, true, true
	case <-timer.C:
		return reply, true, false
	}
}
