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
	state        rpc.OperationState
	status       int
	headers      [][2]string
	body         []byte
	movedTo      string
	created      time.Duration
}

// Store is the record; it forgets an operation after the window and bodies
// beyond its room, oldest first.
type Store struct {
	retention time.Duration
	maxBytes  int
	now       func() time.Duration

	mu         sync.Mutex
	operations map[string]*Operation
	order      []*Operation
	size       int
	released   map[[2]string]time.Duration
	// releasedPrunedAt is when freed was last gone through.
	releasedPrunedAt time.Duration
	storedForOthers  map[[2]string]*Operation
}

// NewStore keeps operations for window and bodies up to room bytes.
func NewStore(window time.Duration, room int, now func() time.Duration) (book *Store) {
	return &Store{retention: window, maxBytes: room, now: now, operations: map[string]*Operation{}, released: map[[2]string]time.Duration{}, storedForOthers: map[[2]string]*Operation{}}
}

// Begin starts an operation, or gives the one that holds the key here.
func (b *Store) Begin(key, request string) (op, old *HeldOperation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evict()
	if found := b.operations[key]; found != nil && found.state != rpc.OperationReleased {
		return nil, &HeldOperation{b, found}
	}
	fresh := &Operation{Key: key, Request: request, state: rpc.OperationRunning, created: b.now()}
	b.operations[key] = fresh
	b.order = append(b.order, fresh)
	return &HeldOperation{b, fresh}, nil
}

// HeldOperation is an operation in its book.
type HeldOperation struct {
	store     *Store
	operation *Operation
}

// Response tells how the operation stands.
func (h *HeldOperation) Response() (reply rpc.StoredResponse) {
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	return h.operation.response()
}

// Request is the request that holds the key.
func (h *HeldOperation) Request() (request string) { return h.operation.Request }

func (o *Operation) response() (reply rpc.StoredResponse) {
	return rpc.StoredResponse{State: o.state, Status: o.status, Headers: o.headers, Body: o.body, InternalAddress: o.movedTo}
}

// evict drops what is past the window.
func (b *Store) evict() {
	now := b.now()
	cut := 0
	for cut < len(b.order) && (now-b.order[cut].created > b.retention || b.size > b.maxBytes) {
		op := b.order[cut]
		if op.state == rpc.OperationRunning && now-op.created <= b.retention {
			break
		}
		b.size -= len(op.body)
		op.body = nil
		delete(b.storedForOthers, [2]string{op.Key, op.Request})
		if now-op.created <= b.retention && op.state == rpc.OperationCompleted {
			// Its body is gone for want of room; the operation stays run.
			op.state = rpc.OperationLost
		} else if b.operations[op.Key] == op {
			delete(b.operations, op.Key)
		}
		cut++
	}
	if cut > 0 {
		b.order = b.order[cut:]
	}
}

func (b *Store) finish(held *HeldOperation, standing rpc.OperationState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held.operation.state == rpc.OperationRunning {
		held.operation.state = standing
	}
}

// Complete stores the answer of an operation.
func (b *Store) Complete(held *HeldOperation, status int, lines [][2]string, body []byte) {
	b.mu.Lock()
	held.operation.status, held.operation.headers, held.operation.body = status, lines, body
	b.size += len(body)
	b.mu.Unlock()
	b.finish(held, rpc.OperationCompleted)
}

// MarkMoved notes that the operation was answered and who keeps its answer.
func (b *Store) MarkMoved(held *HeldOperation, inner string) {
	b.mu.Lock()
	held.operation.movedTo = inner
	b.mu.Unlock()
	b.finish(held, rpc.OperationMoved)
}

// StoreForOther stores an answer for a fellow that may not keep it itself.
func (b *Store) StoreForOther(key, request string, answer rpc.StoredResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evict()
	op := &Operation{Key: key, Request: request, state: rpc.OperationCompleted, status: answer.Status, headers: answer.Headers, body: answer.Body, created: b.now()}
	b.storedForOthers[[2]string{key, request}] = op
	b.order = append(b.order, op)
	b.size += len(op.body)
}

// StoredForOther gives an answer that is stored for another.
func (b *Store) StoredForOther(key, request string) (reply rpc.StoredResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if op := b.storedForOthers[[2]string{key, request}]; op != nil {
		return op.response()
	}
	return reply
}

// MarkLost notes that nobody knows whether the operation ran.
func (b *Store) MarkLost(held *HeldOperation) { b.finish(held, rpc.OperationLost) }

// Release notes that the operation has not run and will not; what became of it
// before stands.
func (b *Store) Release(held *HeldOperation) {
	b.finish(held, rpc.OperationReleased)
	b.mu.Lock()
	defer b.mu.Unlock()
	if held.operation.state != rpc.OperationReleased {
		return
	}
	now := b.now()
	if len(b.released) > 4096 && now-b.releasedPrunedAt > b.retention/8 {
		b.releasedPrunedAt = now
		for which, at := range b.released {
			if now-at > b.retention {
				delete(b.released, which)
			}
		}
	}
	b.released[[2]string{held.operation.Key, held.operation.Request}] = now
}

// Released tells whether a claim of this daemon's was given back unused.
func (b *Store) Released(key, request string) (freed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, freed = b.released[[2]string{key, request}]
	return freed
}

// Abandon strikes out an operation that never got its key.
func (b *Store) Abandon(held *HeldOperation) {
	b.finish(held, rpc.OperationReleased)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.operations[held.operation.Key] == held.operation {
		delete(b.operations, held.operation.Key)
	}
}

// Find looks an operation up by key and request; what is not known here any
// more counts as lost.
func (b *Store) Find(key, request string) (reply rpc.StoredResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, freed := b.released[[2]string{key, request}]; freed {
		return rpc.StoredResponse{State: rpc.OperationReleased}
	}
	if op := b.operations[key]; op != nil && op.Request == request {
		return op.response()
	}
	return rpc.StoredResponse{State: rpc.OperationLost}
}
