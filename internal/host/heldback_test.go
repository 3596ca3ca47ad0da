package host_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/routing"
	"fennelyard/internal/standin"
)

// A caller repeats a booking, under a new key each time, under which every application
// server ends that runs it. After three servers it is refused as not run, with a time to
// return, and reaches no server; so it is when this host has restarted. Other bookings are
// served all the while.
func TestBookingThatEndsItsServersIsHeldBack(t *testing.T) {
	const (
		harmful  = `{"seat":"harmful"}`
		ordinary = `{"seat":"4"}`
		servers  = 6
	)
	for _, method := range []string{http.MethodPost, http.MethodPut} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			b := newBed(t, "")
			var ended atomic.Int64
			for i := range servers {
				b.application(fmt.Sprint("app-", i), func(c *standin.ApplicationConfig) {
					c.CrashBody, c.Crashed = harmful, func() { ended.Add(1) }
				})
			}
			b.awaitServers(servers)
			b.configure(1)
			sent := 0
			book := func(body string) reply {
				sent++
				return b.book(method, body, fmt.Sprint("k", sent))
			}
			// A request that has ended the third server by itself is told that it may have run.
			var got reply
			for range servers {
				if got = book(harmful); got.code == "held-back" && got.outcome == "not-run" {
					break
				}
				// The end of a server is looked into while its caller has its answer already.
				b.eventually("what ended known", func() bool { return int64(b.accused()) == ended.Load() })
			}
			require.Equal(t, "held-back", got.code)
			require.Equal(t, "not-run", got.outcome)
			require.NotEmpty(t, got.header.Get("Retry-After"))
			// A PUT is repeated at once at other servers: its own repeats count as those of its
			// caller do.
			require.Equal(t, int64(3), ended.Load())
			require.Equal(t, http.StatusOK, book(ordinary).status)

			before := ended.Load()
			b.eventually("the record", func() bool { return b.host.Suspects() > 0 })
			b.restart()
			b.eventually("an ordinary booking", func() bool { return book(ordinary).status == http.StatusOK })
			require.Equal(t, "held-back", book(harmful).code)
			require.Equal(t, before, ended.Load())
		})
	}
}

// accused returns how many servers have ended, as the host knows, under the request under
// which most have.
func (b *bed) accused() int {
	list, err := b.oper.Suspects(context.Background())
	require.NoError(b.t, err)
	most := 0
	for _, s := range list.GetSuspects() {
		most = max(most, len(s.GetEndedServers()))
	}
	return most
}

// book sends one booking without the client's retries.
func (b *bed) book(method, body, key string) reply {
	b.t.Helper()
	q, err := http.NewRequestWithContext(context.Background(), method, b.url("/services/"+bedService+"/book"), strings.NewReader(body))
	require.NoError(b.t, err)
	q.Header.Set(routing.HeaderCustomer, bedCustomer)
	if method == http.MethodPost {
		q.Header.Set("Idempotency-Key", key)
	}
	return b.do(q)
}

// do sends a request.
func (b *bed) do(q *http.Request) reply {
	b.t.Helper()
	resp, err := http.DefaultClient.Do(q)
	require.NoError(b.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(b.t, err)
	return replyOf(resp, data)
}
