package role_test

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/schema"
	"fennelyard/internal/team"
)

const (
	// quotaEntries is the number of entries of the deployments with a quota.
	quotaEntries = 12
	// quotaWindow is the window over which quotas are counted, and maxQuotaOverage the fraction of the
	// budget that may run in one beyond it.
	quotaWindow     = 8 * time.Second
	maxQuotaOverage = 0.1
	// quotaRate and quotaBurst are the quota of the team, in requests: 360 in a window.
	quotaRate, quotaBurst = 40, 40
	// usualLoad and jumpLoad are the requests a second of the team before and after its jump.
	usualLoad, jumpLoad = 0.55 * quotaRate, 4.4 * quotaRate
	quotaKey            = "key-quota"
)

// putQuota puts a configuration with one team in force.
func putQuota(d *deployment, version uint64, perSecond, burst float64) {
	host := d.control[d.leader()]
	salt := host.KeySalt()
	route := &schema.Route{
		Name: "once", Host: "h.example", Prefix: "/once/", Repeat: schema.Repeat_REPEAT_NEVER, TimeoutMs: 3000, AimMs: 300, MaxAttempts: 1,
		Shares: []*schema.Share{{Pool: "app", Weight: 1}},
	}
	require.NoError(d.t, host.PutConfiguration(context.Background(), &schema.PutConfiguration{
		Configuration: &schema.Configuration{Version: version, KeySalt: salt},
		Pools:         []*schema.Pool{{Name: "app", MaxConnections: backendMaxConnections}},
		Routes:        []*schema.Route{route},
		Teams: []*schema.Team{{
			Name: "t", KeyDigests: [][]byte{team.Digest(salt, quotaKey)}, Quota: &schema.Quota{RatePerSecond: perSecond, Burst: burst},
		}},
	}))
	d.await(propagationLimit, "the quota in force", func() bool { return d.oldestVersion() == version })
}

// quotaLoad is the load of the team.
type quotaLoad struct {
	d      *deployment
	random *rand.Rand
	wg     sync.WaitGroup

	mu sync.Mutex
	// sent are the times of requests that were served, and statuses counts all responses by their
	// status; guarded by mu.
	sent     []time.Time
	statuses map[int]int
}

// run sends perSecond requests a second to random entries.
func (l *quotaLoad) run(length time.Duration, perSecond float64) {
	for start := time.Now(); time.Since(start) < length; {
		time.Sleep(time.Duration(l.random.ExpFloat64() / perSecond * float64(time.Second)))
		ip := fmt.Sprintf("10.0.1.%d", 1+l.random.Intn(quotaEntries))
		at := time.Now()
		l.wg.Go(func() {
			status := l.d.callWith(ip, "/once/x", fmt.Sprint("ordinary ", at.UnixNano()), http.Header{"X-Key": {quotaKey}}).status
			l.mu.Lock()
			defer l.mu.Unlock()
			l.statuses[status]++
			if status == http.StatusOK {
				l.sent = append(l.sent, at)
			}
		})
	}
}

// mostInWindow returns the largest number of served requests that were sent in a window.
func (l *quotaLoad) mostInWindow() (most int) {
	slices.SortFunc(l.sent, time.Time.Compare)
	for i, first := range l.sent {
		n := 0
		for _, at := range l.sent[i:] {
			if at.Sub(first) >= quotaWindow {
				break
			}
			n++
		}
		most = max(most, n)
	}
	return most
}

// newQuotaDeployment starts a deployment with a team that has a quota.
func newQuotaDeployment(t *testing.T, seed int64) (*deployment, *backends, *quotaLoad) {
	d := newSettledDeployment(t, seed, quotaEntries)
	// Entries that are cut off go on serving keys.
	d.entryExtra = ""
	for _, ip := range d.entryIPs() {
		d.restartEntry(ip)
	}
	b := startBackends(d, 8)
	putQuota(d, 3, quotaRate, quotaBurst)
	// The hosts have run for longer than a window when the load begins.
	time.Sleep(2 * time.Second)
	return d, b, &quotaLoad{d: d, random: rand.New(rand.NewSource(seed)), statuses: map[int]int{}}
}

