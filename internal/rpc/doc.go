// Package rpc is the protocol by which controllers and nodes call each other: its
// messages, the client and the server, and the compression of long tables.
//
// Messages are structs that net/rpc sends as gob. The names of their fields and of
// the calls are frozen, so that versions may run side by side: see package wire
// for the tags of renamed fields and methods.go for the calls. A message is added
// with a fixture in testdata. The handlers that answer calls belong to the packages
// coordinator, raft, controller and proxy; package rpc knows nothing of what a
// message means.
//
// [Client] and [Server] may be used from any goroutine. Messages are plain values:
// whoever has one may change it as long as nobody else has it.
package rpc
