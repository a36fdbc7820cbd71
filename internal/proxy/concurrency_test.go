package proxy

import (
	"math/rand"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

// A service that can do ten requests at a time, each in 150 ms or so, is given
// more than it can take: with the throttle most that are sent come in time.
func TestConcurrencyLimitKeepsResponsesInTime(t *testing.T) {
	simulate := func(offered int, limiter *ConcurrencyLimiter) (inTime, late, rejected int) {
		rng := rand.New(rand.NewSource(1))
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
		t.Fatalf("within its capacity: %d in time, %d late, %d refused", normal, normalLate, normalRejected)
	}
	without, lateWithout, _ := simulate(100, nil)
	with, lateWith, rejected := simulate(100, NewConcurrencyLimiter())
	t.Logf("overload without: %d in time, %d late; with: %d in time, %d late, %d refused", without, lateWithout, with, lateWith, rejected)
	if with < 2*without || lateWith > with/4 {
		t.Fatalf("overload without: %d in time, %d late; with: %d in time, %d late, %d refused", without, lateWithout, with, lateWith, rejected)
	}
}

func TestConcurrencyLimitRejectsLowerPrioritiesFirst(t *testing.T) {
	limiter := NewConcurrencyLimiter()
	limiter.limit = 10
	for limiter.Acquire(2) {
	}
	if limiter.inFlight >= 10 || !limiter.Acquire(0) {
		t.Fatalf("at %d of 10 the highest rank finds no place", limiter.inFlight)
	}
}

// Outcomes are told of backends that failed lately or are set aside, and a beat
// looks at no others.
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
	if len(counts) != 2 || counts[0].Endpoint != "i-1" || counts[0].Failed != 1 || counts[0].Succeeded != 1 || counts[1].Endpoint != "" || counts[1].Succeeded != 11 || counts[1].Failed != 1 {
		t.Fatalf("%+v", counts)
	}
	if _, report := backends[0].takeOutcomes(now + outcomeReportSpan + time.Second); report || len(backends[0].stats.reportableBackends()) != 0 {
		t.Fatal("it is told for ever")
	}
	backends[1].update(now, nil, &rpc.EndpointState{Endpoint: "i-2", Health: rpc.Healthy, EjectedFor: rpc.EjectedForAllZones})
	backends[1].attemptStarted(now)
	backends[1].attemptEnded(now, time.Millisecond, Complete)
	if counts = d.state.OutcomeCounts(); len(counts) != 2 || counts[0].Endpoint != "i-2" || counts[0].Succeeded != 1 {
		t.Fatalf("%+v", counts)
	}
}
