// Package passage is the daemon on every edge: it answers name queries,
// carries requests to backends, probes what the shard map gives it, and keeps
// its tie to the leader. This file puts its duties together and takes them
// down in order.
package proxy

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/http"
	"sync/atomic"
	"time"

	"tinpin/internal/apierror"
	"tinpin/internal/config"
	"tinpin/internal/eventlog"
	"tinpin/internal/httpapi"
	"tinpin/internal/idempotency"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
	"tinpin/internal/settings"
)

// Daemon is a running passage daemon.
type Daemon struct {
	props     settings.Settings
	log       *eventlog.Logger
	clock     Clock
	life      rpc.Life
	nap       time.Duration
	world     *World
	link      *Link
	keys      *idempotency.Book
	budget    *Budget
	limits    *Limits
	throttles throttles
	lane      *Lane
	door      *Door
	prober    *Prober
	ready     atomic.Bool
	stopping  atomic.Bool
	offices   []*http.Server
	inner     *rpc.Listener
	lapse     Lapse
}

// Start takes up the work.
func Start(p settings.Settings, log *eventlog.Logger) (daemon *Daemon, err error) {
	var luck [8]byte
	_, _ = rand.Read(luck[:])
	d := &Daemon{props: p, log: log, clock: NewClock(), life: rpc.Life(binary.LittleEndian.Uint64(luck[:])), nap: 60 * time.Millisecond}
	d.world = NewWorld(p, log, d.clock)
	d.keys = idempotency.NewBook(p.Bounds.KeyWindow+20*time.Second, p.MemoryMB<<20/6, d.clock.Now)
	d.link = NewLink(p, log, d.clock, d.world, d.keys, d.life, d.fellow)
	d.budget = NewBudget(p.Bounds.RetryBudgetRatio, p.Bounds.RetryWindow, func() float64 { return d.world.Share(rpc.RetrySlack, "") })
	d.budget.written = d.world.Orders.Retries
	d.budget.written.OnGate = func(service rpc.ServiceName, open bool) {
		log.Emit(eventlog.RetriesSuppressed, eventlog.KeyService, string(service), "suppressed", open)
	}
	d.limits = NewLimits(d.world.Share, func() { go d.link.Stir() })
	d.lane = NewLane(d.clock, p.LinkMbps)
	d.prober = NewProber(d)
	d.door = NewDoor(d.Answer, func() *config.View { return d.world.Scene().View }, max(64, (p.MaxFileDescriptors-300)*2/3), int64(p.MemoryMB)<<20/4)
	if d.inner, err = rpc.Serve(p.ProxyInternalAddress(), map[string]any{"Fellow": &Desk{d}, "Status": &Status{d}}); err != nil {
		return nil, err
	}
	if err = d.door.Open(p.FrontendAddress); err != nil {
		return nil, err
	}
	for _, address := range []string{p.ReadinessAddress, p.DirectoryAddress} {
		if address == "" {
			continue
		}
		server, serveErr := httpapi.Serve(address, httpapi.Handlers{Ready: d.isReady, Resolve: d.resolve})
		if serveErr != nil {
			return nil, serveErr
		}
		d.offices = append(d.offices, server)
	}
	d.link.Taken = d.wake
	d.link.Limits, d.link.Burdens = d.limits, d.throttles.burdens
	go d.link.Beat()
	go d.link.Claims()
	go d.link.Binds()
	go d.link.Frees()
	go d.link.Alone()
	go d.prober.Run()
	go d.tend()
	go d.attend()
	return d, nil
}

func (d *Daemon) isReady() bool {
	return d.ready.Load() && !d.stopping.Load() && !d.world.Orders.CutOff()
}

// fellow is this daemon as it tells of itself.
func (d *Daemon) fellow() rpc.Fellow {
	return rpc.Fellow{
		ID: rpc.FellowID(d.props.Name), Life: d.life, Site: rpc.SiteName(d.props.Zone), Region: rpc.RegionName(d.props.Region),
		Front: d.props.FrontendAddress, Inner: d.props.ProxyInternalAddress(), Ready: d.ready.Load(), Stopping: d.stopping.Load(),
	}
}

