package rpc

// Names of what messages speak of.
type (
	// NodeID is the name of a node, which is a proxy as others know it.
	NodeID string
	// EndpointID names one run of a backend. The platform gives a backend that was
	// started again another one.
	EndpointID string
	// ZoneName names a zone.
	ZoneName string
	// RegionName names a region, in which zones lie.
	RegionName string
	// ServiceName names a service of the configuration.
	ServiceName string
	// SessionID is a hash of what names a session at a service.
	SessionID string
)

// Incarnation tells the runs of one node apart: each start has another.
type Incarnation uint64

// Term numbers leaderships, as package raft counts them.
type Term uint64

// Revision numbers the changes of what one leader sends to nodes. Revisions of
// different terms cannot be compared.
type Revision uint64
