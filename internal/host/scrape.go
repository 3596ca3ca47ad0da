package host

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"fennelyard/internal/listener"
)

const metricsHeaderTimeout = 5 * time.Second

// startMetricsServer serves metrics and health checks on the metrics address, if one
// is set.
func (h *Host) startMetricsServer() error {
	address := h.cfg.Settings.GetMetricsAddress()
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Newf("listen for metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", h.metrics.Handler())
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = w.Write([]byte(h.entry.Readiness().String() + "\n"))
	})
	port := h.connections.Listen(l, listener.PortConfig{Port: listener.PortMetrics, Share: listener.ListedShares[listener.PortMetrics]})
	h.metricsServer = port.NewServer(listener.ServerConfig{Handler: mux, HeadTimeout: metricsHeaderTimeout})
	go func() {
		// Serve returns when Host.Close closes the server.
		port.Serve(h.metricsServer)
	}()
	return nil
}

func noopTracer() trace.Tracer { return noop.NewTracerProvider().Tracer("") }
