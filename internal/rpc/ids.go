package rpc

// Names of what messages speak of.
type (
	// NodeID is the name of a node, which is a proxy as others know it.
	NodeID string
	// EndpointID names one run of a backend. The platform gives a backend that was
	// started again another one.
	EndpointID string
	// ZoneName names a zone, RegionName the region in which it lies.
	ZoneName   string
	RegionName string
	// ServiceName names a service of the configuration.
	ServiceName string
	// SessionID is a hash of what names a session at a service.
	SessionID string
)

// Incarnation tells the runs of one node apart: each start has another.
type Incarnation uint64

// Term numbers leaderships, as package raft counts them. Revision numbers the
// changes of what one leader sends to nodes; revisions of different terms cannot be
// compared.
type (
	Term     uint64
	Revision uint64
)
