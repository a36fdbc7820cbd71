package quota

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// The sum that is kept is the sum of what the holders may use, through loans that
// grow, shrink, are renewed and run out.
func TestTheKeptSumIsTheSumOfTheLoans(t *testing.T) {
	luck := rand.New(rand.NewSource(9))
	book := NewFirstAllocator(1600 * time.Millisecond)
	key := Key{rpc.RetrySlack, ""}
	for now := time.Duration(0); now < 5*time.Minute; now += time.Duration(luck.Intn(300)) * time.Millisecond {
		holder := rpc.NodeID(fmt.Sprint("e", luck.Intn(20)))
		switch luck.Intn(10) {
		case 0:
			book.Renew(now, key, time.Second, holder, luck.Float64())
		case 1:
			book.GrantAtLeast(now, key, 10, time.Second, holder, 3*luck.Float64(), 1)
		default:
			book.Grant(now, key, 10, time.Second, holder, 2*luck.Float64())
		}
		sum := 0.0
		for _, loans := range book.limits[key].holders {
			most := 0.0
			for _, loan := range loans {
				if loan.until > now {
					most = max(most, loan.amount)
				}
			}
			sum += most
		}
		if lent := book.Granted(now, key); math.Abs(lent-sum) > 1e-9 {
			t.Fatalf("at %s %.6f is lent, the book says %.6f", now, sum, lent)
		}
	}
}
