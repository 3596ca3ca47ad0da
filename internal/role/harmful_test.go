package role_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// maxHoldBackDelay is the time after a request has crashed its third server by which all
	// entries in sync must hold it back.
	maxHoldBackDelay = 3 * time.Second
	// maxLateArrivals is how often it may reach a server later all the same.
	maxLateArrivals = 3
	// repeatInterval is the time between two repeats of the request.
	repeatInterval = 200 * time.Millisecond
)

// repeatResults are the responses to a harmful request and to ordinary ones.
type repeatResults struct {
	// harmful is the last response to the harmful request, and ordinary are all responses
	// to the others.
	harmful  callResult
	ordinary []callResult
}

// repeatHarmful sends the harmful request repeatedly, to one entry after the other, each
// time together with an ordinary request that has another body.
func (d *deployment) repeatHarmful(length time.Duration, path string) repeatResults {
	entries := make([]string, 0, len(d.entries))
	for ip := range d.entries {
		entries = append(entries, ip)
	}
	slices.Sort(entries)
	var out repeatResults
	for i, start := 0, time.Now(); time.Since(start) < length; i++ {
		ip := entries[i%len(entries)]
		out.harmful = d.call(ip, path, harmfulBody)
		out.ordinary = append(out.ordinary, d.call(ip, path, fmt.Sprint("ordinary ", i)))
		time.Sleep(repeatInterval)
	}
	return out
}

// A caller repeats a request that crashes every server that runs it, at one entry after the
// other. Each repeat is a new request to its entry, which forwards it to one of the
// remaining servers: the servers crash one after the other, together with all they run, for
// as long as the caller continues. Three crashes must be enough to identify the request,
// though no entry sees more than one of them; all other requests must be served.
func TestRequestThatCrashesServersIsHeldBack(t *testing.T) {
	for _, path := range []string{"/once/x", "/again/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSettledDeployment(t, 31, 3)
				defer d.close()
				b := startBackends(d, 12)
				defer b.close()
				d.repeatHarmful(10*time.Second, path)
				results := d.repeatHarmful(5*time.Second, path)
				t.Logf("%d servers crashed, %d late arrivals", b.crashCount(), b.lateArrivals(maxHoldBackDelay))
				require.GreaterOrEqual(t, b.crashCount(), 3)
				require.LessOrEqual(t, b.lateArrivals(maxHoldBackDelay), maxLateArrivals, "%d servers crashed", b.crashCount())
				require.Equal(t, 503, results.harmful.status)
				require.Positive(t, results.harmful.retryAfterSeconds)
				for _, r := range results.ordinary {
					require.Equal(t, 200, r.status)
				}
			})
		})
	}
}

// Many callers send the same request, one path with an empty body, when all three servers
// end at once, as in the loss of a rack. The request was in flight at all of them, but it
// had completed at every entry a moment before and so can't be the cause. If it were held
// back, all of its callers would be refused for minutes after the servers are back.
func TestPopularRequestIsNotHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeployment(t, 34, 3)
		defer d.close()
		b := startBackends(d, 3)
		defer b.close()
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				for range 10 {
					d.call(fmt.Sprintf("10.0.1.%d", 1+i%3), "/once/x", "")
				}
			})
		}
		time.Sleep(5*backendRequestTime + backendRequestTime/2)
		b.stopSome(3)
		wg.Wait()
		d.await(3*backendRestartDelay, "the servers", func() bool { return d.entries["10.0.1.1"].ReadyServers() >= 3 })
		time.Sleep(maxHoldBackDelay)
		for i := range 30 {
			require.Equal(t, 200, d.call(fmt.Sprintf("10.0.1.%d", 1+i%3), "/once/x", "").status)
		}
	})
}

// restartEntry restarts an entry without its state.
func (d *deployment) restartEntry(ip string) {
	d.entries[ip].Close()
	d.startEntry(ip)
}

// restartControlHosts restarts control hosts after a power loss, with their disks.
func (d *deployment) restartControlHosts(ips ...string) {
	var closed []<-chan struct{}
	for _, ip := range ips {
		closed = append(closed, d.powerOff(ip))
	}
	for i, ip := range ips {
		<-closed[i]
		d.network.PowerOn(ip)
		d.startControl(ip, d.disks[ip], false)
	}
}

func (d *deployment) controlIPs() []string {
	var out []string
	for ip := range d.control {
		out = append(out, ip)
	}
	slices.Sort(out)
	return out
}

// setEntryPartition cuts the connection between an entry and all control hosts, or heals
// it.
func (d *deployment) setEntryPartition(ip string, cut bool) {
	for _, host := range d.controlIPs() {
		d.network.Cut(ip, host, cut)
		d.network.Cut(host, ip, cut)
	}
}

