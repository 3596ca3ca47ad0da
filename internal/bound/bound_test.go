package bound_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/bound"
)

// A reply that is longer than its bound must not be taken for a complete one.
func TestTooLongRepliesAreErrors(t *testing.T) {
	data, err := bound.ReadAll(strings.NewReader("reply"), 5)
	require.NoError(t, err)
	require.Equal(t, "reply", string(data))
	_, err = bound.ReadAll(strings.NewReader("reply "), 5)
	require.Equal(t, &bound.Error{Kind: bound.KindReply, Limit: 5}, bound.Of(err))
	require.Nil(t, bound.Of(io.ErrUnexpectedEOF))
	require.Nil(t, bound.Of(nil))
}

// The error of net/http for a head beyond the bound of a transport has no type: its text must stay known.
func TestBoundOfTransportIsRecognized(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Long", strings.Repeat("a", 2*bound.ReplyHeadBytes))
	}))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: bound.ReplyHeadBytes, DisableKeepAlives: true}}
	_, err := client.Get(server.URL)
	require.Error(t, err)
	require.Equal(t, &bound.Error{Kind: bound.KindHead, Limit: bound.ReplyHeadBytes}, bound.Of(err))
}

// For any bytes, a Reader returns the response that net/http reads from them, and the same body, unless it meets a
// bound.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 200 OK\nA: b\n c\n\nrest",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nT: v\r\n\r\n",
		"\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nA\r\n\r\n", strings.Repeat("HTTP/1.1 103 x\r\n\r\n", 20) + "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 300) + "\r\n",
	} {
		f.Add([]byte(seed), "GET")
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"), "HEAD")
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\nbytes of a server"), "CONNECT")
	f.Fuzz(func(t *testing.T, data []byte, method string) {
		request := &http.Request{Method: method}
		want, wantErr := readPlainly(data, request)
		got, gotErr := readAll(data, request)
		if bound.Of(gotErr) != nil {
			return
		}
		require.Equal(t, wantErr != nil, gotErr != nil, "%v, %v", wantErr, gotErr)
		require.Equal(t, want, got)
	})
}

// readAll describes the response that a Reader reads.
func readAll(data []byte, request *http.Request) (string, error) {
	response, err := bound.NewReader(bytes.NewReader(data)).ReadResponse(request)
	if err != nil {
		return "", err
	}
	return describe(response), nil
}

// readPlainly describes the response that net/http reads.
func readPlainly(data []byte, request *http.Request) (string, error) {
	in := bufio.NewReaderSize(bytes.NewReader(data), 8<<10)
	for {
		response, err := http.ReadResponse(in, request)
		if err != nil {
			return "", err
		}
		if response.StatusCode >= http.StatusOK {
			return describe(response), nil
		}
	}
}

func describe(r *http.Response) string {
	body, err := io.ReadAll(r.Body)
	return fmt.Sprintf("%d %v %d %v %q %v %v", r.StatusCode, r.Header, r.ContentLength, r.TransferEncoding, body, r.Trailer, err)
}
