// Hollow is a node without the traffic path: the real world, link and claims,
// with no door, pools or probes. Many share a process, so that leaders can be
// measured under more nodes than a machine could run.
package proxy

import (
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/idempotency"
	"tinpin/internal/rpc"
	"tinpin/internal/settings"
)

// Hollow node.
type Hollow struct {
	props settings.Settings
	link  *Link
	world *World
	life  rpc.Life
}

// StartHollow takes up the beats.
func StartHollow(p settings.Settings, life rpc.Life) (hollow *Hollow) {
	log, clock := eventlog.Discard(), NewClock()
	h := &Hollow{props: p, life: life, world: NewWorld(p, log, clock)}
	book := idempotency.NewBook(p.Bounds.KeyWindow, 1<<16, clock.Now)
	h.link = NewLink(p, log, clock, h.world, book, life, h.fellow)
	h.link.Taken = func() {}
	h.link.Limits = NewLimits(h.world.Share, nil)
	go h.link.Beat()
	go h.link.Claims()
	return h
}

func (h *Hollow) fellow() rpc.Fellow {
	return rpc.Fellow{
		ID: rpc.FellowID(h.props.Name), Life: h.life, Site: rpc.SiteName(h.props.Zone), Region: rpc.RegionName(h.props.Region),
		Front: h.props.Address + ":1", Inner: h.props.ProxyInternalAddress(), Ready: true,
	}
}

// Seen tells how far it has come.
func (h *Hollow) Seen() (seen rpc.Seen) { return h.world.Seen() }

// Claim claims one key.
func (h *Hollow) Claim(key string) (granted bool) {
	return h.link.Claim(rpc.KeyClaim{Key: key, Request: key}, time.Second, time.Second).Outcome == rpc.Granted
}

// Report tells of one backend's health as an owner would.
func (h *Hollow) Report(service rpc.ServiceName, server rpc.ServerID, health rpc.Health) (taken bool) {
	shards := h.world.shards()
	return h.link.Report(rpc.ReportAsk{Fellow: rpc.FellowID(h.props.Name), Term: shards.Term, Count: shards.Count, Service: service, States: []rpc.State{{Server: server, Health: health}}})
}

// Stop ends it without a word, as a loss would.
func (h *Hollow) Stop() { close(h.link.Ended) }

func (w *World) shards() (shards rpc.ShardMap) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watch.Applied()
}
