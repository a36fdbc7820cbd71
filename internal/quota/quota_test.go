package quota

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// Holders ask, lose touch and come back, leaders change, answers are late or
// lost: what holders may use never sums past the bound, nor does what they
// used within one window.
func TestSharesNeverSumPastTheBound(t *testing.T) {
	const span, window = 1600 * time.Millisecond, time.Second
	key := Key{rpc.WarmupRate, "b"}
	most := 0.0
	for seed := int64(1); seed <= 40; seed++ {
		luck := rand.New(rand.NewSource(seed))
		bound := 5 + 20*luck.Float64()
		book := NewAllocator(0, span)
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
			if luck.Intn(200) == 0 {
				book = NewAllocator(now, span)
			}
			id := rpc.NodeID(fmt.Sprint(luck.Intn(8)))
			if holders[id] == nil || luck.Intn(100) == 0 {
				holders[id] = NewLeases()
			}
			asked := now - time.Duration(luck.Intn(300))*time.Millisecond
			if lease, given := book.Grant(now, key, bound, window, id, bound*luck.Float64()); given && luck.Intn(10) > 0 {
				late = append(late, answer{id, lease, asked, now + time.Duration(luck.Intn(400))*time.Millisecond})
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
			if sum > bound+1e-9 {
				t.Fatalf("seed %d at %v: %.2f in use of %.2f", seed, now, sum, bound)
			}
			most = max(most, sum/bound)
			// Each holder uses its whole share once in a window at most.
			if luck.Intn(4) == 0 {
				shares := holders[id]
				log = append(log, used{now, shares.Amount(now, key)})
			}
		}
	}
	if most < 0.5 {
		t.Fatalf("never more than %.2f of a bound was in use: the test tests nothing", most)
	}
}

func TestANewLenderWaits(t *testing.T) {
	book := NewAllocator(10*time.Second, time.Second)
	key := Key{rpc.RetrySlack, ""}
	if _, given := book.Grant(10500*time.Millisecond, key, 5, 2*time.Second, "a", 5); given {
		t.Fatal("lent before every share of the predecessor had run out")
	}
	if _, given := book.Grant(13*time.Second, key, 5, 2*time.Second, "a", 5); !given {
		t.Fatal("not lent afterwards")
	}
	if _, given := book.Grant(14500*time.Millisecond, key, 5, 2*time.Second, "b", 5); given {
		t.Fatal("lent again within the window")
	}
	if _, given := book.Grant(16*time.Second+time.Millisecond, key, 5, 2*time.Second, "b", 5); !given {
		t.Fatal("not lent again after the window")
	}
}

func TestWindowNeverFallsShort(t *testing.T) {
	luck := rand.New(rand.NewSource(1))
	window := NewWindow(time.Second)
	var events []time.Duration
	for now := time.Duration(0); now < 20*time.Second; now += time.Duration(luck.Intn(40)) * time.Millisecond {
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
