package rpc

import "strconv"

// Evacuation is the operator's request that a zone get no requests.
type Evacuation struct {
	Zone     ZoneName `wire:"Site"`
	Active   bool
	LogIndex uint64 `wire:"Rev"`
}

// Summary is the evacuation's state in a word.
func (e Evacuation) Summary() (summary string) {
	if e.Active {
		return "active"
	}
	return "withdrawn"
}

// Retirement is an agreed request that a backend get no new clients. Announced,
// Stopped and Rev are indexes of the log: where it was announced, where the stop was
// committed (0 before that), and of its last change. Gone takes the request back.
type Retirement struct {
	Server    EndpointID
	Service   ServiceName
	By        string
	Announced uint64
	Stopped   uint64
	Rev       uint64
	Gone      bool
}

// Summary is the retirement's state in a word.
func (r Retirement) Summary() (summary string) {
	switch {
	case r.Gone:
		return "taken back"
	case r.Stopped > 0:
		return "stopped"
	}
	return "announced"
}

// RetirementsRequest asks a node, in place of the leader, which retirements it follows.
type RetirementsRequest struct{ From NodeID }

// RetirementsResponse lists them. To get it is also a sign that the node runs.
type RetirementsResponse struct {
	Retirements []Retirement `wire:"Retired"`
}

// ScheduleStep is an agreed step of the day plan: for each target, which is a host or
// a service, the weight of each region. Count rises with each step.
type ScheduleStep struct {
	// Version is that of the plan.
	Version uint64
	Count   uint64
	// Instant is the plan's own time of the step, in Unix seconds.
	Instant int64
	Targets []ScheduleTarget
	// Rev is the index in the log.
	Rev uint64
}

// Summary is the number of the step.
func (s ScheduleStep) Summary() (summary string) { return strconv.FormatUint(s.Count, 10) }

// ScheduleTarget holds the weights of one target. Exactly one of Host and Service is set.
type ScheduleTarget struct {
	Host    string
	Service ServiceName
	Weights []RegionWeight
}

// RegionWeight is the weight of one region in thousandths.
type RegionWeight struct {
	Region RegionName
	Weight int
}
