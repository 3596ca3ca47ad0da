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

const keyRevocation = 5 * time.Second

var keySalt = team.NewSalt()

func teamWithKeys(name string, quota *schema.Quota, keys ...string) *schema.Team {
	out := &schema.Team{Name: name, Quota: quota}
	for _, k := range keys {
		out.KeyDigests = append(out.KeyDigests, team.Digest(keySalt, k))
	}
	return out
}

// configurationWithTeams is a configuration whose routes require a key, except the route
// "again".
func configurationWithTeams(version uint64, teams ...*schema.Team) *schema.Changes {
	all := routes()
	for _, r := range all {
		r.Anonymous = r.GetName() == "again"
	}
	c := configuration(version, all...)
	c.GetRecords()[0].GetConfiguration().KeySalt = keySalt
	for _, t := range teams {
		c.Records = append(c.Records, &schema.Record{Key: ledger.TeamKey(t.GetName()), Value: &schema.Record_Team{Team: t}})
	}
	return c
}

func newTestGatewayWithTeams(t *testing.T, teams []*schema.Team, backends ...*backend) *testGateway {
	t.Helper()
	tg := startTestGateway(t, gateway.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Millisecond, Burst: 100}, logr.Discard(), backends...)
	tg.g.Configure(configurationWithTeams(2, teams...))
	tg.g.SetConfirmationAge(0)
	return tg
}

func (tg *testGateway) callWithKey(t *testing.T, path, key string) result {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, tg.url+path, strings.NewReader("b"))
	require.NoError(t, err)
	request.Host = "h.example"
	request.Header.Set("X-Id", "42")
	request.Header.Set("X-Wait", tg.timeoutMs)
	request.Header.Set("X-Key", key)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	_, _ = io.ReadAll(response.Body)
	return result{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After")}
}

// TestAPIKeys checks which requests run by key, route and age of the configuration's
// confirmation. A refused request reaches no server.
func TestAPIKeys(t *testing.T) {
	for name, test := range map[string]struct {
		path, key       string
		confirmationAge time.Duration
		want            int
		team            string
	}{
		"key of a team":                                {"/once/x", "k1", 0, http.StatusOK, "a"},
		"key of another team":                          {"/once/x", "k2", 0, http.StatusOK, "b"},
		"unknown key":                                  {"/once/x", "k3", 0, http.StatusUnauthorized, ""},
		"no key":                                       {"/once/x", "", 0, http.StatusUnauthorized, ""},
		"anonymous route, no key":                      {"/again/x", "", 0, http.StatusOK, ""},
		"anonymous route, unknown key":                 {"/again/x", "k3", 0, http.StatusOK, ""},
		"anonymous route, key of a team":               {"/again/x", "k1", 0, http.StatusOK, "a"},
		"anonymous route, old confirmation":            {"/again/x", "", time.Minute, http.StatusOK, ""},
		"unknown key, may be in a newer configuration": {"/once/x", "k3", 2 * time.Second, http.StatusServiceUnavailable, ""},
		"confirmation within the bound":                {"/once/x", "k1", keyRevocation - time.Second, http.StatusOK, "a"},
		"confirmation too old":                         {"/once/x", "k1", keyRevocation + time.Second, http.StatusServiceUnavailable, ""},
		"no route":                                     {"/nowhere/x", "", 0, http.StatusNotFound, ""},
	} {
		t.Run(name, func(t *testing.T) {
			a := newBackend(t, respondOK)
			tg := newTestGatewayWithTeams(t, []*schema.Team{teamWithKeys("a", nil, "k1"), teamWithKeys("b", nil, "k2")}, a)
			tg.g.SetConfirmationAge(test.confirmationAge)
			require.Equal(t, test.want, tg.callWithKey(t, test.path, test.key).status)
			if test.want != http.StatusOK {
				require.Zero(t, a.requests.Load())
				return
			}
			require.Equal(t, test.team, a.header("X-Team"))
		})
	}
}

