package proxy

import (
	"math/rand"
	"time"

	"tinpin/internal/registry"
	"tinpin/internal/rpc"
)

const (
	standalonePoll      = 500 * time.Millisecond
	platformPageTimeout = 100 * time.Millisecond
	// firstListWithin is the time within which a node without a list reads it first.
	firstListWithin = 4 * time.Second
	// listPageSize is about how many backends a page of the platform's list holds.
	listPageSize = 50
)

// RunStandalone reads the platform's list while there is no leader, at a pace that all
// nodes together may keep, until Done is closed.
func (l *LeaderClient) RunStandalone() {
	if l.settings.PlatformAddress == "" {
		return
	}
	platform := registry.NewPlatformClient(l.settings.PlatformAddress)
	var due time.Duration
	for standalone := false; !l.isDone(); {
		time.Sleep(standalonePoll)
		if l.HasLeader() {
			standalone = false
			continue
		}
		snapshot := l.state.Snapshot()
		now := l.clock.Now()
		if !standalone {
			standalone, due = true, now+l.firstRead(snapshot)
		}
		if now < due {
			continue
		}
		endpoints, pages, err := platform.Walk(platformPageTimeout, func([]rpc.Endpoint) {})
		if err == nil && !l.HasLeader() {
			l.state.ApplyOwnList(endpoints)
		}
		due = l.clock.Now() + max(l.standaloneInterval(len(snapshot.Nodes), pages*listPageSize), time.Second)
	}
}

// firstRead draws after what time to read the list first. All nodes lose a leader in
// the same moment, so it lies anywhere within the interval that all together may keep.
// A node without any list cannot serve and comes sooner.
func (l *LeaderClient) firstRead(snapshot *Snapshot) time.Duration {
	spread := l.standaloneInterval(len(snapshot.Nodes), snapshot.backendCount())
	if !snapshot.ListComplete {
		spread = min(spread, firstListWithin)
	}
	return time.Duration(rand.Float64() * float64(spread))
}

// standaloneInterval is how often each of so many nodes may read a list of so many
// backends, so that all together stay under half the platform's rate.
func (l *LeaderClient) standaloneInterval(nodes, backends int) (interval time.Duration) {
	pages := max(1, (backends+listPageSize-1)/listPageSize)
	return time.Duration(float64(2*max(4, nodes)*pages) / max(l.settings.PlatformRate, 0.1) * float64(time.Second))
}
