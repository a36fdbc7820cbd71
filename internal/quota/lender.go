// Lender splits limits that are a rate and a burst over the fleet: those of
// tenants, and those on retries. What is lent is a part of the
// limit, not a number, so that a change of the limit needs no new lending. A
// fifth is set aside for floors, which a daemon keeps for minutes without
// touch; the rest is lent for a moment at a time to where the demand is, and
// what nobody asks for stays free, so that a surge elsewhere need not wait for
// shares to run out. A part smaller than one request of the burst could admit
// nothing and is not lent.
package quota

import (
	"time"

	"tinpin/internal/config"
	"tinpin/internal/rpc"
)

const (
	floorPart  = 0.2
	floorSpare = 2
	basePart   = 0.25
	headroom   = 1.5
	demandAge  = 5 * time.Second
)

// FloorSpan is how long a tenant's floor outlasts the touch with the leader,
// RetryFloorSpan that of a limit on retries: a limit that is lowered counts as
// kept once floors under the old one have run out.
const (
	FloorSpan      = 5 * time.Minute
	RetryFloorSpan = time.Minute
)

// Bound is a limit on requests: so many a second, and so many at once.
type Bound struct {
	Name        string
	Rate, Burst float64
}

// BoundOf is a tenant's limit.
func BoundOf(tenant *config.Tenant) (bound Bound) {
	return Bound{Name: tenant.Name, Rate: tenant.Rate, Burst: tenant.Burst}
}

// Kinds are the leases by which a lender lends.
type Kinds struct {
	Share, Floor rpc.LeaseKind
	FloorSpan    time.Duration
}

// The kinds of lenders.
var (
	TenantKinds = Kinds{rpc.TenantShare, rpc.TenantMinimum, FloorSpan}
	RetryKinds  = Kinds{rpc.RetryShare, rpc.RetryMinimum, RetryFloorSpan}
)

type wanted struct {
	rate float64
	at   time.Duration
}

// demands are what fellows want of one limit, with their sum; the old ones are
// looked for once a second.
type demands struct {
	of    map[rpc.NodeID]wanted
	sum   float64
	swept time.Duration
}

func (d *demands) note(now time.Duration, from rpc.NodeID, rate float64) (sum float64) {
	d.sum += rate - d.of[from].rate
	d.of[from] = wanted{rate, now}
	if now-d.swept > time.Second {
		d.swept, d.sum = now, 0
		for id, want := range d.of {
			if now-want.at > demandAge {
				delete(d.of, id)
				continue
			}
			d.sum += want.rate
		}
	}
	return d.sum
}

// Lender lends the limits of one kind.
type Lender struct {
	kinds  Kinds
	shares *Book
	floors *Book
	wanted map[string]*demands
}

// NewLender lends tenants' limits.
func NewLender(now, span time.Duration, first bool) (lender *Lender) {
	return NewLenderOf(TenantKinds, now, span, first)
}

// NewLenderOf starts a leadership; the first of all has no predecessor whose
// loans it would have to wait for.
func NewLenderOf(kinds Kinds, now, span time.Duration, first bool) (lender *Lender) {
	lender = &Lender{kinds: kinds, shares: NewBook(now, span), floors: NewBook(now, kinds.FloorSpan), wanted: map[string]*demands{}}
	if first {
		lender.shares, lender.floors = Unwaited(span), Unwaited(kinds.FloorSpan)
	}
	return lender
}

// Lend gives a fellow its parts of a limit.
func (l *Lender) Lend(now time.Duration, bound Bound, to rpc.NodeID, present int, demand rpc.RateDemand) (leases []rpc.Lease) {
	present = max(1, present)
	least := 1 / max(bound.Burst, 1)
	wants := l.wanted[bound.Name]
	if wants == nil {
		wants = &demands{of: map[rpc.NodeID]wanted{}}
		l.wanted[bound.Name] = wants
	}
	sum := wants.note(now, to, demand.Rate)
	floorKey := Key{l.kinds.Floor, bound.Name}
	if floor := floorPart / float64(present+floorSpare); demand.Minimum > 0 {
		leases = append(leases, l.floors.Renew(now, floorKey, 0, to, demand.Minimum))
	} else if floor >= least {
		if lease, given := l.floors.Lend(now, floorKey, floorPart, 0, to, floor); given && lease.Amount >= least {
			leases = append(leases, lease)
		}
	}
	room := 1 - floorPart
	want := basePart * room / float64(present)
	if demand.Rate > 0 {
		want += min(headroom*demand.Rate/bound.Rate, (1-basePart)*room*demand.Rate/sum)
	}
	want = max(want, least)
	shareKey := Key{l.kinds.Share, bound.Name}
	if want <= room {
		if lease, given := l.shares.LendWhole(now, shareKey, room, 0, to, want, least); given {
			leases = append(leases, lease)
		}
	} else if lease, given := l.shares.LendWhole(now, shareKey, room, 0, to, room, min(least, room)); given {
		leases = append(leases, lease)
	}
	return leases
}

// Lent is the part of a limit that may be in use.
func (l *Lender) Lent(now time.Duration, name string) (part float64) {
	return l.shares.Lent(now, Key{l.kinds.Share, name}) + l.floors.Lent(now, Key{l.kinds.Floor, name})
}

// Bucket admits requests under a limit at one daemon under its parts of the
// limit. A part that grows adds room but no tokens, so tokens never come from
// nowhere when parts move or a daemon restarts.
type Bucket struct {
	tokens float64
	at     time.Duration
	begun  bool
	seen   float64
}

// Admit takes one token; where there is none it tells when to come back.
func (b *Bucket) Admit(now time.Duration, bound Bound, part float64) (admitted bool, back time.Duration) {
	if !b.begun {
		b.begun, b.at = true, now
	}
	spent := (now - b.at).Seconds()
	rate := part * bound.Rate
	b.tokens = min(b.tokens+rate*spent, part*max(bound.Burst, 1))
	b.seen = b.seen*max(0, 1-spent) + 1
	b.at = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if rate <= 0 {
		return false, 500 * time.Millisecond
	}
	back = time.Duration((1 - b.tokens) / rate * float64(time.Second))
	return false, min(max(back, 50*time.Millisecond), 2*time.Second)
}

// Fill brings the tokens up to now; a daemon does so as parts change, so that
// time under a small part is not counted at a larger one's rate.
func (b *Bucket) Fill(now time.Duration, bound Bound, part float64) {
	if !b.begun {
		b.begun, b.at = true, now
	}
	spent := (now - b.at).Seconds()
	b.tokens = min(b.tokens+part*bound.Rate*spent, part*max(bound.Burst, 1))
	b.seen *= max(0, 1-spent)
	b.at = now
}

// Demand is about how many requests came in the last second.
func (b *Bucket) Demand() (rate float64) { return b.seen }
