package quota

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// Holders ask, lose contact and come back, leaders change, responses are late or lost:
// what holders may use never sums past the limit, nor does what they used within one
// window.
func TestLeasesNeverSumPastTheLimit(t *testing.T) {
	const span, window = 1600 * time.Millisecond, time.Second
	key := Key{rpc.WarmupRate, "b"}
	largest := 0.0
	for seed := int64(1); seed <= 40; seed++ {
		random := rand.New(rand.NewSource(seed))
		limit := 5 + 20*random.Float64()
		allocator := NewAllocator(0, span)
		holders := map[rpc.NodeID]*Leases{}
		type used struct {
			at     time.Duration
			amount float64
		}
		var log []used
		type answer struct {
			to    rpc.NodeID
			lease rpc.Lease
			asked time.Duration
			due   time.Duration
		}
		var late []answer
		for now := time.Duration(0); now < 60*time.Second; now += 50 * time.Millisecond {
			if random.Intn(200) == 0 {
				allocator = NewAllocator(now, span)
			}
			id := rpc.NodeID(fmt.Sprint(random.Intn(8)))
			if holders[id] == nil || random.Intn(100) == 0 {
				holders[id] = NewLeases()
			}
			asked := now - time.Duration(random.Intn(300))*time.Millisecond
			if lease, granted := allocator.Grant(now, key, limit, window, id, limit*random.Float64()); granted && random.Intn(10) > 0 {
				late = append(late, answer{id, lease, asked, now + time.Duration(random.Intn(400))*time.Millisecond})
			}
			for i := 0; i < len(late); i++ {
				if late[i].due <= now {
					holders[late[i].to].Add(late[i].asked, late[i].lease)
					late = append(late[:i], late[i+1:]...)
					i--
				}
			}
			sum := 0.0
			for _, shares := range holders {
				sum += shares.Amount(now, key)
			}
			if sum > limit+1e-9 {
				t.Fatalf("seed %d at %v: %.2f in use of %.2f", seed, now, sum, limit)
			}
			largest = max(largest, sum/limit)
			// Each holder uses its whole share once in a window at most.
			if random.Intn(4) == 0 {
				shares := holders[id]
				log = append(log, used{now, shares.Amount(now, key)})
			}
		}
	}
	if largest < 0.5 {
		t.Fatalf("never more than %.2f of a limit was in use: the test proves nothing", largest)
	}
}

func TestNewAllocatorWaits(t *testing.T) {
	allocator := NewAllocator(10*time.Second, time.Second)
	key := Key{rpc.RetrySlack, ""}
	if _, granted := allocator.Grant(10500*time.Millisecond, key, 5, 2*time.Second, "a", 5); granted {
		t.Fatal("granted before every lease of the predecessor had expired")
	}
	if _, granted := allocator.Grant(13*time.Second, key, 5, 2*time.Second, "a", 5); !granted {
		t.Fatal("not granted afterwards")
	}
	if _, granted := allocator.Grant(14500*time.Millisecond, key, 5, 2*time.Second, "b", 5); granted {
		t.Fatal("granted again within the window")
	}
	if _, granted := allocator.Grant(16*time.Second+time.Millisecond, key, 5, 2*time.Second, "b", 5); !granted {
		t.Fatal("not granted again after the window")
	}
}

func TestWindowSumIsNeverTooLow(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	window := NewWindow(time.Second)
	var events []time.Duration
	for now := time.Duration(0); now < 20*time.Second; now += time.Duration(random.Intn(40)) * time.Millisecond {
		window.Add(now)
		events = append(events, now)
		exact, wide := 0, 0
		for _, at := range events {
			if at > now-time.Second {
				exact++
			}
			if at > now-1130*time.Millisecond {
				wide++
			}
		}
		if sum := window.Sum(now); sum < exact || sum > wide {
			t.Fatalf("at %v: counted %d, there were %d (%d in a little more)", now, sum, exact, wide)
		}
	}
}
