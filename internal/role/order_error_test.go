package role_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/cooldown"
	"fennelyard/internal/loading"
	"fennelyard/internal/role"
	"fennelyard/internal/schema"
)

// The leader must not take an engine that wants no orders for an order holder that has failed: it
// would choose another holder.
func TestErrorsOfOrdersThroughTheirHolder(t *testing.T) {
	for name, test := range map[string]struct {
		reply   *schema.GiveOrderReply
		wait    time.Duration
		notSent bool
	}{
		"not sent":               {&schema.GiveOrderReply{Error: "x"}, 0, true},
		"sent, no reply":         {&schema.GiveOrderReply{Sent: true, Error: "x"}, 0, false},
		"withheld in a cooldown": {&schema.GiveOrderReply{Error: "x", CooldownMs: 1500}, 1500 * time.Millisecond, true},
		"sent and rejected":      {&schema.GiveOrderReply{Sent: true, Error: "x", CooldownMs: 1500}, 1500 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			err := role.OrderError(test.reply)
			require.Error(t, err)
			require.Equal(t, test.wait, cooldown.WaitOf(err))
			if test.notSent {
				require.ErrorIs(t, err, loading.ErrNotSent)
			} else {
				require.NotErrorIs(t, err, loading.ErrNotSent)
			}
		})
	}
	require.NoError(t, role.OrderError(&schema.GiveOrderReply{Sent: true, Outcome: 1}))
}
