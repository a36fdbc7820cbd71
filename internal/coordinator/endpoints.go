package coordinator

import (
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/history"
	"tinpin/internal/quota"
	"tinpin/internal/registry"
	"tinpin/internal/rpc"
)

const (
	// leaderRateShare is the part of the platform's call rate that the leader
	// uses; the rest is for nodes without a leader.
	leaderRateShare = 0.5
	// minPlatformRate, in calls a second, keeps the pause between calls finite.
	minPlatformRate = 0.1
	// maxPagePause and minListPause bound the waits between the pages of a walk
	// and between walks.
	maxPagePause = 100 * time.Millisecond
	minListPause = 20 * time.Millisecond
)

// listLoop reads the platform's list of backends again and again until Close.
func (c *Coordinator) listLoop() {
	platform := registry.NewPlatformClient(c.settings.PlatformAddress)
	pause := time.Duration(float64(time.Second) / max(c.settings.PlatformRate*leaderRateShare, minPlatformRate))
	for {
		begun := time.Now()
		endpoints, pages, err := platform.Walk(min(pause, maxPagePause), func(page []rpc.Endpoint) {
			c.mergeEndpoints(page, false)
		})
		interval := listInterval(c.settings.EndpointListInterval, pause, pages)
		if err != nil {
			c.log.Emit(eventlog.EndpointListFailed, eventlog.KeyError, err.Error())
			interval = max(interval/2, time.Duration(pages)*pause)
		} else {
			c.mergeEndpoints(endpoints, true)
		}
		select {
		case <-c.closed:
			return
		case <-time.After(max(interval-time.Since(begun), minListPause)):
		}
	}
}

// listInterval is how long after the start of one walk the next one starts. A
// long list is read no more often than twice the time that a walk of it takes,
// since each page is a call that counts against the platform's rate.
func listInterval(usual, pause time.Duration, pages int) (interval time.Duration) {
	return max(usual, 2*time.Duration(pages)*pause)
}

// mergeEndpoints takes up one page of the list, or all of a complete walk. Only
// a complete walk can tell that a backend is gone.
func (c *Coordinator) mergeEndpoints(endpoints []rpc.Endpoint, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, first := c.revisions.Current(), !c.endpoints.Complete
	var changed bool
	var added []rpc.Endpoint
	if complete {
		changed = c.endpoints.FinishWalk(endpoints)
	} else {
		changed, added = c.endpoints.ApplyPage(endpoints)
	}
	c.endpoints.Endpoints.Since(before, func(id rpc.EndpointID, endpoint rpc.Endpoint, gone bool) {
		summary := endpoint.Summary()
		if gone {
			summary = "gone"
		}
		c.history.Record(history.Backend, string(id), "listed", summary, 0, first)
	})
	now := c.now()
	for _, endpoint := range added {
		if endpoint.WarmupRemaining > 0 {
			c.health.SetWarmingUp(now, endpoint.ID, endpoint.Service, endpoint.WarmupRemaining)
		}
	}
	if changed {
		c.forgetUnlisted()
		c.wakeHeartbeats()
	}
}

// forgetUnlisted drops health and leases of backends that left the list.
func (c *Coordinator) forgetUnlisted() {
	var gone []rpc.EndpointID
	c.health.States.Each(func(id rpc.EndpointID, _ rpc.EndpointState) {
		if _, listed := c.endpoints.Endpoints.Get(id); !listed {
			gone = append(gone, id)
		}
	})
	for _, id := range gone {
		c.health.Remove(id)
		c.leases.rates.Forget(quota.Key{Kind: rpc.WarmupRate, Name: string(id)})
	}
}

// EndpointsComplete tells that the platform's list was read to its end.
func (c *Coordinator) EndpointsComplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpoints.Complete
}

// Report takes up an owner's findings on the health of its backends, and tells
// whether it did. Before the list is complete it takes none, since findings on
// backends not listed yet would be lost.
func (c *Coordinator) Report(request rpc.HealthReport) (taken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.endpoints.Complete {
		return false
	}
	if err := c.validateReport(request); err != nil {
		_ = c.rejections.reject(c.log, "report", request.Node, err)
		return false
	}
	absent := map[rpc.NodeID]bool{}
	for _, id := range c.nodes.absent {
		absent[id] = true
	}
	listed := request.States[:0:0]
	for _, state := range request.States {
		if _, known := c.endpoints.Endpoints.Get(state.Endpoint); known {
			listed = append(listed, state)
		}
	}
	request.States = listed
	before := c.revisions.Current()
	taken, changed := c.health.Report(c.now(), request, absent)
	c.health.States.Since(before, func(id rpc.EndpointID, state rpc.EndpointState, _ bool) {
		by := "reported by " + string(request.Node)
		c.history.Record(history.Health, string(id), by, state.Summary(), uint64(c.revisions.Current()), true)
	})
	if changed {
		c.wakeHeartbeats()
	}
	return taken
}
