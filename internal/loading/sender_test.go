package loading_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/loading"
)

// A new leader of a large fleet has dozens of orders to send, and each order holder queries it
// once per order to confirm its term. It has no time to reply to them all, and the orders are
// not sent but repeated: for fifteen seconds hardly one is sent. A burst of orders must query
// once, and wait for the reply of a busy leader.
func TestBurstOfOrdersQueriesLeaderOnce(t *testing.T) {
	for name, test := range map[string]struct {
		delay time.Duration
		fails bool
		sent  int
	}{
		"an idle leader":         {time.Millisecond, false, 30},
		"a busy leader":          {350 * time.Millisecond, false, 30},
		"a leader that is gone":  {time.Minute, false, 0},
		"a host that leads none": {time.Millisecond, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				queries, sent := 0, 0
				s := loading.NewSender(loading.SenderConfig{
					CatchUp: func(ctx context.Context) (uint64, error) {
						mu.Lock()
						queries++
						mu.Unlock()
						select {
						case <-ctx.Done():
							return 0, ctx.Err()
						case <-time.After(test.delay):
						}
						if test.fails {
							return 0, errors.New("not the leader")
						}
						return 7, nil
					},
					IsHolder: func(string) bool { return true },
					SendOrder: func(context.Context, string, loading.Order) (loading.Outcome, error) {
						mu.Lock()
						defer mu.Unlock()
						sent++
						return loading.OutcomeTaken, nil
					},
					Now: time.Now, Log: logr.Discard(),
				})
				var wg sync.WaitGroup
				for i := range 30 {
					wg.Go(func() {
						time.Sleep(time.Duration(i%3) * time.Microsecond)
						server := string(rune('a' + i))
						_, err := s.Send(t.Context(), 7, "a:1", loading.Order{Server: server, Token: uint64(i + 1)})
						require.Equal(t, test.sent == 0, errors.Is(err, loading.ErrNotSent))
					})
				}
				wg.Wait()
				require.Equal(t, test.sent, sent)
				require.Equal(t, 1, queries)
			})
		})
	}
}
