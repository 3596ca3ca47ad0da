package role_test

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/loading"
	"fennelyard/internal/metrics"
	"fennelyard/internal/role"
	"fennelyard/internal/schema"
	"fennelyard/internal/standin"
	"fennelyard/internal/team"
)

const (
	sitePeerPort     = 7000
	siteOperatorPort = 8000
	siteSeeds        = 3
	// siteRevocation is how long after its revocation an entry may still take an API key.
	siteRevocation = time.Second
)

// site is a whole deployment on simulated time: control hosts and entries over a network
// in memory. The first three control hosts are the seeds. It belongs to one synctest
// bubble and one goroutine.
type site struct {
	t       *testing.T
	network *standin.Network
	random  *rand.Rand
	// control holds what runs; a host without power is absent. Others than the site's
	// goroutine read it under controlMu.
	controlMu sync.Mutex
	control   map[string]*role.Control
	// disks are the control hosts' folders.
	disks   map[string]string
	entries map[string]*role.Entry
	// calls counts callers' requests.
	calls atomic.Int64
	// next is the number of the control host that will lead once the present leader is
	// lost, noOne: chance decides. Hosts settle when to ask for votes as they hear a new
	// leader, so that it must be set before that one is elected.
	next atomic.Int64
	// stalls are until when a host's disk takes no write, by its IP address; guarded by
	// stallsMu.
	stallsMu sync.Mutex
	stalls   map[string]time.Time
	// closing are hosts without power whose goroutines end in the background.
	closing []<-chan struct{}
}

// noOne leaves it to chance who leads next.
const noOne = -1

// newSite starts a deployment whose first leader is followed by another.
func newSite(t *testing.T, seed int64, control, entries, next int) *site {
	s := &site{
		t: t, network: standin.NewNetwork(), random: rand.New(rand.NewSource(seed)),
		control: map[string]*role.Control{}, disks: map[string]string{}, entries: map[string]*role.Entry{},
		stalls: map[string]time.Time{},
	}
	s.next.Store(int64(next))
	for i := range control {
		s.startControl(controlIP(i), t.TempDir(), true)
	}
	for i := range entries {
		s.startEntry(fmt.Sprintf("10.0.1.%d", i+1))
	}
	return s
}

