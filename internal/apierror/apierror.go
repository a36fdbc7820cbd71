// Package apierror owns the closed list of what can go wrong with a request or
// a call, and the one table from each kind to its response. A status that
// promises "has not run and never will" (408, 421, 429, 503) may only stand
// behind a kind whose MayHaveRun is false. The texts are sent to clients and
// stay as they are. Everything here is constant and safe for any goroutine.
package apierror

import "strconv"

// Kind is one way in which a request or call can fail.
type Kind int

// The closed list. The order is fixed only within one build: no kind is stored
// or sent as a number.
const (
	None Kind = iota
	BadRequest
	MissingKey
	NoRoute
	HeadersTooLarge
	BodyTooLarge
	RequestTimeout
	NoBackend
	// Overloaded means that something was full: connections, memory for bodies, the
	// concurrency limit, the backends, the retry budget or the attempts. docs/errors.md
	// says which function decides on each.
	Overloaded
	// NoLeader means that an operation key could not be claimed.
	NoLeader
	// KeyInUse means that the same operation is in flight.
	KeyInUse
	// KeyOutcomeUnknown means that an earlier attempt of the operation may have run.
	KeyOutcomeUnknown
	RateLimited
	// DeadlineTooShort means that no attempt was made, DeadlineExceeded that one was.
	DeadlineTooShort
	// BackendFailed means that the connection failed after the request was sent.
	BackendFailed
	DeadlineExceeded
	InvalidConfig
	NotLeader
	NotReady
	// OutcomeUnknown means that an operator's request may be in force or not.
	OutcomeUnknown
	NotConfigured
	RequestRejected
	SessionUnavailable
	// Isolated means that the node has lost touch with leader and peers.
	Isolated
	// VersionConflict means that other content came under the same version.
	VersionConflict
	// ClientLeft means that the client had gone before there was a response.
	ClientLeft
	// ShuttingDown means that the request could not end before the process does, and was
	// not sent.
	ShuttingDown
)

// Response is what an error looks like to the caller.
type Response struct {
	Status int
	Text   string
	// MayHaveRun tells that the request may have reached a backend.
	MayHaveRun bool
	// RetryAfterMS is when to come back, in milliseconds; 0 says nothing of it.
	RetryAfterMS int
	// Close ends the connection after the response.
	Close bool
}

// responses holds every kind but None.
var responses = map[Kind]Response{
	BadRequest:      {Status: 400, Text: "malformed request", Close: true},
	MissingKey:      {Status: 400, Text: "this way wants an operation key"},
	NoRoute:         {Status: 404, Text: "no way for this host and path"},
	HeadersTooLarge: {Status: 431, Text: "head too large", Close: true},
	BodyTooLarge:    {Status: 413, Text: "body too large", Close: true},
	RequestTimeout:  {Status: 408, Text: "request not read in time", Close: true},
	NoBackend:       {Status: 503, Text: "no backend is available", RetryAfterMS: 150},
	Overloaded:      {Status: 503, Text: "no room at the backends", RetryAfterMS: 100},
	NoLeader:        {Status: 503, Text: "operation keys cannot be claimed now", RetryAfterMS: 200},
	KeyInUse:        {Status: 409, Text: "this operation is at work", RetryAfterMS: 100},
	KeyOutcomeUnknown: {
		Status: 503, Text: "an earlier try of this operation has no known outcome; this one was not sent",
		RetryAfterMS: 500,
	},
	RateLimited:        {Status: 429, Text: "over the tenant's limit", RetryAfterMS: 200},
	DeadlineTooShort:   {Status: 503, Text: "the deadline leaves no time"},
	BackendFailed:      {Status: 502, Text: "the backend's answer was lost", MayHaveRun: true},
	DeadlineExceeded:   {Status: 504, Text: "the deadline has passed", MayHaveRun: true},
	InvalidConfig:      {Status: 400, Text: "invalid configuration"},
	NotLeader:          {Status: 307, Text: "ask the leader"},
	NotReady:           {Status: 503, Text: "not ready"},
	OutcomeUnknown:     {Status: 503, Text: "no majority answered in time"},
	RequestRejected:    {Status: 422, Text: "refused order"},
	VersionConflict:    {Status: 409, Text: "this version holds other content"},
	SessionUnavailable: {Status: 503, Text: "the session's backend cannot be asked for now", RetryAfterMS: 200},
	Isolated:           {Status: 503, Text: "this daemon has lost touch with the others", RetryAfterMS: 500},
	ClientLeft:         {Status: 499, Text: "the client has left", MayHaveRun: true, Close: true},
	ShuttingDown:       {Status: 503, Text: "this daemon is shutting down", RetryAfterMS: 50, Close: true},
	NotConfigured:      {Status: 503, Text: "the configuration is not known yet", RetryAfterMS: 300},
}

// PromisesNotRun tells that a status promises that the request has not run and
// never will.
func PromisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// Response is the table's entry.
func (k Kind) Response() (response Response) { return responses[k] }

// RetryAfter writes the time as the Retry-After header has it here: seconds
// with fractions.
func (r Response) RetryAfter() (text string) {
	return strconv.FormatFloat(float64(r.RetryAfterMS)/1000, 'f', -1, 64)
}
