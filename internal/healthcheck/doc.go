// Package healthcheck decides which node probes which service, collects what the
// nodes find, and draws conclusions from it: which endpoints are ejected because
// requests to them fail, and how requests are spread over the zones of a region.
//
// It sends no probes and no messages. [ProbeAssignment] and [OutlierDetector] belong
// to a node, [StateCache] and [ZoneBalancer] to the leader; both sides share [Ring].
// None has a lock: its owner calls it from one goroutine at a time. Time is a duration
// on the owner's monotonic clock.
package healthcheck
