package rpc

import "slices"

// ShardMap is the list of nodes over which all nodes hash alike to find which of
// them probes a service.
type ShardMap struct {
	Term     Term
	Revision Revision `wire:"Count"`
	Members  []NodeID
}

// ShardMapDelta is how a map differs from the one of BaseRevision and from any that
// was sent since. Whole maps for each change would grow with the square of the fleet.
type ShardMapDelta struct {
	BaseRevision   Revision `wire:"Base"`
	Revision       Revision `wire:"Count"`
	Added, Removed []NodeID
}

// Apply is the map after a change.
func (m ShardMap) Apply(delta ShardMapDelta) (next ShardMap) {
	changed := make(map[NodeID]bool, len(delta.Added)+len(delta.Removed))
	for _, member := range append(delta.Removed, delta.Added...) {
		changed[member] = true
	}
	next = ShardMap{Term: m.Term, Revision: delta.Revision, Members: append([]NodeID{}, delta.Added...)}
	for _, member := range m.Members {
		if !changed[member] {
			next.Members = append(next.Members, member)
		}
	}
	slices.Sort(next.Members)
	return next
}
