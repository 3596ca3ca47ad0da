package role_test

import (
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
	for i := range len(l.d.entries) {
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
