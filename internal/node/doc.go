// Package node drives one controller's raft replica: it gives it ticks, the messages of its
// peers, proposals and reports of finished writes, and carries out what comes back.
//
// It owns the goroutines and channels between them (the event loop, the writer of the
// store, two senders a peer), the replicated state as this controller has applied it, the
// lease by which a leader may answer from that state, and the steps by which a controller
// joins and leaves the group. It does not own the consensus (package raft), what a command
// does to the state (package statemachine), or what a leader does in its term (package
// coordinator).
//
// The exported methods of Node and Service may be called from any goroutine. All others,
// but for those of the writer and the senders, belong to the event loop.
package node
