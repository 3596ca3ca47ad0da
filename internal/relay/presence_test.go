package relay_test

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/relay"
)

// A server whose process has ended must be distinguished from one that still runs and
// from one that can't be reached: only an ended process may have been ended by a
// request that it ran.
func TestPresence(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	sender := relay.NewSender(relay.Config{})
	require.Equal(t, relay.PresenceListening, sender.Probe(context.Background(), l.Addr().String()))
	require.NoError(t, l.Close())
	require.Equal(t, relay.PresenceRefused, sender.Probe(context.Background(), l.Addr().String()))

	unreachable := relay.NewSender(relay.Config{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	require.Equal(t, relay.PresenceSilent, unreachable.Probe(context.Background(), l.Addr().String()))
}
