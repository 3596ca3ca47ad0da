package tunnel_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/relay"
	"fennelyard/internal/tcp"
	"fennelyard/internal/tunnel"
)

// A socket reports its reset once: if the copy of a request that is still being sent gets it, the copy of the response
// reads a regular end.
func TestResetWhileTheRequestIsSentIsNotTheEndOfTheResponse(t *testing.T) {
	h := startHost(t, nil)
	wrong := 0
	const rounds = 100
	for range rounds {
		client, server := openPair(t, h)
		require.NoError(t, server.SetReadBuffer(4<<10))
		go func() { _, _ = client.Write(make([]byte, 16<<20)) }()
		_, err := bufio.NewReader(server).ReadByte()
		require.NoError(t, err)
		_, err = io.WriteString(server, "part")
		require.NoError(t, err)
		got := make([]byte, 4)
		_, err = io.ReadFull(client, got)
		require.NoError(t, err)
		time.Sleep(5 * time.Millisecond)
		tcp.Reset(server)
		if _, err = client.Read(got); err == io.EOF {
			wrong++
		}
		_ = client.Close()
	}
	require.Zero(t, wrong, fmt.Sprintf("of %d resets looked like regular ends", rounds))
}

// The same with a whole request and response: the server, which responds before it has read a long body, still runs
// when it is asked.
func TestResponseThatItsServerResetsThroughATunnelIsNotWhole(t *testing.T) {
	h := startHost(t, nil)
	sender := relay.NewSender(relay.Config{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return tunnel.Open(ctx, tunnel.Options{Dial: tcp.Dial, Host: h.address, Server: address})
	}})
	whole := map[int]int{}
	for _, mib := range []int{1, 2, 3, 4} {
		for range 20 {
			address, accepted := listen(t)
			go func() {
				server := <-accepted
				_, _ = http.ReadRequest(bufio.NewReader(server))
				_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(20 * time.Millisecond)
				tcp.Reset(server)
			}()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			response, err := sender.Send(ctx, address, &relay.Request{
				Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, mib<<20),
				MatchesResponse: func(http.Header) bool { return true }, VerifyEnd: func() relay.Presence { return relay.PresenceConfirmed },
			})
			if err == nil {
				if _, err = io.ReadAll(response.Body); err == nil {
					whole[mib]++
				}
				response.Close()
			}
			cancel()
		}
	}
	require.Empty(t, whole, "responses of 20 that look whole, by MiB of the request")
}
