package role_test

import (
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// partitionGrace is how long after the begin of a partition requests may fail at its entries.
	partitionGrace = 3 * time.Second
	// minPartitionedShare is the share of requests that entries without a path to the servers serve.
	minPartitionedShare = 0.98
)

// partition is a way in which entries lose their links to all servers.
type partition struct {
	begin, end func(d *deployment, entry, server string)
}

// partitions are the ways, by name.
var partitions = map[string]partition{
	"hanging": {
		begin: func(d *deployment, entry, server string) {
			d.network.Cut(entry, server, true)
			d.network.Cut(server, entry, true)
		},
		end: func(d *deployment, entry, server string) {
			d.network.Cut(entry, server, false)
			d.network.Cut(server, entry, false)
		},
	},
	"requests lost": {
		begin: func(d *deployment, entry, server string) { d.network.Cut(entry, server, true) },
		end:   func(d *deployment, entry, server string) { d.network.Cut(entry, server, false) },
	},
	"responses lost": {
		begin: func(d *deployment, entry, server string) { d.network.Cut(server, entry, true) },
		end:   func(d *deployment, entry, server string) { d.network.Cut(server, entry, false) },
	},
	"reset": {
		begin: func(d *deployment, entry, server string) {
			d.network.Refuse(entry, server, true)
			d.network.ResetConnections(entry, server)
		},
		end: func(d *deployment, entry, server string) { d.network.Refuse(entry, server, false) },
	},
	"new connections refused": {
		begin: func(d *deployment, entry, server string) { d.network.Refuse(entry, server, true) },
		end:   func(d *deployment, entry, server string) { d.network.Refuse(entry, server, false) },
	},
}

// partitionEntries begins or ends a partition of entries from all servers.
func (b *backends) partitionEntries(p partition, entries []string, begin bool) {
	change := p.end
	if begin {
		change = p.begin
	}
	for _, entry := range entries {
		for i := range b.count {
			change(b.deployment, entry, backendIP(i))
		}
	}
}

// attempt is a request of a caller, and the status of its response.
type attempt struct {
	id, entry, path string
	at              time.Time
	took            time.Duration
	status          int
}

// attempts is a load of callers on all entries, on all routes, that records each response.
type attempts struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu   sync.Mutex
	list []attempt
}

// startAttempts sends perSecond requests a second to each entry, until stopped.
func (d *deployment) startAttempts(perSecond float64) *attempts {
	a := &attempts{stop: make(chan struct{})}
	for i, ip := range d.entryIPs() {
		random := rand.New(rand.NewSource(int64(i)))
		a.wg.Go(func() {
			for {
				select {
				case <-a.stop:
					return
				case <-time.After(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))):
				}
				path, body := []string{"/once/x", "/again/x"}[random.Intn(2)], fmt.Sprint("ordinary ", random.Int63())
				a.wg.Go(func() {
					at := time.Now()
					result := d.call(ip, path, body)
					a.mu.Lock()
					defer a.mu.Unlock()
					a.list = append(a.list, attempt{result.id, ip, path, at, time.Since(at), result.status})
				})
			}
		})
	}
	return a
}

// end stops the load and waits for its responses.
func (a *attempts) end() {
	close(a.stop)
	a.wg.Wait()
}

// served returns how many requests that some entries got from a time until another were served, of
// how many.
func (a *attempts) served(entries []string, from, to time.Time) (served, all int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, x := range a.list {
		if slices.Contains(entries, x.entry) && !x.at.Before(from) && x.at.Before(to) {
			all++
			if x.status == 200 {
				served++
			}
		}
	}
	return served, all
}

// Some entries lose their links to all backend servers, while callers and the other entries reach
// both: their callers are refused nearly always.
func TestEntriesPartitionedFromAllServersServeTheirCallers(t *testing.T) {
	for name, p := range partitions {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSettledDeploymentOf(t, 71, 3, 6)
				defer d.close()
				b := startBackends(d, 3)
				defer b.close()
				a := d.startAttempts(6)
				time.Sleep(2 * time.Second)
				cut, others := d.entryIPs()[:3], d.entryIPs()[3:]
				b.partitionEntries(p, cut, true)
				from := time.Now().Add(partitionGrace)
				time.Sleep(12 * time.Second)
				to := time.Now()
				b.partitionEntries(p, cut, false)
				time.Sleep(2 * time.Second)
				a.end()
				served, all := a.served(cut, from, to)
				servedByOthers, allOfOthers := a.served(others, from, to)
				t.Logf("partitioned entries served %d of %d, the others %d of %d", served, all, servedByOthers, allOfOthers)
				require.Equal(t, allOfOthers, servedByOthers)
				require.GreaterOrEqual(t, float64(served), minPartitionedShare*float64(all))
			})
		})
	}
}

