package rpc

import (
	"sync/atomic"

	"tinpin/internal/metrics"
)

// connectionCounts are the figures of all connections that this process opens to other daemons.
type connectionCounts struct {
	// dials counts attempts to connect, failedDials those that failed.
	dials, failedDials atomic.Int64
	// waiting counts calls that wait for a connection now.
	waiting atomic.Int64
}

var connections connectionCounts

// RegisterMetrics adds the figures of this process's connections to other daemons.
func RegisterMetrics(registry *metrics.Registry) {
	registry.Counter("peer_dials_total", "Attempts to connect to other daemons.", nil, &connections.dials)
	registry.Counter("peer_dials_failed_total", "Attempts to connect to other daemons that failed.", nil,
		&connections.failedDials)
	registry.Gauge("peer_calls_connecting", "Calls to other daemons that wait for a connection.", nil,
		func() float64 { return float64(connections.waiting.Load()) })
}
