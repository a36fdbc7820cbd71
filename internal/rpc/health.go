package rpc

import "time"

// Health is what the node that probes an endpoint found out about it.
type Health uint8

// The states of health. Their numbers are sent.
const (
	HealthUnknown Health = iota
	Healthy
	Unhealthy
)

// EndpointState is the health of one endpoint, with how long it is still warming up.
type EndpointState struct {
	Endpoint        EndpointID `wire:"Server"`
	Health          Health
	WarmupRemaining time.Duration `wire:"Cold"`
	// EjectedFor is the zone for whose requests the endpoint is ejected, or
	// EjectedForAllZones, or empty.
	EjectedFor string `wire:"Aside"`
	Removed    bool   `wire:"Gone"`
}

// EjectedForAllZones stands for every zone that requests come from.
const EjectedForAllZones = "*"

// Summary is the state in words.
func (s EndpointState) Summary() (summary string) {
	summary = [...]string{"unknown", "up", "down"}[min(s.Health, Unhealthy)]
	if s.WarmupRemaining > 0 {
		summary += " cold"
	}
	if s.EjectedFor != "" {
		summary += " aside"
	}
	return summary
}

// HealthReport brings the results of the node that probes a service to the leader.
type HealthReport struct {
	Node             NodeID `wire:"Fellow"`
	Term             Term
	ShardMapRevision Revision `wire:"Count"`
	Service          ServiceName
	// Full tells that States are all endpoints of the service, not just changes.
	Full   bool
	States []EndpointState
}

// HealthReportResponse tells whether the leader took the report.
type HealthReportResponse struct {
	IsLeader bool `wire:"Leader"`
	Accepted bool `wire:"Taken"`
}

// OutcomeCount counts what became of a node's requests at an endpoint since its last
// report or, without an endpoint, at the whole service. Zone is that of the node.
type OutcomeCount struct {
	Endpoint  EndpointID `wire:"Server"`
	Service   ServiceName
	Zone      ZoneName `wire:"Site"`
	Succeeded uint32   `wire:"Good"`
	Failed    uint32   `wire:"Bad"`
}
