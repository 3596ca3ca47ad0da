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
	peerPort     = 7000
	operatorPort = 8000
	seedCount    = 3
	// revocationLimit is how long an entry may accept an API key after its revocation.
	revocationLimit = time.Second
)

// deployment is a whole deployment on simulated time: control hosts and entries on an
// in-memory network. The first three control hosts are the seeds. It belongs to one
// synctest bubble and one goroutine.
type deployment struct {
	t       *testing.T
	network *standin.Network
	random  *rand.Rand
	// control contains the running control hosts; those without power are absent. Other
	// goroutines read it under controlMu.
	controlMu sync.Mutex
	control   map[string]*role.Control
	// disks are the control hosts' data folders.
	disks map[string]string
	// entries are the running entries. Other goroutines read it under entriesMu.
	entriesMu  sync.RWMutex
	entries    map[string]*role.Entry
	lastCallID atomic.Int64
	// nextLeader is the number of the control host that will lead when the present leader
	// is lost, or anyLeader. Hosts choose their election timeouts when they first receive
	// from a new leader, so it must be set before that leader is elected.
	nextLeader atomic.Int64
	// stalledUntil is the time until which a host's disk stalls writes, by IP address;
	// guarded by stallsMu.
	stallsMu     sync.Mutex
	stalledUntil map[string]time.Time
	// dataCentres are the data centres of hosts by IP address; the others are in a.
	dataCentres map[string]string
	// entryExtra are further settings of entries.
	entryExtra string
	// closing are hosts without power whose goroutines end in the background.
	closing []<-chan struct{}
}

// anyLeader leaves the next leader to chance.
const anyLeader = -1

// newDeployment starts a deployment whose first leader is to be succeeded by another host.
func newDeployment(t *testing.T, seed int64, control, entries, next int) *deployment {
	d := &deployment{
		t: t, network: standin.NewNetwork(), random: rand.New(rand.NewSource(seed)),
		control: map[string]*role.Control{}, disks: map[string]string{}, entries: map[string]*role.Entry{},
		stalledUntil: map[string]time.Time{}, dataCentres: map[string]string{},
		entryExtra: fmt.Sprintf("key-revocation: %s\n", revocationLimit),
	}
	d.nextLeader.Store(int64(next))
	for i := range control {
		d.startControl(controlIP(i), t.TempDir(), true)
	}
	for i := range entries {
		d.startEntry(fmt.Sprintf("10.0.1.%d", i+1))
	}
	return d
}

