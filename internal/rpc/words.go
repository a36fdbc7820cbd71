// Package parley is the inner protocol: what daemons say to each other over
// net/rpc. This file holds the pairs of questions and answers; the types of
// ids, epochs and spans are shared by all that take part.
package rpc

import (
	"slices"
	"strconv"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/policy"
)

// FellowID is the name of a daemon, ServerID one life of a backend, SiteName a zone.
type (
	FellowID    string
	ServerID    string
	SiteName    string
	RegionName  string
	ServiceName string
	// SessionID is a hash of what names a session at a service.
	SessionID string
)

// Life tells the runs of one daemon apart.
type Life uint64

// Epoch is a place in what the leader has told; Term is whose telling it is.
type (
	Epoch uint64
	Term  uint64
)

// Fellow is a passage daemon as the others know it.
type Fellow struct {
	ID       FellowID
	Life     Life
	Site     SiteName
	Region   RegionName
	Front    string
	Inner    string
	Ready    bool
	Stopping bool
}

// FellowChange is one line of the roll; Gone takes it out.
type FellowChange struct {
	Fellow
	Gone bool
}

// Server is one life of a backend as the platform lists it.
type Server struct {
	ID       ServerID
	Service  ServiceName
	Address  string
	Site     SiteName
	Slots    int
	Draining bool
	Cold     time.Duration
}

// Stamp tells a backend's state in a word.
func (s Server) Stamp() (stamp string) {
	if s.Draining {
		return "draining"
	}
	return "ready"
}

// ServerChange is one line of the list; Gone takes it out.
type ServerChange struct {
	Server
	Gone bool
}

// Health is what an owner found out about a backend.
type Health uint8

// The states of health.
const (
	Unknown Health = iota
	Up
	Down
)

// State is one backend's health with the time its cold spell still lasts.
type State struct {
	Server ServerID
	Health Health
	Cold   time.Duration
	// Aside is the asking site for which the backend is set aside, or
	// AsideForAll, or empty.
	Aside string
	Gone  bool
}

// AsideForAll stands for every asking site.
const AsideForAll = "*"

// Tally is what became of a daemon's requests at a backend since it last told,
// or, without a backend, at the whole service. Site is where it asked from.
type Tally struct {
	Server    ServerID
	Service   ServiceName
	Site      SiteName
	Good, Bad uint32
}

// Stamp tells the state in words.
func (s State) Stamp() (stamp string) {
	stamp = [...]string{"unknown", "up", "down"}[min(s.Health, Down)]
	if s.Cold > 0 {
		stamp += " cold"
	}
	if s.Aside != "" {
		stamp += " aside"
	}
	return stamp
}

// ShardMap is the list that all daemons hash over.
type ShardMap struct {
	Term    Term
	Count   Epoch
	Members []FellowID
}

// MapDelta is how a map differs from the one of count Base or any told since;
// a whole map for each change would grow with the square of the fleet.
type MapDelta struct {
	Base, Count    Epoch
	Added, Removed []FellowID
}

// Apply gives the map that a delta makes of one that was told.
func (m ShardMap) Apply(delta MapDelta) (next ShardMap) {
	gone := make(map[FellowID]bool, len(delta.Added)+len(delta.Removed))
	for _, member := range append(delta.Removed, delta.Added...) {
		gone[member] = true
	}
	next = ShardMap{Term: m.Term, Count: delta.Count, Members: append([]FellowID{}, delta.Added...)}
	for _, member := range m.Members {
		if !gone[member] {
			next.Members = append(next.Members, member)
		}
	}
	slices.Sort(next.Members)
	return next
}

// LeaseKind names a bound of the whole fleet.
type LeaseKind uint8

// The leased bounds.
const (
	ColdRate LeaseKind = iota + 1
	// TenantShare is a part of a tenant's rate and burst, lent by demand;
	// TenantFloor the small part a daemon keeps for long without touch.
	TenantShare
	TenantFloor
	RetrySlack
	// RetryShare and RetryFloor are the same of the written limit on retries.
	RetryShare
	RetryFloor
)

// Lease is a share of a bound; it counts from when its holder asked.
type Lease struct {
	Kind   LeaseKind
	Key    string
	Amount float64
	Span   time.Duration
}

// Evacuation is a site's standing order.
type Evacuation struct {
	Site   SiteName
	Active bool
	Rev    uint64
}

// Stamp tells the order in a word.
func (e Evacuation) Stamp() (stamp string) {
	if e.Active {
		return "active"
	}
	return "withdrawn"
}

