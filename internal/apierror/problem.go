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
	NoKey
	NoWay
	HeadTooLarge
	BodyTooLarge
	HeadTooSlow
	NoBackend
	NoRoom
	NoLeader
	KeyAtWork
	KeyUnknown
	OverLimit
	TooLate
	Broken
	DeadlineOver
	BadConfig
	NotLeader
	NotReady
	Unclear
	NotStarted
	BadOrder
	NoSession
	CutOff
	VersionTaken
)

// Answer is what a problem looks like to the one who called.
type Answer struct {
	Status int
	Text   string
	// Ran tells that the request may have reached a backend.
	Ran bool
	// RetryMS is when to come back; 0 for no word on it.
	RetryMS int
	// Close ends the stream after the answer.
	Close bool
}

var table = map[Kind]Answer{
	BadRequest:   {Status: 400, Text: "malformed request", Close: true},
	NoKey:        {Status: 400, Text: "this way wants an operation key"},
	NoWay:        {Status: 404, Text: "no way for this host and path"},
	HeadTooLarge: {Status: 431, Text: "head too large", Close: true},
	BodyTooLarge: {Status: 413, Text: "body too large", Close: true},
	HeadTooSlow:  {Status: 408, Text: "request not read in time", Close: true},
	NoBackend:    {Status: 503, Text: "no backend is available", RetryMS: 150},
	NoRoom:       {Status: 503, Text: "no room at the backends", RetryMS: 100},
	NoLeader:     {Status: 503, Text: "operation keys cannot be claimed now", RetryMS: 200},
	KeyAtWork:    {Status: 409, Text: "this operation is at work", RetryMS: 100},
	KeyUnknown:   {Status: 503, Text: "an earlier try of this operation has no known outcome; this one was not sent", RetryMS: 500},
	OverLimit:    {Status: 429, Text: "over the tenant's limit", RetryMS: 200},
	TooLate:      {Status: 503, Text: "the deadline leaves no time"},
	Broken:       {Status: 502, Text: "the backend's answer was lost", Ran: true},
	DeadlineOver: {Status: 504, Text: "the deadline has passed", Ran: true},
	BadConfig:    {Status: 400, Text: "invalid configuration"},
	NotLeader:    {Status: 307, Text: "ask the leader"},
	NotReady:     {Status: 503, Text: "not ready"},
	Unclear:      {Status: 503, Text: "no majority answered in time"},
	BadOrder:     {Status: 422, Text: "refused order"},
	VersionTaken: {Status: 409, Text: "this version holds other content"},
	NoSession:    {Status: 503, Text: "the session's backend cannot be asked for now", RetryMS: 200},
	CutOff:       {Status: 503, Text: "this daemon has lost touch with the others", RetryMS: 500},
	NotStarted:   {Status: 503, Text: "the configuration is not known yet", RetryMS: 300},
}

// Promises tells that a status is a promise that the request has not run and never
// will.
func Promises(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// Answer gives the table's entry.
func (k Kind) Answer() (answer Answer) { return table[k] }

// Retry writes the time as Retry-After wants it, in seconds with fractions.
func (a Answer) Retry() (text string) {
	return strconv.FormatFloat(float64(a.RetryMS)/1000, 'f', -1, 64)
}
