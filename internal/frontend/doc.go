// Package frontend owns the connections of clients: it accepts them, reads pipelined requests, writes the
// responses in order, closes idle connections for new ones, and drains. It does not handle requests; a
// function does, on a goroutine for each request. The methods of Server may be called by any goroutine.
package frontend
