// Hollow is a node without the traffic path: the real world, link and claims,
// with no door, pools or probes. Many share a process, so that leaders can be
// measured under more nodes than a machine could run.
package passage

import (
	"time"

	"tinpin/internal/eventlog"
	"tinpin/internal/idempotency"
	"tinpin/internal/parley"
	"tinpin/internal/settings"
)

// Hollow node.
type Hollow struct {
	props settings.Props
	link  *Link
	world *World
	life  parley.Life
}

// StartHollow takes up the beats.
func StartHollow(p settings.Props, life parley.Life) (hollow *Hollow) {
	log, clock := eventlog.Quiet(), NewClock()
	h := &Hollow{props: p, life: life, world: NewWorld(p, log, clock)}
	book := idempotency.NewBook(p.Bounds.KeyWindow, 1<<16, clock.Now)
	h.link = NewLink(p, log, clock, h.world, book, life, h.fellow)
	h.link.Taken = func() {}
	h.link.Limits = NewLimits(h.world.Share, nil)
	go h.link.Beat()
	go h.link.Claims()
	return h
}

func (h *Hollow) fellow() parley.Fellow {
	return parley.Fellow{
		ID: parley.FellowID(h.props.Name), Life: h.life, Site: parley.SiteName(h.props.Site), Region: parley.RegionName(h.props.Region),
		Front: h.props.Address + ":1", Inner: h.props.Inner("passage"), Ready: true,
	}
}

// Seen tells how far it has come.
func (h *Hollow) Seen() (seen parley.Seen) { return h.world.Seen() }

// Claim claims one key.
func (h *Hollow) Claim(key string) (granted bool) {
	return h.link.Claim(parley.KeyClaim{Key: key, Request: key}, time.Second, time.Second).Outcome == parley.Granted
}

// Report tells of one backend's health as an owner would.
func (h *Hollow) Report(service parley.ServiceName, server parley.ServerID, health parley.Health) (taken bool) {
	shards := h.world.shards()
	return h.link.Report(parley.ReportAsk{Fellow: parley.FellowID(h.props.Name), Term: shards.Term, Count: shards.Count, Service: service, States: []parley.State{{Server: server, Health: health}}})
}

// Stop ends it without a word, as a loss would.
func (h *Hollow) Stop() { close(h.link.Ended) }

func (w *World) shards() (shards parley.ShardMap) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watch.Applied()
}
