package rpc

import "time"

// ClaimRequest is a batch of claims and of claims that are given back.
type ClaimRequest struct {
	Holder      NodeID
	Incarnation Incarnation `wire:"Life"`
	Claims      []KeyClaim
	Releases    []KeyClaim `wire:"Frees"`
	// TimeLeft is how long from its sending anybody waits for the response; 0 tells
	// nothing.
	TimeLeft time.Duration `wire:"Left"`
}

// KeyClaim is an idempotency key with the id of the request that carries it.
type KeyClaim struct{ Key, Request string }

// ClaimOutcome is what became of one claim.
type ClaimOutcome uint8

// The outcomes of a claim. Their numbers are sent.
const (
	ClaimUnknown ClaimOutcome = iota
	ClaimGranted
	ClaimHeld
	ClaimRejected
)

// ClaimResult is the result of one claim. If the key is held already, it names the
// node that holds it, the node's address and the request.
type ClaimResult struct {
	Outcome         ClaimOutcome
	Holder          NodeID
	InternalAddress string      `wire:"Inner"`
	Incarnation     Incarnation `wire:"Life"`
	Request         string
}

// ClaimResponse holds the results in the order of the claims.
type ClaimResponse struct {
	IsLeader bool          `wire:"Leader"`
	Results  []ClaimResult `wire:"Found"`
	// Released tells that all releases are committed.
	Released bool `wire:"Freed"`
}

// StoredResponseRequest asks the holder of a key for the stored response.
type StoredResponseRequest struct {
	Key, Request string
	Incarnation  Incarnation `wire:"Life"`
	// Region is that of the node that asks.
	Region RegionName
}

// OperationState is how an operation stands at its holder.
type OperationState uint8

// The states of an operation. Their numbers are sent.
const (
	// OperationLost: nobody knows whether it ran.
	OperationLost OperationState = iota
	OperationRunning
	OperationCompleted
	// OperationReleased: it has not run, and never will under its request.
	OperationReleased
	// OperationMoved: it is complete, and another node stores its response.
	OperationMoved
)

// StoredResponse is the state of an operation and, if it is complete, its response.
type StoredResponse struct {
	State   OperationState `wire:"Standing"`
	Status  int
	Headers [][2]string `wire:"Header"`
	Body    []byte
	// InternalAddress is that of the node that stores the response, if it was moved.
	InternalAddress string `wire:"Inner"`
}

// StoreRequest hands a response to a node that may store it.
type StoreRequest struct {
	Key, Request string
	Response     StoredResponse `wire:"Answer"`
}

// StoreAcknowledgement tells whether it is stored.
type StoreAcknowledgement struct {
	Stored bool `wire:"Kept"`
}
