package proxy

// Outcome is how one attempt ended.
type Outcome uint8

// The outcomes.
const (
	// NotSent: nothing of the request has left this node.
	NotSent Outcome = iota
	// Rejected: the backend says that it has not run the request.
	Rejected
	// Complete: the response is here, or its head and a reader of its rest.
	Complete
	// ConnectionFailed: the connection broke or brought bytes that form no response.
	ConnectionFailed
	// TimedOut: no response came before the deadline.
	TimedOut
	// ServerError: a complete response that tells of the backend's own failure.
	ServerError
	// SendCancelled: between the choice and the sending the backend was retired, the choice
	// became too old, or nobody wanted the response any more. Nothing has left.
	SendCancelled
	// StaleConnection: a connection that had been idle was reset before any byte of a
	// response came. The backend had most likely closed it, but nothing proves that.
	StaleConnection
	// Abandoned: nobody wants the response any more, and the connection was closed to tell
	// the backend so.
	Abandoned
)

// execution is what an outcome proves about whether the backend has run the request.
type execution uint8

const (
	notExecutedProven execution = iota
	mayHaveExecuted
	executed
)

// healthSign is what an outcome says about the backend.
type healthSign uint8

const (
	signNone healthSign = iota
	signGood
	signBad
)

// outcomeTraits is what follows from an outcome.
type outcomeTraits struct {
	name      string
	execution execution
	health    healthSign
	// responded tells that the backend was heard.
	responded bool
}

// outcomeTable is the one place that says what each outcome means. The protocol (Backends):
// only Tinpin-Not-Executed says that a request did not run; after a reset, a close or a time-out
// a request that was sent may have run.
var outcomeTable = [...]outcomeTraits{
	NotSent:          {name: "not sent", execution: notExecutedProven, health: signBad},
	Rejected:         {name: "rejected", execution: notExecutedProven, responded: true},
	Complete:         {name: "complete", execution: executed, health: signGood, responded: true},
	ConnectionFailed: {name: "connection failed", execution: mayHaveExecuted, health: signBad},
	TimedOut:         {name: "timed out", execution: mayHaveExecuted, health: signBad},
	ServerError:      {name: "server error", execution: executed, health: signBad, responded: true},
	SendCancelled:    {name: "send cancelled", execution: notExecutedProven},
	StaleConnection:  {name: "stale connection", execution: mayHaveExecuted},
	Abandoned:        {name: "abandoned", execution: mayHaveExecuted},
}

// String names the outcome.
func (o Outcome) String() string { return outcomeTable[o].name }
