package role_test

import (
	"flag"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/origin"
)

var (
	versionSeeds     = flag.Int("version-seeds", 4, "series of releases and faults to try")
	versionFirstSeed = flag.Int64("version-first-seed", 1, "seed of the first such series")
)

const (
	// versionedEvents is the number of events of a stream of servers with versions, and eventInterval the
	// time between two of them.
	versionedEvents = 20
	eventInterval   = 30 * time.Millisecond
	// maxStreamTries is how often a caller tries to take a stream up.
	maxStreamTries = 6
)

// version returns the version of the server that starts at an address.
func (b *backends) version(address string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.versions[address]
}

func (b *backends) setVersion(address, version string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.versions[address] = version
}

// replace crashes the server at an address, which starts again with another version of its software.
func (b *backends) replace(address, version string) {
	b.setVersion(address, version)
	b.mu.Lock()
	var old []*backendProcess
	for p := range b.processes {
		if p.address == address {
			old = append(old, p)
		}
	}
	b.mu.Unlock()
	for _, p := range old {
		p.stop()
	}
}

// respondVersions responds with events that contain the server's version, without those that the caller
// has.
func (p *backendProcess) respondVersions(conn net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
	// Without the header last is 0.
	last, _ := strconv.Atoi(r.Header.Get("X-Last-Event"))
	for id := last + 1; id <= versionedEvents; id++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", id, p.version)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
		time.Sleep(eventInterval)
	}
	_, _ = fmt.Fprint(conn, "0\r\n\r\n")
}

// streamLoad is a load of streams that their callers take up again when they break off.
type streamLoad struct {
	d  *deployment
	wg sync.WaitGroup

	mu sync.Mutex
	// begun and refused count the first attempts that brought events and those that did not, resumed
	// and notResumed the later ones; mixed are streams with events of several versions. Guarded by mu.
	begun, refused, resumed, notResumed int
	mixed                               []string
}

// events returns the last event of a part of a response, and the versions in its events.
func events(body string) (last int, versions map[string]bool) {
	versions = map[string]bool{}
	for _, event := range strings.Split(body, "\n\n") {
		id, data, ok := strings.Cut(event, "\ndata: ")
		if n, err := strconv.Atoi(strings.TrimPrefix(id, "id: ")); ok && err == nil {
			last = n
			versions[data] = true
		}
	}
	return last, versions
}

// run makes one stream complete, at any entry.
func (l *streamLoad) run(r *rand.Rand, entries []string) {
	defer l.wg.Done()
	var first string
	last, versions := 0, map[string]bool{}
	for try := 0; try < maxStreamTries && last < versionedEvents; try++ {
		header := http.Header{}
		if last > 0 {
			header.Set("X-Resumes", first)
			header.Set("X-Last-Event", strconv.Itoa(last))
		}
		result := l.d.callWith(entries[r.Intn(len(entries))], "/resume/x", "stream", header)
		n, seen := events(result.body)
		l.mu.Lock()
		switch {
		case last > 0 && n > last:
			l.resumed++
		case last > 0:
			l.notResumed++
		case n > 0:
			l.begun++
		default:
			l.refused++
		}
		l.mu.Unlock()
		if last == 0 && n > 0 {
			first = result.id
		}
		last = max(last, n)
		for v := range seen {
			versions[v] = true
		}
		if last < versionedEvents {
			time.Sleep(50 * time.Millisecond)
		}
	}
	if len(versions) > 1 {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.mixed = append(l.mixed, fmt.Sprint("attempt ", first, " ", versions))
	}
}

// runFor begins a stream every interval.
func (l *streamLoad) runFor(length, interval time.Duration, seed int64) {
	var entries []string
	l.d.entriesMu.RLock()
	n := len(l.d.entries)
	l.d.entriesMu.RUnlock()
	for i := range n {
		entries = append(entries, fmt.Sprintf("10.0.1.%d", i+1))
	}
	for i, start := int64(0), time.Now(); time.Since(start) < length; i++ {
		l.wg.Add(1)
		go l.run(rand.New(rand.NewSource(seed*1000+i)), entries)
		time.Sleep(interval)
	}
	l.wg.Wait()
}