// A key is revoked while its request is at a first server: the request must not reach a second
// one.
func TestKeyRevokedBetweenAttempts(t *testing.T) {
	var tg *testGateway
	revoke := func(c net.Conn, _ *http.Request) {
		tg.g.Configure(configurationWithTeams(3, teamWithKeys("a", nil, "other")))
		_, _ = fmt.Fprint(c, "HTTP/1.1 503 x\r\nX-Id: 42\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	a, b := newBackend(t, revoke), newBackend(t, revoke)
	tg = newTestGatewayWithTeams(t, []*schema.Team{teamWithKeys("a", nil, "k1")}, a, b)
	require.Equal(t, http.StatusUnauthorized, tg.callWithKey(t, "/once/x", "k1").status)
	require.Equal(t, int64(1), a.requests.Load()+b.requests.Load())
}

// A key is revoked while a stream runs, and its server fails: the stream must not go on at another one with a key that
// has been revoked everywhere.
func TestKeyRevokedWhileAStreamRuns(t *testing.T) {
	for name, keys := range map[string][]string{"revoked": {"other"}, "another added": {"k1", "other"}} {
		t.Run(name, func(t *testing.T) {
			var tg *testGateway
			handle := func(conn net.Conn, request *http.Request) {
				if request.Header.Get("X-After") == "2" {
					streamEvents(3, 4, true)(conn, request)
					return
				}
				tg.g.Configure(configurationWithTeams(3, teamWithKeys("a", nil, keys...)))
				streamEvents(1, 2, false)(conn, request)
			}
			a, b := newBackend(t, handle), newBackend(t, handle)
			tg = newTestGatewayWithTeams(t, []*schema.Team{teamWithKeys("a", nil, "k1")}, a, b)
			require.Equal(t, http.StatusOK, tg.callWithKey(t, "/resume/x", "k1").status)
			want := int64(1)
			if len(keys) > 1 {
				want = 2
			}
			require.Equal(t, want, a.requests.Load()+b.requests.Load())
		})
	}
}

// An entry is frozen, or its connection delayed, with a control host's update in its socket.
// When it is read late, the update must not count as a recent confirmation.
func TestLateUpdateDoesNotConfirm(t *testing.T) {
	tg := newTestGateway(t, newBackend(t, respondOK))
	time.Sleep(30 * time.Millisecond)
	require.GreaterOrEqual(t, tg.g.RecordConfirmation(20*time.Millisecond, 10*time.Millisecond), 20*time.Millisecond)
	// The update that acknowledges an earlier report arrives last.
	age := tg.g.RecordConfirmation(time.Millisecond, 0)
	require.Less(t, age, tg.g.RecordConfirmation(time.Millisecond, 10*time.Second)+time.Second)
}

// A team that has used up its quota gets a Retry-After, other teams are not affected, and
// requests that did not run are not counted.
func TestOverQuota(t *testing.T) {
	a := newBackend(t, respondOK)
	tg := newTestGatewayWithTeams(t, []*schema.Team{teamWithKeys("a", &schema.Quota{RatePerSecond: 0.25}, "k1"), teamWithKeys("b", nil, "k2")}, a)
	tg.g.SetTeamUses(&schema.TeamUses{Entries: 1, Uses: []*schema.TeamUse{{Team: "a", Admitted: 2, Available: -2}}})
	tg.g.GrantQuota("a", 2)
	require.Equal(t, http.StatusOK, tg.callWithKey(t, "/once/x", "k1").status)
	require.Equal(t, http.StatusOK, tg.callWithKey(t, "/once/x", "k1").status)
	r := tg.callWithKey(t, "/once/x", "k1")
	require.Equal(t, http.StatusTooManyRequests, r.status)
	require.NotEmpty(t, r.retryAfter)
	require.Equal(t, http.StatusOK, tg.callWithKey(t, "/once/x", "k2").status)
	full := newBackend(t, respondNotRun)
	tg = newTestGatewayWithTeams(t, []*schema.Team{teamWithKeys("a", &schema.Quota{RatePerSecond: 0.25}, "k1")}, full)
	tg.g.SetTeamUses(&schema.TeamUses{Entries: 1, Uses: []*schema.TeamUse{{Team: "a", Admitted: 2, Available: -2}}})
	tg.g.GrantQuota("a", 2)
	for range 5 {
		require.Equal(t, http.StatusServiceUnavailable, tg.callWithKey(t, "/once/x", "k1").status)
	}
}
