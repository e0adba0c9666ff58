// Package metric holds the counters, gauges and latency histograms of a daemon
// and serves them in the Prometheus text format.
package metric

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gypsumtrestle.example/gypsumtrestle/internal/workspace"
)

// Set holds the metrics of one daemon.
type Set struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	keys     *prometheus.CounterVec
	rejected *prometheus.CounterVec
}

// New returns a Set without gauges.
func New() *Set {
	s := &Set{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gypsumtrestle_requests_total", Help: "Answered requests by kind and status.",
		}, []string{"kind", "status"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gypsumtrestle_request_seconds", Help: "Time to answer a request by kind.",
			Buckets: []float64{.002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5},
		}, []string{"kind"}),
		keys: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gypsumtrestle_key_rejections_total", Help: "Requests rejected for their key or for an outdated configuration, by reason.",
		}, []string{"reason"}),
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gypsumtrestle_jobs_rejected_total", Help: "Jobs rejected because of the load, by queue and reason.",
		}, []string{"queue", "reason"}),
	}
	s.registry.MustRegister(s.requests, s.latency, s.keys, s.rejected)
	return s
}

// AddRequest records one answered request with its duration.
func (s *Set) AddRequest(kind string, status int, took time.Duration) {
	s.requests.WithLabelValues(kind, strconv.Itoa(status)).Inc()
	s.latency.WithLabelValues(kind).Observe(took.Seconds())
}

// AddKeyRejection records one request that was rejected for its key or for an outdated
// configuration.
func (s *Set) AddKeyRejection(r workspace.Reason) { s.keys.WithLabelValues(string(r)).Inc() }

// AddRejection counts a job that was rejected because of the load.
func (s *Set) AddRejection(queue, reason string) {
	s.rejected.WithLabelValues(queue, reason).Inc()
}

// Gauge adds a gauge whose value is read when the metrics are scraped. It panics
// if the name is already in use.
func (s *Set) Gauge(name, help string, value func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "gypsumtrestle_" + name, Help: help}, value))
}

// Counter adds a counter whose value is read when the metrics are scraped. It panics if
// the name is already in use.
func (s *Set) Counter(name, help string, value func() float64) {
	s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "gypsumtrestle_" + name, Help: help}, value))
}

// Handler serves the metrics.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{DisableCompression: true})
}