// shares returns the share of new streams that began and of resumed ones that went on.
func (l *streamLoad) shares() (begun, resumed float64) {
	return float64(l.begun) / float64(max(l.begun+l.refused, 1)), float64(l.resumed) / float64(max(l.resumed+l.notResumed, 1))
}

// Servers are replaced by ones with another version of their software while streams run that their
// callers resume at any entry, also those that broke off with their entry: no stream may hold events of both.
func TestStreamsStayAtOneVersion(t *testing.T) {
	for _, entries := range []int{3, 12} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSettledDeployment(t, 71, entries)
				defer d.close()
				b := startVersionedBackends(d, 8, "v1")
				defer b.close()
				l := &streamLoad{d: d}
				go func() {
					for i := range 6 {
						time.Sleep(1500 * time.Millisecond)
						b.replace(backendAddress(i), "v2")
					}
				}()
				go func() {
					for i := range 4 {
						time.Sleep(2300 * time.Millisecond)
						d.restartEntry(fmt.Sprintf("10.0.1.%d", i%2+1))
					}
				}()
				l.runFor(14*time.Second, 40*time.Millisecond, 71)
				begun, resumed := l.shares()
				t.Logf("%d streams begun (%.3f), %d resumed by their callers (%.3f), %d mixed", l.begun, begun, l.resumed, resumed, len(l.mixed))
				require.Empty(t, l.mixed)
				require.GreaterOrEqual(t, resumed, begun/2)
			})
		})
	}
}

// startVersionedBackends is startBackends with servers of a version.
func startVersionedBackends(d *deployment, n int, version string) *backends {
	return startBackendsAs(d, n, false, func(b *backends) {
		for i := range n {
			b.versions[backendAddress(i)] = version
		}
	})
}

// versionFaults is a series of releases, back and forth, and faults, drawn from a seed.
type versionFaults struct {
	d       *deployment
	b       *backends
	random  *rand.Rand
	entries int
	// partitioned is set once an entry was partitioned from the control hosts.
	partitioned bool
}

// run causes faults until a time.
func (f *versionFaults) run(length time.Duration) {
	for start := time.Now(); time.Since(start) < length; time.Sleep(time.Duration(200+f.random.Intn(1500)) * time.Millisecond) {
		entry := fmt.Sprintf("10.0.1.%d", f.random.Intn(f.entries)+1)
		switch f.random.Intn(8) {
		case 0, 1, 2:
			for range 1 + f.random.Intn(3) {
				f.b.replace(backendAddress(f.random.Intn(f.b.count)), fmt.Sprint("v", 1+f.random.Intn(2)))
			}
		case 3:
			f.b.replace(backendAddress(f.random.Intn(f.b.count)), fmt.Sprint("v", 1+f.random.Intn(4)))
		case 4, 5:
			f.d.restartEntry(entry)
		case 6:
			f.partitioned = true
			f.d.setEntryPartition(entry, true)
			time.Sleep(time.Duration(f.random.Intn(4000)) * time.Millisecond)
			f.d.setEntryPartition(entry, false)
		case 7:
			host := f.d.leader()
			if host != "" && f.random.Intn(3) == 0 {
				f.d.restartControlHosts(host)
			}
		}
	}
}