// quotaDisruptions are disruptions during which all entries together could admit more than a quota. Each
// begins as the team jumps to several times its usual load.
var quotaDisruptions = map[string]func(d *deployment){
	"no disruption": func(*deployment) {},
	"the leader is lost": func(d *deployment) {
		time.Sleep(300 * time.Millisecond)
		d.restartControlHosts(d.leader())
	},
	"leaders are lost in series": func(d *deployment) {
		for range 3 {
			time.Sleep(1500 * time.Millisecond)
			d.await(5*time.Second, "a leader", func() bool { return d.leader() != "" })
			d.restartControlHosts(d.leader())
		}
	},
	"all control hosts restart": func(d *deployment) {
		time.Sleep(200 * time.Millisecond)
		d.restartControlHosts(d.controlIPs()...)
	},
	"all control hosts are lost for long": func(d *deployment) {
		hosts := d.controlIPs()
		var closed []<-chan struct{}
		for _, ip := range hosts {
			closed = append(closed, d.powerOff(ip))
		}
		time.Sleep(4 * time.Second)
		for i, ip := range hosts {
			<-closed[i]
			d.network.PowerOn(ip)
			d.startControl(ip, d.disks[ip], false)
		}
	},
	"everything restarts": func(d *deployment) {
		time.Sleep(1200 * time.Millisecond)
		d.restartControlHosts(d.controlIPs()...)
		for _, ip := range d.entryIPs() {
			d.restartEntry(ip)
		}
	},
	"all entries restart": func(d *deployment) {
		for range 2 {
			time.Sleep(1200 * time.Millisecond)
			for _, ip := range d.entryIPs() {
				d.restartEntry(ip)
			}
		}
	},
	"entries restart and the leader is lost": func(d *deployment) {
		time.Sleep(1200 * time.Millisecond)
		d.restartControlHosts(d.leader())
		for _, ip := range d.entryIPs()[:quotaEntries/2] {
			d.restartEntry(ip)
		}
	},
	"half of the entries are cut off": func(d *deployment) {
		cut := d.entryIPs()[:quotaEntries/2]
		for range 2 {
			for _, ip := range cut {
				d.setEntryPartition(ip, true)
			}
			time.Sleep(4 * time.Second)
			for _, ip := range cut {
				d.setEntryPartition(ip, false)
			}
			time.Sleep(2 * time.Second)
		}
	},
	"all entries are cut off for long": func(d *deployment) {
		time.Sleep(time.Second)
		for _, ip := range d.entryIPs() {
			d.setEntryPartition(ip, true)
		}
		time.Sleep(20 * time.Second)
		for _, ip := range d.entryIPs() {
			d.setEntryPartition(ip, false)
		}
	},
}

// All entries together could admit more than a team's quota while hosts are lost, restart or are cut off,
// as nobody knows what the others have admitted.
func TestQuotaIsKeptUnderDisruptions(t *testing.T) {
	for name, disrupt := range quotaDisruptions {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, b, l := newQuotaDeployment(t, 91)
				defer d.close()
				defer b.close()
				l.run(10*time.Second, usualLoad)
				l.wg.Wait()
				require.Equal(t, []int{http.StatusOK}, statusesOf(l.statuses), "below the quota")
				done := make(chan struct{})
				go func() {
					defer close(done)
					disrupt(d)
				}()
				l.run(24*time.Second, jumpLoad)
				<-done
				l.wg.Wait()
				budget := quotaRate*quotaWindow.Seconds() + quotaBurst
				t.Logf("most in a window %d of %.0f; statuses %v", l.mostInWindow(), budget, l.statuses)
				require.LessOrEqual(t, float64(l.mostInWindow()), budget*(1+maxQuotaOverage))
			})
		})
	}
}

func statusesOf(counts map[int]int) []int {
	var out []int
	for status := range counts {
		out = append(out, status)
	}
	slices.Sort(out)
	return out
}
