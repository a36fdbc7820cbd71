package proxy

import (
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/history"
	"tinpin/internal/rpc"
)

// maxLoggedItems is how many items of one update are logged each.
const maxLoggedItems = 64

// Apply applies the update that was asked for at a time, and reports whether it is
// the newest leader's: of an older one nothing is applied, however late it comes.
// Of the same leader, an update that a later one has overtaken changes nothing.
func (s *ClusterState) Apply(requestedAt time.Duration, update *rpc.Update) (newest bool) {
	if err := decompress(update); err != nil {
		s.log.Emit(eventlog.SettingsRejected, eventlog.KeyError, err.Error())
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if update.Term < s.known.Term {
		return false
	}
	if update.Term == s.known.Term && update.Revision < s.known.Revision {
		return true
	}
	s.leases.take(requestedAt, update.Leases)
	s.rejectGap(update)
	initial := s.known.LogIndex == 0
	s.enterTerm(update)
	changed := changesSnapshot(update)
	s.addControllers(update.Controllers)
	if update.Full {
		s.nodes = map[rpc.NodeID]rpc.Node{}
	}
	s.Policies.apply(now, requestedAt, update, s.History, initial)
	reopened := s.applyEvacuations(update.Evacuations, initial)
	s.applyItems(now, update, initial)
	if update.EndpointChunk != nil && !s.known.EndpointsComplete {
		s.applyChunk(now, update.EndpointChunk)
	}
	s.applyEndpointChanges(now, update.Endpoints, false)
	s.warmUpReopened(now, reopened)
	s.applyHealthStates(now, update)
	s.applyNodes(update.Nodes)
	s.applyShardMap(now, update)
	for _, count := range update.Outcomes {
		s.outliers.Add(now, count)
	}
	s.assignment.SetAbsent(update.Absent)
	s.assignment.SetHasLeader(now, true)
	if changed {
		s.publishSnapshot()
	}
	return true
}

// decompress unpacks the compressed parts of an update in place.
func decompress(update *rpc.Update) (err error) {
	if update.CompressedItems != nil {
		if update.Items, err = rpc.DecompressItems(update.CompressedItems); err != nil {
			return err
		}
	}
	if update.EndpointChunk != nil {
		if err = update.EndpointChunk.Decompress(); err != nil {
			return err
		}
	}
	if update.CompressedNodes != nil {
		nodes, unpackErr := rpc.Decompress[rpc.NodeChange](update.CompressedNodes)
		if unpackErr != nil {
			return unpackErr
		}
		update.Nodes = append(update.Nodes, nodes...)
	}
	return nil
}

// changesSnapshot reports whether an update holds anything that a snapshot shows.
func changesSnapshot(update *rpc.Update) bool {
	return update.Full || update.EndpointChunk != nil || len(update.Endpoints) > 0 || len(update.Nodes) > 0 ||
		len(update.Items) > 0 || len(update.Evacuations) > 0
}

// rejectGap drops a chunk of the endpoint list that does not follow the last one.
// Only the chunk is rejected: the rest of the update says where to go on from.
func (s *ClusterState) rejectGap(update *rpc.Update) {
	chunk := update.EndpointChunk
	if chunk == nil || s.continuesList(update.Term, chunk) {
		return
	}
	s.log.Emit(eventlog.NodeRequestRejected,
		eventlog.KeyCall, "update", eventlog.KeyReason, "a part of the list that does not follow",
		eventlog.KeyFrom, string(chunk.After), "position", string(chunk.Last))
	update.EndpointChunk = nil
}

// enterTerm takes the update's term and revision; a new leader's endpoint list and
// shard map begin anew.
func (s *ClusterState) enterTerm(update *rpc.Update) {
	if update.Term != s.known.Term {
		s.known.EndpointsComplete, s.known.LastEndpoint, s.known.ShardMapRevision = false, "", 0
		s.namedInList = map[rpc.EndpointID]bool{}
	}
	s.known.Term, s.known.Revision = update.Term, update.Revision
}

// applyEvacuations applies newer evacuations and gives the zones that are open again.
func (s *ClusterState) applyEvacuations(evacuations []rpc.Evacuation, unlogged bool) (reopened map[rpc.ZoneName]bool) {
	reopened = map[rpc.ZoneName]bool{}
	for _, evacuation := range evacuations {
		old := s.evacuations[evacuation.Zone]
		if old.LogIndex >= evacuation.LogIndex {
			continue
		}
		s.evacuations[evacuation.Zone] = evacuation
		s.History.Record(
			history.Evacuation, string(evacuation.Zone), "applied", evacuation.Summary(), evacuation.LogIndex, unlogged,
		)
		reopened[evacuation.Zone] = old.Active && !evacuation.Active
	}
	return reopened
}

// applyItems applies configuration items and builds the view of them anew.
func (s *ClusterState) applyItems(now time.Duration, update *rpc.Update, initial bool) {
	for _, item := range update.Items {
		if err := s.config.Put(item); err != nil {
			s.log.Emit(eventlog.SettingsRejected, "item", item.Name, eventlog.KeyError, err.Error())
		}
	}
	unlogged := initial || len(update.Items) > maxLoggedItems
	for _, item := range update.Items {
		s.History.Record(history.Item, item.Path(), "applied", item.Summary(), item.Rev, unlogged)
	}
	if update.LogIndex > s.known.LogIndex || update.LogIndex == s.known.LogIndex && update.LastItem > s.known.LastItem {
		s.known.LogIndex, s.known.LastItem = update.LogIndex, update.LastItem
	}
	if len(update.Items) == 0 {
		return
	}
	s.view = s.config.RoutingTable()
	names := make([]rpc.ServiceName, 0, len(s.view.Services))
	for name := range s.view.Services {
		names = append(names, rpc.ServiceName(name))
	}
	s.assignment.SetServices(names)
	s.assignment.CoverNewServices(now)
}

// warmUpReopened has the backends of zones that are open again warm up anew.
func (s *ClusterState) warmUpReopened(now time.Duration, reopened map[rpc.ZoneName]bool) {
	for zone, isOpen := range reopened {
		if !isOpen {
			continue
		}
		for _, backend := range s.backends {
			if backend.Zone != zone {
				continue
			}
			if service := s.view.Services[string(backend.Service)]; service != nil {
				backend.startWarmUp(now, service.SlowStart)
			}
		}
	}
}

// applyHealthStates applies what the owners of services found out about backends.
func (s *ClusterState) applyHealthStates(now time.Duration, update *rpc.Update) {
	for _, state := range update.States {
		backend := s.backends[state.Endpoint]
		if backend == nil || state.Removed {
			continue
		}
		revision := uint64(update.Revision)
		s.History.Record(history.Health, string(state.Endpoint), "heard", state.Summary(), revision, true)
		backend.update(now, nil, &state)
	}
}

// applyNodes applies changes of the list of nodes.
func (s *ClusterState) applyNodes(changes []rpc.NodeChange) {
	for _, change := range changes {
		if change.Removed {
			delete(s.nodes, change.ID)
		} else {
			s.nodes[change.ID] = change.Node
		}
	}
}

// applyShardMap applies a new shard map, or the difference to the one that is known.
func (s *ClusterState) applyShardMap(now time.Duration, update *rpc.Update) {
	known := s.known.ShardMapRevision
	delta := update.ShardMapDelta
	if delta != nil && known > 0 && delta.BaseRevision <= known && delta.Revision > known {
		next := s.leaderMap.Apply(*delta)
		update.ShardMap = &next
	}
	if update.ShardMap != nil {
		s.leaderMap, s.known.ShardMapRevision = *update.ShardMap, update.ShardMap.Revision
		s.assignment.SetShardMap(now, *update.ShardMap)
	}
}

// continuesList reports whether a chunk of the endpoint list follows the last one:
// over a gap, backends would be taken for gone.
func (s *ClusterState) continuesList(term rpc.Term, chunk *rpc.EndpointChunk) bool {
	last := s.known.LastEndpoint
	if term != s.known.Term {
		last = ""
	}
	for _, endpoint := range chunk.Endpoints {
		if endpoint.ID <= chunk.After {
			return false
		}
	}
	return s.known.EndpointsComplete && term == s.known.Term || chunk.After <= last
}

// applyChunk applies a chunk of the whole endpoint list; the last one removes all
// backends that no chunk named.
func (s *ClusterState) applyChunk(now time.Duration, chunk *rpc.EndpointChunk) {
	changes := make([]rpc.EndpointChange, len(chunk.Endpoints))
	for i, endpoint := range chunk.Endpoints {
		changes[i].Endpoint = endpoint
	}
	s.applyEndpointChanges(now, changes, true)
	for i := range chunk.States {
		if backend := s.backends[chunk.States[i].Endpoint]; backend != nil {
			backend.update(now, nil, &chunk.States[i])
		}
	}
	s.known.LastEndpoint = max(s.known.LastEndpoint, chunk.Last)
	if !chunk.Complete {
		return
	}
	for id, backend := range s.backends {
		if !s.namedInList[id] {
			backend.closeIdle(now, true)
			delete(s.backends, id)
		}
	}
	s.known.EndpointsComplete, s.listComplete, s.namedInList = true, true, nil
}

// applyEndpointChanges applies changes of the endpoint list; those that are part of a
// whole list are recorded but not logged.
func (s *ClusterState) applyEndpointChanges(now time.Duration, changes []rpc.EndpointChange, unlogged bool) {
	for i := range changes {
		change := &changes[i]
		backend := s.backends[change.ID]
		if change.Removed {
			if backend != nil {
				s.History.Record(history.Backend, string(change.ID), "applied", "gone", 0, false)
				backend.closeIdle(now, true)
				delete(s.backends, change.ID)
			}
			continue
		}
		if s.namedInList != nil {
			s.namedInList[change.ID] = true
		}
		if backend == nil {
			backend = s.addBackend(now, change)
		}
		if summary := change.Summary(); backend.listedSummary != summary {
			backend.listedSummary = summary
			s.History.Record(history.Backend, string(change.ID), "applied", summary, 0, unlogged)
		}
		backend.update(now, &change.Endpoint, nil)
	}
}

// addBackend starts to deal with an endpoint that is new on the list.
func (s *ClusterState) addBackend(now time.Duration, change *rpc.EndpointChange) (backend *Backend) {
	region := rpc.RegionName(s.settings.ZoneRegions[string(change.Zone)])
	backend = newBackend(change.Endpoint, region, s.settings.Zone, s.statsOf(change.Service))
	if change.WarmupRemaining > 0 {
		backend.startWarmUp(now, change.WarmupRemaining)
	}
	s.backends[change.ID] = backend
	return backend
}

// ApplyOwnList applies a list that this node read from the platform itself for want of a leader.
func (s *ClusterState) ApplyOwnList(endpoints []rpc.Endpoint) {
	changes := make([]rpc.EndpointChange, len(endpoints))
	for i := range endpoints {
		changes[i] = rpc.EndpointChange{Endpoint: endpoints[i]}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.applyEndpointChanges(now, changes, false)
	s.listComplete = true
	s.publishSnapshot()
}