// controlIP returns the address of a control host; those below seedCount are the seeds.
func controlIP(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

func (d *deployment) settings(ip, extra string) *role.Settings {
	d.t.Helper()
	var seeds []string
	for i := range seedCount {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", controlIP(i), operatorPort)))
	}
	dataCentre := "a"
	if name, ok := d.dataCentres[ip]; ok {
		dataCentre = name
	}
	text := fmt.Sprintf("host: h-%s\ndata-centre: %s\nip: %s\npeer-port: %d\nseeds: [%s]\n%s", ip, dataCentre, ip, peerPort, strings.Join(seeds, ","), extra)
	file := filepath.Join(d.t.TempDir(), "settings.yaml")
	require.NoError(d.t, os.WriteFile(file, []byte(text), 0o600))
	out, err := role.LoadSettings(file)
	require.NoError(d.t, err)
	return out
}

func (d *deployment) networkOf(ip string) role.Network {
	return role.Network{Listen: d.network.Listen, Dial: d.network.DialFrom(ip)}
}

// startControl starts a control host with a disk.
func (d *deployment) startControl(ip, disk string, founding bool) {
	d.t.Helper()
	extra := fmt.Sprintf("founding: %v\ndata-folder: %s\noperator-address: %s:%d\n", founding, disk, ip, operatorPort)
	random := rand.New(rand.NewSource(d.random.Int63()))
	c, err := role.NewControl(role.ControlConfig{
		Settings: d.settings(ip, extra), Metrics: metrics.New(), Log: deploymentLog(ip), Engines: loading.Engines{},
		Handler: func(*role.Control) http.Handler { return http.NotFoundHandler() }, Network: d.networkOf(ip),
		BeforeWrite: func() { time.Sleep(d.stalledFor(ip)) },
		Random: func(n int) int {
			switch next := int(d.nextLeader.Load()); {
			case next == anyLeader:
				return random.Intn(n)
			case ip == controlIP(next):
				// Not 0: the others ignore vote requests for as long as they may receive
				// from the old leader. Not more: a member that has just started does not know
				// that leadership is unstable, and asks again before them.
				return min(1, n-1)
			}
			return n - 1
		},
	})
	require.NoError(d.t, err)
	d.controlMu.Lock()
	defer d.controlMu.Unlock()
	d.control[ip], d.disks[ip] = c, disk
}

func (d *deployment) startEntry(ip string) {
	d.t.Helper()
	notFound := func(*role.Entry) http.Handler { return http.NotFoundHandler() }
	e, err := role.NewEntry(role.EntryConfig{
		Settings: d.settings(ip, fmt.Sprintf("caller-address: %s:9000\nready-address: %s:9001\n%s", ip, ip, d.entryExtra)),
		Codec:    backendCodec(), Ready: notFound, Directory: notFound, Metrics: metrics.New(), Log: deploymentLog(ip),
		RequestLog: deploymentLog(ip), Network: d.networkOf(ip),
	})
	require.NoError(d.t, err)
	d.entriesMu.Lock()
	defer d.entriesMu.Unlock()
	d.entries[ip] = e
}

// deploymentLog prints the hosts' logs with simulated time if SITE_LOG is set.
func deploymentLog(ip string) logr.Logger {
	if os.Getenv("SITE_LOG") == "" {
		return logr.Discard()
	}
	return funcrLog(ip)
}

// stall stalls the writes of a host's disk for some time; then they continue.
func (d *deployment) stall(ip string, length time.Duration) {
	d.stallsMu.Lock()
	defer d.stallsMu.Unlock()
	d.stalledUntil[ip] = time.Now().Add(length)
}

func (d *deployment) stalledFor(ip string) time.Duration {
	d.stallsMu.Lock()
	defer d.stallsMu.Unlock()
	return time.Until(d.stalledUntil[ip])
}

// powerOff ends a control host at once: nothing that it sends from then on arrives. Its
// disk can be used again once the returned channel is closed.
func (d *deployment) powerOff(ip string) <-chan struct{} {
	d.network.PowerOff(ip)
	return d.stopControl(ip)
}

// stopControl stops a control host. Its disk can be used again once the returned channel is closed.
func (d *deployment) stopControl(ip string) <-chan struct{} {
	c, closed := d.control[ip], make(chan struct{})
	d.controlMu.Lock()
	delete(d.control, ip)
	d.controlMu.Unlock()
	go func() {
		defer close(closed)
		c.Close()
	}()
	d.closing = append(d.closing, closed)
	return closed
}

// close stops all hosts.
func (d *deployment) close() {
	for _, e := range d.entries {
		e.Close()
	}
	for ip := range d.control {
		d.powerOff(ip)
	}
	for _, closed := range d.closing {
		<-closed
	}
}

// leader returns the IP address of the leader, or "".
func (d *deployment) leader() string {
	for ip, c := range d.control {
		if _, leads := c.Voters(); leads {
			return ip
		}
	}
	return ""
}

// await advances simulated time until a condition holds, and fails after the limit.
func (d *deployment) await(limit time.Duration, what string, condition func() bool) {
	d.t.Helper()
	for start := time.Now(); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > limit {
			require.FailNow(d.t, "not in time", "%s, after %s; memberships known to the hosts: %s", what, limit, d.describeMemberships())
		}
	}
}

func (d *deployment) describeMemberships() string {
	var out []string
	for ip, c := range d.control {
		out = append(out, ip+" "+c.DescribeMembership())
	}
	slices.Sort(out)
	return strings.Join(out, "; ")
}

// put sends a version to the control hosts in turn, as an operator does, and returns the
// host that acknowledged it, or "".
func (d *deployment) put(version uint64) string {
	for range seedCount {
		for ip, c := range d.control {
			salt := c.KeySalt()
			q := &schema.PutConfiguration{
				Configuration: &schema.Configuration{Version: version, Document: strconv.AppendUint(nil, version, 10), KeySalt: salt},
				Teams:         []*schema.Team{{Name: "t", KeyDigests: [][]byte{team.Digest(salt, versionKey(version))}}},
			}
			if c.PutConfiguration(context.Background(), q) == nil {
				return ip
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}

// versionKey returns the only API key of a version: each version revokes the key of the one
// before.
func versionKey(version uint64) string { return fmt.Sprint("key-", version) }

// oldestVersion returns the lowest version in force at an entry.
func (d *deployment) oldestVersion() uint64 {
	var out []uint64
	for _, e := range d.entries {
		out = append(out, e.Version())
	}
	return slices.Min(out)
}

// voters returns the number of voters that the leader knows, or 0 if there is no leader.
func (d *deployment) voters() int {
	for _, c := range d.control {
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
