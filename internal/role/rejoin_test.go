package role_test

import (
	"fmt"
	"maps"
	"math/rand"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// brokenStream is a stream that broke off with its entry.
type brokenStream struct {
	id      string
	last    int
	version string
}

// restartEntries ends all entries at once and starts them again, without their states.
func (d *deployment) restartEntries() { d.restartEntriesAfter(func() {}) }

// restartEntriesAfter is restartEntries that calls a function while no entry runs.
func (d *deployment) restartEntriesAfter(ended func()) {
	var wg sync.WaitGroup
	for _, e := range d.entries {
		wg.Go(e.Close)
	}
	wg.Wait()
	ended()
	for _, ip := range d.entryIPs() {
		d.startEntry(ip)
	}
}

// breakStreams begins streams at all entries, and returns those that broke off as restart ended the entries.
func breakStreams(d *deployment, n int, restart func()) []brokenStream {
	var mu sync.Mutex
	var out []brokenStream
	var wg sync.WaitGroup
	ips := d.entryIPs()
	for i := range n {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 2 * time.Millisecond)
			r := d.callWith(ips[i%len(ips)], "/resume/x", "stream", http.Header{})
			last, versions := events(r.body)
			if last == 0 || last == versionedEvents {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, brokenStream{r.id, last, slices.Collect(maps.Keys(versions))[0]})
		})
	}
	time.Sleep(450 * time.Millisecond)
	restart()
	wg.Wait()
	return out
}

// resumeAll resumes the streams at random entries, a few times each, and returns how many were joined to a version and
// how many to another one than theirs.
func resumeAll(d *deployment, random *rand.Rand, streams []brokenStream) (resumed map[string]int, mixed int) {
	var mu sync.Mutex
	resumed = map[string]int{}
	var wg sync.WaitGroup
	ips := d.entryIPs()
	for _, s := range streams {
		first := random.Intn(len(ips))
		wg.Go(func() {
			for try := range 3 {
				r := d.callWith(ips[(first+try)%len(ips)], "/resume/x", "stream", http.Header{"X-Resumes": {s.id}, "X-Last-Event": {strconv.Itoa(s.last)}})
				_, versions := events(r.body)
				mu.Lock()
				for v := range versions {
					resumed[s.version]++
					if v != s.version {
						mixed++
					}
				}
				mu.Unlock()
				if len(versions) > 0 {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return resumed, mixed
}

// All entries end at once while servers of two versions are in service, and their callers take up the streams that broke
// off at entries that have just started: each must go on at its own version, and none at the other one.
func TestStreamsAreResumedAfterAllEntriesRestart(t *testing.T) {
	for _, entries := range []int{3, 12} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSettledDeployment(t, 76, entries)
				defer d.close()
				b := startVersionedBackends(d, 6, "v1")
				defer b.close()
				time.Sleep(35 * time.Second)
				for i := range 3 {
					b.replace(backendAddress(i), "v2")
				}
				time.Sleep(3*time.Second + 2*backendRestartDelay)
				broken := breakStreams(d, 60, d.restartEntries)
				d.await(5*time.Second, "the servers", func() bool { return d.entries["10.0.1.1"].ReadyServers() == 6 })
				resumed, mixed := resumeAll(d, d.random, broken)
				t.Logf("%d streams broke off, %v resumed", len(broken), resumed)
				require.GreaterOrEqual(t, len(broken), 30)
				require.Zero(t, mixed)
				require.GreaterOrEqual(t, resumed["v1"]+resumed["v2"], len(broken)*9/10)
				require.Len(t, resumed, 2)
			})
		})
	}
}

// All entries end at once a short time before or after a version's last servers have left, alone or together with all
// control hosts: nobody that runs has seen the version. What it began must not go on at the other one.
func TestStreamsOfALostVersionAreNotJoinedAfterARestart(t *testing.T) {
	for _, delay := range []time.Duration{0, 700 * time.Millisecond, 3 * time.Second, 15 * time.Second} {
		for name, restart := range map[string]func(d *deployment){
			"entries":                   func(d *deployment) { d.restartEntries() },
			"entries and control hosts": func(d *deployment) { d.restartControlHosts(d.controlIPs()...); d.restartEntries() },
		} {
			t.Run(fmt.Sprint(name, ", ", delay, " after the end"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newSettledDeployment(t, 77, 6)
					defer d.close()
					b := startVersionedBackends(d, 6, "v1")
					defer b.close()
					time.Sleep(35 * time.Second)
					for i := range 3 {
						b.replace(backendAddress(i), "v2")
					}
					time.Sleep(3*time.Second + 2*backendRestartDelay)
					broken := breakStreams(d, 60, func() {
						for i := range 3 {
							b.replace(backendAddress(3+i), "v2")
						}
						time.Sleep(delay)
						restart(d)
					})
					broken = slices.DeleteFunc(broken, func(s brokenStream) bool { return s.version != "v1" })
					d.await(10*time.Second, "the servers", func() bool { return d.entries["10.0.1.1"].ReadyServers() >= 3 })
					time.Sleep(time.Second)
					_, mixed := resumeAll(d, d.random, broken)
					t.Logf("%d streams of v1 broke off, %d mixed", len(broken), mixed)
					require.Positive(t, len(broken))
					require.Zero(t, mixed)
				})
			})
		}
	}
}