// The records of a harmful request must survive the loss of hosts that have them. The
// request has crashed one or more servers, or all three, when hosts are lost, and arrives
// again at entries that did not see the crashes: if the records were lost with the hosts,
// more servers would crash.
func TestSuspectsSurviveHostLoss(t *testing.T) {
	const path = "/once/x"
	entries := []string{"10.0.1.1", "10.0.1.2", "10.0.1.3"}
	// crashOne sends the request to an entry and expects it to crash a server.
	crashOne := func(d *deployment, b *backends, ip string) {
		before := b.crashCount()
		require.Equal(d.t, 502, d.call(ip, path, harmfulBody).status)
		require.Equal(d.t, before+1, b.crashCount())
		time.Sleep(time.Second)
	}
	for name, scenario := range map[string]func(d *deployment, b *backends){
		"entries that saw one crash each restart": func(d *deployment, b *backends) {
			for _, ip := range entries {
				crashOne(d, b, ip)
				d.restartEntry(ip)
				d.await(5*time.Second, "the servers", func() bool { return d.entries[ip].ReadyServers() > 8 })
			}
		},
		"the leader is lost between two crashes": func(d *deployment, b *backends) {
			crashOne(d, b, entries[0])
			crashOne(d, b, entries[1])
			d.powerOff(d.leader())
			d.await(3*time.Second, "another leader", func() bool { return d.leader() != "" })
			time.Sleep(time.Second)
			crashOne(d, b, entries[2])
		},
		"an entry that saw one crash is lost, with its host and the leader": func(d *deployment, b *backends) {
			crashOne(d, b, entries[0])
			lost := []string{d.entries[entries[0]].ControlHost(), d.leader()}
			d.restartEntry(entries[0])
			for _, host := range slices.Compact(lost) {
				d.powerOff(host)
			}
			d.await(3*time.Second, "another leader", func() bool { return d.leader() != "" })
			d.await(5*time.Second, "the servers", func() bool { return d.entries[entries[0]].ReadyServers() > 8 })
			crashOne(d, b, entries[1])
			crashOne(d, b, entries[2])
		},
		"each control host restarts in turn": func(d *deployment, b *backends) {
			for _, ip := range entries {
				crashOne(d, b, ip)
			}
			for _, host := range d.controlIPs() {
				d.restartControlHosts(host)
				time.Sleep(4 * time.Second)
			}
		},
		"an entry is partitioned while it sees two crashes": func(d *deployment, b *backends) {
			d.setEntryPartition(entries[0], true)
			time.Sleep(2 * time.Second)
			crashOne(d, b, entries[0])
			crashOne(d, b, entries[0])
			crashOne(d, b, entries[1])
			d.setEntryPartition(entries[0], false)
			time.Sleep(maxHoldBackDelay)
		},
		"all entries restart after three": func(d *deployment, b *backends) {
			for _, ip := range entries {
				crashOne(d, b, ip)
			}
			for _, ip := range entries {
				d.restartEntry(ip)
			}
			d.await(5*time.Second, "the servers", func() bool { return d.entries[entries[0]].ReadyServers() > 8 })
		},
		"everything loses power after three": func(d *deployment, b *backends) {
			for _, ip := range entries {
				crashOne(d, b, ip)
			}
			for _, ip := range entries {
				d.entries[ip].Close()
			}
			d.restartControlHosts(d.controlIPs()...)
			for _, ip := range entries {
				d.startEntry(ip)
			}
			d.await(10*time.Second, "the servers", func() bool {
				return !slices.ContainsFunc(entries, func(ip string) bool { return d.entries[ip].ReadyServers() < 8 })
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSettledDeployment(t, 32, 3)
				defer d.close()
				b := startBackends(d, 12)
				defer b.close()
				scenario(d, b)
				require.Equal(t, 3, b.crashCount())
				results := d.repeatHarmful(3*time.Second, path)
				require.Equal(t, 3, b.crashCount(), "more servers crashed")
				require.Equal(t, 503, results.harmful.status)
				for _, r := range results.ordinary {
					require.Equal(t, 200, r.status)
				}
			})
		})
	}
}

// An entry that is partitioned from all control hosts has only its own records. It must act
// on them: the request crashes at most three servers.
func TestPartitionedEntryUsesItsOwnRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeployment(t, 33, 2)
		defer d.close()
		b := startBackends(d, 12)
		defer b.close()
		ip := "10.0.1.1"
		d.setEntryPartition(ip, true)
		time.Sleep(2 * time.Second)
		var last callResult
		for range 20 {
			last = d.call(ip, "/once/x", harmfulBody)
			time.Sleep(repeatInterval)
		}
		require.Equal(t, 3, b.crashCount())
		require.Equal(t, 503, last.status)
		require.Equal(t, 200, d.call(ip, "/once/x", "ordinary").status)
	})
}
