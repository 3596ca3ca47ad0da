package peer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/peer"
	"fennelyard/internal/standin"
)

// stopLimit is how long a server may take to stop.
const stopLimit = 3 * time.Second

// A host that is cut off while another one connects to it takes two minutes to stop: the server waits for the
// beginning of the connection's protocol. Whoever starts it again waits as long, and the group is one voter short.
func TestStopDoesNotWaitForSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const address = "10.0.0.1:7000"
		network := standin.NewNetwork()
		listener, err := network.Listen("tcp", address)
		require.NoError(t, err)
		s := peer.NewServer(peer.ServerConfig{Listener: listener})
		conn, err := network.DialFrom("10.0.0.2")(context.Background(), address)
		require.NoError(t, err)
		defer func() { require.NoError(t, conn.Close()) }()
		synctest.Wait()
		start := time.Now()
		s.Stop()
		require.LessOrEqual(t, time.Since(start), stopLimit)
	})
}
