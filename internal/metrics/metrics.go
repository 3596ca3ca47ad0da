// Package metrics defines the Prometheus metrics of a host. No label contains the name
// of a model, an adapter or a key, so that thousands of adapters do not create thousands
// of series.
package metrics

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "fennelyard"

// Set holds the metrics of one host. It is safe for concurrent use.
type Set struct {
	registry           *prometheus.Registry
	requests           *prometheus.CounterVec
	refusals           *prometheus.CounterVec
	firstByte          *prometheus.HistogramVec
	coldStart          prometheus.Histogram
	queueWait          prometheus.Histogram
	forecastError      prometheus.Histogram
	retries            prometheus.Counter
	loads              *prometheus.CounterVec
	loadTime           *prometheus.HistogramVec
	idleSeconds        prometheus.Counter
	routeRequests      *prometheus.CounterVec
	routeRequestTime   *prometheus.HistogramVec
	routeFirstByte     *prometheus.HistogramVec
	dispatches         *prometheus.CounterVec
	engineOrders       *prometheus.CounterVec
	backendConnections *prometheus.CounterVec
	refusedMessages    *prometheus.CounterVec
	teamRequests       *prometheus.CounterVec
	suspectChanges     *prometheus.CounterVec
	boundsMet          *prometheus.CounterVec
	connectionsClosed  *prometheus.CounterVec
	responsesEnded     *prometheus.CounterVec

	teamsMu sync.Mutex
	// teamLabels holds the teams that have their own label value; guarded by teamsMu.
	teamLabels map[string]bool
}

// New returns a Set with its own registry.
func New() *Set {
	s := &Set{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests of callers by kind and HTTP status class.",
		}, []string{"kind", "status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "refusals_total", Help: "Refused requests by code and outcome.",
		}, []string{"code", "outcome"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "first_byte_seconds", Help: "Time from arrival to the first byte of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
		}, []string{"kind"}),
		coldStart: histogram("cold_start_seconds", "First byte time of requests that found no loaded replica."),
		queueWait: histogram("queue_wait_seconds", "Time that a granted request waited in its queue."),
		forecastError: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "wait_forecast_error_seconds", Help: "Actual minus forecast wait of granted requests.",
			Buckets: []float64{-30, -10, -3, -1, -0.3, -0.1, 0, 0.1, 0.3, 1, 3, 10, 30},
		}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "retries_total", Help: "Attempts after the first one.",
		}),
		loads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "loads_total", Help: "Answered load orders by tier and result (leader only).",
		}, []string{"tier", "result"}),
		loadTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "load_seconds", Help: "Time of successful loads by tier (leader only).",
			Buckets: prometheus.ExponentialBuckets(0.1, 2, 14),
		}, []string{"tier"}),
		idleSeconds: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "idle_accelerator_seconds_total",
			Help: "Accelerator time held by replicas without a request (leader only).",
		}),
	}
	s.registerRouteMetrics()
	s.registry.MustRegister(s.requests, s.refusals, s.firstByte, s.coldStart, s.queueWait, s.forecastError,
		s.retries, s.loads, s.loadTime, s.idleSeconds,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return s
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.01, 2, 15),
	})
}

// maxScrapes bounds the scrapes at a time: each holds all metrics until its reader has taken them.
const maxScrapes = 8

// Handler returns the HTTP handler of the scrape endpoint.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
}

// Gauge registers a gauge whose value is read at each scrape.
func (s *Set) Gauge(name, help string, read func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Request counts a finished request by its kind and the class of its HTTP status.
func (s *Set) Request(kind string, status int) {
	classes := [...]string{"1xx", "2xx", "3xx", "4xx", "5xx"}
	s.requests.WithLabelValues(kind, classes[min(max(status/100, 1), len(classes))-1]).Inc()
}

// Refusal counts a refused request by code and outcome.
func (s *Set) Refusal(code, outcome string) { s.refusals.WithLabelValues(code, outcome).Inc() }

// FirstByte records the time from a request's arrival to the first byte of its response;
// cold is set if no loaded replica was found.
func (s *Set) FirstByte(kind string, duration time.Duration, cold bool) {
	s.firstByte.WithLabelValues(kind).Observe(duration.Seconds())
	if cold {
		s.coldStart.Observe(duration.Seconds())
	}
}

// QueueWait records the forecast and the actual queue wait of a granted request.
func (s *Set) QueueWait(forecast, actual time.Duration) {
	s.queueWait.Observe(actual.Seconds())
	s.forecastError.Observe((actual - forecast).Seconds())
}

// Retry counts an attempt after the first one of a request.
func (s *Set) Retry() { s.retries.Inc() }

// Load records the result and the duration of a load order that an engine has replied to.
func (s *Set) Load(tier string, duration time.Duration, ok bool) {
	result := "failed"
	if ok {
		result = "done"
		s.loadTime.WithLabelValues(tier).Observe(duration.Seconds())
	}
	s.loads.WithLabelValues(tier, result).Inc()
}

// Idle adds accelerator time held by replicas without a request.
func (s *Set) Idle(t time.Duration) { s.idleSeconds.Add(t.Seconds()) }
