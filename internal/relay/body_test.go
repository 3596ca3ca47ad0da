package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/relay"
)

// A process that crashes within a response without a length or chunks closes its connection
// as at the regular end. Only if the process still runs, the response is complete.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	for name, tt := range map[string]struct {
		header   string
		verify   func() relay.Presence
		complete bool
		err      error
		framing  relay.Framing
	}{
		"the process runs":         {"", func() relay.Presence { return relay.PresenceConfirmed }, true, nil, relay.FramingClose},
		"another process runs":     {"", func() relay.Presence { return relay.PresenceReplaced }, false, relay.ErrUnprovenEnd, relay.FramingClose},
		"some process listens":     {"", func() relay.Presence { return relay.PresenceListening }, false, relay.ErrUnprovenEnd, relay.FramingClose},
		"the process has ended":    {"", func() relay.Presence { return relay.PresenceRefused }, false, relay.ErrInterrupted, relay.FramingClose},
		"the path is lost":         {"", func() relay.Presence { return relay.PresenceSilent }, false, relay.ErrUnprovenEnd, relay.FramingClose},
		"nobody may ask":           {"", nil, false, relay.ErrUnprovenEnd, relay.FramingClose},
		"a length is proof enough": {"Content-Length: 2\r\n", func() relay.Presence { return relay.PresenceRefused }, true, nil, relay.FramingLength},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { require.NoError(t, l.Close()) }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 1<<10))
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\nok", tt.header)
				_ = conn.Close()
			}()
			response, err := relay.NewSender(relay.Config{}).Send(t.Context(), l.Addr().String(), &relay.Request{
				Method: "GET", Target: "/", Host: "h", VerifyEnd: tt.verify,
				MatchesResponse: func(http.Header) bool { return true },
			})
			require.NoError(t, err)
			defer response.Close()
			require.Equal(t, tt.framing, response.Framing)
			body, err := io.ReadAll(response.Body)
			require.ErrorIs(t, err, tt.err)
			require.Equal(t, "ok", string(body))
			require.Equal(t, tt.complete, response.Body.Complete())
		})
	}
}

// A server that stops at the deadline that it was sent may end its response as if it were whole.
func TestEndOfAServerThatStopsAtTheDeadlineIsNotThatOfTheBody(t *testing.T) {
	confirm := func() relay.Presence { return relay.PresenceConfirmed }
	for name, tt := range map[string]struct {
		response string
		end      error
	}{
		"chunks": {"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", relay.ErrUnprovenEnd},
		"close":  {"\r\nok", relay.ErrUnprovenEnd},
		"length": {"Content-Length: 2\r\n\r\nok", nil},
	} {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " ", late), func(t *testing.T) {
				r, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+tt.response)), nil)
				require.NoError(t, err)
				stopsAt := time.Now().Add(time.Hour)
				if late {
					stopsAt = time.Now()
				}
				body := relay.NewBody(r, stopsAt, confirm)
				got, err := io.ReadAll(body)
				require.Equal(t, "ok", string(got))
				if late {
					require.ErrorIs(t, err, tt.end)
				} else {
					require.NoError(t, err)
				}
				require.Equal(t, err == nil, body.Complete())
			})
		}
	}
}
