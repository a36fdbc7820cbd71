// Package directory answers name queries: which proxies a client should
// connect to. It holds no state; callers pass the nodes they know. Answer may
// be called from any goroutine.
//
// An answer names the ready nodes nearest to the client, never one that is
// stopping, and one that the leader does not hear only where there is no other.
// Small zones are filled up from other zones. Where a host's keyed routes are
// bound to some regions, clients from elsewhere are sent to nodes of those
// regions: the requests have to go there anyhow, and only there may their
// responses be stored for a repeat. A node of a region that is neither one of
// those nor the client's is named only where there is no other at all.
package directory

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"tinpin/internal/config"
	"tinpin/internal/healthcheck"
	"tinpin/internal/rpc"
	"tinpin/internal/schedule"
)

// TTL is how long a client may use an answer.
const TTL = 2 * time.Second

const (
	// minAnswers is how many addresses an answer should have before farther
	// nodes are left out.
	minAnswers = 2
	// maxNearest is how many of the nearest nodes a client gets where there are
	// so many. Which ones stays the same from answer to answer, since clients
	// close connections to those that an answer lacks.
	maxNearest = 6
	// maxFarther is how many nodes of other zones come with a full answer, since
	// a client that knows its own zone only is lost with it.
	maxFarther = 1
)

// Query is one name query: the client's place, and what is known of the host
// that it asks for and of the nodes.
type Query struct {
	Nodes map[rpc.NodeID]rpc.Node
	// Absent are the nodes that the leader does not hear.
	Absent map[rpc.NodeID]bool
	// AllowedRegions are those of the host's keyed routes, none for all.
	AllowedRegions []string
	// Weights are the schedule's weights for the host, nil where there is none.
	Weights      schedule.Weights
	Region, Zone string
	// Client is the client's address; it decides which of many nodes are named.
	Client string
}

// Distances of a node from the client.
const (
	nearest = iota
	sameRegion
	elsewhere
	// foreign is a region that is neither allowed nor the client's.
	foreign
	distances
)

// candidate is one node that an answer may name.
type candidate struct {
	address string
	id      rpc.NodeID
}

// Answer lists frontend addresses for a query. Under a schedule a region is
// drawn by the weights, within the allowed regions, and takes the place of the
// client's own; where no node is ready there, the answer is as without one.
func Answer(query Query) (addresses []string) {
	if drawn := query.drawRegion(); drawn != "" && drawn != query.Region {
		query.Region, query.Zone = drawn, ""
	}
	usable := query.candidates(reachable)
	if addresses = query.answerFrom(usable); len(addresses) > 0 {
		return addresses
	}
	// A node that is stopping in an allowed region is back sooner than a client may go to a foreign one.
	if query.isBound() {
		if addresses = query.answerFrom(query.candidates(stopping)); len(addresses) > 0 {
			return addresses
		}
	}
	if addresses = pick(usable[foreign], query.Client, maxNearest); len(addresses) > 0 {
		return addresses
	}
	absent := query.candidates(unreachable)
	if addresses = query.answerFrom(absent); len(addresses) > 0 {
		return addresses
	}
	return pick(absent[foreign], query.Client, maxNearest)
}

// isBound reports whether the host's keyed routes are bound to some regions.
func (q *Query) isBound() bool { return len(q.AllowedRegions) > 0 }

// redirected reports whether the client's region is not an allowed one.
func (q *Query) redirected() bool {
	return !config.AllowsRegion(q.AllowedRegions, q.Region)
}

// distance tells how far a node is from the client.
func (q *Query) distance(node *rpc.Node) (distance int) {
	redirected := q.redirected()
	switch {
	case redirected && config.AllowsRegion(q.AllowedRegions, string(node.Region)):
		return nearest
	case !redirected && string(node.Zone) == q.Zone:
		return nearest
	case string(node.Region) == q.Region:
		return sameRegion
	case q.isBound() && !config.AllowsRegion(q.AllowedRegions, string(node.Region)):
		return foreign
	}
	return elsewhere
}

// usable reports whether a node may be named at all.
func usable(node *rpc.Node) bool { return node.Ready && !node.Stopping && node.FrontendAddress != "" }

// standing is how a node may be known: usable and heard by the leader, usable and not
// heard, or heard and stopping.
type standing uint8

const (
	reachable standing = iota
	unreachable
	stopping
)

// has reports whether a node is known so.
func (s standing) has(node *rpc.Node, absent bool) bool {
	switch s {
	case reachable:
		return usable(node) && !absent
	case unreachable:
		return usable(node) && absent
	}
	return node.Stopping && node.FrontendAddress != "" && !absent
}

// candidates sorts the nodes of some standing by distance.
func (q *Query) candidates(wanted standing) (byDistance [distances][]candidate) {
	for id, node := range q.Nodes {
		if !wanted.has(&node, q.Absent[id]) {
			continue
		}
		distance := q.distance(&node)
		byDistance[distance] = append(byDistance[distance], candidate{node.FrontendAddress, id})
	}
	return byDistance
}

// answerFrom names the nearest, fills up from farther away where they are few,
// and adds one from elsewhere where they are many.
func (q *Query) answerFrom(byDistance [distances][]candidate) (addresses []string) {
	addresses = append(addresses, pick(byDistance[nearest], q.Client, maxNearest)...)
	if len(addresses) < minAnswers {
		addresses = append(addresses, pick(byDistance[sameRegion], q.Client, maxNearest)...)
	}
	if len(addresses) < minAnswers {
		addresses = append(addresses, pick(byDistance[elsewhere], q.Client, maxNearest)...)
	}
	if len(addresses) == maxNearest && !q.redirected() {
		farther := pick(byDistance[sameRegion], q.Client, maxFarther)
		farther = append(farther, pick(byDistance[elsewhere], q.Client, maxFarther)...)
		addresses = append(addresses, farther[:min(len(farther), maxFarther)]...)
	}
	return addresses
}

// pick names a client's own of many: those that rank highest for it, so that a
// node more or less changes the answers of its own clients only.
func pick(candidates []candidate, client string, limit int) (addresses []string) {
	if len(candidates) > limit {
		ranks := make(map[rpc.NodeID]uint64, len(candidates))
		for _, one := range candidates {
			ranks[one.id] = healthcheck.Rank(string(one.id), client)
		}
		slices.SortFunc(candidates, func(left, right candidate) int {
			return cmp.Or(cmp.Compare(ranks[left.id], ranks[right.id]), cmp.Compare(left.id, right.id))
		})
		candidates = candidates[:limit]
	}
	for _, one := range candidates {
		addresses = append(addresses, one.address)
	}
	slices.Sort(addresses)
	return addresses
}

// drawRegion draws a region by weight, of those that are allowed and have a
// ready node that the leader hears; "" where there is no schedule or no such region.
func (q *Query) drawRegion() (region string) {
	if q.Weights == nil {
		return ""
	}
	serving := map[rpc.RegionName]bool{}
	for id, node := range q.Nodes {
		if usable(&node) && !q.Absent[id] {
			serving[node.Region] = true
		}
	}
	sum := 0
	var names []rpc.RegionName
	for name, weight := range q.Weights {
		if weight > 0 && serving[name] && config.AllowsRegion(q.AllowedRegions, string(name)) {
			names = append(names, name)
			sum += weight
		}
	}
	if sum == 0 {
		return ""
	}
	slices.Sort(names)
	point := rand.Intn(sum)
	for _, name := range names {
		if point -= q.Weights[name]; point < 0 {
			return string(name)
		}
	}
	return q.Region
}
