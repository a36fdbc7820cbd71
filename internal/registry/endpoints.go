package registry

import "tinpin/internal/rpc"

// missesToRemove is how many whole walks in a row must lack an endpoint that is not
// draining before it is removed.
const missesToRemove = 2

// EndpointList merges walks over the platform's list into one table. What a page
// shows counts at once, since a draining endpoint must not wait for the pages that
// follow. What a walk lacks counts only if the walk was whole, and an endpoint is
// removed only when a second one lacks it too, unless it was draining.
type EndpointList struct {
	Endpoints *ChangeLog[rpc.EndpointID, rpc.Endpoint]
	missed    map[rpc.EndpointID]int
	// Complete reports that the list has been read once from end to end.
	Complete bool
}

// NewEndpointList makes an empty list.
func NewEndpointList(counter *RevisionCounter) (list *EndpointList) {
	return &EndpointList{
		Endpoints: NewChangeLog[rpc.EndpointID, rpc.Endpoint](counter),
		missed:    map[rpc.EndpointID]int{},
	}
}

// ApplyPage takes what one page shows, and reports the endpoints that are new. The
// warm-up time is kept as first read, since a remainder that shrinks is no change; and
// what drains does not come back.
func (l *EndpointList) ApplyPage(page []rpc.Endpoint) (changed bool, added []rpc.Endpoint) {
	for _, endpoint := range page {
		delete(l.missed, endpoint.ID)
		old, known := l.Endpoints.Get(endpoint.ID)
		if known {
			endpoint.WarmupRemaining = old.WarmupRemaining
			endpoint.Draining = endpoint.Draining || old.Draining
		} else {
			added = append(added, endpoint)
		}
		if l.Endpoints.Set(endpoint.ID, endpoint) {
			changed = true
		}
	}
	return changed, added
}

// FinishWalk takes a whole walk, whose pages were applied before, and removes what it
// lacks.
func (l *EndpointList) FinishWalk(walk []rpc.Endpoint) (changed bool) {
	changed = !l.Complete
	l.Complete = true
	listed := make(map[rpc.EndpointID]bool, len(walk))
	for _, endpoint := range walk {
		listed[endpoint.ID] = true
	}
	var gone []rpc.EndpointID
	l.Endpoints.Each(func(id rpc.EndpointID, endpoint rpc.Endpoint) {
		if listed[id] {
			return
		}
		l.missed[id]++
		if l.missed[id] >= missesToRemove || endpoint.Draining {
			gone = append(gone, id)
		}
	})
	for _, id := range gone {
		delete(l.missed, id)
		l.Endpoints.Remove(id)
		changed = true
	}
	return changed
}
