// Judge finds backends whose requests fail though their health answers are
// good. One daemon sees too little of a backend; so the outcomes that all
// daemons tell are summed at the service's owner, by backend and by the site
// that asked, and held against the service's own norm over the same span. A
// backend that stands out is set aside, for one asking site or for all, no
// more than a bounded part of a service at once, and let back after a wait
// that grows with each relapse. When everything fails, nothing stands out.
package healthcheck

import (
	"sort"
	"time"

	"tinpin/internal/rpc"
)

const (
	judgeSlots = 8
	judgeSlot  = 500 * time.Millisecond
	// judgeLeast is how many bad outcomes it takes, judgePart the least part of
	// all that they must be, judgeNorm how far above the service's norm.
	judgeLeast = 3
	judgePart  = 0.2
	judgeNorm  = 3
	// asideMost is the part of a service that may be set aside.
	asideMost  = 0.25
	asideFirst = 2 * time.Second
	asideLong  = 20 * time.Second
	// asideGood is how many good outcomes in a row let a backend back early.
	asideGood = 3
	relapse   = 30 * time.Second
)

type count struct{ good, bad float64 }

func (c count) all() float64 { return c.good + c.bad }

// span is a sliding sum.
type span struct {
	slots [judgeSlots]count
	at    int64
}

func (s *span) move(now time.Duration) {
	turn := int64(now / judgeSlot)
	for step := int64(0); s.at < turn && step < judgeSlots; step++ {
		s.at++
		s.slots[s.at%judgeSlots] = count{}
	}
	s.at = max(s.at, turn)
}

func (s *span) add(now time.Duration, more count) {
	s.move(now)
	slot := &s.slots[s.at%judgeSlots]
	slot.good += more.good
	slot.bad += more.bad
}

func (s *span) sum(now time.Duration) (sum count) {
	s.move(now)
	for _, slot := range s.slots {
		sum.good += slot.good
		sum.bad += slot.bad
	}
	return sum
}

type accused struct {
	service rpc.ServiceName
	sites   map[rpc.ZoneName]*span
	aside   string
	since   time.Duration
	wait    time.Duration
	freed   time.Duration
	good    float64
}

// Judge keeps the sums of what one daemon owns.
type Judge struct {
	servers map[rpc.EndpointID]*accused
	norms   map[rpc.ServiceName]*span
}

// NewJudge has heard nothing.
func NewJudge() (judge *Judge) {
	return &Judge{servers: map[rpc.EndpointID]*accused{}, norms: map[rpc.ServiceName]*span{}}
}

// Add takes what a daemon of a site told. A row without a backend is the
// daemon's sum over the whole service.
func (j *Judge) Add(now time.Duration, tally rpc.OutcomeCount) {
	more := count{float64(tally.Succeeded), float64(tally.Failed)}
	if tally.Endpoint == "" {
		norm := j.norms[tally.Service]
		if norm == nil {
			norm = &span{}
			j.norms[tally.Service] = norm
		}
		norm.add(now, more)
		return
	}
	held := j.servers[tally.Endpoint]
	if held == nil {
		held = &accused{service: tally.Service, sites: map[rpc.ZoneName]*span{}}
		j.servers[tally.Endpoint] = held
	}
	if held.sites[tally.Zone] == nil {
		held.sites[tally.Zone] = &span{}
	}
	held.sites[tally.Zone].add(now, more)
	if held.aside == rpc.EjectedForAllZones || held.aside == string(tally.Zone) {
		if held.good += more.good; more.bad > 0 {
			held.good = 0
		}
	}
}

// stands tells for which asking sites a backend stands out, and how much.
func (j *Judge) stands(now time.Duration, held *accused) (aside string, part float64) {
	norm := count{}
	if spans := j.norms[held.service]; spans != nil {
		norm = spans.sum(now)
	}
	usual := norm.bad / max(1, norm.all())
	out := func(sum count) bool {
		return sum.bad >= judgeLeast && sum.bad >= judgePart*sum.all() && sum.bad >= judgeNorm*usual*sum.all()
	}
	var total count
	var bad, sound []rpc.ZoneName
	for site, spans := range held.sites {
		sum := spans.sum(now)
		total.good += sum.good
		total.bad += sum.bad
		switch {
		case out(sum):
			bad = append(bad, site)
		case sum.good >= judgeLeast && sum.bad < judgePart*sum.all():
			sound = append(sound, site)
		}
	}
	part = total.bad / max(1, total.all())
	switch {
	case len(bad) == 1 && len(sound) > 0:
		return string(bad[0]), part
	case out(total) || len(bad) > 1:
		return rpc.EjectedForAllZones, part
	}
	return "", part
}

// Tick moves time on; sizes are the numbers of backends of the services that
// this daemon owns. It gives the backends whose standing changed.
func (j *Judge) Tick(now time.Duration, sizes map[rpc.ServiceName]int) (changed map[rpc.EndpointID]string) {
	changed = map[rpc.EndpointID]string{}
	type finding struct {
		id    rpc.EndpointID
		aside string
		part  float64
	}
	out := map[rpc.ServiceName]int{}
	found := map[rpc.ServiceName][]finding{}
	for id, held := range j.servers {
		if sizes[held.service] == 0 {
			delete(j.servers, id)
			continue
		}
		if held.aside != "" {
			if now-held.since >= held.wait && held.good >= asideGood || now-held.since >= 2*held.wait {
				held.aside, held.freed = "", now
				held.sites = map[rpc.ZoneName]*span{}
				changed[id] = ""
				continue
			}
			out[held.service]++
			// Trials from elsewhere may show that only one site's requests fail.
			if aside, _ := j.stands(now, held); aside != "" && aside != held.aside && held.aside == rpc.EjectedForAllZones {
				held.aside = aside
				changed[id] = aside
			}
			continue
		}
		aside, part := j.stands(now, held)
		if aside != "" {
			found[held.service] = append(found[held.service], finding{id, aside, part})
		} else if part == 0 && now-held.freed > relapse {
			delete(j.servers, id)
		}
	}
	for service, list := range found {
		room := int(asideMost * float64(sizes[service]))
		if len(list)+out[service] > 2*room {
			// Most of the service stands out: that is no fault of single ones.
			continue
		}
		sort.Slice(list, func(i, k int) bool {
			if list[i].part != list[k].part {
				return list[i].part > list[k].part
			}
			return list[i].id < list[k].id
		})
		for _, finding := range list[:min(len(list), max(0, room-out[service]))] {
			held := j.servers[finding.id]
			held.wait = min(asideLong, max(asideFirst, 2*held.wait))
			if now-held.freed > relapse && held.freed > 0 {
				held.wait = asideFirst
			}
			held.aside, held.since, held.good = finding.aside, now, 0
			changed[finding.id] = held.aside
		}
	}
	return changed
}

// Aside tells for whom a backend is set aside.
func (j *Judge) Aside(id rpc.EndpointID) (aside string) {
	if held := j.servers[id]; held != nil {
		return held.aside
	}
	return ""
}
