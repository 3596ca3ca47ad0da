package gossip_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/gossip"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/schema"
)

// startEntry starts an entry without others, and its server.
func startEntry(t *testing.T) (*quarantine.SuspectSet, string) {
	t.Helper()
	set := quarantine.NewSuspectSet(quarantine.SuspectSetConfig{Now: time.Now, Log: logr.Discard()})
	g := gossip.New(gossip.Config{
		Self: "self", Entries: func() []string { return nil }, Suspects: set, Random: func(int) int { return 0 }, Log: logr.Discard(),
		Merge: func(list []*schema.Suspect) { set.Merge(list, quarantine.SourceEntry) },
		Exchange: func(context.Context, string, *schema.SuspectExchange) (*schema.SuspectExchange, error) {
			return nil, errNoPath
		},
	})
	t.Cleanup(g.Close)
	s := httptest.NewServer(gossip.NewHandler(g))
	t.Cleanup(s.Close)
	return set, s.Listener.Addr().String()
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// The records of one entry reach another one over HTTP, and a comparison returns what the sender lacks.
func TestExchangeOverHTTP(t *testing.T) {
	set, address := startEntry(t)
	client := gossip.NewClient(dialTCP)
	t.Cleanup(client.Close)
	key := keyOf("/harmful")
	suspect := &schema.Suspect{Key: key[:], Ended: []*schema.EndedServer{{Server: "a", AgeMs: 1}, {Server: "b", AgeMs: 1}, {Server: "c", AgeMs: 1}}}
	reply, err := client.Exchange(t.Context(), address, &schema.SuspectExchange{Suspects: []*schema.Suspect{suspect}})
	require.NoError(t, err)
	require.Empty(t, reply.GetSuspects())
	_, held := set.HeldBack(key)
	require.True(t, held)
	reply, err = client.Exchange(t.Context(), address, &schema.SuspectExchange{Digest: 1})
	require.NoError(t, err)
	require.Equal(t, set.LikelyDigest(), reply.GetDigest())
	require.Len(t, reply.GetSuspects(), 1)
	reply, err = client.Exchange(t.Context(), address, &schema.SuspectExchange{Digest: set.LikelyDigest()})
	require.NoError(t, err)
	require.Empty(t, reply.GetSuspects())
}

// Malformed messages between entries must change nothing.
func TestMalformedMessages(t *testing.T) {
	key := keyOf("/harmful")
	encode := func(m *schema.SuspectExchange) []byte {
		out, err := proto.Marshal(m)
		require.NoError(t, err)
		return out
	}
	ended := func(ageMs int64, servers ...string) (out []*schema.EndedServer) {
		for _, s := range servers {
			out = append(out, &schema.EndedServer{Server: s, AgeMs: ageMs})
		}
		return out
	}
	many := make([]*schema.Suspect, 300)
	for i := range many {
		many[i] = &schema.Suspect{Key: key[:], Ended: ended(1, "a", "b", "c")}
	}
	const day = 24 * 60 * 60 * 1000
	for name, tt := range map[string]struct {
		method string
		body   []byte
		status int
	}{
		"another method":    {http.MethodPut, nil, http.StatusMethodNotAllowed},
		"no message":        {http.MethodPost, []byte("not a message"), http.StatusBadRequest},
		"too long":          {http.MethodPost, bytes.Repeat([]byte{0}, 300<<10), http.StatusRequestEntityTooLarge},
		"too many suspects": {http.MethodPost, encode(&schema.SuspectExchange{Suspects: many}), http.StatusBadRequest},
		"a short key":       {http.MethodPost, encode(&schema.SuspectExchange{Suspects: []*schema.Suspect{{Key: key[1:], Ended: ended(1, "a", "b", "c")}}}), http.StatusOK},
		"an unknown scope":  {http.MethodPost, encode(&schema.SuspectExchange{Suspects: []*schema.Suspect{{Key: key[:], Scope: 99, Ended: ended(1, "a", "b", "c")}}}), http.StatusOK},
		"from the future":   {http.MethodPost, encode(&schema.SuspectExchange{Suspects: []*schema.Suspect{{Key: key[:], Ended: ended(-day, "a", "b", "c")}}}), http.StatusOK},
		"too old":           {http.MethodPost, encode(&schema.SuspectExchange{Suspects: []*schema.Suspect{{Key: key[:], Ended: ended(day, "a", "b", "c")}}}), http.StatusOK},
		"no names":          {http.MethodPost, encode(&schema.SuspectExchange{Suspects: []*schema.Suspect{{Key: key[:], Ended: ended(1, "")}}}), http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			set, address := startEntry(t)
			r, err := http.NewRequestWithContext(t.Context(), tt.method, "http://"+address+"/suspects", bytes.NewReader(tt.body))
			require.NoError(t, err)
			response, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, tt.status, response.StatusCode)
			require.True(t, set.Empty())
		})
	}
}

// A message cut between two records is a valid one: a reply that ends with its connection, as the kernel of a killed
// entry closes it, must not be merged as whole.
func TestHalfRepliesAreErrors(t *testing.T) {
	key := keyOf("/harmful")
	half, err := proto.Marshal(&schema.SuspectExchange{Suspects: []*schema.Suspect{{Key: key[:]}}})
	require.NoError(t, err)
	for name, head := range map[string]string{
		"without length": "\r\n", "closed": "Connection: close\r\n\r\n", "half of the length": "Content-Length: 1000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = conn.Write(append([]byte("HTTP/1.1 200 OK\r\n"+head), half...))
				_ = conn.Close()
			}))
			t.Cleanup(s.Close)
			client := gossip.NewClient(dialTCP)
			t.Cleanup(client.Close)
			_, err := client.Exchange(t.Context(), s.Listener.Addr().String(), &schema.SuspectExchange{Digest: 1})
			require.Error(t, err)
		})
	}
}
