package soak

import (
	"fmt"
	"time"
)

// Shape is the form of a deployment.
type Shape uint8

// The shapes: clients ask the proxies' directory where to go, or come by an address
// of the platform that asks the proxies whether they are ready.
const (
	Directory Shape = iota
	Gateway
	shapeCount
)

var shapeNames = [...]string{Directory: "directory", Gateway: "gateway"}

// String names the shape as schedules do.
func (s Shape) String() string { return shapeNames[s] }

// The bounds of what can be played: a few hundred processes, and an hour.
const (
	maxProxies     = 300
	maxControllers = 7
	maxBackends    = 100
	maxClients     = 600
	minTime        = 15 * time.Second
	maxTime        = time.Hour
	// processMemoryMB is what one process may take, and with it what is asked of the
	// machine: no more than half of its memory.
	processMemoryMB = 48
)

// Size is how much of everything a play has.
type Size struct {
	Proxies, Controllers, Backends, Clients int
}

// sizes by name; the largest is what a machine of 24 GiB bears.
var sizes = map[string]Size{
	"small":  {Proxies: 4, Controllers: 3, Backends: 6, Clients: 24},
	"medium": {Proxies: 16, Controllers: 3, Backends: 16, Clients: 64},
	"large":  {Proxies: 200, Controllers: 5, Backends: 60, Clients: 200},
}

// Options of one play.
type Options struct {
	Seed  uint64
	Time  time.Duration
	Shape Shape
	Size  Size
}

// Check names what is out of bounds. memoryMB is the machine's memory.
func (o Options) Check(memoryMB int) (err error) {
	processes := o.Size.Proxies + o.Size.Controllers
	switch {
	case o.Seed == 0:
		return Class.New("seed: 0 is no seed")
	case o.Time < minTime || o.Time > maxTime:
		return Class.New("for: %v is not within %v and %v", o.Time, minTime, maxTime)
	case o.Shape >= shapeCount:
		return Class.New("shape: %d is none", o.Shape)
	}
	for _, part := range []struct {
		name            string
		value, min, max int
	}{
		{"proxies", o.Size.Proxies, 2, maxProxies},
		{"controllers", o.Size.Controllers, 3, maxControllers},
		{"backends", o.Size.Backends, 4, maxBackends},
		{"clients", o.Size.Clients, 1, maxClients},
	} {
		if part.value < part.min || part.value > part.max {
			return Class.New("%s: %d is not within %d and %d", part.name, part.value, part.min, part.max)
		}
	}
	if needed := processes * processMemoryMB; needed > memoryMB/2 {
		return Class.New("%d processes need %d MB, more than half of this machine's %d MB", processes, needed, memoryMB)
	}
	return nil
}

// ParseShape reads the name of a shape.
func ParseShape(name string) (shape Shape, err error) {
	for shape, known := range shapeNames {
		if known == name {
			return Shape(shape), nil
		}
	}
	return shape, Class.New("shape: %q is neither %v nor %v", name, Directory, Gateway)
}

// ParseSize reads the name of a size.
func ParseSize(name string) (size Size, err error) {
	size, known := sizes[name]
	if !known {
		return size, Class.New("size: %q is none of small, medium and large", name)
	}
	return size, nil
}

// String tells the size in words.
func (s Size) String() string {
	return fmt.Sprintf("%d proxies, %d controllers, %d backends, %d clients",
		s.Proxies, s.Controllers, s.Backends, s.Clients)
}
