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
	NodeID      string
	EndpointID  string
	ZoneName    string
	RegionName  string
	ServiceName string
	// SessionID is a hash of what names a session at a service.
	SessionID string
)

// Incarnation tells the runs of one daemon apart.
type Incarnation uint64

// Epoch is a place in what the leader has told; Term is whose telling it is.
type (
	Revision uint64
	Term     uint64
)

// Node is a passage daemon as the others know it.
type Node struct {
	ID              NodeID
	Incarnation     Incarnation
	Zone            ZoneName
	Region          RegionName
	FrontendAddress string
	InternalAddress string
	Ready           bool
	Stopping        bool
}

// NodeChange is one line of the roll; Gone takes it out.
type NodeChange struct {
	Node
	Removed bool
}

// Endpoint is one life of a backend as the platform lists it.
type Endpoint struct {
	ID              EndpointID
	Service         ServiceName
	Address         string
	Zone            ZoneName
	Slots           int
	Draining        bool
	WarmupRemaining time.Duration
}

// Summary tells a backend's state in a word.
func (s Endpoint) Summary() (stamp string) {
	if s.Draining {
		return "draining"
	}
	return "ready"
}

// EndpointChange is one line of the list; Gone takes it out.
type EndpointChange struct {
	Endpoint
	Removed bool
}

// Health is what an owner found out about a backend.
type Health uint8

// The states of health.
const (
	HealthUnknown Health = iota
	Healthy
	Unhealthy
)

// EndpointState is one backend's health with the time its cold spell still lasts.
type EndpointState struct {
	Endpoint        EndpointID
	Health          Health
	WarmupRemaining time.Duration
	// EjectedFor is the asking site for which the backend is set aside, or
	// AsideForAll, or empty.
	EjectedFor string
	Removed    bool
}

// EjectedForAllZones stands for every asking site.
const EjectedForAllZones = "*"

// OutcomeCount is what became of a daemon's requests at a backend since it last told,
// or, without a backend, at the whole service. Site is where it asked from.
type OutcomeCount struct {
	Endpoint          EndpointID
	Service           ServiceName
	Zone              ZoneName
	Succeeded, Failed uint32
}

// Summary tells the state in words.
func (s EndpointState) Summary() (stamp string) {
	stamp = [...]string{"unknown", "up", "down"}[min(s.Health, Unhealthy)]
	if s.WarmupRemaining > 0 {
		stamp += " cold"
	}
	if s.EjectedFor != "" {
		stamp += " aside"
	}
	return stamp
}

// ShardMap is the list that all daemons hash over.
type ShardMap struct {
	Term     Term
	Revision Revision
	Members  []NodeID
}

// ShardMapDelta is how a map differs from the one of count Base or any told since;
// a whole map for each change would grow with the square of the fleet.
type ShardMapDelta struct {
	BaseRevision, Revision Revision
	Added, Removed         []NodeID
}

// Apply gives the map that a delta makes of one that was told.
func (m ShardMap) Apply(delta ShardMapDelta) (next ShardMap) {
	gone := make(map[NodeID]bool, len(delta.Added)+len(delta.Removed))
	for _, member := range append(delta.Removed, delta.Added...) {
		gone[member] = true
	}
	next = ShardMap{Term: m.Term, Revision: delta.Revision, Members: append([]NodeID{}, delta.Added...)}
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
	WarmupRate LeaseKind = iota + 1
	// TenantShare is a part of a tenant's rate and burst, lent by demand;
	// TenantFloor the small part a daemon keeps for long without touch.
	TenantShare
	TenantMinimum
	RetrySlack
	// RetryShare and RetryFloor are the same of the written limit on retries.
	RetryShare
	RetryMinimum
)

// Lease is a share of a bound; it counts from when its holder asked.
type Lease struct {
	Kind     LeaseKind
	Key      string
	Amount   float64
	Duration time.Duration
}

// Evacuation is a site's standing order.
type Evacuation struct {
	Zone     ZoneName
	Active   bool
	LogIndex uint64
}

// Summary tells the order in a word.
func (e Evacuation) Summary() (stamp string) {
	if e.Active {
		return "active"
	}
	return "withdrawn"
}

// Retirement is an agreed order that a backend be sent no new callers: the
// place in the log where it was announced, where the stop was committed (0
// before that), and of its last change. Gone takes the order back.
type Retirement struct {
	Server    EndpointID
	Service   ServiceName
	By        string
	Announced uint64
	Stopped   uint64
	Rev       uint64
	Gone      bool
}

// Summary tells the order in a word.
func (r Retirement) Summary() (stamp string) {
	switch {
	case r.Gone:
		return "taken back"
	case r.Stopped > 0:
		return "stopped"
	}
	return "announced"
}

