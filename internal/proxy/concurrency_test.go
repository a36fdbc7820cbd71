package proxy

import (
	"math/rand"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// A service that can do ten requests at a time, each in 150 ms or so, is given
// more than it can take: with the throttle most that are sent come in time.
func TestThrottleKeepsAnswersInTime(t *testing.T) {
	play := func(offered int, throttle *ConcurrencyLimiter) (inTime, late, refused int) {
		luck := rand.New(rand.NewSource(1))
		var ends []time.Duration // when each of ten slots is free
		ends = make([]time.Duration, 10)
		type job struct{ end, took time.Duration }
		var jobs []job
		for now := time.Duration(0); now < 60*time.Second; now += time.Millisecond {
			kept := jobs[:0]
			for _, j := range jobs {
				if j.end > now {
					kept = append(kept, j)
					continue
				}
				if throttle != nil {
					throttle.Release()
					throttle.ObserveLatency(j.took, 600*time.Millisecond)
				}
				if now > 10*time.Second {
					if j.took <= 600*time.Millisecond {
						inTime++
					} else {
						late++
					}
				}
			}
			jobs = kept
			if luck.Intn(1000) >= offered {
				continue
			}
			if throttle != nil && !throttle.Acquire(luck.Intn(3)) {
				refused++
				continue
			}
			first := 0
			for i := range ends {
				if ends[i] < ends[first] {
					first = i
				}
			}
			begin := max(ends[first], now)
			ends[first] = begin + time.Duration(50+luck.Intn(200))*time.Millisecond
			jobs = append(jobs, job{ends[first], ends[first] - now})
		}
		return inTime, late, refused
	}
	calm, calmLate, calmRefused := play(40, NewConcurrencyLimiter())
	if calmRefused > 0 || calmLate > calm/50 {
		t.Fatalf("within its capacity: %d in time, %d late, %d refused", calm, calmLate, calmRefused)
	}
	without, lateWithout, _ := play(100, nil)
	with, lateWith, refused := play(100, NewConcurrencyLimiter())
	t.Logf("overload without: %d in time, %d late; with: %d in time, %d late, %d refused", without, lateWithout, with, lateWith, refused)
	if with < 2*without || lateWith > with/4 {
		t.Fatalf("overload without: %d in time, %d late; with: %d in time, %d late, %d refused", without, lateWithout, with, lateWith, refused)
	}
}

func TestThrottleTurnsLowerRanksAwayFirst(t *testing.T) {
	throttle := NewConcurrencyLimiter()
	throttle.limit = 10
	for throttle.Acquire(2) {
	}
	if throttle.inFlight >= 10 || !throttle.Acquire(0) {
		t.Fatalf("at %d of 10 the highest rank finds no place", throttle.inFlight)
	}
}

// Outcomes are told of backends that failed lately or are set aside, and a beat
// looks at no others.
func TestOnlyBackendsInTroubleAreTold(t *testing.T) {
	d := daemonOf(t, newStandIn(t, "i-1", good), newStandIn(t, "i-2", good))
	now := d.clock.Now()
	servers := d.state.Snapshot().Services["s"]
	for n := 0; n < 5; n++ {
		for _, server := range servers {
			server.attemptStarted(now)
			server.attemptEnded(now, time.Millisecond, Complete)
		}
	}
	if tallies := d.state.OutcomeCounts(); len(tallies) != 0 || len(servers[0].stats.reportableBackends()) != 0 {
		t.Fatalf("%v", tallies)
	}
	servers[0].attemptStarted(now)
	servers[0].attemptEnded(now, time.Millisecond, ServerError)
	servers[0].attemptStarted(now)
	servers[0].attemptEnded(now, time.Millisecond, Complete)
	tallies := d.state.OutcomeCounts()
	if len(tallies) != 2 || tallies[0].Endpoint != "i-1" || tallies[0].Failed != 1 || tallies[0].Succeeded != 1 || tallies[1].Endpoint != "" || tallies[1].Succeeded != 11 || tallies[1].Failed != 1 {
		t.Fatalf("%+v", tallies)
	}
	if _, told := servers[0].takeOutcomes(now + outcomeReportSpan + time.Second); told || len(servers[0].stats.reportableBackends()) != 0 {
		t.Fatal("it is told for ever")
	}
	servers[1].update(now, nil, &rpc.EndpointState{Endpoint: "i-2", Health: rpc.Healthy, EjectedFor: rpc.EjectedForAllZones})
	servers[1].attemptStarted(now)
	servers[1].attemptEnded(now, time.Millisecond, Complete)
	if tallies = d.state.OutcomeCounts(); len(tallies) != 2 || tallies[0].Endpoint != "i-2" || tallies[0].Succeeded != 1 {
		t.Fatalf("%+v", tallies)
	}
}
