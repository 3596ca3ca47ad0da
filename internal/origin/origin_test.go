package origin_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/origin"
)

// startEntry starts an entry's handler and returns its table and address.
func startEntry(t *testing.T) (*origin.Table, string) {
	t.Helper()
	table := origin.NewTable(origin.MaxEntryRecords, time.Now)
	server := httptest.NewServer(origin.NewHandler(table, func(pool string) origin.Versions {
		return origin.Versions{Pool: pool, Only: pool == "single", Several: pool == "several", Version: "v9"}
	}))
	t.Cleanup(server.Close)
	return table, strings.TrimPrefix(server.URL, "http://")
}

func newClient(t *testing.T) *origin.Client {
	t.Helper()
	c := origin.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	})
	t.Cleanup(c.Close)
	return c
}

// An origin that another entry has recorded must be found there, by its own caller alone.
func TestOriginIsFoundAtAnotherEntry(t *testing.T) {
	_, address := startEntry(t)
	c := newClient(t)
	want := origin.Origin{Pool: "llm", Version: "v 1/ü", Attempt: 1}
	require.NoError(t, c.Put(t.Context(), address, origin.NewKey("secret", "a-1"), want))
	got, known, err := c.Get(t.Context(), address, origin.NewKey("secret", "a-1"), "llm")
	require.NoError(t, err)
	require.True(t, known)
	require.Equal(t, want, got)
	for _, key := range []origin.Key{origin.NewKey("other", "a-1"), origin.NewKey("", "a-1"), origin.NewKey("secret", "a-2"), origin.NewKey("secreta", "-1")} {
		_, known, err = c.Get(t.Context(), address, key, "llm")
		require.NoError(t, err)
		require.False(t, known)
	}
	// A pool whose servers have all been of one version needs no record.
	got, known, err = c.Get(t.Context(), address, origin.NewKey("secret", "a-2"), "single")
	require.NoError(t, err)
	require.True(t, known)
	require.Equal(t, origin.Origin{Pool: "single", Version: "v9"}, got)
	_, known, err = c.Get(t.Context(), address, origin.NewKey("secret", "a-2"), "several")
	require.ErrorIs(t, err, origin.ErrSeveralVersions)
	require.False(t, known)
}

// Before its first event a stream may begin anew at another server: the later attempt must hold,
// whichever message arrives first.
func TestLaterAttemptHolds(t *testing.T) {
	table := origin.NewTable(origin.MaxEntryRecords, time.Now)
	key := origin.NewKey("", "a")
	table.Put(key, origin.Origin{Pool: "p", Version: "v2", Attempt: 2})
	table.Put(key, origin.Origin{Pool: "p", Version: "v1", Attempt: 1})
	got, known := table.Get(key)
	require.True(t, known)
	require.Equal(t, "v2", got.Version)
}

// The table must keep origins for Retention, and not grow without bound.
func TestTableIsBounded(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := origin.NewTable(origin.MaxEntryRecords, func() time.Time { return now })
	key := func(i int) origin.Key { return origin.NewKey("", strconv.Itoa(i)) }
	table.Put(key(0), origin.Origin{Pool: "p"})
	now = now.Add(origin.Retention - time.Second)
	table.Put(key(1), origin.Origin{Pool: "p"})
	_, known := table.Get(key(0))
	require.True(t, known)
	for range 2 {
		now = now.Add(origin.Retention + time.Second)
		table.Put(key(2), origin.Origin{Pool: "p"})
	}
	_, known = table.Get(key(0))
	require.False(t, known)
	for i := range 100_000 {
		table.Put(key(i), origin.Origin{Pool: "p"})
	}
	known0 := 0
	for i := range 100_000 {
		if _, known = table.Get(key(i)); known {
			known0++
		}
	}
	require.LessOrEqual(t, known0, 32768)
	_, known = table.Get(key(99_999))
	require.True(t, known)
}

// An entry reports the keys of several streams together: each must be found again, and a cut one must not shift the
// others.
func TestKeysThatFollowOneAnother(t *testing.T) {
	a, b := origin.NewKey("", "a"), origin.NewKey("", "b")
	keys, err := origin.KeysOf(append(a[:len(a):len(a)], b[:]...))
	require.NoError(t, err)
	require.Equal(t, []origin.Key{a, b}, keys)
	keys, err = origin.KeysOf(nil)
	require.NoError(t, err)
	require.Empty(t, keys)
	_, err = origin.KeysOf(append(a[:len(a):len(a)], b[1:]...))
	require.Error(t, err)
}

// Malformed messages between entries must change nothing.
func TestMalformedOrigins(t *testing.T) {
	_, address := startEntry(t)
	key := origin.NewKey("", "a").String()
	for name, tt := range map[string]struct {
		method, target string
		status         int
	}{
		"no key":             {http.MethodGet, "/streams/", http.StatusBadRequest},
		"a short key":        {http.MethodGet, "/streams/" + key[1:], http.StatusBadRequest},
		"no pool":            {http.MethodPut, "/streams/" + key + "?version=v1&attempt=1", http.StatusBadRequest},
		"no attempt":         {http.MethodPut, "/streams/" + key + "?pool=p&version=v1", http.StatusBadRequest},
		"a negative attempt": {http.MethodPut, "/streams/" + key + "?pool=p&attempt=-1", http.StatusBadRequest},
		"a long version":     {http.MethodPut, "/streams/" + key + "?pool=p&attempt=1&version=" + strings.Repeat("v", 600), http.StatusBadRequest},
		"another method":     {http.MethodPost, "/streams/" + key, http.StatusMethodNotAllowed},
		"unknown":            {http.MethodGet, "/streams/" + key, http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := http.NewRequestWithContext(t.Context(), tt.method, "http://"+address+tt.target, nil)
			require.NoError(t, err)
			response, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, tt.status, response.StatusCode)
		})
	}
}
