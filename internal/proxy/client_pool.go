package proxy

import (
	"sync"

	"tinpin/internal/rpc"
)

// callKind says what a call is for. Calls of different kinds to one address share no connection, so that
// none waits behind those of another kind.
type callKind uint8

const (
	// contactCalls keep this node in touch: heartbeats, and the question who leads.
	contactCalls callKind = iota
	// workCalls carry work to the leader: claims, bindings, releases and health reports.
	workCalls
	// peerCalls go to other nodes.
	peerCalls
)

// clientKey names a client.
type clientKey struct {
	address string
	kind    callKind
}

// clientPool holds one client for each address and kind of call. The zero value is ready.
type clientPool struct {
	mu      sync.Mutex // guards clients
	clients map[clientKey]*rpc.Client
}

// of gives the client of an address. One to a controller may take as long to connect as the longest query
// time-out: where the way there takes half a second, no connection would ever come up otherwise.
func (p *clientPool) of(address string, kind callKind) (client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := clientKey{address, kind}
	if client = p.clients[key]; client != nil {
		return client
	}
	client = rpc.NewClient(address)
	if kind != peerCalls {
		client.DialWait = maxLeaderQueryTimeout
	}
	if p.clients == nil {
		p.clients = map[clientKey]*rpc.Client{}
	}
	p.clients[key] = client
	return client
}

// closeController closes the connections to a controller; calls that wait on them end.
func (p *clientPool) closeController(address string) {
	p.of(address, contactCalls).Close()
	p.of(address, workCalls).Close()
}
