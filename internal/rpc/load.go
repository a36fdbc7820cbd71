package rpc

// Load is how many requests of a service a node has in flight.
type Load struct {
	Service  ServiceName
	InFlight int `wire:"AtWork"`
}

// ZoneOverflow is the part of a service's requests, in thousandths, that the nodes of
// a zone send to other zones, and to which.
type ZoneOverflow struct {
	Service  ServiceName
	Permille int          `wire:"Away"`
	Targets  []ZoneWeight `wire:"To"`
}

// ZoneWeight is the part of one zone in thousandths.
type ZoneWeight struct {
	Zone   ZoneName `wire:"Site"`
	Weight int
}