// tend is the duty for what comes round slowly.
func (d *Daemon) tend() {
	ticker := time.NewTicker(250 * time.Millisecond)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ticker.C:
		case <-d.link.Ended:
			return
		}
		d.wake()
		if turn%4 == 0 {
			d.world.Sweep()
			d.world.Orders.stay(d.clock.Now(), d.world.Scene().Fellows)
		}
	}
}

// wake makes the daemon ready once it knows what it needs to carry requests.
func (d *Daemon) wake() {
	if d.ready.Load() {
		return
	}
	if scene := d.world.Scene(); scene.Started && scene.Listed && d.ready.CompareAndSwap(false, true) {
		go d.link.Stir()
	}
}

// Reload takes changed settings up.
func (d *Daemon) Reload(p settings.Settings) { d.link.SetSeeds(p.Seeds) }

// Stop ends in order: told to the leader first, so that no directory names
// this daemon any more; then each answer closes its stream; then, when the
// clients must have learned it and nothing is at work, the end.
func (d *Daemon) Stop() {
	d.stopping.Store(true)
	d.door.Stop()
	go d.link.Stir()
	begun := d.clock.Now()
	grace := d.props.Bounds.GracePeriod
	linger := min(grace/2, directionsTTL+time.Second)
	for {
		time.Sleep(20 * time.Millisecond)
		spent := d.clock.Now() - begun
		if spent >= linger && d.door.AtWork() == 0 || spent >= grace-300*time.Millisecond {
			break
		}
	}
	d.door.Shut()
	for spent := time.Duration(0); d.door.AtWork() > 0 && d.clock.Now()-begun < grace-150*time.Millisecond; spent++ {
		time.Sleep(10 * time.Millisecond)
	}
	for _, server := range d.offices {
		_ = server.Close()
	}
	d.door.Close()
	d.inner.Close()
	close(d.link.Ended)
}

// Desk takes inner calls of fellows.
type Desk struct{ daemon *Daemon }

// Recall tells how an operation held here stands.
func (k *Desk) Recall(ask rpc.RecallAsk, reply *rpc.RecallReply) (err error) {
	if ask.Life != k.daemon.life {
		reply.Standing = rpc.Lost
		return nil
	}
	*reply = k.daemon.keys.Find(ask.Key, ask.Request)
	if reply.Standing == rpc.Freed {
		// The one who asks was told that the claim stands: it may have been
		// carried out behind the word that gave it back, which is said again.
		k.daemon.link.Free(rpc.KeyClaim{Key: ask.Key, Request: ask.Request})
	}
	return nil
}

// Keep stores an answer for a fellow that may not keep it itself.
func (k *Desk) Keep(ask rpc.KeepAsk, reply *rpc.KeepReply) (err error) {
	k.daemon.keys.Keep(ask.Key, ask.Request, ask.Answer)
	reply.Kept = true
	return nil
}

// Kept gives such an answer back.
func (k *Desk) Kept(ask rpc.RecallAsk, reply *rpc.RecallReply) (err error) {
	*reply = k.daemon.keys.Kept(ask.Key, ask.Request)
	return nil
}

// planned gives the plan's weights for a host: its own, or those of the first
// service under a plan that it goes to.
func (d *Daemon) planned(scene *Scene, host string) (weights schedule.Weights) {
	if !d.world.Orders.planned() {
		return nil
	}
	if weights = d.world.Orders.Weights(host, ""); weights != nil {
		return weights
	}
	for _, service := range scene.View.ServicesOf(host) {
		if weights = d.world.Orders.Weights("", rpc.ServiceName(service)); weights != nil {
			return weights
		}
	}
	return nil
}

// resolve tells a client where to go.
func (d *Daemon) resolve(ctx context.Context, host, region, site string) (addresses []string, ttl time.Duration, err error) {
	scene := d.world.Scene()
	addresses = Directions(scene.Fellows, d.world.Absent(), scene.View.Homes(host), d.planned(scene, host), region, site, httpapi.CallerAddress(ctx))
	if len(addresses) == 0 && d.isReady() {
		addresses = []string{d.props.FrontendAddress}
	}
	if len(addresses) == 0 {
		return nil, 0, &httpapi.Error{Kind: apierror.NotReady}
	}
	return addresses, min(directionsTTL, d.props.Bounds.MaxTTL), nil
}
