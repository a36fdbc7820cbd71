// Package vigil shares the watch over the backends among the directory
// daemons, after "Health Monitor Sharding". This file is the consistent hash
// that every daemon computes alike: each member stands at a fixed number of
// points, a service belongs to the first point at or after its own hash, and
// a member more or less moves only its own share. The hash and the number of
// points are part of the inner protocol; a golden test holds them.
package healthcheck

import (
	"hash/fnv"
	"sort"

	"tinpin/internal/rpc"
)

const pointsPerMember = 64

type point struct {
	position uint64
	member   rpc.NodeID
}

// Ring is the consistent hash over one list of members.
type Ring struct{ points []point }

func hashPosition(text string, n uint64) (at uint64) {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	at = hash.Sum64() + n*0x9e3779b97f4a7c15
	at ^= at >> 33
	at *= 0xff51afd7ed558ccd
	at ^= at >> 33
	at *= 0xc4ceb9fe1a85ec53
	at ^= at >> 33
	return at
}

// NewRing places the members.
func NewRing(members []rpc.NodeID) (ring *Ring) {
	ring = &Ring{}
	for _, member := range members {
		for n := uint64(0); n < pointsPerMember; n++ {
			ring.points = append(ring.points, point{hashPosition(string(member), n+1), member})
		}
	}
	sort.Slice(ring.points, func(i, j int) bool {
		if ring.points[i].position != ring.points[j].position {
			return ring.points[i].position < ring.points[j].position
		}
		return ring.points[i].member < ring.points[j].member
	})
	return ring
}

// Owner names the member that watches a service; absent ones are passed over
// in favour of the next on the ring.
func (r *Ring) Owner(service rpc.ServiceName, absent map[rpc.NodeID]bool) (owner rpc.NodeID) {
	if len(r.points) == 0 {
		return ""
	}
	at := hashPosition(string(service), 0)
	first := sort.Search(len(r.points), func(i int) bool { return r.points[i].position >= at })
	for i := range r.points {
		member := r.points[(first+i)%len(r.points)].member
		if !absent[member] {
			return member
		}
	}
	return ""
}

// Rank orders members for a key, for choices that need no ring.
func Rank(member, key string) (rank uint64) { return hashPosition(member+"\x00"+key, 0) }
