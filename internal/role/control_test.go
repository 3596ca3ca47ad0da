package role_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/loading"
	"fennelyard/internal/metrics"
	"fennelyard/internal/role"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

// freePort returns a loopback port that was free a moment ago.
func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().(*net.TCPAddr).Port
}

// newControl starts a group of one control host and waits until it leads.
func newControl(t *testing.T) *role.Control {
	t.Helper()
	folder := t.TempDir()
	file := filepath.Join(folder, "settings.yaml")
	operators := freePort(t)
	text := fmt.Sprintf("host: core-1\ndata-centre: a\nip: 127.0.0.1\npeer-port: %d\nseeds: [\"127.0.0.1:%d\"]\n"+
		"founding: true\ndata-folder: %s\noperator-address: 127.0.0.1:%d\n", freePort(t), operators, folder, operators)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	s, err := role.LoadSettings(file)
	require.NoError(t, err)
	c, err := role.NewControl(role.ControlConfig{
		Settings: s, Metrics: metrics.New(), Log: logr.Discard(), Engines: loading.Engines{},
		Handler: func(*role.Control) http.Handler { return http.NotFoundHandler() },
	})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	require.Eventually(t, func() bool {
		return c.PutConfiguration(context.Background(), &schema.PutConfiguration{
			Configuration: &schema.Configuration{Version: 1}, Pools: []*schema.Pool{{Name: "app"}},
		}) == nil
	}, 20*time.Second, 20*time.Millisecond)
	return c
}

// A server sends its departure and gives up before the group has committed it. The record
// is committed all the same. The server repeats the call and receives an acknowledgement:
// no more requests may be sent to it, although the record is not new.
func TestRepeatedDepartureRemovesTheServer(t *testing.T) {
	c := newControl(t)
	ready := roster.Announcement{ID: "i-1", Pool: "app", Address: "127.0.0.1:1", Slots: 1, Sequence: 1}
	require.NoError(t, c.Announce(context.Background(), ready))
	require.True(t, c.Ready("i-1"))

	require.NoError(t, c.RecordDeparture("i-1"))
	start := time.Now()
	// Entries may hold leases of an earlier leader when a term begins: the server repeats its call.
	require.Eventually(t, func() bool { return c.Depart(context.Background(), "i-1") == nil }, roster.LeaseTime+time.Second, time.Millisecond)
	require.False(t, c.Ready("i-1"))
	require.Less(t, time.Since(start), roster.LeaseTime+time.Second)
}

// A foreign message reports that a server departs. It has the server's ID but not its
// incarnation. If it counted as the server's own, the departure would be recorded under the
// ID, and every entry would stop using a running server.
func TestDepartureWithoutIncarnationIsRefused(t *testing.T) {
	c := newControl(t)
	own := roster.Announcement{ID: "i-1@1784556072000", Pool: "app", Address: "127.0.0.1:1", Slots: 1, Sequence: 1}
	require.NoError(t, c.Announce(context.Background(), own))
	foreign := roster.Announcement{ID: "i-1", Pool: "app", Address: "127.0.0.1:9", Slots: 1, Sequence: 2, Leaving: true}
	require.ErrorIs(t, c.Announce(context.Background(), foreign), role.ErrNoIncarnation)
	own.Sequence = 3
	require.NoError(t, c.Announce(context.Background(), own))
	require.True(t, c.Ready(own.ID))
}