// requireServedAsOthers requires that entries without a path to the servers serve the requests that they
// got from a time until another nearly as often as the others.
func (a *attempts) requireServedAsOthers(t *testing.T, cut, others []string, from, to time.Time) {
	t.Helper()
	served, all := a.served(cut, from, to)
	servedByOthers, allOfOthers := a.served(others, from, to)
	t.Logf("partitioned entries served %d of %d, the others %d of %d", served, all, servedByOthers, allOfOthers)
	require.Positive(t, all)
	require.GreaterOrEqual(t, float64(served)/float64(all), minPartitionedShare*float64(servedByOthers)/float64(max(allOfOthers, 1)))
}

// requireRunOnce requires that no request of a route that must not be repeated ran twice.
func (b *backends) requireRunOnce() {
	b.deployment.t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	require.NotEmpty(b.deployment.t, b.runs)
	for id, n := range b.runs {
		require.LessOrEqual(b.deployment.t, n, 1, "request %s on /once/", id)
	}
}

// requireRefusalsTrue requires that no request that was answered as not run has run, or ran later.
func (b *backends) requireRefusalsTrue(a *attempts) {
	b.deployment.t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range a.list {
		if x.status == 503 && x.path == "/once/x" {
			require.Zero(b.deployment.t, b.runs[x.id], "request %s was refused as not run", x.id)
		}
	}
}

// Partitions come in series and overlap, and hosts and servers fail meanwhile. Each case is a way in
// which a partitioned entry could fail to find another one that reaches the servers.
func TestPartitionsUnderFaults(t *testing.T) {
	all := []string{"hanging", "responses lost", "reset", "new connections refused"}
	for name, test := range map[string]struct {
		// cut is the number of entries, of six, that are partitioned for 12 s.
		cut int
		run func(d *deployment, b *backends, p partition)
		// grace is how long after the begin of the partition requests may fail, if longer than usual.
		grace time.Duration
	}{
		"one entry":        {cut: 1},
		"all but one":      {cut: 5},
		"the leader fails": {cut: 3, run: func(d *deployment, _ *backends, _ partition) { d.powerOff(d.leader()) }},
		"the leader fails just after the begin": {cut: 3, run: func(d *deployment, _ *backends, _ partition) {
			time.Sleep(100 * time.Millisecond)
			d.powerOff(d.leader())
		}},
		"cut off from the control hosts as well": {cut: 2, run: func(d *deployment, _ *backends, _ partition) {
			time.Sleep(2 * time.Second)
			d.setEntryPartition(d.entryIPs()[0], true)
			d.setEntryPartition(d.entryIPs()[1], true)
		}},
		"another entry restarts": {cut: 3, run: func(d *deployment, _ *backends, _ partition) { time.Sleep(4 * time.Second); d.restartEntry("10.0.1.6") }},
		"a server starts again":  {cut: 3, run: func(_ *deployment, b *backends, _ partition) { time.Sleep(time.Second); b.stopSome(1) }},
		"in series": {cut: 3, run: func(d *deployment, b *backends, p partition) {
			for range 3 {
				time.Sleep(1500 * time.Millisecond)
				b.partitionEntries(p, d.entryIPs()[:3], false)
				time.Sleep(700 * time.Millisecond)
				b.partitionEntries(p, d.entryIPs()[:3], true)
			}
		}},
		"overlapping": {cut: 2, run: func(d *deployment, b *backends, p partition) {
			time.Sleep(4 * time.Second)
			b.partitionEntries(p, d.entryIPs()[2:4], true)
			time.Sleep(time.Second)
			b.partitionEntries(p, d.entryIPs()[:1], false)
		}},
	} {
		for _, kind := range all {
			t.Run(name+"/"+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newSettledDeploymentOf(t, 72, 3, 6)
					defer d.close()
					b := startBackends(d, 3)
					defer b.close()
					a := d.startAttempts(6)
					time.Sleep(2 * time.Second)
					p, cut, others := partitions[kind], d.entryIPs()[:test.cut], d.entryIPs()[test.cut:5]
					b.partitionEntries(p, cut, true)
					begin := time.Now()
					if test.run != nil {
						test.run(d, b, p)
					}
					time.Sleep(time.Until(begin.Add(12 * time.Second)))
					end := time.Now()
					b.partitionEntries(p, d.entryIPs()[:4], false)
					time.Sleep(2 * time.Second)
					a.end()
					if test.cut == 5 {
						others = d.entryIPs()[5:]
					}
					a.requireServedAsOthers(t, cut, others, begin.Add(max(partitionGrace, test.grace)), end)
					b.requireRunOnce()
					b.requireRefusalsTrue(a)
					for address, n := range b.mostConns {
						require.LessOrEqual(t, n, backendMaxConnections, address)
					}
				})
			})
		}
	}
}

