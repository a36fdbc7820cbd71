// Package coordinator is what the leading controller does for the nodes during
// its term: it answers their heartbeats with all that changed, owns the shard
// map and the collected health states, grants leases of fleet-wide limits, binds
// sessions, and carries the drain policy and the day's plan on.
//
// A Coordinator lives as long as one term; a new leader starts a new one. The
// state machines that it composes (node registry, endpoint list, health cache,
// leases, drain, schedule, sessions) live in packages of their own and know
// neither clocks nor goroutines: the Coordinator gives them time and holds
// heartbeats open until there is something to answer. It stores nothing itself:
// what must outlive the term is proposed to the controllers through raft.
//
// All exported methods may be called from any goroutine. Handler is the entry
// for the nodes' remote calls, on any controller, leading or not.
package coordinator
