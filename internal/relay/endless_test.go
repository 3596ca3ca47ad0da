package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/bound"
	"fennelyard/internal/relay"
	"fennelyard/internal/standin"
)

// readSlack is what is read ahead of what is counted.
const readSlack = 16 << 10

// A faulty server that sends bytes without end, in any part of what precedes a response, must not fill the memory
// of the entry until the deadline of the request.
func TestEndlessResponsesAreBounded(t *testing.T) {
	const ok, other = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX-Id: other\r\n"
	for name, test := range map[string]struct {
		beginning, repeated string
		kind                bound.Kind
		maxRead             int
	}{
		"status line":                      {"HTTP/1.1 200 ", "a", bound.KindHead, bound.HeadBytes},
		"no response at all":               {"", "a", bound.KindHead, bound.HeadBytes},
		"field":                            {ok + "X-Id: ", "a", bound.KindHead, bound.HeadBytes},
		"name of a field":                  {ok, "a", bound.KindHead, bound.HeadBytes},
		"continued field":                  {ok + "X-Id: a\r\n", " b\r\n", bound.KindFields, bound.HeadBytes},
		"fields":                           {ok, "A:\r\n", bound.KindFields, bound.HeadBytes},
		"long fields":                      {ok, "A: " + strings.Repeat("b", 1000) + "\r\n", bound.KindHead, bound.HeadBytes},
		"informational responses":          {"", "HTTP/1.1 100 Continue\r\n\r\n", bound.KindInterim, bound.HeadBytes},
		"field of an informational one":    {"HTTP/1.1 103 Early Hints\r\nLink: ", "a", bound.KindHead, bound.HeadBytes},
		"body of another response":         {other + "Content-Length: 99999999999\r\n\r\n", "a", bound.KindDiscarded, bound.DiscardedBytes + bound.HeadBytes},
		"chunks of another response":       {other + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("b", 0x1000) + "\r\n", bound.KindDiscarded, 2*bound.DiscardedBytes + bound.HeadBytes},
		"head behind another response":     {other + "Content-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\nX-Id: ", "a", bound.KindHead, bound.HeadBytes},
		"fields behind another response":   {other + "Content-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n", "A:\r\n", bound.KindFields, bound.HeadBytes},
		"head behind chunks of another":    {other + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: ", "a", bound.KindHead, bound.HeadBytes},
		"head behind an informational one": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", "A:\r\n", bound.KindFields, bound.HeadBytes},
	} {
		t.Run(name, func(t *testing.T) {
			conn := standin.NewEndlessConn(standin.EndlessConnConfig{Beginning: test.beginning, Repeated: test.repeated, MaxBytes: 16 << 20})
			_, err := sendOver(conn)
			require.LessOrEqual(t, conn.ReadBytes(), int64(test.maxRead+readSlack))
			require.ErrorIs(t, err, relay.ErrInterrupted)
			require.NotErrorIs(t, err, relay.ErrNotSent)
			met := bound.Of(err)
			require.NotNil(t, met, "%v", err)
			require.Equal(t, test.kind, met.Kind)
		})
	}
}

// The line of a chunk, its extension and the trailer of a response are bounded by net/http: this must stay so.
func TestFramingWithoutEndIsBounded(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct{ beginning, repeated string }{
		"size of a chunk":      {chunked, "0"},
		"extension of a chunk": {chunked + "1;", "a"},
		"trailer":              {chunked + "0\r\nA: ", "b"},
		"fields of a trailer":  {chunked + "0\r\n", "A: b\r\n"},
		"tiny chunks":          {chunked, "1;" + strings.Repeat("e", 60) + "\r\na\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			conn := standin.NewEndlessConn(standin.EndlessConnConfig{Beginning: test.beginning, Repeated: test.repeated, MaxBytes: 16 << 20})
			response, err := sendOver(conn)
			require.NoError(t, err)
			defer response.Close()
			_, err = io.Copy(io.Discard, response.Body)
			require.ErrorIs(t, err, relay.ErrInterrupted)
			require.Less(t, conn.ReadBytes(), int64(1<<20))
		})
	}
}

// A response to another request whose end is that of the connection is not followed by any other: there is
// nothing to wait for.
func TestNothingIsReadBehindTheEndOfAConnection(t *testing.T) {
	conn := standin.NewEndlessConn(standin.EndlessConnConfig{Beginning: "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", Repeated: "a", MaxBytes: 16 << 20})
	_, err := sendOver(conn)
	require.ErrorIs(t, err, relay.ErrMismatchedResponse)
	require.LessOrEqual(t, conn.ReadBytes(), int64(readSlack))
}

// Sound responses pass whatever their size, and whatever sound responses precede them.
func TestSoundResponsesPassTheBounds(t *testing.T) {
	const body, other = 8 << 20, "HTTP/1.1 200 OK\r\nX-Id: other\r\n"
	for name, test := range map[string]struct{ before, fields, repeated string }{
		"large header":               {"", strings.Repeat("A: "+strings.Repeat("b", 200)+"\r\n", 200), "\r\n"},
		"informational responses":    {strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", bound.InterimResponses), "", "\r\n"},
		"behind a repeated response": {other + "Content-Length: 1048576\r\n\r\n" + strings.Repeat("x\r\n\r\n", 1<<20)[:1<<20], "", "\r\n"},
		"behind a short one":         {other + "Content-Length: 2\r\n\r\nhi", "", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			conn := standin.NewEndlessConn(standin.EndlessConnConfig{
				Beginning: test.before + "HTTP/1.1 200 OK\r\nX-Id: own\r\n" + test.fields + fmt.Sprintf("Content-Length: %d\r\n\r\n", body),
				Repeated:  test.repeated, MaxBytes: 32 << 20,
			})
			response, err := sendOver(conn)
			require.NoError(t, err)
			defer response.Close()
			require.Equal(t, int64(body), response.Length)
			n, err := io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.Equal(t, int64(body), n)
		})
	}
}

// The error of a malformed response goes into log lines: it must not quote all of what the server sent.
func TestErrorsDoNotQuoteWhatServersSend(t *testing.T) {
	conn := standin.NewEndlessConn(standin.EndlessConnConfig{Beginning: strings.Repeat("x", bound.HeadBytes/2) + "\r\n", Repeated: "a", MaxBytes: 16 << 20})
	_, err := sendOver(conn)
	require.ErrorIs(t, err, relay.ErrInterrupted)
	require.Less(t, len(err.Error()), 1<<10)
}

// sendOver sends a request over a connection.
func sendOver(conn net.Conn) (*relay.Response, error) {
	sender := relay.NewSender(relay.Config{Dial: func(context.Context, string) (net.Conn, error) { return conn, nil }})
	return sender.Send(context.Background(), "server", &relay.Request{
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
		MatchesResponse: func(h http.Header) bool { return h.Get("X-Id") == "own" },
	})
}
