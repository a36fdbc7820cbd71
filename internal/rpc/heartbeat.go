package rpc

import (
	"time"

	"tinpin/internal/config"
	"tinpin/internal/policy"
)

// HeartbeatRequest is a node's heartbeat: who it is, what it has of what the leader
// sends, and what it needs.
type HeartbeatRequest struct {
	Node       `wire:"Fellow"`
	KnownState `wire:"Seen"`
	// KnownNodes is how many nodes it knows of, itself included.
	KnownNodes int `wire:"Known"`
	// MaxWait is how long the leader may wait for a change before it responds.
	MaxWait       time.Duration `wire:"Hold"`
	TenantDemands []RateDemand  `wire:"Demands"`
	RetryDemands  []RateDemand  `wire:"Retries"`
	Loads         []Load        `wire:"Burdens"`
	// Outcomes are counted since the last heartbeat.
	Outcomes []OutcomeCount `wire:"Tallies"`
}

// KnownState is what a node has of what the leader sends.
type KnownState struct {
	Term     Term
	Revision Revision `wire:"Epoch"`
	// LogIndex and LastItem name the last item that the node has. Items come in the
	// order of their indexes in the log and then of their paths, in chunks. LastItem is
	// AfterAllItems if the node has all items of that index.
	LogIndex uint64 `wire:"Rev"`
	LastItem string `wire:"ItemAt"`
	// EndpointsComplete tells that the node has the whole endpoint list of this leader;
	// until then LastEndpoint is the last one that it got.
	EndpointsComplete bool       `wire:"Listed"`
	LastEndpoint      EndpointID `wire:"ListAt"`
	// ShardMapRevision is that of the last shard map of this term, 0 for none.
	ShardMapRevision Revision `wire:"MapAt"`
}

// AfterAllItems sorts after the path of every item.
const AfterAllItems = "\xff"

// Update is the response to a heartbeat: what changed since the node's known state.
// From a controller that does not lead it only says who does.
type Update struct {
	IsLeader bool `wire:"Leader"`
	// LeaderAddress is the internal address of the leader, if it is known.
	LeaderAddress string       `wire:"Hint"`
	Controllers   []Controller `wire:"Cores"`

	Term     Term
	Revision Revision `wire:"Epoch"`
	// Full tells that the tables of the update are whole, not changes.
	Full bool

	// The replicated state follows: configuration items up to LogIndex and LastItem, see
	// KnownState; compressed where they are many.
	LogIndex        uint64 `wire:"Rev"`
	LastItem        string `wire:"ItemAt"`
	CompressedItems []byte `wire:"Packed"`
	Items           []config.Item
	Evacuations     []Evacuation
	Documents       []policy.Document
	Retirements     []Retirement  `wire:"Retired"`
	ScheduleStep    *ScheduleStep `wire:"Move"`

	// EndpointChunk is a part of the whole endpoint list for a node that lacks it;
	// Endpoints and States are changes.
	EndpointChunk *EndpointChunk   `wire:"Part"`
	Endpoints     []EndpointChange `wire:"Servers"`
	Nodes         []NodeChange     `wire:"Fellows"`
	States        []EndpointState
	// CompressedNodes holds the rows of Nodes instead, where they are many.
	CompressedNodes []byte `wire:"Crowd"`

	// At most one of ShardMap and ShardMapDelta is set.
	ShardMap      *ShardMap      `wire:"Map"`
	ShardMapDelta *ShardMapDelta `wire:"MapDelta"`
	// Absent are the nodes of the map from which the leader has no heartbeats.
	Absent []NodeID

	Leases []Lease
	// ZoneOverflows are for the node's own zone.
	ZoneOverflows []ZoneOverflow `wire:"Spills"`
	// Outcomes were counted by other nodes at the services that this node probes.
	Outcomes []OutcomeCount `wire:"Tallies"`
}

// LeaderRequest asks a controller who leads. The response is small, so that it gets
// through where an update would not.
type LeaderRequest struct{}

// LeaderResponse tells whether the controller leads, and names the controllers.
type LeaderResponse struct {
	IsLeader    bool `wire:"Leader"`
	Term        Term
	Controllers []Controller `wire:"Cores"`
}
