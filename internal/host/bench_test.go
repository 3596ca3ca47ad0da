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

// BenchmarkWarmPath gives the time of a request for a loaded model straight at
// the engine and through an entry, and the ratio between them.
func BenchmarkWarmPath(b *testing.B) {
	d := newBed(b, "")
	e := d.engine("engine-1", func(c *standin.EngineConfig) {
		c.Complete = func(w http.ResponseWriter, q *http.Request, _ string) {
			w.Header().Set("Content-Type", "application/json")
			w.Header().Set(routing.HeaderRequestID, q.Header.Get(routing.HeaderRequestID))
			_, _ = io.WriteString(w, `{"choices":[{"finish_reason":"stop"}]}`)
		}
	})
	d.awaitServers(1)
	d.configure(1)
	send := func(address string) {
		q, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(completion(bedModel)))
		require.NoError(b, err)
		q.Header.Set(routing.HeaderCustomer, bedCustomer)
		resp, err := http.DefaultClient.Do(q)
		require.NoError(b, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		require.Equal(b, http.StatusOK, resp.StatusCode)
	}
	send(d.layout.Hosts()[0].Caller)
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
			send(d.layout.Hosts()[0].Caller)
		}
		through := b.Elapsed() / time.Duration(b.N)
		b.ReportMetric(float64(through)/float64(direct), "ratio")
	})
}
