// Package registry keeps what the leader knows of nodes and endpoints: the nodes by
// their heartbeats, the endpoints by the list of the platform, whose client is here
// as well. A change log numbers each change with a revision, so that a node that
// names the last revision it has is sent only what came after.
//
// It does not decide what nodes are sent, nor whether an endpoint is healthy. Its
// types have no locks: the coordinator calls them from one goroutine at a time.
// [PlatformClient] may be used from any.
package registry
