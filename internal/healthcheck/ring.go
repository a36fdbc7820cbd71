package healthcheck

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sort"

	"tinpin/internal/rpc"
)

// pointsPerMember is at how many points each member stands on the ring. Nodes of
// different versions must compute the same ring, so it and the hash are part of the
// protocol between nodes; a test holds them.
const pointsPerMember = 64

type point struct {
	position uint64
	member   rpc.NodeID
}

// Ring is the consistent hash over the members of a shard map, which every node
// computes alike. A service belongs to the first point at or after its own hash, and
// a member more or less moves only its own share of the services.
type Ring struct{ points []point }

// hashPosition is the n-th position of a text. FNV spreads short texts badly, so its
// sum is mixed further.
func hashPosition(text string, n uint64) (position uint64) {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	position = hash.Sum64() + n*0x9e3779b97f4a7c15
	position ^= position >> 33
	position *= 0xff51afd7ed558ccd
	position ^= position >> 33
	position *= 0xc4ceb9fe1a85ec53
	position ^= position >> 33
	return position
}

// NewRing makes the ring of some members.
func NewRing(members []rpc.NodeID) (ring *Ring) {
	ring = &Ring{}
	for _, member := range members {
		for n := uint64(0); n < pointsPerMember; n++ {
			ring.points = append(ring.points, point{hashPosition(string(member), n+1), member})
		}
	}
	slices.SortFunc(ring.points, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.member, b.member))
	})
	return ring
}

// Owner is the member that probes a service: the first one on the ring that is not
// absent, or none.
func (r *Ring) Owner(service rpc.ServiceName, absent map[rpc.NodeID]bool) (owner rpc.NodeID) {
	if len(r.points) == 0 {
		return ""
	}
	position := hashPosition(string(service), 0)
	first := sort.Search(len(r.points), func(i int) bool { return r.points[i].position >= position })
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