// Releases in the middle of streams, back and forth, beside restarts of entries and control hosts and
// partitions of entries: no stream may hold events of two versions, whichever entries its caller uses.
func TestStreamsStayAtOneVersionUnderFaults(t *testing.T) {
	for i := range *versionSeeds {
		seed := *versionFirstSeed + int64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewSource(seed))
				entries := 3 + random.Intn(6)
				d := newSettledDeployment(t, seed, entries)
				defer d.close()
				b := startVersionedBackends(d, 6+random.Intn(6), "v1")
				defer b.close()
				l, f := &streamLoad{d: d}, &versionFaults{d: d, b: b, random: random, entries: entries}
				done := make(chan struct{})
				go func() {
					defer close(done)
					f.run(15 * time.Second)
				}()
				l.runFor(18*time.Second, 50*time.Millisecond, seed)
				<-done
				begun, resumed := l.shares()
				t.Logf("%d entries, %d servers: %d streams begun (%.3f), %d resumed by their callers (%.3f), %d mixed, partitions %v",
					entries, b.count, l.begun, begun, l.resumed, resumed, len(l.mixed), f.partitioned)
				require.Empty(t, l.mixed)
			})
		})
	}
}

// What a caller states about the stream that it continues may be missing, wrong or about a version that
// has no servers: then the request must be refused at once as not run, and never guessed.
func TestResumedStreamsOfUnknownOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeployment(t, 72, 3)
		defer d.close()
		b := startVersionedBackends(d, 6, "v1")
		defer b.close()
		resume := func(entry int, after int, resumes ...string) callResult {
			header := http.Header{"X-Resumes": resumes}
			header.Set("X-Last-Event", strconv.Itoa(after))
			return d.callWith(fmt.Sprintf("10.0.1.%d", entry), "/resume/x", "stream", header)
		}
		versionsOf := func(r callResult) map[string]bool {
			_, versions := events(r.body)
			return versions
		}
		require.Equal(t, 200, resume(1, 3).status, "all servers are of one version")

		for i := range 3 {
			b.replace(backendAddress(i), "v2")
		}
		time.Sleep(2 * backendRestartDelay)
		old := map[string]string{}
		for len(old) < 2 {
			r := d.callWith("10.0.1.1", "/resume/x", "stream", http.Header{})
			for v := range versionsOf(r) {
				old[v] = r.id
			}
		}
		for v, id := range old {
			for entry := 1; entry <= 3; entry++ {
				r := resume(entry, 3, id)
				require.Equal(t, map[string]bool{v: true}, versionsOf(r))
				require.Equal(t, map[string]bool{v: true}, versionsOf(resume(entry, 5, r.id)), "an attempt that resumed another")
			}
		}
		for name, r := range map[string]callResult{
			"nothing stated":              resume(2, 3),
			"an attempt that never was":   resume(2, 3, "no-such-attempt"),
			"an attempt without an event": resume(2, 3, resume(2, 3, "no-such-attempt").id),
			"an attempt on a route to another pool": d.callWith("10.0.1.2", "/other/x", "stream",
				http.Header{"X-Resumes": {old["v1"]}, "X-Last-Event": {"3"}}),
		} {
			require.Equal(t, 503, r.status, name)
			require.Zero(t, r.retryAfterSeconds, name)
			require.Empty(t, r.body, name)
		}
		require.Equal(t, 400, resume(2, 3, old["v1"], old["v2"]).status)
		require.Equal(t, 200, resume(2, 0, "no-such-attempt").status, "nothing is joined")

		for i := range 3 {
			b.replace(backendAddress(3+i), "v2")
		}
		time.Sleep(2 * backendRestartDelay)
		start := time.Now()
		require.Equal(t, 503, resume(3, 3, old["v1"]).status, "the version has no servers")
		require.Zero(t, time.Since(start))
		require.Equal(t, 200, resume(3, 3, old["v2"]).status)
		require.Equal(t, 503, resume(3, 3).status, "the version that is gone may have begun it")
		time.Sleep(origin.VersionRetention - 15*time.Second)
		require.Equal(t, 503, resume(3, 3).status, "its caller may still wait")
		time.Sleep(20 * time.Second)
		require.Equal(t, 200, resume(3, 3).status)
	})
}

