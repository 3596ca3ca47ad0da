package role_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/metrics"
	"fennelyard/internal/role"
	"fennelyard/internal/schema"
)

// cluster is a small group of control hosts, each with its own loopback address.
type cluster struct {
	t     *testing.T
	port  int
	seeds []string
	hosts map[string]*role.Control
	// engines, if set, receives the hosts' orders.
	engines *fakeEngines
}

func newCluster(t *testing.T, ips ...string) *cluster {
	c := &cluster{t: t, port: freePort(t), hosts: map[string]*role.Control{}}
	for _, ip := range ips {
		c.seeds = append(c.seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, c.port+1)))
	}
	t.Cleanup(func() {
		for _, h := range c.hosts {
			h.Close()
		}
	})
	return c
}

// start starts a host with an empty disk.
func (c *cluster) start(ip string, founding bool) {
	c.t.Helper()
	folder := c.t.TempDir()
	file := filepath.Join(folder, "settings.yaml")
	text := fmt.Sprintf("host: h-%s\ndata-centre: a\nip: %s\npeer-port: %d\nseeds: [%s]\nfounding: %v\ndata-folder: %s\noperator-address: %s:%d\n",
		ip, ip, c.port, strings.Join(c.seeds, ","), founding, folder, ip, c.port+1)
	require.NoError(c.t, os.WriteFile(file, []byte(text), 0o600))
	s, err := role.LoadSettings(file)
	require.NoError(c.t, err)
	h, err := role.NewControl(role.ControlConfig{
		Settings: s, Metrics: metrics.New(), Log: logr.Discard(), Engines: c.engines.client(),
		Handler: func(*role.Control) http.Handler { return http.NotFoundHandler() },
	})
	require.NoError(c.t, err)
	c.hosts[ip] = h
}

func (c *cluster) stop(ip string) {
	c.hosts[ip].Close()
	delete(c.hosts, ip)
}

// put commits a version at whichever host leads.
func (c *cluster) put(version uint64) {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		for _, h := range c.hosts {
			q := &schema.PutConfiguration{Configuration: &schema.Configuration{Version: version, Document: fmt.Append(nil, version)}}
			if h.PutConfiguration(context.Background(), q) == nil {
				return true
			}
		}
		return false
	}, 30*time.Second, 20*time.Millisecond)
}

// newestConfiguration returns the configuration that the leader confirms.
func (c *cluster) newestConfiguration() string {
	var text []byte
	require.Eventually(c.t, func() bool {
		for _, h := range c.hosts {
			var err error
			if text, err = h.Configuration(context.Background()); err == nil {
				return true
			}
		}
		return false
	}, 30*time.Second, 20*time.Millisecond)
	return string(text)
}

func (c *cluster) voters() int {
	for _, h := range c.hosts {
		if n, leads := h.Voters(); leads {
			return n
		}
	}
	return 0
}

func (c *cluster) awaitVoters(n int) {
	c.t.Helper()
	require.Eventually(c.t, func() bool { return c.voters() == n }, 30*time.Second, 50*time.Millisecond)
}

// Three seeds bootstrap the group and a fourth host joins. Then a seed is lost for good and
// an empty host starts at another address: it must replace the lost host, so that the group
// survives another loss, and no acknowledged configuration is lost.
func TestHostsJoinBySeedsAndAreReplaced(t *testing.T) {
	c := newCluster(t, "127.0.1.1", "127.0.1.2", "127.0.1.3")
	for _, ip := range []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"} {
		c.start(ip, true)
	}
	c.put(1)
	c.start("127.0.1.4", true)
	c.awaitVoters(4)
	c.put(2)

	c.stop("127.0.1.2")
	c.start("127.0.1.5", false)
	c.awaitVoters(4)
	require.Eventually(t, func() bool { return c.hosts["127.0.1.5"].IsVoter() }, 30*time.Second, 50*time.Millisecond)
	c.put(3)
	c.stop("127.0.1.1")
	require.Equal(t, "3", c.newestConfiguration())
}

// A host loses its disk and restarts at its old address: it must join as a new member that
// replaces the old one.
func TestHostWithLostDiskRejoins(t *testing.T) {
	c := newCluster(t, "127.0.2.1", "127.0.2.2", "127.0.2.3")
	for _, ip := range []string{"127.0.2.1", "127.0.2.2", "127.0.2.3"} {
		c.start(ip, true)
	}
	c.put(1)
	c.awaitVoters(3)
	c.stop("127.0.2.3")
	c.start("127.0.2.3", false)
	require.Eventually(t, func() bool { return c.hosts["127.0.2.3"].IsVoter() }, 30*time.Second, 50*time.Millisecond)
	c.awaitVoters(3)
	c.stop("127.0.2.1")
	require.Equal(t, "1", c.newestConfiguration())
}
