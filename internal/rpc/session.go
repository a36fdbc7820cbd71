package rpc

import "time"

// SessionBinding asks to which endpoint a session is bound, and binds it to Endpoint
// if it is not bound yet. EndedEndpoint names the one it was bound to, if that has
// ended, so that it is bound anew.
type SessionBinding struct {
	Session       SessionID
	Service       ServiceName
	Endpoint      EndpointID    `wire:"Server"`
	EndedEndpoint EndpointID    `wire:"From"`
	IdleTimeout   time.Duration `wire:"Idle"`
}

// BindRequest is a batch of bindings.
type BindRequest struct {
	Bindings []SessionBinding `wire:"Binds"`
}

// BindOutcome is what became of one binding.
type BindOutcome uint8

// The outcomes of a binding. Their numbers are sent.
const (
	BindUnknown BindOutcome = iota
	Bound
	// BindTableFull: there are too many sessions, and this one is not stored.
	BindTableFull
	// BindRejected: it was not carried out and never will be.
	BindRejected
)

// BindResult tells where a session is bound.
type BindResult struct {
	Outcome  BindOutcome
	Endpoint EndpointID `wire:"Server"`
}

// BindResponse holds the results in the order of the bindings.
type BindResponse struct {
	IsLeader bool `wire:"Leader"`
	Term     Term
	Results  []BindResult `wire:"Found"`
}