// A stream broke off while all servers were of one version, so that only its own entry knows where it
// began. Once there are two versions, each entry must find that out.
func TestOriginFromBeforeTheSecondVersionIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeployment(t, 74, 12)
		defer d.close()
		b := startVersionedBackends(d, 6, "v1")
		defer b.close()
		var began []callResult
		for i := range 8 {
			began = append(began, d.callWith(fmt.Sprintf("10.0.1.%d", i+1), "/resume/x", "stream", http.Header{}))
		}
		for i := range 4 {
			b.replace(backendAddress(i), "v2")
		}
		time.Sleep(2 * backendRestartDelay)
		for _, first := range began {
			header := http.Header{"X-Resumes": {first.id}, "X-Last-Event": {"3"}}
			_, versions := events(d.callWith("10.0.1.12", "/resume/x", "stream", header).body)
			require.Equal(t, map[string]bool{"v1": true}, versions)
		}
	})
}

// An entry that is partitioned from the control hosts knows of no other version: it must not resume
// streams that began elsewhere at one.
func TestPartitionedEntryJoinsNoVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeployment(t, 73, 2)
		defer d.close()
		b := startVersionedBackends(d, 6, "v1")
		defer b.close()
		// Both entries have known one version alone for long, and neither reaches the other.
		time.Sleep(40 * time.Second)
		d.setEntryPartition("10.0.1.2", true)
		d.network.Cut("10.0.1.1", "10.0.1.2", true)
		d.network.Cut("10.0.1.2", "10.0.1.1", true)
		time.Sleep(2 * time.Second)
		for i := range 2 {
			b.replace(backendAddress(i), "v2")
		}
		time.Sleep(2 * backendRestartDelay)
		var began callResult
		for tries, versions := 0, map[string]bool{}; !versions["v2"]; tries++ {
			require.Less(t, tries, 200, "a third of the servers have the new version")
			began = d.callWith("10.0.1.1", "/resume/x", "stream", http.Header{})
			_, versions = events(began.body)
		}
		header := http.Header{"X-Resumes": {began.id}, "X-Last-Event": {"3"}}
		r := d.callWith("10.0.1.2", "/resume/x", "stream", header)
		require.Equal(t, 503, r.status)
		require.Positive(t, r.retryAfterSeconds, "the other entry may know")
	})
}

// A server of a second version starts just as an entry is cut off, which still counts as confirmed for
// more than a second, and crashes again. A stream that begins at another entry must not be resumed there
// at the first version.
func TestNoStreamBeginsAtAVersionThatOthersLack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeployment(t, 75, 2)
		defer d.close()
		b := startVersionedBackends(d, 2, "v1")
		defer b.close()
		time.Sleep(40 * time.Second)
		b.replace(backendAddress(0), "v2")
		time.Sleep(backendRestartDelay - 100*time.Millisecond)
		d.setEntryPartition("10.0.1.2", true)
		d.network.Cut("10.0.1.1", "10.0.1.2", true)
		d.network.Cut("10.0.1.2", "10.0.1.1", true)
		time.Sleep(550 * time.Millisecond)
		time.AfterFunc(100*time.Millisecond, func() { b.replace(backendAddress(0), "v2") })
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				began := d.callWith("10.0.1.1", "/resume/x", "stream", http.Header{})
				_, versions := events(began.body)
				header := http.Header{"X-Resumes": {began.id}, "X-Last-Event": {"1"}}
				_, resumed := events(d.callWith("10.0.1.2", "/resume/x", "stream", header).body)
				for v := range resumed {
					require.True(t, versions[v], "began at %v, went on at %s", versions, v)
				}
			})
		}
		wg.Wait()
	})
}