// ScheduleStep is an agreed step of the day's plan: of each target, which is a host or
// a service, the weight of each region in thousandths. Its count only rises.
type ScheduleStep struct {
	Version uint64
	Count   uint64
	// Instant is the plan's own time of the step, in Unix seconds.
	Instant int64
	Targets []ScheduleTarget
	Rev     uint64
}

// Summary is the step's count.
func (m ScheduleStep) Summary() (stamp string) { return strconv.FormatUint(m.Count, 10) }

// ScheduleTarget is one target's weights; exactly one of Host and Service is set.
type ScheduleTarget struct {
	Host    string
	Service ServiceName
	Weights []RegionWeight
}

// RegionWeight is one region's weight in thousandths.
type RegionWeight struct {
	Region RegionName
	Weight int
}

// Controller is an accord daemon as fellows know it.
type Controller struct{ InternalAddress, ControlAddress string }

// KnownState is how far a fellow is with what the leader tells.
type KnownState struct {
	Term     Term
	Revision Revision
	// LogIndex and ItemAt are the place of the last item taken: items come in the
	// order of their places in the log and then of their paths, in parts. ItemAt
	// is AllItems where nothing of that place is left out.
	LogIndex uint64
	LastItem string
	// EndpointsComplete tells that the fellow has this leader's list of backends whole;
	// until then ListAt is the last one it was told.
	EndpointsComplete bool
	LastEndpoint      EndpointID
	// ShardMapRevision is the count of the last map told in this term, 0 for none.
	ShardMapRevision Revision
}

// AfterAllItems stands behind every path.
const AfterAllItems = "\xff"

// HeartbeatRequest is a fellow's beat: who it is, what it has seen, what it wants.
type HeartbeatRequest struct {
	Node
	KnownState
	// KnownNodes is how many fellows it knows of, itself included.
	KnownNodes    int
	MaxWait       time.Duration
	TenantDemands []RateDemand
	// RetryDemands are the same for services under a written limit on retries.
	RetryDemands []RateDemand
	Loads        []Load
	Outcomes     []OutcomeCount
}

// EndpointChunk is a part of the whole list of backends with their states, in the
// order of their ids. A whole list at once would fill a small link for longer
// than a beat may take, and never arrive.
type EndpointChunk struct {
	Endpoints []Endpoint
	States    []EndpointState
	// Compressed are the same rows, packed, where they are many.
	Compressed []byte
	// After is the last id that was told before, At the last one now; Done tells
	// that nothing is behind it.
	After    EndpointID
	Last     EndpointID
	Complete bool
}

// chunkRows are what a part packs.
type chunkRows struct {
	Endpoints []Endpoint
	States    []EndpointState
}

// Compress packs the rows of a part.
func (p *EndpointChunk) Compress() (err error) {
	packed, err := Compress([]chunkRows{{p.Endpoints, p.States}})
	if err == nil {
		p.Compressed, p.Endpoints, p.States = packed, nil, nil
	}
	return err
}

// Decompress gives a part its rows back.
func (p *EndpointChunk) Decompress() (err error) {
	if p.Compressed == nil {
		return nil
	}
	rows, err := Decompress[chunkRows](p.Compressed)
	if err != nil {
		return err
	}
	if len(rows) != 1 {
		return Class.New("a part of the list with %d sets of rows", len(rows))
	}
	p.Endpoints, p.States, p.Compressed = rows[0].Endpoints, rows[0].States, nil
	return nil
}

// Load is how many requests a fellow has at work at a service.
type Load struct {
	Service  ServiceName
	InFlight int
}

// ZoneOverflow is what part of a service's requests, in thousandths, the site of the
// fellow that is told should send to other sites, and how much to each.
type ZoneOverflow struct {
	Service  ServiceName
	Permille int
	Targets  []ZoneWeight
}

// ZoneWeight is one site's part in thousandths.
type ZoneWeight struct {
	Zone   ZoneName
	Weight int
}

// RateDemand is how many requests a second of a tenant a fellow sees, and the
// floor it holds.
type RateDemand struct {
	Name    string
	Rate    float64
	Minimum float64
}

// Update is the answer to a beat: all that changed since.
type Update struct {
	IsLeader      bool
	LeaderAddress string
	Controllers   []Controller
	Term          Term
	Revision      Revision
	Full          bool
	LogIndex      uint64
	LastItem      string
	// CompressedItems are items that Pack made small; else they stand in Items.
	CompressedItems []byte
	Items           []config.Item
	Evacuations     []Evacuation
	Documents       []policy.Document
	Retirements     []Retirement
	ScheduleStep    *ScheduleStep
	// EndpointChunk is a part of the whole list, for a fellow that lacks it; Servers and
	// States are what changed since.
	EndpointChunk *EndpointChunk
	Endpoints     []EndpointChange
	Nodes         []NodeChange
	States        []EndpointState
	// CompressedNodes are the same as Fellows, packed, where they are many.
	CompressedNodes []byte
	// ShardMap is the whole map, MapDelta what changed of it.
	ShardMap      *ShardMap
	ShardMapDelta *ShardMapDelta
	Absent        []NodeID
	Leases        []Lease
	// ZoneOverflows are what the fellow's site should send away.
	ZoneOverflows []ZoneOverflow
	// Outcomes are the outcomes that others told of what this fellow owns.
	Outcomes []OutcomeCount
}

