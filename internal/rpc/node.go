package rpc

// Node is a proxy as the others know it.
type Node struct {
	ID              NodeID
	Incarnation     Incarnation `wire:"Life"`
	Zone            ZoneName    `wire:"Site"`
	Region          RegionName
	FrontendAddress string `wire:"Front"`
	// InternalAddress is where other nodes call it.
	InternalAddress string `wire:"Inner"`
	Ready           bool
	Stopping        bool
}

// NodeChange is a node that joined, changed or, if Removed, left the registry.
type NodeChange struct {
	Node    `wire:"Fellow"`
	Removed bool `wire:"Gone"`
}

// Controller is a controller as nodes know it.
type Controller struct {
	InternalAddress string `wire:"Inner"`
	ControlAddress  string `wire:"Control"`
}