// An entry that has just started sees servers of one version, and an entry that may know that the stream began at
// another one does not respond: it guessed the version that it saw, and joined two.
func TestYoungEntryGuessesNoVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeployment(t, 74, 3)
		defer d.close()
		b := startVersionedBackends(d, 4, "v1")
		defer b.close()
		// Entries must be older than versions are remembered.
		time.Sleep(40 * time.Second)
		cut := func(block bool) {
			d.network.Cut("10.0.1.1", "10.0.1.2", block)
			d.network.Cut("10.0.1.2", "10.0.1.1", block)
		}
		restart := func() {
			d.restartEntry("10.0.1.2")
			d.await(5*time.Second, "the servers", func() bool { return d.entries["10.0.1.2"].ReadyServers() == 4 })
		}
		resume := func(id string) callResult {
			return d.callWith("10.0.1.2", "/resume/x", "stream", http.Header{"X-Resumes": {id}, "X-Last-Event": {"3"}})
		}
		// All servers have been of one version for long: another entry confirms it.
		cut(true)
		restart()
		id := d.callWith("10.0.1.1", "/resume/x", "stream", http.Header{}).id
		require.Equal(t, 200, resume(id).status)

		for i := range 4 {
			b.replace(backendAddress(i), "v2")
		}
		// The servers start again, and the old ones are no longer known.
		time.Sleep(3 * backendRestartDelay)
		restart()
		require.Equal(t, 503, resume(id).status)
		require.Equal(t, 503, resume("").status, "nothing stated")
		cut(false)
		require.Equal(t, 503, resume(id).status, "v1 has no servers")
		// v1 is still recorded, and the control hosts know what begins now.
		time.Sleep(40 * time.Second)
		cut(true)
		restart()
		began := d.callWith("10.0.1.1", "/resume/x", "stream", http.Header{}).id
		require.Equal(t, 200, resume(began).status)
		require.Equal(t, 503, resume(id).status)
		cut(false)
		// Nobody can resume what began at v1 any more.
		time.Sleep(origin.VersionRetention)
		cut(true)
		restart()
		id = d.callWith("10.0.1.1", "/resume/x", "stream", http.Header{}).id
		require.Equal(t, 200, resume(id).status)
	})
}

// The first server crashes before the stream's first event, and the stream begins at one of another version. The
// entries that recorded the first attempt must not resume it there.
func TestStreamBegunByALaterAttemptIsNotResumedAtTheFirstVersion(t *testing.T) {
	for name, cut := range map[string]bool{"entries reached": false, "entries out of reach": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const entry = "10.0.1.1"
				others := []string{"10.0.1.2", "10.0.1.3"}
				d := newSettledDeployment(t, 75, 3)
				defer d.close()
				b := startVersionedBackends(d, 8, "v1")
				defer b.close()
				for i := range 4 {
					b.replace(backendAddress(i), "v2")
				}
				time.Sleep(2*time.Second + 2*backendRestartDelay)
				setCut := func(cut bool) {
					for _, other := range others {
						d.network.Cut(entry, other, cut)
						d.network.Cut(other, entry, cut)
					}
				}
				b.mu.Lock()
				b.harmfulVersion = "v1"
				b.bodyCrash = func(*backendProcess, net.Conn, string) { setCut(cut) }
				b.mu.Unlock()

				// Which server is first, and whether the retry budget allows another, is drawn by lot.
				tried, tries := 0, 16
				if !cut {
					tries = 100
				}
				for i := 0; i < tries && tried < 2; i++ {
					crashes := b.crashCount()
					first := d.callWith(entry, fmt.Sprint("/resume/", i), harmfulBody, http.Header{})
					setCut(false)
					_, versions := events(first.body)
					if b.crashCount() == crashes || len(versions) == 0 {
						continue
					}
					require.Equal(t, map[string]bool{"v2": true}, versions)
					tried++
					for _, other := range others {
						resumed := d.callWith(other, "/resume/x", "stream", http.Header{"X-Resumes": {first.id}, "X-Last-Event": {"3"}})
						_, joined := events(resumed.body)
						require.NotContains(t, joined, "v1", "resumed at %s", other)
						require.Equal(t, cut, resumed.status != http.StatusOK)
					}
					time.Sleep(backendRestartDelay)
				}
				if !cut {
					require.Positive(t, tried)
				}
			})
		})
	}
}