// controlIP is the address of a control host; those below siteSeeds are the seeds.
func controlIP(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

func (s *site) settings(ip, more string) *role.Settings {
	s.t.Helper()
	var seeds []string
	for i := range siteSeeds {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", controlIP(i), siteOperatorPort)))
	}
	text := fmt.Sprintf("host: h-%s\ndata-centre: a\nip: %s\npeer-port: %d\nseeds: [%s]\n%s", ip, ip, sitePeerPort, strings.Join(seeds, ","), more)
	file := filepath.Join(s.t.TempDir(), "settings.yaml")
	require.NoError(s.t, os.WriteFile(file, []byte(text), 0o600))
	out, err := role.LoadSettings(file)
	require.NoError(s.t, err)
	return out
}

func (s *site) at(ip string) role.Network {
	return role.Network{Listen: s.network.Listen, Dial: s.network.DialFrom(ip)}
}

// startControl starts a control host on a disk.
func (s *site) startControl(ip, disk string, founding bool) {
	s.t.Helper()
	more := fmt.Sprintf("founding: %v\ndata-folder: %s\noperator-address: %s:%d\n", founding, disk, ip, siteOperatorPort)
	own := rand.New(rand.NewSource(s.random.Int63()))
	c, err := role.NewControl(role.ControlConfig{
		Settings: s.settings(ip, more), Metrics: metrics.New(), Log: siteLog(ip), Engines: loading.Engines{},
		Handler: func(*role.Control) http.Handler { return http.NotFoundHandler() }, Network: s.at(ip),
		BeforeWrite: func() { time.Sleep(s.stalledFor(ip)) },
		Random: func(n int) int {
			switch next := int(s.next.Load()); {
			case next == noOne:
				return own.Intn(n)
			case ip == controlIP(next):
				// Not 0: the others heed no request for as long as they may hear the
				// old leader.
				return min(2, n-1)
			}
			return n - 1
		},
	})
	require.NoError(s.t, err)
	s.controlMu.Lock()
	defer s.controlMu.Unlock()
	s.control[ip], s.disks[ip] = c, disk
}

func (s *site) startEntry(ip string) {
	s.t.Helper()
	none := func(*role.Entry) http.Handler { return http.NotFoundHandler() }
	e, err := role.NewEntry(role.EntryConfig{
		Settings: s.settings(ip, fmt.Sprintf("caller-address: %s:9000\nready-address: %s:9001\nkey-revocation: %s\n", ip, ip, siteRevocation)),
		Codec:    backendCodec(), Ready: none, Directory: none, Metrics: metrics.New(), Log: siteLog(ip), RequestLog: logr.Discard(), Network: s.at(ip),
	})
	require.NoError(s.t, err)
	s.entries[ip] = e
}

// siteLog writes what hosts log where SITE_LOG is set, with simulated time.
func siteLog(ip string) logr.Logger {
	if os.Getenv("SITE_LOG") == "" {
		return logr.Discard()
	}
	return funcrLog(ip)
}

// stall keeps a host's disk from writing for some time. A write that has waited goes on
// when the stall is over.
func (s *site) stall(ip string, length time.Duration) {
	s.stallsMu.Lock()
	defer s.stallsMu.Unlock()
	s.stalls[ip] = time.Now().Add(length)
}

func (s *site) stalledFor(ip string) time.Duration {
	s.stallsMu.Lock()
	defer s.stallsMu.Unlock()
	return time.Until(s.stalls[ip])
}

// powerOff ends a control host at once: nothing that it does from here on is heard. Its
// disk can be used again once the channel is closed.
func (s *site) powerOff(ip string) <-chan struct{} {
	s.network.PowerOff(ip)
	c, over := s.control[ip], make(chan struct{})
	s.controlMu.Lock()
	delete(s.control, ip)
	s.controlMu.Unlock()
	go func() {
		defer close(over)
		c.Close()
	}()
	s.closing = append(s.closing, over)
	return over
}

// close ends everything.
func (s *site) close() {
	for _, e := range s.entries {
		e.Close()
	}
	for ip := range s.control {
		s.powerOff(ip)
	}
	for _, over := range s.closing {
		<-over
	}
}

// leader returns the control host that leads, or "".
func (s *site) leader() string {
	for ip, c := range s.control {
		if _, leads := c.Voters(); leads {
			return ip
		}
	}
	return ""
}

// await passes simulated time until something holds, or fails.
func (s *site) await(limit time.Duration, what string, holds func() bool) {
	s.t.Helper()
	for began := time.Now(); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > limit {
			require.FailNow(s.t, "not in time", "%s, after %s; members as the hosts know them: %s", what, limit, s.members())
		}
	}
}

func (s *site) members() string {
	var out []string
	for ip, c := range s.control {
		out = append(out, ip+" "+c.Members())
	}
	slices.Sort(out)
	return strings.Join(out, "; ")
}

// put sends a version to a control host, as an operator does who tries each in turn, and
// returns the host that acknowledged it, or "".
func (s *site) put(version uint64) string {
	for range siteSeeds {
		for ip, c := range s.control {
			salt := c.KeySalt()
			q := &schema.PutConfiguration{
				Configuration: &schema.Configuration{Version: version, Document: strconv.AppendUint(nil, version, 10), KeySalt: salt},
				Teams:         []*schema.Team{{Name: "t", KeyDigests: [][]byte{team.Digest(salt, siteKey(version))}}},
			}
			if c.PutConfiguration(context.Background(), q) == nil {
				return ip
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}

// siteKey is the only API key of a version: each one revokes the key before.
func siteKey(version uint64) string { return fmt.Sprint("key-", version) }

// oldest returns the lowest version in force at an entry.
func (s *site) oldest() uint64 {
	var out []uint64
	for _, e := range s.entries {
		out = append(out, e.Version())
	}
	return slices.Min(out)
}

// voters returns the number of voters as the leader knows it; 0: none leads.
func (s *site) voters() int {
	for _, c := range s.control {
		if n, leads := c.Voters(); leads {
			return n
		}
	}
	return 0
}

// funcrLog prints a host's log lines with simulated time.
func funcrLog(ip string) logr.Logger {
	return funcr.New(func(prefix, args string) {
		fmt.Println(time.Now().Format("05.000"), ip, prefix, args)
	}, funcr.Options{})
}
