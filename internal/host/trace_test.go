package host_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"fennelyard"
)

// TestOneSpanPerHop follows a cold request from the caller through entry, queue
// and dispatch in one trace, and its load through order and load.
func TestOneSpanPerHop(t *testing.T) {
	t.Parallel()
	spans := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans))
	tracer := provider.Tracer("test")
	b := newTracedBed(t, "", tracer)
	b.engine("engine-1", nil)
	b.awaitServers(1)
	b.configure(1)
	client := fennelyard.NewClient(fennelyard.ClientOptions{
		Addresses: b.layout.Callers(), Customer: bedCustomer, Deadline: bedWait, Tracer: tracer,
	})
	_, err := client.Complete(context.Background(), []byte(completion(bedModel)))
	require.NoError(t, err)
	traces := map[string]string{}
	b.eventually("every hop's span", func() bool {
		for _, s := range spans.GetSpans() {
			if _, seen := traces[s.Name]; s.Name != "entry" || !seen {
				traces[s.Name] = s.SpanContext.TraceID().String()
			}
		}
		return traces["caller"] != "" && traces["order"] != "" && traces["load"] != "" && traces["dispatch"] != ""
	})
	assert.Equal(t, traces["caller"], traces["dispatch"])
	assert.Equal(t, traces["caller"], traces["queue"])
	assert.Equal(t, traces["order"], traces["load"])
}
