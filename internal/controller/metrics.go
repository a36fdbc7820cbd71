package controller

import (
	"tinpin/internal/metrics"
	"tinpin/internal/rpc"
)

// metrics are the figures of this controller.
func (c *Controller) metrics() *metrics.Registry {
	registry := metrics.NewRegistry()
	registry.Gauge("controller_leads", "1 while this controller leads.", nil, func() float64 {
		if leads, _, _, _, _ := c.node.Status(); leads {
			return 1
		}
		return 0
	})
	registry.Gauge("controller_term", "Term of the group.", nil, func() float64 {
		_, _, term, _, _ := c.node.Status()
		return float64(term)
	})
	registry.Counter("proposals_dropped_total",
		"Proposals not put into the log because their callers had left or given up.", nil, c.node.DroppedProposals())
	rpc.RegisterMetrics(registry)
	return registry
}
