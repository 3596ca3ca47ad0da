package tunnel_test

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/tcp"
)

// lateBy is longer than a carrier waits for the first byte of a request.
const lateBy = 700 * time.Millisecond

// A request is sent long after the connection to its server stands, which may take no new work by then.
func TestLateRequestIsNotForwarded(t *testing.T) {
	client, server := openPair(t, startHost(t, nil))
	time.Sleep(lateBy)
	_, err := io.WriteString(client, "request")
	require.NoError(t, err)
	_, err = client.Read(make([]byte, 1))
	require.ErrorIs(t, err, tcp.ErrNotForwarded)
	got, err := io.ReadAll(server)
	require.Error(t, err, "the connection to the server is reset")
	require.Empty(t, got)
}

// The body of a request may come for as long as it takes.
func TestRestOfARequestIsForwardedLate(t *testing.T) {
	client, server := openPair(t, startHost(t, nil))
	for _, part := range []string{"head", "body"} {
		_, err := io.WriteString(client, part)
		require.NoError(t, err)
		got := make([]byte, len(part))
		_, err = io.ReadFull(server, got)
		require.NoError(t, err)
		require.Equal(t, part, string(got))
		time.Sleep(lateBy)
	}
}

// A response before a request that came late has perhaps run something: its end must not say that nothing did.
func TestResponseBeforeALateRequestIsNotUnforwarded(t *testing.T) {
	client, server := openPair(t, startHost(t, nil))
	_, err := io.WriteString(server, "early")
	require.NoError(t, err)
	got := make([]byte, len("early"))
	_, err = io.ReadFull(client, got)
	require.NoError(t, err)
	time.Sleep(lateBy)
	_, err = io.WriteString(client, "request")
	require.NoError(t, err)
	_, err = client.Read(got)
	require.Error(t, err)
	require.NotErrorIs(t, err, tcp.ErrNotForwarded)
	require.NotErrorIs(t, err, io.EOF, "nor that the response is whole")
}
