package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// joined makes the metrics of hosts that find each other through seeds.
func (s *Set) joined() {
	s.teams = map[string]bool{}
	times := prometheus.ExponentialBuckets(0.005, 2, 13)
	s.served = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "route_requests_total", Help: "Requests on routes by kind, outcome and HTTP status; 0: broken off.",
	}, []string{"kind", "outcome", "status"})
	s.servedTime = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "route_request_seconds", Help: "Time from a request's arrival to its end.", Buckets: times,
	}, []string{"kind"})
	s.servedFirst = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "route_first_byte_seconds", Help: "Time from a request's arrival to the first byte of its answer.",
		Buckets: times,
	}, []string{"kind"})
	s.dispatches = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "dispatches_total", Help: "Requests sent to backend servers: first and repeated.",
	}, []string{"order"})
	s.orders = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "engine_orders_total", Help: "Orders to engines by what was ordered and the outcome (leader only).",
	}, []string{"what", "outcome"})
	s.connections = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "backend_connections_total", Help: "Connections to backend servers by result.",
	}, []string{"result"})
	s.refused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "refused_words_total", Help: "What servers and operators sent and could not be taken, by what it was and why.",
	}, []string{"what", "reason"})
	s.teamRequests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "team_requests_total", Help: "Requests of teams by outcome; the first 64 teams by themselves, others together.",
	}, []string{"team", "outcome"})
	s.registry.MustRegister(s.teamRequests, s.served, s.servedTime, s.servedFirst, s.dispatches, s.orders, s.connections, s.refused)
}

// Refused counts a word that could not be taken.
func (s *Set) Refused(what, reason string) { s.refused.WithLabelValues(what, reason).Inc() }

// Served records the end of a request on a route.
func (s *Set) Served(kind, outcome string, status int, took, first time.Duration, attempts int) {
	s.served.WithLabelValues(kind, outcome, strconv.Itoa(status)).Inc()
	s.servedTime.WithLabelValues(kind).Observe(took.Seconds())
	if first > 0 {
		s.servedFirst.WithLabelValues(kind).Observe(first.Seconds())
	}
	if attempts > 0 {
		s.dispatches.WithLabelValues("first").Inc()
		s.dispatches.WithLabelValues("repeated").Add(float64(attempts - 1))
	}
}

const (
	// teamLabels bounds the teams that are counted by themselves.
	teamLabels = 64
	otherTeams = "other"
)

// TeamRequest counts the end of a team's request; one of no team is not counted.
func (s *Set) TeamRequest(team, outcome string) {
	if team == "" {
		return
	}
	s.teamRequests.WithLabelValues(s.teamLabel(team), outcome).Inc()
}

func (s *Set) teamLabel(team string) string {
	s.teamsMu.Lock()
	defer s.teamsMu.Unlock()
	if s.teams[team] || len(s.teams) < teamLabels {
		s.teams[team] = true
		return team
	}
	return otherTeams
}

// Order records an engine's answer to an order.
func (s *Set) Order(outcome string, load, adapter bool) {
	what := "unload"
	if load {
		what = "load"
	}
	if adapter {
		what += "-adapter"
	}
	s.orders.WithLabelValues(what, outcome).Inc()
}

// Connected records a connection to a backend server.
func (s *Set) Connected(err error) {
	result := "made"
	if err != nil {
		result = "failed"
	}
	s.connections.WithLabelValues(result).Inc()
}
