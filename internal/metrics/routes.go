package metrics

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// registerRouteMetrics creates and registers the metrics of hosts that discover each
// other through seeds, which route requests to backend servers.
func (s *Set) registerRouteMetrics() {
	s.teamLabels = map[string]bool{}
	buckets := prometheus.ExponentialBuckets(0.005, 2, 13)
	s.routeRequests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "route_requests_total", Help: "Requests on routes by kind, outcome and HTTP status; 0: broken off.",
	}, []string{"kind", "outcome", "status"})
	s.routeRequestTime = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "route_request_seconds", Help: "Time from a request's arrival to its end.", Buckets: buckets,
	}, []string{"kind"})
	s.routeFirstByte = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "route_first_byte_seconds", Help: "Time from a request's arrival to the first byte of its answer.",
		Buckets: buckets,
	}, []string{"kind"})
	s.dispatches = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "dispatches_total", Help: "Requests sent to backend servers: first and repeated.",
	}, []string{"order"})
	s.engineOrders = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "engine_orders_total", Help: "Orders to engines by what was ordered and the outcome (leader only).",
	}, []string{"what", "outcome"})
	s.backendConnections = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "backend_connections_total", Help: "Connections to backend servers by result.",
	}, []string{"result"})
	s.refusedMessages = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "refused_words_total", Help: "What servers and operators sent and could not be taken, by what it was and why.",
	}, []string{"what", "reason"})
	s.teamRequests = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "team_requests_total", Help: "Requests of teams by outcome; the first 64 teams by themselves, others together.",
	}, []string{"team", "outcome"})
	s.suspectChanges = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "suspect_changes_total", Help: "Changes of records of requests that may crash servers, by the source of the change.",
	}, []string{"source"})
	s.connectionsClosed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "connections_closed_total",
		Help: "Connections that were closed, or on which a request was refused, at a limit of a port, by port and reason.",
	}, []string{"port", "reason"})
	s.boundsMet = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "bounds_met_total", Help: "Responses that sent more than is read, by the kind of the peer and of the bound.",
	}, []string{"peer", "bound"})
	s.responsesEnded = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "responses_ended_with_connection_total", Help: "Responses without a length or chunks whose connection was closed, by what was known of the server then; only confirmed ones count as whole.",
	}, []string{"server"})
	s.registry.MustRegister(s.connectionsClosed, s.responsesEnded, s.boundsMet, s.suspectChanges, s.teamRequests, s.routeRequests, s.routeRequestTime, s.routeFirstByte, s.dispatches, s.engineOrders, s.backendConnections, s.refusedMessages)
}

// RefusedMessage counts a message of a server or an operator that was refused, by the kind of
// the message and the reason.
func (s *Set) RefusedMessage(kind, reason string) {
	s.refusedMessages.WithLabelValues(kind, reason).Inc()
}

// SuspectChanged counts a change of a record of a request that may crash servers.
func (s *Set) SuspectChanged(source string) { s.suspectChanges.WithLabelValues(source).Inc() }

// ConnectionClosed counts a connection that was closed, or on which a request was refused, at a limit.
func (s *Set) ConnectionClosed(port, reason string) {
	s.connectionsClosed.WithLabelValues(port, reason).Inc()
}

// BoundMet counts a response that sent more than is read.
func (s *Set) BoundMet(peer, bound string) { s.boundsMet.WithLabelValues(peer, bound).Inc() }

// ResponseEnded counts a response without a length or chunks whose connection was closed.
func (s *Set) ResponseEnded(server string) { s.responsesEnded.WithLabelValues(server).Inc() }

// RouteRequest records a finished request on a route: its status, its duration, the time to the
// first byte of the response (0 without one) and the number of attempts.
func (s *Set) RouteRequest(kind, outcome string, status int, duration, firstByte time.Duration, attempts int) {
	s.routeRequests.WithLabelValues(kind, outcome, strconv.Itoa(status)).Inc()
	s.routeRequestTime.WithLabelValues(kind).Observe(duration.Seconds())
	if firstByte > 0 {
		s.routeFirstByte.WithLabelValues(kind).Observe(firstByte.Seconds())
	}
	if attempts > 0 {
		s.dispatches.WithLabelValues("first").Inc()
		s.dispatches.WithLabelValues("repeated").Add(float64(attempts - 1))
	}
}

const (
	// maxTeamLabels bounds the teams with their own label value; all others share
	// otherTeamsLabel.
	maxTeamLabels   = 64
	otherTeamsLabel = "other"
)

// TeamRequest counts a finished request of a team. A request without a team is not counted.
func (s *Set) TeamRequest(team, outcome string) {
	if team == "" {
		return
	}
	s.teamRequests.WithLabelValues(s.teamLabel(team), outcome).Inc()
}

// teamLabel returns the label value of a team.
func (s *Set) teamLabel(team string) string {
	s.teamsMu.Lock()
	defer s.teamsMu.Unlock()
	if s.teamLabels[team] || len(s.teamLabels) < maxTeamLabels {
		s.teamLabels[team] = true
		return team
	}
	return otherTeamsLabel
}

// Order records the outcome of an order to an engine, to load or to unload a model or an
// adapter.
func (s *Set) Order(outcome string, load, adapter bool) {
	operation := "unload"
	if load {
		operation = "load"
	}
	if adapter {
		operation += "-adapter"
	}
	s.engineOrders.WithLabelValues(operation, outcome).Inc()
}

// BackendConnection records an attempt to connect to a backend server; err is nil if it succeeded.
func (s *Set) BackendConnection(err error) {
	result := "made"
	if err != nil {
		result = "failed"
	}
	s.backendConnections.WithLabelValues(result).Inc()
}
