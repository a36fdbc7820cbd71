package rpc

import "time"

// StatusRequest asks a controller or node for its status.
type StatusRequest struct{}

// StatusResponse is the status as JSON.
type StatusResponse struct{ JSON []byte }

// TraceRequest asks a controller or node for the history of one thing, such as a
// configuration item or an endpoint.
type TraceRequest struct{ Kind, Name string }

// TraceEntry is one event in that history.
type TraceEntry struct {
	Event    string `wire:"What"`
	Summary  string `wire:"Stamp"`
	LogIndex uint64 `wire:"Rev"`
	Age      time.Duration
}

// TraceResponse holds the history and, if Present, the present state of the thing at
// the one that was asked, which Name names.
type TraceResponse struct {
	Name     string
	Entries  []TraceEntry `wire:"Marks"`
	Present  bool         `wire:"Has"`
	Summary  string       `wire:"Stamp"`
	LogIndex uint64       `wire:"Rev"`
}
