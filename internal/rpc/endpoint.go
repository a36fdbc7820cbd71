package rpc

import "time"

// Endpoint is one run of a backend as the platform lists it.
type Endpoint struct {
	ID      EndpointID
	Service ServiceName
	Address string
	Zone    ZoneName `wire:"Site"`
	// Slots is how many requests it can work on at once.
	Slots           int
	Draining        bool
	WarmupRemaining time.Duration `wire:"Cold"`
}

// Summary is the endpoint's state in a word.
func (e Endpoint) Summary() (summary string) {
	if e.Draining {
		return "draining"
	}
	return "ready"
}

// EndpointChange is an endpoint that was added, changed or, if Removed, left the list.
type EndpointChange struct {
	Endpoint `wire:"Server"`
	Removed  bool `wire:"Gone"`
}

// EndpointChunk is a part of the whole endpoint list with the states of its
// endpoints, in the order of their ids. The whole list at once would occupy a slow
// link for longer than a heartbeat may take, and would never arrive.
type EndpointChunk struct {
	Endpoints []Endpoint `wire:"Servers"`
	States    []EndpointState
	// Compressed holds the same rows instead, where they are many.
	Compressed []byte `wire:"Packed"`
	// After is the last id of the chunk before, Last that of this one. Complete tells
	// that none follows.
	After    EndpointID `wire:"From"`
	Last     EndpointID `wire:"At"`
	Complete bool       `wire:"Done"`
}

// chunkRows are what a chunk compresses.
type chunkRows struct {
	Endpoints []Endpoint `wire:"Servers"`
	States    []EndpointState
}

// Compress replaces the rows of a chunk by their compressed form.
func (c *EndpointChunk) Compress() (err error) {
	compressed, err := Compress([]chunkRows{{c.Endpoints, c.States}})
	if err == nil {
		c.Compressed, c.Endpoints, c.States = compressed, nil, nil
	}
	return err
}

// Decompress gives a chunk its rows back.
func (c *EndpointChunk) Decompress() (err error) {
	if c.Compressed == nil {
		return nil
	}
	rows, err := Decompress[chunkRows](c.Compressed)
	if err != nil {
		return err
	}
	if len(rows) != 1 {
		return Class.New("chunk of the endpoint list with %d sets of rows", len(rows))
	}
	c.Endpoints, c.States, c.Compressed = rows[0].Endpoints, rows[0].States, nil
	return nil
}
