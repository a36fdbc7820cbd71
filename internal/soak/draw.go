package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// quietStart and quietEnd are the parts of a play without events: at the end it is
	// seen whether the system has recovered.
	quietStart = 2 * time.Second
	quietEnd   = 9 * time.Second
	// episodeGap is the mean time between two episodes. An episode lasts longer, so
	// that they overlap.
	episodeGap = 1200 * time.Millisecond
	// changeGap is the mean time between two changes of the configuration.
	changeGap = 350 * time.Millisecond
)

// drawing is a schedule as it is being drawn.
type drawing struct {
	rng    *rand.Rand
	size   Size
	events []Event
}

// Draw draws a schedule. The same options give the same one.
func Draw(options Options) (schedule Schedule) {
	d := &drawing{rng: rand.New(rand.NewPCG(options.Seed, 0x736f616b)), size: options.Size}
	end := options.Time - quietEnd
	for at := quietStart; at < end; at += d.about(episodeGap) {
		d.episode(at)
	}
	for at := quietStart / 2; at < end; at += d.about(changeGap) {
		d.change(at)
	}
	kept := d.events[:0]
	for _, event := range d.events {
		if event.At < end && event.At+event.For < end+quietEnd/3 {
			kept = append(kept, event)
		}
	}
	sortEvents(kept)
	return Schedule{Options: options, Events: kept}
}

// about is a time around a mean: from a fifth of it to nearly twice.
func (d *drawing) about(mean time.Duration) time.Duration {
	return time.Duration((0.2 + 1.6*d.rng.Float64()) * float64(mean))
}

func (d *drawing) add(at time.Duration, action Action, target Target, lasting time.Duration) {
	d.events = append(d.events, Event{
		At: at.Round(time.Millisecond), Action: action, Target: target,
		For: lasting.Round(time.Millisecond),
	})
}

// some draws different targets of a role: a share of them, at least one.
func (d *drawing) some(role Role, count int, share float64) (targets []Target) {
	order := d.rng.Perm(count)
	for _, number := range order[:max(1, int(share*float64(count)))] {
		targets = append(targets, Target{role, number + 1})
	}
	return targets
}

// episode draws something that happens to processes or backends.
func (d *drawing) episode(at time.Duration) {
	switch d.rng.IntN(15) {
	case 0, 1, 2:
		// A rolling restart: one after the other, often before the last is back.
		gap := d.about(time.Second)
		for i, target := range d.some(ProxyRole, d.size.Proxies, 0.3+0.7*d.rng.Float64()) {
			d.add(at+time.Duration(i)*gap, Term, target, 0)
		}
	case 3, 4:
		// Many at the same moment.
		for _, target := range d.some(ProxyRole, d.size.Proxies, 0.3+0.7*d.rng.Float64()) {
			d.add(at, Term, target, 0)
		}
	case 5:
		d.add(at, TermTwice, d.some(ProxyRole, d.size.Proxies, 0)[0], 0)
	case 6:
		d.controllers(at)
	case 7:
		for _, target := range d.some(ProxyRole, d.size.Proxies, 0.25) {
			d.add(at, Kill, target, 0)
		}
	case 8:
		for _, target := range d.some(ProxyRole, d.size.Proxies, 0.7) {
			d.add(at+d.about(200*time.Millisecond), HUP, target, 0)
		}
	case 9:
		d.add(at, Freeze, d.some(ProxyRole, d.size.Proxies, 0)[0], d.about(2*time.Second))
	case 10:
		// Some are told to stop while they start again, one after the other.
		for i, target := range d.some(ProxyRole, d.size.Proxies, 0.5) {
			d.add(at+time.Duration(i)*d.about(300*time.Millisecond), TermStarting, target, 0)
		}
	default:
		d.backend(at)
	}
}

// backend draws something that happens to one backend.
func (d *drawing) backend(at time.Duration) {
	target := d.some(BackendRole, d.size.Backends, 0)[0]
	switch d.rng.IntN(5) {
	case 0:
		d.add(at, Drain, target, 0)
	case 1:
		d.add(at, Slow, target, d.about(4*time.Second))
	case 2:
		d.add(at, BreakOff, target, d.about(3*time.Second))
	case 3:
		d.add(at, Garble, target, d.about(3*time.Second))
	case 4:
		d.add(at, Crash, target, d.about(2*time.Second))
	}
}

// controllers draws something that happens to controllers, one after the other: no
// more at once than may be lost.
func (d *drawing) controllers(at time.Duration) {
	action := []Action{Term, Term, Kill, Freeze, HUP, PowerOff, PowerOff}[d.rng.IntN(7)]
	lasting := time.Duration(0)
	switch action {
	case Freeze:
		lasting = d.about(1500 * time.Millisecond)
	case PowerOff:
		// Often longer than contact, so that what the others do without it counts.
		lasting = d.about(2 * contact)
	}
	d.add(at, action, d.some(ControllerRole, d.size.Controllers, 0)[0], lasting)
	if action == Term && d.rng.IntN(2) == 0 {
		// One comes back while another leaves.
		d.add(at+d.about(4*time.Second), Term, d.some(ControllerRole, d.size.Controllers, 0)[0], 0)
	}
}

// change draws a change of the configuration, or an evacuation.
func (d *drawing) change(at time.Duration) {
	all := []Action{
		Move, Move, Move, Retime, Retime, Idle, BodyLimit, AddRoute, DropRoute, Invalid, Invalid, Race, Resend,
	}
	action := all[d.rng.IntN(len(all))]
	if d.rng.IntN(40) == 0 {
		d.add(at, Evacuate, Target{}, d.about(4*time.Second))
		return
	}
	d.add(at, action, Target{}, 0)
}
