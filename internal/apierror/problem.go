// Package problem is the closed list of what can go wrong with a request or a
// call, and the one table from each kind to its answer. A status that promises
// "has not run and never will" (408, 421, 429, 503) may only stand behind a
// kind whose Ran is false.
package apierror

import "strconv"

// Kind names one problem.
type Kind int

// The closed list.
const (
	None Kind = iota
	BadRequest
	MissingKey
	NoRoute
	HeadersTooLarge
	BodyTooLarge
	RequestTimeout
	NoBackend
	Overloaded
	NoLeader
	KeyInUse
	KeyOutcomeUnknown
	RateLimited
	DeadlineTooShort
	BackendFailed
	DeadlineExceeded
	InvalidConfig
	NotLeader
	NotReady
	OutcomeUnknown
	NotConfigured
	RequestRejected
	SessionUnavailable
	Isolated
	VersionConflict
)

// Response is what a problem looks like to the one who called.
type Response struct {
	Status int
	Text   string
	// MayHaveRun tells that the request may have reached a backend.
	MayHaveRun bool
	// RetryAfterMS is when to come back; 0 for no word on it.
	RetryAfterMS int
	// Close ends the stream after the answer.
	Close bool
}

var responses = map[Kind]Response{
	BadRequest:         {Status: 400, Text: "malformed request", Close: true},
	MissingKey:         {Status: 400, Text: "this way wants an operation key"},
	NoRoute:            {Status: 404, Text: "no way for this host and path"},
	HeadersTooLarge:    {Status: 431, Text: "head too large", Close: true},
	BodyTooLarge:       {Status: 413, Text: "body too large", Close: true},
	RequestTimeout:     {Status: 408, Text: "request not read in time", Close: true},
	NoBackend:          {Status: 503, Text: "no backend is available", RetryAfterMS: 150},
	Overloaded:         {Status: 503, Text: "no room at the backends", RetryAfterMS: 100},
	NoLeader:           {Status: 503, Text: "operation keys cannot be claimed now", RetryAfterMS: 200},
	KeyInUse:           {Status: 409, Text: "this operation is at work", RetryAfterMS: 100},
	KeyOutcomeUnknown:  {Status: 503, Text: "an earlier try of this operation has no known outcome; this one was not sent", RetryAfterMS: 500},
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
	NotConfigured:      {Status: 503, Text: "the configuration is not known yet", RetryAfterMS: 300},
}

// PromisesNotRun tells that a status is a promise that the request has not run and never
// will.
func PromisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// Response gives the table's entry.
func (k Kind) Response() (answer Response) { return responses[k] }

// RetryAfter writes the time as Retry-After wants it, in seconds with fractions.
func (a Response) RetryAfter() (text string) {
	return strconv.FormatFloat(float64(a.RetryAfterMS)/1000, 'f', -1, 64)
}
