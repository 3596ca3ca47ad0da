// Package tracing makes the tracer of a host.
package tracing

import (
	"context"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// ExporterLog names the exporter that logs one JSON line per span.
const ExporterLog = "log"

// New returns the tracer for an exporter of the settings and a function that
// sends what is left. Every other exporter than ExporterLog means off.
func New(exporter, host string, log logr.Logger) (trace.Tracer, func(context.Context) error) {
	if exporter != ExporterLog {
		return noop.NewTracerProvider().Tracer(""), func(context.Context) error { return nil }
	}
	p := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(&logExporter{log: log.WithName("trace")}),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("host.name", host))),
	)
	return p.Tracer("fennelyard"), p.Shutdown
}

// logExporter writes each span as one log line.
type logExporter struct {
	log logr.Logger
}

// ExportSpans implements the SDK's exporter.
func (e *logExporter) ExportSpans(_ context.Context, spans []sdktrace.ReadOnlySpan) error {
	for _, s := range spans {
		values := []any{
			"span", s.Name(), "trace-id", s.SpanContext().TraceID().String(),
			"span-id", s.SpanContext().SpanID().String(), "parent-id", s.Parent().SpanID().String(),
			"start", s.StartTime(), "duration-ms", float64(s.EndTime().Sub(s.StartTime()).Microseconds()) / 1000,
		}
		for _, a := range s.Attributes() {
			values = append(values, string(a.Key), a.Value.AsInterface())
		}
		e.log.Info("span", values...)
	}
	return nil
}

// Shutdown implements the SDK's exporter.
func (e *logExporter) Shutdown(context.Context) error { return nil }