// moveToDataCentre restarts entries in another data centre.
func (d *deployment) moveToDataCentre(name string, entries ...string) {
	for _, ip := range entries {
		d.dataCentres[ip] = name
		d.restartEntry(ip)
	}
	time.Sleep(5 * time.Second)
}

// All entries of a data centre lose their links to the servers at the same moment: they must not ask each
// other only.
func TestPartitionOfADataCentre(t *testing.T) {
	for kind, p := range partitions {
		for _, size := range []int{2, 3, 5} {
			t.Run(fmt.Sprint(kind, "/", size, " of 6"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newSettledDeploymentOf(t, 75, 3, 6)
					defer d.close()
					cut, others := d.entryIPs()[:size], d.entryIPs()[size:]
					d.moveToDataCentre("b", cut...)
					b := startBackends(d, 3)
					defer b.close()
					a := d.startAttempts(6)
					time.Sleep(2 * time.Second)
					b.partitionEntries(p, cut, true)
					from := time.Now().Add(partitionGrace)
					time.Sleep(10 * time.Second)
					to := time.Now()
					b.partitionEntries(p, cut, false)
					time.Sleep(2 * time.Second)
					a.end()
					a.requireServedAsOthers(t, cut, others, from, to)
					b.requireRunOnce()
					b.requireRefusalsTrue(a)
				})
			})
		}
	}
}

// Servers that partitioned entries reach through others state limits and cooldowns: both must be kept,
// also by the entries that carry the requests.
func TestStatementsReachPartitionedEntries(t *testing.T) {
	for _, kind := range []string{"hanging", "new connections refused"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const perSecond = 3
				d := newSettledDeploymentOf(t, 73, 3, 6)
				defer d.close()
				b := startBackends(d, 4)
				defer b.close()
				a := d.startAttempts(6)
				time.Sleep(time.Second)
				b.partitionEntries(partitions[kind], d.entryIPs()[:3], true)
				time.Sleep(2 * time.Second)
				b.setLimit(backendAddress(0), perSecond)
				b.setRejection(backendAddress(1), always(rejectFor(1500*time.Millisecond)))
				time.Sleep(limitGrace)
				from := time.Now()
				time.Sleep(10 * time.Second)
				to := time.Now()
				a.end()
				b.requireLimitKept(backendAddress(0), perSecond, from, to)
				b.requireCooldownsKept()
				a.requireServedAsOthers(t, d.entryIPs()[:3], d.entryIPs()[3:], from, to)
			})
		})
	}
}

// A partition must not make ordinary requests look as if they ended their servers, and a request that
// does must be found at partitioned entries as well.
func TestHarmfulRequestsAreFoundDuringPartitions(t *testing.T) {
	for kind, p := range partitions {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSettledDeploymentOf(t, 74, 3, 6)
				defer d.close()
				b := startBackends(d, 6)
				defer b.close()
				a := d.startAttempts(10)
				time.Sleep(time.Second)
				for range 3 {
					b.partitionEntries(p, d.entryIPs()[:5], true)
					time.Sleep(2 * time.Second)
					b.partitionEntries(p, d.entryIPs()[:5], false)
					time.Sleep(2 * time.Second)
				}
				for _, e := range d.entries {
					require.Zero(t, e.HeldBack(), "no server has ended")
				}
				b.partitionEntries(p, d.entryIPs()[:3], true)
				time.Sleep(2 * time.Second)
				for i := range 20 {
					d.call(d.entryIPs()[i%6], "/once/x", harmfulBody)
					time.Sleep(200 * time.Millisecond)
				}
				a.end()
				require.LessOrEqual(t, b.crashCount(), 3)
			})
		})
	}
}

// A sound server is silent for a second and goes on: its requests must not be interrupted, no path may
// count as lost, and it must be used again.
func TestServersThatPauseAreNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeploymentOf(t, 76, 3, 6)
		defer d.close()
		b := startBackends(d, 3)
		defer b.close()
		a := d.startAttempts(6)
		for i := range 4 {
			time.Sleep(3 * time.Second)
			pause := partitions["hanging"]
			for _, ip := range d.entryIPs() {
				pause.begin(d, ip, backendIP(i%3))
			}
			time.Sleep(1200 * time.Millisecond)
			for _, e := range d.entries {
				require.False(t, e.PathLost())
			}
			for _, ip := range d.entryIPs() {
				pause.end(d, ip, backendIP(i%3))
			}
			from := time.Now()
			time.Sleep(6 * time.Second)
			require.NotEmpty(t, b.requestsBetween(backendAddress(i%3), from, time.Now()))
		}
		a.end()
		b.requireRunOnce()
		b.requireRefusalsTrue(a)
		for _, e := range d.entries {
			require.Zero(t, e.HeldBack())
		}
		for _, x := range a.list {
			require.Equal(t, 200, x.status, "%+v", x)
		}
	})
}
