// Package loadtest measures what the control plane costs at a size: real controllers in
// processes of their own, and stub nodes that speak the real internal protocol by the real code
// without carrying traffic, many in a process. It talks to loopback only, is bounded in time,
// processes and memory, and stops by itself. Measure and MeasurePath are called by one
// goroutine at a time; RunWorker is the main function of the processes they start.
package loadtest

import (
	"fmt"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Class marks what cannot be measured.
var Class = errs.Class("loadtest")

// Size is what is set up, and how many changes a second go on.
type Size struct {
	Nodes    int `json:"nodes"`
	Backends int `json:"backends"`
	Services int `json:"services"`
	Routes   int `json:"routes"`
	Tenants  int `json:"tenants"`
	// Changes of the configuration, of membership, claims of keys and reports of
	// health, each a second.
	Changes int `json:"changes"`
	Members int `json:"members"`
	Claims  int `json:"claims"`
	Reports int `json:"reports"`
}

// DefaultSize is the size from which one variable at a time is changed.
var DefaultSize = Size{Nodes: 100, Backends: 300, Services: 4, Routes: 20}

// Bounds of one measurement.
const (
	maxNodes        = 4000
	nodesPerProcess = 400
	maxRows         = 60_000
	maxRate         = 20_000
	maxSpan         = time.Minute
	minSpan         = time.Second
	rowBytes        = 2500
	nodeBytes       = 400 << 10
	processBytes    = 60 << 20
)

// Names lists the variables in the order of their columns.
var Names = []string{"nodes", "backends", "services", "routes", "tenants", "changes", "members", "claims", "reports"}

// At points to a variable by its name.
func (s *Size) At(name string) (value *int) {
	return map[string]*int{
		"nodes": &s.Nodes, "backends": &s.Backends, "services": &s.Services, "routes": &s.Routes, "tenants": &s.Tenants,
		"changes": &s.Changes, "members": &s.Members, "claims": &s.Claims, "reports": &s.Reports,
	}[name]
}

// Memory estimates what a measurement needs, generously.
func (s Size) Memory() (bytes int64) {
	rows := int64(s.Backends + s.Services + s.Routes + s.Tenants)
	return int64(s.Nodes)*(nodeBytes+rows*rowBytes) + 6*rows*rowBytes +
		int64(s.Claims)*75*800*3 + int64(s.processes()+4)*processBytes
}

func (s Size) processes() (count int) { return (s.Nodes + nodesPerProcess - 1) / nodesPerProcess }

// Check names everything wrong with a size before anything is started; available is the
// memory that may be used.
func (s Size) Check(span time.Duration, available int64) (err error) {
	var invalid []string
	within := func(name string, value, low, high int) {
		if value < low || value > high {
			invalid = append(invalid, fmt.Sprintf("%s must be from %d to %d, not %d", name, low, high, value))
		}
	}
	within("nodes", s.Nodes, 1, maxNodes)
	within("backends", s.Backends, 1, maxRows)
	within("services", s.Services, 1, maxRows)
	within("routes", s.Routes, 1, maxRows)
	within("tenants", s.Tenants, 0, maxRows)
	for _, name := range []string{"changes", "members", "claims", "reports"} {
		within(name, *s.At(name), 0, maxRate)
	}
	if span < minSpan || span > maxSpan {
		invalid = append(invalid, fmt.Sprintf("span must be from %s to %s, not %s", minSpan, maxSpan, span))
	}
	if len(invalid) == 0 && s.Memory() > available {
		invalid = append(invalid, fmt.Sprintf("memory would be about %d MB, above the %d MB that may be used",
			s.Memory()>>20, available>>20))
	}
	if len(invalid) > 0 {
		return Class.New("%s", strings.Join(invalid, "; "))
	}
	return nil
}
