package host_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/routing"
	"fennelyard/internal/standin"
)

// BenchmarkWarmPath measures requests for a loaded model sent directly to the engine
// and through an entry, and reports the ratio of their times.
func BenchmarkWarmPath(b *testing.B) {
	h := newHarness(b, "")
	e := h.engine("engine-1", func(c *standin.EngineConfig) {
		c.Complete = func(w http.ResponseWriter, q *http.Request, _ string) {
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set(routing.HeaderRequestID, q.Header.Get(routing.HeaderRequestID))
			_, _ = io.WriteString(w, `{"choices":[{"finish_reason":"stop"}]}`)
		}
	})
	h.awaitServers(1)
	h.configure(1)
	send := func(address string) {
		q, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(completion(testModel)))
		require.NoError(b, err)
		q.Header.Set(routing.HeaderCustomer, testCustomer)
		resp, err := http.DefaultClient.Do(q)
		require.NoError(b, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		require.Equal(b, http.StatusOK, resp.StatusCode)
	}
	send(h.layout.Hosts()[0].Caller)
	var direct time.Duration
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			send(e.Address())
		}
		direct = b.Elapsed() / time.Duration(b.N)
	})
	b.Run("entry", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			send(h.layout.Hosts()[0].Caller)
		}
		through := b.Elapsed() / time.Duration(b.N)
		b.ReportMetric(float64(through)/float64(direct), "ratio")
	})
}
