package quota

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// The sum that is kept is the sum of what the holders may use, through grants that
// grow, shrink, are renewed and expire.
func TestKeptSumIsTheSumOfGrants(t *testing.T) {
	random := rand.New(rand.NewSource(9))
	allocator := NewFirstAllocator(1600 * time.Millisecond)
	key := Key{rpc.RetrySlack, ""}
	for now := time.Duration(0); now < 5*time.Minute; now += time.Duration(random.Intn(300)) * time.Millisecond {
		holder := rpc.NodeID(fmt.Sprint("e", random.Intn(20)))
		switch random.Intn(10) {
		case 0:
			allocator.Renew(now, key, time.Second, holder, random.Float64())
		case 1:
			allocator.GrantAtLeast(now, key, 10, time.Second, holder, 3*random.Float64(), 1)
		default:
			allocator.Grant(now, key, 10, time.Second, holder, 2*random.Float64())
		}
		sum := 0.0
		for _, grants := range allocator.limits[key].holders {
			largest := 0.0
			for _, grant := range grants {
				if grant.until > now {
					largest = max(largest, grant.amount)
				}
			}
			sum += largest
		}
		if granted := allocator.Granted(now, key); math.Abs(granted-sum) > 1e-9 {
			t.Fatalf("at %s %.6f is granted, the allocator says %.6f", now, sum, granted)
		}
	}
}
