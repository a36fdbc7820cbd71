package soak

import (
	"sync"
	"time"
)

// Kind of a request.
type Kind uint8

// The kinds, each with a route of its own.
const (
	Idempotent Kind = iota
	NonIdempotent
	Keyed
	Download
	// Moving is idempotent on the route that moves between services.
	Moving
	kindCount
)

// kindTraits is what the route of a kind is like.
type kindTraits struct {
	name, path, routeType, method string
	// repeatable tells that a request may run more than once.
	repeatable bool
}

var kinds = [kindCount]kindTraits{
	Idempotent:    {"idempotent", "/i/", "idempotent", "GET", true},
	NonIdempotent: {"non_idempotent", "/n/", "non_idempotent", "POST", false},
	Keyed:         {"keyed", "/k/", "keyed", "POST", false},
	Download:      {"download", "/d/", "download", "GET", true},
	Moving:        {"moving", "/m/", "idempotent", "GET", true},
}

// String names the kind.
func (k Kind) String() string { return kinds[k].name }

// End is how a request ended for its client.
type End uint8

// The ends.
const (
	// Pending: the play was over before.
	Pending End = iota
	// Answered: by a complete response.
	Answered
	// Cut: its connection ended before, or within the response.
	Cut
	// Left: the client closed the connection itself.
	Left
	// Expired: the client has waited for its deadline.
	Expired
	// Malformed: by bytes that are no response.
	Malformed
)

// String names the end.
func (e End) String() string {
	return [...]string{"pending", "answered", "cut", "client left", "deadline", "malformed"}[e]
}

// Request is one request as its client saw it.
type Request struct {
	ID, Key string
	Kind    Kind
	// Proxy is the number of the proxy that took the connection.
	Proxy int
	// Sent is when the last byte was written, Ended when it was known how it ended.
	Sent, Ended time.Duration
	Deadline    time.Duration
	// BodyBytes is the length of its body.
	BodyBytes int
	// Behind tells that another request of its connection was unanswered when it was sent.
	Behind bool
	End    End
	// Status and what follows are those of a response, of which at least the head came.
	Status    int
	Signature string
	BodySum   uint64
}

// RunEnd is how a run ended at its backend.
type RunEnd uint8

// The ends of a run.
const (
	Running RunEnd = iota
	// RanToEnd: it has answered.
	RanToEnd
	// CutOff: the caller closed the connection.
	CutOff
	// BrokeOff: the backend itself broke off.
	BrokeOff
	// Rejected: it did not run, and said so.
	Rejected
	// Garbled: it has run, and the backend answered with bytes that are no response.
	Garbled
)

// String names the end.
func (e RunEnd) String() string {
	return [...]string{"running", "answered", "cut off", "broke off", "rejected", "garbled"}[e]
}

// Arrival is one request as a backend saw it.
type Arrival struct {
	Request  string
	Backend  int
	Service  string
	Zone     string
	Instance string
	// Valid tells that method, path and body are as the client sent them.
	Valid     bool
	At, Ended time.Duration
	// Work is how long the run is to last.
	Work      time.Duration
	End       RunEnd
	Signature string
	BodySum   uint64
}

// ran tells that the backend worked on the request.
func (a *Arrival) ran() bool { return a.End != Rejected }

// Log is everything that the stand-ins saw. It may be used by any goroutine.
type Log struct {
	begun time.Time

	mu       sync.Mutex // guards what follows
	requests map[string]*Request
	arrivals map[string][]*Arrival
}

// NewLog begins now.
func NewLog() *Log {
	return &Log{begun: time.Now(), requests: map[string]*Request{}, arrivals: map[string][]*Arrival{}}
}

// Now is the time since the start of the play.
func (l *Log) Now() time.Duration { return time.Since(l.begun) }

// Add adds a request that is about to be sent.
func (l *Log) Add(request *Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[request.ID] = request
}

// Finish records how a request ended.
func (l *Log) Finish(request *Request, end End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request.End, request.Ended = end, l.Now()
}

// Arrive records an arrival.
func (l *Log) Arrive(arrival *Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	arrival.At = l.Now()
	l.arrivals[arrival.Request] = append(l.arrivals[arrival.Request], arrival)
}

// Depart records how a run ended.
func (l *Log) Depart(arrival *Arrival, end RunEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	arrival.End, arrival.Ended = end, l.Now()
}
