package frontend

import (
	"errors"
	"sync/atomic"
)

// ErrClientLeft ends the lifetime of a client's requests: it has closed its connection.
var ErrClientLeft = errors.New("client closed its connection")

// Departures counts what clients left behind, since the start.
type Departures struct {
	// Clients counts connections that their clients closed with requests unanswered,
	// Requests those requests.
	Clients, Requests atomic.Int64
	// Unwatched counts connections that were no longer read while requests on them were
	// unanswered, so that the client's leaving could not be noticed.
	Unwatched atomic.Int64
}

// Departures gives the counts of this server.
func (s *Server) Departures() *Departures { return &s.departures }

// clientLeft ends the lifetime of the requests of a client that has left.
func (s *Server) clientLeft(client *clientConn) {
	if unanswered := client.unansweredCount.Load(); unanswered > 0 && client.ctx.Err() == nil {
		s.departures.Clients.Add(1)
		s.departures.Requests.Add(unanswered)
	}
	client.cancel(ErrClientLeft)
}
