package httpapi

import (
	"net/http"

	"tinpin/internal/eventlog"
	"tinpin/internal/metrics"
)

// ServeMetrics serves a daemon's figures on an address. It returns nil where there is no address or the
// listener cannot be opened; that is logged, and the daemon works without figures.
func ServeMetrics(address string, registry *metrics.Registry, log *eventlog.Logger) (server *http.Server) {
	if address == "" {
		return nil
	}
	server, err := ServeHandler(address, registry.Handler())
	if err != nil {
		log.Emit(eventlog.MetricsNotServed, eventlog.KeyError, err.Error(), "address", address)
		return nil
	}
	return server
}