// LeaderRequest asks a core who leads; LeadReply is small, so that it gets through
// where news would not.
type LeaderRequest struct{}

// LeaderResponse names the leader as the core knows it.
type LeaderResponse struct {
	IsLeader    bool
	Term        Term
	Controllers []Controller
}

// ClaimRequest puts a batch of claims or gives claims back. Left is how long from its
// sending anybody waits for the answer, 0 for no word on it.
type ClaimRequest struct {
	Holder      NodeID
	Incarnation Incarnation
	Claims      []KeyClaim
	Releases    []KeyClaim
	TimeLeft    time.Duration
}

// KeyClaim is an operation key wanted for a request.
type KeyClaim struct{ Key, Request string }

// ClaimOutcome of one claim.
type ClaimOutcome uint8

// The outcomes of a claim.
const (
	ClaimUnknown ClaimOutcome = iota
	ClaimGranted
	ClaimHeld
	ClaimRejected
)

// ClaimResult is the answer to one claim; Holder has it where it is held.
type ClaimResult struct {
	Outcome         ClaimOutcome
	Holder          NodeID
	InternalAddress string
	Incarnation     Incarnation
	Request         string
}

// ClaimResponse answers a batch in its order.
type ClaimResponse struct {
	IsLeader bool
	Results  []ClaimResult
	// Released tells that everything given back is given back for good.
	Released bool
}

// SessionBinding asks where a session is bound, and binds it to Server where it is not
// bound yet. From names the backend it was bound to, where that has ended, so
// that it is bound anew.
type SessionBinding struct {
	Session       SessionID
	Service       ServiceName
	Endpoint      EndpointID
	EndedEndpoint EndpointID
	IdleTimeout   time.Duration
}

// BindRequest puts a batch of them.
type BindRequest struct{ Bindings []SessionBinding }

// BindOutcome tells what came of one.
type BindOutcome uint8

// The outcomes.
const (
	BindUnknown BindOutcome = iota
	Bound
	// BindTableFull: there are too many sessions, this one is not kept.
	BindTableFull
	// BindRejected: it was not carried out and never will be.
	BindRejected
)

// BindResult tells where the session is bound.
type BindResult struct {
	Outcome  BindOutcome
	Endpoint EndpointID
}

// BindResponse answers a batch in its order.
type BindResponse struct {
	IsLeader bool
	Term     Term
	Results  []BindResult
}

// RetirementsRequest asks a fellow for the orders it follows.
type RetirementsRequest struct{ From NodeID }

// RetirementsResponse is what it follows; to get it is also to hear the fellow.
type RetirementsResponse struct{ Retirements []Retirement }

// StoredResponseRequest asks the holder of a key for its answer.
type StoredResponseRequest struct {
	Key, Request string
	Incarnation  Incarnation
	Region       RegionName
}

// OperationState of an operation at its holder.
type OperationState uint8

// How an operation stands.
const (
	OperationLost OperationState = iota
	OperationRunning
	OperationCompleted
	OperationReleased
	// OperationMoved: it was answered, and the answer is kept at another fellow.
	OperationMoved
)

// StoredResponse is the stored answer, if there is one.
type StoredResponse struct {
	State   OperationState
	Status  int
	Headers [][2]string
	Body    []byte
	// InternalAddress is where the answer is kept, if it was moved.
	InternalAddress string
}

// StoreRequest hands an answer to a fellow that may keep it.
type StoreRequest struct {
	Key, Request string
	Response     StoredResponse
}

// StoreAcknowledgement tells that it is kept.
type StoreAcknowledgement struct{ Stored bool }

// HealthReport brings an owner's findings to the state cache.
type HealthReport struct {
	Node             NodeID
	Term             Term
	ShardMapRevision Revision
	Service          ServiceName
	Full             bool
	States           []EndpointState
}

// HealthReportResponse tells whether the cache took it.
type HealthReportResponse struct{ IsLeader, Accepted bool }

// StatusRequest asks a daemon how it stands.
type StatusRequest struct{}

// StatusResponse is a daemon's account of itself, as JSON.
type StatusResponse struct{ JSON []byte }

// TraceRequest asks a daemon what it knows of a subject.
type TraceRequest struct{ Kind, Name string }

// TraceEntry is one thing that happened to the subject at that daemon.
type TraceEntry struct {
	Event, Summary string
	LogIndex       uint64
	Age            time.Duration
}

// TraceResponse tells the marks, and whether and how the subject stands there now.
type TraceResponse struct {
	Name     string
	Entries  []TraceEntry
	Present  bool
	Summary  string
	LogIndex uint64
}