// Retirement is an agreed order that a backend be sent no new callers: the
// place in the log where it was announced, where the stop was committed (0
// before that), and of its last change. Gone takes the order back.
type Retirement struct {
	Server    ServerID
	Service   ServiceName
	By        string
	Announced uint64
	Stopped   uint64
	Rev       uint64
	Gone      bool
}

// Stamp tells the order in a word.
func (r Retirement) Stamp() (stamp string) {
	switch {
	case r.Gone:
		return "taken back"
	case r.Stopped > 0:
		return "stopped"
	}
	return "announced"
}

// Move is an agreed step of the day's plan: of each target, which is a host or
// a service, the weight of each region in thousandths. Its count only rises.
type Move struct {
	Version uint64
	Count   uint64
	// Instant is the plan's own time of the step, in Unix seconds.
	Instant int64
	Targets []MoveTarget
	Rev     uint64
}

// Stamp is the step's count.
func (m Move) Stamp() (stamp string) { return strconv.FormatUint(m.Count, 10) }

// MoveTarget is one target's weights; exactly one of Host and Service is set.
type MoveTarget struct {
	Host    string
	Service ServiceName
	Weights []RegionWeight
}

// RegionWeight is one region's weight in thousandths.
type RegionWeight struct {
	Region RegionName
	Weight int
}

// Core is an accord daemon as fellows know it.
type Core struct{ Inner, Control string }

// Seen is how far a fellow is with what the leader tells.
type Seen struct {
	Term  Term
	Epoch Epoch
	// Rev and ItemAt are the place of the last item taken: items come in the
	// order of their places in the log and then of their paths, in parts. ItemAt
	// is AllItems where nothing of that place is left out.
	Rev    uint64
	ItemAt string
	// Listed tells that the fellow has this leader's list of backends whole;
	// until then ListAt is the last one it was told.
	Listed bool
	ListAt ServerID
	// MapAt is the count of the last map told in this term, 0 for none.
	MapAt Epoch
}

// AllItems stands behind every path.
const AllItems = "\xff"

// BeatAsk is a fellow's beat: who it is, what it has seen, what it wants.
type BeatAsk struct {
	Fellow
	Seen
	// Known is how many fellows it knows of, itself included.
	Known   int
	Hold    time.Duration
	Demands []Demand
	// Retries are the same for services under a written limit on retries.
	Retries []Demand
	Burdens []Burden
	Tallies []Tally
}

// ListPart is a part of the whole list of backends with their states, in the
// order of their ids. A whole list at once would fill a small link for longer
// than a beat may take, and never arrive.
type ListPart struct {
	Servers []Server
	States  []State
	// Packed are the same rows, packed, where they are many.
	Packed []byte
	// From is the last id that was told before, At the last one now; Done tells
	// that nothing is behind it.
	From ServerID
	At   ServerID
	Done bool
}

// listRows are what a part packs.
type listRows struct {
	Servers []Server
	States  []State
}

// Pack packs the rows of a part.
func (p *ListPart) Pack() (err error) {
	packed, err := Pack([]listRows{{p.Servers, p.States}})
	if err == nil {
		p.Packed, p.Servers, p.States = packed, nil, nil
	}
	return err
}

// Unpack gives a part its rows back.
func (p *ListPart) Unpack() (err error) {
	if p.Packed == nil {
		return nil
	}
	rows, err := UnpackRows[listRows](p.Packed)
	if err != nil {
		return err
	}
	if len(rows) != 1 {
		return Class.New("a part of the list with %d sets of rows", len(rows))
	}
	p.Servers, p.States, p.Packed = rows[0].Servers, rows[0].States, nil
	return nil
}

// Burden is how many requests a fellow has at work at a service.
type Burden struct {
	Service ServiceName
	AtWork  int
}

// Spill is what part of a service's requests, in thousandths, the site of the
// fellow that is told should send to other sites, and how much to each.
type Spill struct {
	Service ServiceName
	Away    int
	To      []SiteWeight
}

// SiteWeight is one site's part in thousandths.
type SiteWeight struct {
	Site   SiteName
	Weight int
}

// Demand is how many requests a second of a tenant a fellow sees, and the
// floor it holds.
type Demand struct {
	Tenant string
	Rate   float64
	Floor  float64
}

