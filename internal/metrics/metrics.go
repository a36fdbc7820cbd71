// Package metrics gives a daemon's figures as text in Prometheus's form. A figure
// is read from its owner when it is asked for, so that counting costs no more than
// the owner's own counter; what a figure means is its owner's business. Everything
// here may be called from any goroutine.
package metrics

import (
	"net/http"
	"runtime"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	// Path is where the figures are served.
	Path = "/metrics"
	// namespace begins the name of every figure.
	namespace = "tinpin"
)

// Registry holds the figures of one daemon.
type Registry struct{ registry *prometheus.Registry }

// NewRegistry holds what is the same for every daemon: how many goroutines it has.
func NewRegistry() (registry *Registry) {
	registry = &Registry{prometheus.NewRegistry()}
	registry.Gauge("goroutines", "Goroutines.", nil, func() float64 { return float64(runtime.NumGoroutine()) })
	return registry
}

// Labels tell figures of one name apart.
type Labels = prometheus.Labels

// Counter adds a figure that only rises; labels may be nil. A name and its labels
// may be added once.
func (r *Registry) Counter(name, help string, labels Labels, value *atomic.Int64) {
	options := prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: labels}
	r.registry.MustRegister(prometheus.NewCounterFunc(options, func() float64 { return float64(value.Load()) }))
}

// Gauge adds a figure that rises and falls.
func (r *Registry) Gauge(name, help string, labels Labels, value func() float64) {
	options := prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: labels}
	r.registry.MustRegister(prometheus.NewGaugeFunc(options, value))
}

// Handler answers with all figures.
func (r *Registry) Handler() http.Handler {
	figures := promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{DisableCompression: true})
	mux := http.NewServeMux()
	mux.Handle("GET "+Path, figures)
	return mux
}
