package relay_test

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/relay"
)

// A server that has ended is told from one that lives and from one that can't be reached:
// only the first may have ended by what it ran.
func TestPresence(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	sender := relay.NewSender(relay.Config{})
	require.Equal(t, relay.PresenceListening, sender.Probe(context.Background(), l.Addr().String()))
	require.NoError(t, l.Close())
	require.Equal(t, relay.PresenceRefused, sender.Probe(context.Background(), l.Addr().String()))

	hangs := relay.NewSender(relay.Config{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	require.Equal(t, relay.PresenceSilent, hangs.Probe(context.Background(), l.Addr().String()))
}
