// Package idempotency is a node's own table of the operations that it runs for
// idempotency keys, with their responses. The replicated state knows only which node
// holds a key; how the operation stands, and its response, lie with that node, which
// others ask. An operation whose outcome is not known is never run again. One that was
// released has not run, and never will under its request.
//
// The package sends no messages and claims no keys. Its functions may be called from
// any goroutine.
package idempotency

import (
	"sync"
	"time"

	"tinpin/internal/rpc"
)

// manyReleased is from how many released operations on old ones are looked for, and
// releasedPruneParts how often they are within the retention.
const (
	manyReleased       = 4096
	releasedPruneParts = 8
)

// Operation is one request with a key that is held here.
type Operation struct {
	Key, Request string
	state        rpc.OperationState
	status       int
	headers      [][2]string
	body         []byte
	// movedTo is the address of the node that stores the response, if it was moved.
	movedTo string
	created time.Duration
}

func (o *Operation) response() (response rpc.StoredResponse) {
	return rpc.StoredResponse{
		State: o.state, Status: o.status, Headers: o.headers, Body: o.body, InternalAddress: o.movedTo,
	}
}

// claimed names an operation by its key and request.
type claimed struct{ key, request string }

// Store holds operations. It forgets them after the retention, and bodies beyond its
// room in bytes, oldest first.
type Store struct {
	retention time.Duration
	maxBytes  int
	now       func() time.Duration

	mu sync.Mutex // guards what follows, and the operations
	// operations are those of this node by key.
	operations map[string]*Operation
	// storedForOthers are complete operations of other nodes.
	storedForOthers map[claimed]*Operation
	// order holds all operations from the oldest on, size the bytes of their bodies.
	order []*Operation
	size  int
	// released tells when an operation was released.
	released         map[claimed]time.Duration
	releasedPrunedAt time.Duration
}

// NewStore makes a store that keeps operations as long as the retention and bodies up
// to maxBytes.
func NewStore(retention time.Duration, maxBytes int, now func() time.Duration) (store *Store) {
	return &Store{
		retention: retention, maxBytes: maxBytes, now: now,
		operations:      map[string]*Operation{},
		storedForOthers: map[claimed]*Operation{},
		released:        map[claimed]time.Duration{},
	}
}

// HeldOperation is an operation in its store.
type HeldOperation struct {
	store     *Store
	operation *Operation
}

// Response is the operation's state, with the response if it is complete.
func (h *HeldOperation) Response() (response rpc.StoredResponse) {
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	return h.operation.response()
}

// Request is the id of the request that holds the key.
func (h *HeldOperation) Request() (request string) { return h.operation.Request }

// Begin starts an operation, or gives the earlier one that holds the key here.
func (s *Store) Begin(key, request string) (begun, earlier *HeldOperation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict()
	if found := s.operations[key]; found != nil && found.state != rpc.OperationReleased {
		return nil, &HeldOperation{s, found}
	}
	operation := &Operation{Key: key, Request: request, state: rpc.OperationRunning, created: s.now()}
	s.operations[key] = operation
	s.order = append(s.order, operation)
	return &HeldOperation{s, operation}, nil
}

// evict forgets operations past the retention, and bodies beyond the room.
func (s *Store) evict() {
	now := s.now()
	evicted := 0
	for evicted < len(s.order) && (now-s.order[evicted].created > s.retention || s.size > s.maxBytes) {
		operation := s.order[evicted]
		retained := now-operation.created <= s.retention
		if operation.state == rpc.OperationRunning && retained {
			break
		}
		s.size -= len(operation.body)
		operation.body = nil
		delete(s.storedForOthers, claimed{operation.Key, operation.Request})
		if retained && operation.state == rpc.OperationCompleted {
			// Its body is gone for want of room, but the operation has run.
			operation.state = rpc.OperationLost
		} else if s.operations[operation.Key] == operation {
			delete(s.operations, operation.Key)
		}
		evicted++
	}
	if evicted > 0 {
		s.order = s.order[evicted:]
	}
}

// finish ends a running operation. What became of it before holds.
func (s *Store) finish(held *HeldOperation, state rpc.OperationState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held.operation.state == rpc.OperationRunning {
		held.operation.state = state
	}
}

// Complete stores the response of an operation.
func (s *Store) Complete(held *HeldOperation, status int, headers [][2]string, body []byte) {
	s.mu.Lock()
	held.operation.status, held.operation.headers, held.operation.body = status, headers, body
	s.size += len(body)
	s.mu.Unlock()
	s.finish(held, rpc.OperationCompleted)
}

// SetMoved notes that an operation is complete and which node stores its response.
func (s *Store) SetMoved(held *HeldOperation, address string) {
	s.mu.Lock()
	held.operation.movedTo = address
	s.mu.Unlock()
	s.finish(held, rpc.OperationMoved)
}

// SetLost notes that nobody knows whether an operation ran.
func (s *Store) SetLost(held *HeldOperation) { s.finish(held, rpc.OperationLost) }

// Release notes that an operation has not run and will not.
func (s *Store) Release(held *HeldOperation) {
	s.finish(held, rpc.OperationReleased)
	s.mu.Lock()
	defer s.mu.Unlock()
	if held.operation.state != rpc.OperationReleased {
		return
	}
	now := s.now()
	if len(s.released) > manyReleased && now-s.releasedPrunedAt > s.retention/releasedPruneParts {
		s.releasedPrunedAt = now
		for which, at := range s.released {
			if now-at > s.retention {
				delete(s.released, which)
			}
		}
	}
	s.released[claimed{held.operation.Key, held.operation.Request}] = now
}

// Released reports whether a claim of this node was given back unused.
func (s *Store) Released(key, request string) (released bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, released = s.released[claimed{key, request}]
	return released
}

// Abandon drops an operation that never got its key.
func (s *Store) Abandon(held *HeldOperation) {
	s.finish(held, rpc.OperationReleased)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.operations[held.operation.Key] == held.operation {
		delete(s.operations, held.operation.Key)
	}
}

// Find looks up an operation of this node. One that is not known, or not any more,
// counts as lost.
func (s *Store) Find(key, request string) (response rpc.StoredResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, released := s.released[claimed{key, request}]; released {
		return rpc.StoredResponse{State: rpc.OperationReleased}
	}
	if operation := s.operations[key]; operation != nil && operation.Request == request {
		return operation.response()
	}
	return rpc.StoredResponse{State: rpc.OperationLost}
}

// StoreForOther stores the response of a node that may not store it itself.
func (s *Store) StoreForOther(key, request string, response rpc.StoredResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict()
	operation := &Operation{
		Key: key, Request: request, state: rpc.OperationCompleted,
		status: response.Status, headers: response.Headers, body: response.Body, created: s.now(),
	}
	s.storedForOthers[claimed{key, request}] = operation
	s.order = append(s.order, operation)
	s.size += len(operation.body)
}

// StoredForOther is a response that is stored for another node.
func (s *Store) StoredForOther(key, request string) (response rpc.StoredResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if operation := s.storedForOthers[claimed{key, request}]; operation != nil {
		return operation.response()
	}
	return response
}