// News is the answer to a beat: all that changed since.
type News struct {
	Leader bool
	Hint   string
	Cores  []Core
	Term   Term
	Epoch  Epoch
	Full   bool
	Rev    uint64
	ItemAt string
	// Packed are items that Pack made small; else they stand in Items.
	Packed      []byte
	Items       []config.Item
	Evacuations []Evacuation
	Documents   []policy.Document
	Retired     []Retirement
	Move        *Move
	// Part is a part of the whole list, for a fellow that lacks it; Servers and
	// States are what changed since.
	Part    *ListPart
	Servers []ServerChange
	Fellows []FellowChange
	States  []State
	// Crowd are the same as Fellows, packed, where they are many.
	Crowd []byte
	// Map is the whole map, MapDelta what changed of it.
	Map      *ShardMap
	MapDelta *MapDelta
	Absent   []FellowID
	Leases   []Lease
	// Spills are what the fellow's site should send away.
	Spills []Spill
	// Tallies are the outcomes that others told of what this fellow owns.
	Tallies []Tally
}

// LeadAsk asks a core who leads; LeadReply is small, so that it gets through
// where news would not.
type LeadAsk struct{}

// LeadReply names the leader as the core knows it.
type LeadReply struct {
	Leader bool
	Term   Term
	Cores  []Core
}

// ClaimAsk puts a batch of claims or gives claims back. Left is how long from its
// sending anybody waits for the answer, 0 for no word on it.
type ClaimAsk struct {
	Holder FellowID
	Life   Life
	Claims []KeyClaim
	Frees  []KeyClaim
	Left   time.Duration
}

// KeyClaim is an operation key wanted for a request.
type KeyClaim struct{ Key, Request string }

// Outcome of one claim.
type Outcome uint8

// The outcomes of a claim.
const (
	Unclear Outcome = iota
	Granted
	Held
	Refused
)

// ClaimFound is the answer to one claim; Holder has it where it is held.
type ClaimFound struct {
	Outcome Outcome
	Holder  FellowID
	Inner   string
	Life    Life
	Request string
}

// ClaimReply answers a batch in its order.
type ClaimReply struct {
	Leader bool
	Found  []ClaimFound
	// Freed tells that everything given back is given back for good.
	Freed bool
}

// Bind asks where a session is bound, and binds it to Server where it is not
// bound yet. From names the backend it was bound to, where that has ended, so
// that it is bound anew.
type Bind struct {
	Session SessionID
	Service ServiceName
	Server  ServerID
	From    ServerID
	Idle    time.Duration
}

// BindAsk puts a batch of them.
type BindAsk struct{ Binds []Bind }

// BindOutcome tells what came of one.
type BindOutcome uint8

// The outcomes.
const (
	BindUnclear BindOutcome = iota
	Bound
	// BindFull: there are too many sessions, this one is not kept.
	BindFull
	// BindRefused: it was not carried out and never will be.
	BindRefused
)

// BindFound tells where the session is bound.
type BindFound struct {
	Outcome BindOutcome
	Server  ServerID
}

// BindReply answers a batch in its order.
type BindReply struct {
	Leader bool
	Term   Term
	Found  []BindFound
}

// OrdersAsk asks a fellow for the orders it follows.
type OrdersAsk struct{ From FellowID }

// OrdersReply is what it follows; to get it is also to hear the fellow.
type OrdersReply struct{ Retired []Retirement }

// RecallAsk asks the holder of a key for its answer.
type RecallAsk struct {
	Key, Request string
	Life         Life
	Region       RegionName
}

// Standing of an operation at its holder.
type Standing uint8

// How an operation stands.
const (
	Lost Standing = iota
	Running
	Answered
	Freed
	// Moved: it was answered, and the answer is kept at another fellow.
	Moved
)

// RecallReply is the stored answer, if there is one.
type RecallReply struct {
	Standing Standing
	Status   int
	Header   [][2]string
	Body     []byte
	// Inner is where the answer is kept, if it was moved.
	Inner string
}

// KeepAsk hands an answer to a fellow that may keep it.
type KeepAsk struct {
	Key, Request string
	Answer       RecallReply
}

// KeepReply tells that it is kept.
type KeepReply struct{ Kept bool }

// ReportAsk brings an owner's findings to the state cache.
type ReportAsk struct {
	Fellow  FellowID
	Term    Term
	Count   Epoch
	Service ServiceName
	Full    bool
	States  []State
}

// ReportReply tells whether the cache took it.
type ReportReply struct{ Leader, Taken bool }

// StatusAsk asks a daemon how it stands.
type StatusAsk struct{}

// StatusReply is a daemon's account of itself, as JSON.
type StatusReply struct{ JSON []byte }

// TraceAsk asks a daemon what it knows of a subject.
type TraceAsk struct{ Kind, Name string }

// TraceMark is one thing that happened to the subject at that daemon.
type TraceMark struct {
	What, Stamp string
	Rev         uint64
	Age         time.Duration
}

// TraceReply tells the marks, and whether and how the subject stands there now.
type TraceReply struct {
	Name  string
	Marks []TraceMark
	Has   bool
	Stamp string
	Rev   uint64
}
