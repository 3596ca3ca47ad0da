// Package tracing creates the OpenTelemetry tracer of a host.
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

// ExporterLog is the exporter that writes a log line for each span.
const ExporterLog = "log"

// New returns the tracer for an exporter and a function that shuts the exporter down after
// it has exported the remaining spans. Any exporter but ExporterLog disables tracing.
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

// logExporter writes each span as a log line.
type logExporter struct {
	log logr.Logger
}

// ExportSpans implements sdktrace.SpanExporter.
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

// Shutdown implements sdktrace.SpanExporter.
func (e *logExporter) Shutdown(context.Context) error { return nil }
