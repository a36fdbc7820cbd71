package proxy

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// A simulated service handles ten requests at a time in some 150 ms each, and is offered more than that:
// with the limiter most of the admitted requests are answered in time.
func TestConcurrencyLimitKeepsResponsesInTime(t *testing.T) {
	simulate := func(offered int, limiter *ConcurrencyLimiter) (inTime, late, rejected int) {
		rng := rand.New(rand.NewSource(1))
		ends := make([]time.Duration, 10) // when each of ten slots is free
		type job struct{ end, took time.Duration }
		var jobs []job
		for now := time.Duration(0); now < 60*time.Second; now += time.Millisecond {
			kept := jobs[:0]
			for _, j := range jobs {
				if j.end > now {
					kept = append(kept, j)
					continue
				}
				if limiter != nil {
					limiter.Release()
					limiter.ObserveLatency(j.took, 600*time.Millisecond)
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
			if rng.Intn(1000) >= offered {
				continue
			}
			if limiter != nil && !limiter.Acquire(rng.Intn(3)) {
				rejected++
				continue
			}
			first := 0
			for i := range ends {
				if ends[i] < ends[first] {
					first = i
				}
			}
			begin := max(ends[first], now)
			ends[first] = begin + time.Duration(50+rng.Intn(200))*time.Millisecond
			jobs = append(jobs, job{ends[first], ends[first] - now})
		}
		return inTime, late, rejected
	}
	normal, normalLate, normalRejected := simulate(40, NewConcurrencyLimiter())
	if normalRejected > 0 || normalLate > normal/50 {
		t.Fatalf("within its capacity: %d in time, %d late, %d rejected", normal, normalLate, normalRejected)
	}
	without, lateWithout, _ := simulate(100, nil)
	with, lateWith, rejected := simulate(100, NewConcurrencyLimiter())
	result := fmt.Sprintf("overload without: %d in time, %d late; with: %d in time, %d late, %d rejected",
		without, lateWithout, with, lateWith, rejected)
	t.Log(result)
	if with < 2*without || lateWith > with/4 {
		t.Fatal(result)
	}
}

func TestConcurrencyLimitRejectsLowerPrioritiesFirst(t *testing.T) {
	limiter := NewConcurrencyLimiter()
	limiter.limit = 10
	for limiter.Acquire(2) {
	}
	if limiter.inFlight >= 10 || !limiter.Acquire(0) {
		t.Fatalf("at %d of 10 a request of the highest priority is rejected", limiter.inFlight)
	}
}

// Outcomes are reported only of backends that failed lately or are ejected, and a heartbeat looks at no
// others.
func TestOutcomesAreReportedOfFailingBackendsOnly(t *testing.T) {
	d := newTestDaemon(t, newFakeBackend(t, "i-1", respondOK), newFakeBackend(t, "i-2", respondOK))
	now := d.clock.Now()
	backends := d.state.Snapshot().Services["s"]
	for n := 0; n < 5; n++ {
		for _, backend := range backends {
			backend.attemptStarted(now)
			backend.attemptEnded(now, time.Millisecond, Complete)
		}
	}
	if counts := d.state.OutcomeCounts(); len(counts) != 0 || len(backends[0].stats.reportableBackends()) != 0 {
		t.Fatalf("%v", counts)
	}
	backends[0].attemptStarted(now)
	backends[0].attemptEnded(now, time.Millisecond, ServerError)
	backends[0].attemptStarted(now)
	backends[0].attemptEnded(now, time.Millisecond, Complete)
	counts := d.state.OutcomeCounts()
	if len(counts) != 2 || counts[0].Endpoint != "i-1" || counts[0].Failed != 1 || counts[0].Succeeded != 1 ||
		counts[1].Endpoint != "" || counts[1].Succeeded != 11 || counts[1].Failed != 1 {
		t.Fatalf("%+v", counts)
	}
	_, report := backends[0].takeOutcomes(now + outcomeReportSpan + time.Second)
	if report || len(backends[0].stats.reportableBackends()) != 0 {
		t.Fatal("outcomes are still reported after the report span")
	}
	backends[1].update(now, nil, &rpc.EndpointState{
		Endpoint: "i-2", Health: rpc.Healthy, EjectedFor: rpc.EjectedForAllZones,
	})
	backends[1].attemptStarted(now)
	backends[1].attemptEnded(now, time.Millisecond, Complete)
	if counts = d.state.OutcomeCounts(); len(counts) != 2 || counts[0].Endpoint != "i-2" || counts[0].Succeeded != 1 {
		t.Fatalf("%+v", counts)
	}
}
