// Package keys is a daemon's own record of the operations it holds. The cores
// know only who holds a key; how the operation stands, and its answer, lie
// with the holder, which others ask. An operation whose outcome is not known
// is never run again; one that was freed has not run and never will under its
// old request.
package idempotency

import (
	"sync"
	"time"

	"tinpin/internal/rpc"
)

// Operation is one keyed request held here.
type Operation struct {
	Key, Request string
	standing     rpc.OperationState
	status       int
	lines        [][2]string
	body         []byte
	inner        string
	at           time.Duration
}

// Book is the record; it forgets an operation after the window and bodies
// beyond its room, oldest first.
type Book struct {
	window time.Duration
	room   int
	now    func() time.Duration

	mu    sync.Mutex
	held  map[string]*Operation
	order []*Operation
	size  int
	freed map[[2]string]time.Duration
	// pruned is when freed was last gone through.
	pruned time.Duration
	kept   map[[2]string]*Operation
}

// NewBook keeps operations for window and bodies up to room bytes.
func NewBook(window time.Duration, room int, now func() time.Duration) (book *Book) {
	return &Book{window: window, room: room, now: now, held: map[string]*Operation{}, freed: map[[2]string]time.Duration{}, kept: map[[2]string]*Operation{}}
}

// Open starts an operation, or gives the one that holds the key here.
func (b *Book) Open(key, request string) (op, old *Held) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget()
	if found := b.held[key]; found != nil && found.standing != rpc.OperationReleased {
		return nil, &Held{b, found}
	}
	fresh := &Operation{Key: key, Request: request, standing: rpc.OperationRunning, at: b.now()}
	b.held[key] = fresh
	b.order = append(b.order, fresh)
	return &Held{b, fresh}, nil
}

// Held is an operation in its book.
type Held struct {
	book *Book
	op   *Operation
}

// Recall tells how the operation stands.
func (h *Held) Recall() (reply rpc.StoredResponse) {
	h.book.mu.Lock()
	defer h.book.mu.Unlock()
	return h.op.reply()
}

// Request is the request that holds the key.
func (h *Held) Request() (request string) { return h.op.Request }

func (o *Operation) reply() (reply rpc.StoredResponse) {
	return rpc.StoredResponse{State: o.standing, Status: o.status, Headers: o.lines, Body: o.body, InternalAddress: o.inner}
}

// forget drops what is past the window.
func (b *Book) forget() {
	now := b.now()
	cut := 0
	for cut < len(b.order) && (now-b.order[cut].at > b.window || b.size > b.room) {
		op := b.order[cut]
		if op.standing == rpc.OperationRunning && now-op.at <= b.window {
			break
		}
		b.size -= len(op.body)
		op.body = nil
		delete(b.kept, [2]string{op.Key, op.Request})
		if now-op.at <= b.window && op.standing == rpc.OperationCompleted {
			// Its body is gone for want of room; the operation stays run.
			op.standing = rpc.OperationLost
		} else if b.held[op.Key] == op {
			delete(b.held, op.Key)
		}
		cut++
	}
	if cut > 0 {
		b.order = b.order[cut:]
	}
}

func (b *Book) settle(held *Held, standing rpc.OperationState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held.op.standing == rpc.OperationRunning {
		held.op.standing = standing
	}
}

// Answer stores the answer of an operation.
func (b *Book) Answer(held *Held, status int, lines [][2]string, body []byte) {
	b.mu.Lock()
	held.op.status, held.op.lines, held.op.body = status, lines, body
	b.size += len(body)
	b.mu.Unlock()
	b.settle(held, rpc.OperationCompleted)
}

// Move notes that the operation was answered and who keeps its answer.
func (b *Book) Move(held *Held, inner string) {
	b.mu.Lock()
	held.op.inner = inner
	b.mu.Unlock()
	b.settle(held, rpc.OperationMoved)
}

// Keep stores an answer for a fellow that may not keep it itself.
func (b *Book) Keep(key, request string, answer rpc.StoredResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget()
	op := &Operation{Key: key, Request: request, standing: rpc.OperationCompleted, status: answer.Status, lines: answer.Headers, body: answer.Body, at: b.now()}
	b.kept[[2]string{key, request}] = op
	b.order = append(b.order, op)
	b.size += len(op.body)
}

// Kept gives an answer that is stored for another.
func (b *Book) Kept(key, request string) (reply rpc.StoredResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if op := b.kept[[2]string{key, request}]; op != nil {
		return op.reply()
	}
	return reply
}

// Lose notes that nobody knows whether the operation ran.
func (b *Book) Lose(held *Held) { b.settle(held, rpc.OperationLost) }

// Free notes that the operation has not run and will not; what became of it
// before stands.
func (b *Book) Free(held *Held) {
	b.settle(held, rpc.OperationReleased)
	b.mu.Lock()
	defer b.mu.Unlock()
	if held.op.standing != rpc.OperationReleased {
		return
	}
	now := b.now()
	if len(b.freed) > 4096 && now-b.pruned > b.window/8 {
		b.pruned = now
		for which, at := range b.freed {
			if now-at > b.window {
				delete(b.freed, which)
			}
		}
	}
	b.freed[[2]string{held.op.Key, held.op.Request}] = now
}

// Freed tells whether a claim of this daemon's was given back unused.
func (b *Book) Freed(key, request string) (freed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, freed = b.freed[[2]string{key, request}]
	return freed
}

// Abandon strikes out an operation that never got its key.
func (b *Book) Abandon(held *Held) {
	b.settle(held, rpc.OperationReleased)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held[held.op.Key] == held.op {
		delete(b.held, held.op.Key)
	}
}

// Find looks an operation up by key and request; what is not known here any
// more counts as lost.
func (b *Book) Find(key, request string) (reply rpc.StoredResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, freed := b.freed[[2]string{key, request}]; freed {
		return rpc.StoredResponse{State: rpc.OperationReleased}
	}
	if op := b.held[key]; op != nil && op.Request == request {
		return op.reply()
	}
	return rpc.StoredResponse{State: rpc.OperationLost}
}
