package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
	"fennelyard/internal/ledger"
	"fennelyard/internal/schema"
	"fennelyard/internal/team"
)

const revocation = 5 * time.Second

var salt = team.NewSalt()

func keyed(name string, quota *schema.Quota, keys ...string) *schema.Team {
	out := &schema.Team{Name: name, Quota: quota}
	for _, k := range keys {
		out.KeyDigests = append(out.KeyDigests, team.Digest(salt, k))
	}
	return out
}

// withTeams is a configuration whose routes but for "again" ask for a key.
func withTeams(version uint64, teams ...*schema.Team) *schema.Changes {
	all := routes()
	for _, r := range all {
		r.Anonymous = r.GetName() == "again"
	}
	c := configuration(version, all...)
	c.GetRecords()[0].GetConfiguration().KeySalt = salt
	for _, x := range teams {
		c.Records = append(c.Records, &schema.Record{Key: ledger.TeamKey(x.GetName()), Value: &schema.Record_Team{Team: x}})
	}
	return c
}

func newKeyedBed(t *testing.T, teams []*schema.Team, backends ...*backend) *bed {
	t.Helper()
	bed := newBedOf(t, gateway.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Millisecond, Burst: 100}, logr.Discard(), backends...)
	bed.g.Configure(withTeams(2, teams...))
	bed.g.Confirm(0)
	return bed
}

func (b *bed) callWith(t *testing.T, path, key string) result {
	t.Helper()
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, b.url+path, strings.NewReader("b"))
	require.NoError(t, err)
	q.Host = "h.example"
	q.Header.Set("X-Id", "42")
	q.Header.Set("X-Wait", b.wait)
	q.Header.Set("X-Key", key)
	r, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	require.NoError(t, err)
	defer func() { _ = r.Body.Close() }()
	_, _ = io.ReadAll(r.Body)
	return result{status: r.StatusCode, after: r.Header.Get("Retry-After")}
}

// Who may run what, by key, route and how long ago the configuration was confirmed. A
// request that is rejected reaches no server.
func TestKeys(t *testing.T) {
	for name, x := range map[string]struct {
		path, key string
		age       time.Duration
		want      int
		team      string
	}{
		"the key of a team":              {"/once/x", "k1", 0, http.StatusOK, "a"},
		"another team's":                 {"/once/x", "k2", 0, http.StatusOK, "b"},
		"unknown":                        {"/once/x", "k3", 0, http.StatusUnauthorized, ""},
		"none":                           {"/once/x", "", 0, http.StatusUnauthorized, ""},
		"open route, none":               {"/again/x", "", 0, http.StatusOK, ""},
		"open route, unknown":            {"/again/x", "k3", 0, http.StatusOK, ""},
		"open route, a team's":           {"/again/x", "k1", 0, http.StatusOK, "a"},
		"open route, confirmed long ago": {"/again/x", "", time.Minute, http.StatusOK, ""},
		"unknown where a newer configuration may have it": {"/once/x", "k3", 2 * time.Second, http.StatusServiceUnavailable, ""},
		"confirmed within the bound":                      {"/once/x", "k1", revocation - time.Second, http.StatusOK, "a"},
		"confirmed too long ago":                          {"/once/x", "k1", revocation + time.Second, http.StatusServiceUnavailable, ""},
		"no route":                                        {"/nowhere/x", "", 0, http.StatusNotFound, ""},
	} {
		t.Run(name, func(t *testing.T) {
			a := newBackend(t, answers)
			bed := newKeyedBed(t, []*schema.Team{keyed("a", nil, "k1"), keyed("b", nil, "k2")}, a)
			bed.g.Confirm(x.age)
			require.Equal(t, x.want, bed.callWith(t, x.path, x.key).status)
			if x.want != http.StatusOK {
				require.Zero(t, a.seen.Load())
				return
			}
			require.Equal(t, x.team, a.header("X-Team"))
		})
	}
}

// A key is revoked while its request is at a first server: it must not reach a second one.
func TestKeyRevokedBetweenTwoAttempts(t *testing.T) {
	var bed *bed
	revoke := func(c net.Conn, _ *http.Request) {
		bed.g.Configure(withTeams(3, keyed("a", nil, "other")))
		_, _ = fmt.Fprint(c, "HTTP/1.1 503 x\r\nX-Id: 42\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	a, b := newBackend(t, revoke), newBackend(t, revoke)
	bed = newKeyedBed(t, []*schema.Team{keyed("a", nil, "k1")}, a, b)
	require.Equal(t, http.StatusUnauthorized, bed.callWith(t, "/once/x", "k1").status)
	require.Equal(t, int64(1), a.seen.Load()+b.seen.Load())
}

// An entry is frozen, or its connection delayed, with a control host's answer in its socket:
// read late, the answer must not count as new.
func TestLateAnswerConfirmsNothing(t *testing.T) {
	bed := newBed(t, newBackend(t, answers))
	time.Sleep(30 * time.Millisecond)
	require.GreaterOrEqual(t, bed.g.Answer(20*time.Millisecond, 10*time.Millisecond), 20*time.Millisecond)
	// The answer to an earlier message comes last.
	age := bed.g.Answer(time.Millisecond, 0)
	require.Less(t, age, bed.g.Answer(time.Millisecond, 10*time.Second)+time.Second)
}

// A team that has used up its quota is told when to come back, others are not held up by
// it, and what did not run is not counted.
func TestOverQuota(t *testing.T) {
	a := newBackend(t, answers)
	bed := newKeyedBed(t, []*schema.Team{keyed("a", &schema.Quota{RatePerSecond: 0.25}, "k1"), keyed("b", nil, "k2")}, a)
	bed.g.Confirm(2 * time.Second)
	require.Equal(t, http.StatusOK, bed.callWith(t, "/once/x", "k1").status)
	require.Equal(t, http.StatusOK, bed.callWith(t, "/once/x", "k1").status)
	r := bed.callWith(t, "/once/x", "k1")
	require.Equal(t, http.StatusTooManyRequests, r.status)
	require.NotEmpty(t, r.after)
	require.Equal(t, http.StatusOK, bed.callWith(t, "/once/x", "k2").status)
	full := newBackend(t, sheds)
	bed = newKeyedBed(t, []*schema.Team{keyed("a", &schema.Quota{RatePerSecond: 0.25}, "k1")}, full)
	bed.g.Confirm(2 * time.Second)
	for range 5 {
		require.Equal(t, http.StatusServiceUnavailable, bed.callWith(t, "/once/x", "k1").status)
	}
}
