package host

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const scrapeHeaderTimeout = 5 * time.Second

// startScrape serves metrics and health on an address of their own.
func (h *Host) startScrape() error {
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
	h.scrape = &http.Server{Handler: mux, ReadHeaderTimeout: scrapeHeaderTimeout}
	go func() {
		// It ends with Close.
		_ = h.scrape.Serve(l)
	}()
	return nil
}

func noTracer() trace.Tracer { return noop.NewTracerProvider().Tracer("") }
