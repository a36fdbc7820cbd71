package rpc

import "context"

// Incoming is a request as its handler takes it, with its caller's lifetime. Methods whose answer may
// take long take it in place of the request itself; what is sent is the same.
type Incoming[T any] struct {
	Request T
	ctx     context.Context
}

// NewIncoming is a request with a caller's lifetime.
func NewIncoming[T any](ctx context.Context, request T) Incoming[T] {
	return Incoming[T]{Request: request, ctx: ctx}
}

// Context ends when the connection on which the request came has ended: nobody can read the answer.
func (i Incoming[T]) Context() context.Context {
	if i.ctx == nil {
		return context.Background()
	}
	return i.ctx
}

// body is what the request is decoded into.
func (i *Incoming[T]) body() any { return &i.Request }

// setContext sets the caller's lifetime.
func (i *Incoming[T]) setContext(ctx context.Context) { i.ctx = ctx }

// withLifetime is an Incoming of any request.
type withLifetime interface {
	body() any
	setContext(ctx context.Context)
}
