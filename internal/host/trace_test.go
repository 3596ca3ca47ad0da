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

// TestOneSpanPerHop tests that the caller, queue and dispatch spans of a cold request
// are in one trace, and the order and load spans of its load in another.
func TestOneSpanPerHop(t *testing.T) {
	t.Parallel()
	spans := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans))
	tracer := provider.Tracer("test")
	h := newTracedHarness(t, "", tracer)
	h.engine("engine-1", nil)
	h.awaitServers(1)
	h.configure(1)
	client := fennelyard.NewClient(fennelyard.ClientOptions{
		Addresses: h.layout.Callers(), Customer: testCustomer, Deadline: testTimeout, Tracer: tracer,
	})
	_, err := client.Complete(context.Background(), []byte(completion(testModel)))
	require.NoError(t, err)
	traces := map[string]string{}
	h.eventually("every hop's span", func() bool {
		for _, s := range spans.GetSpans() {
			if _, ok := traces[s.Name]; s.Name != "entry" || !ok {
				traces[s.Name] = s.SpanContext.TraceID().String()
			}
		}
		return traces["caller"] != "" && traces["order"] != "" && traces["load"] != "" && traces["dispatch"] != ""
	})
	assert.Equal(t, traces["caller"], traces["dispatch"])
	assert.Equal(t, traces["caller"], traces["queue"])
	assert.Equal(t, traces["order"], traces["load"])
}
