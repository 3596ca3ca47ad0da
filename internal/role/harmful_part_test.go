package role_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// countedPartCrashes is the number of crashes under a prompt part after which requests with it
	// count as late once maxHoldBackDelay has passed.
	countedPartCrashes = 5
	// minSoundShare is the share of ordinary requests that must be served beside harmful ones.
	minSoundShare = 0.9
)

// partCrash is what a server writes for a request with a harmful prompt part before it crashes.
type partCrash func(p *backendProcess, conn net.Conn, id string)

// partCrashes are the ways in which servers crash, by name, with the path of the requests.
var partCrashes = map[string]struct {
	path  string
	crash partCrash
}{
	"before the response": {"/once/x", func(*backendProcess, net.Conn, string) {}},
	"in a body with a length": {"/again/x", func(_ *backendProcess, conn net.Conn, id string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 9\r\n\r\nok", id)
	}},
	"in a body that ends with the connection": {"/again/x", func(_ *backendProcess, conn net.Conn, id string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nok", id)
	}},
	"between the events of a stream that ends with the connection": {"/resume/x", func(_ *backendProcess, conn net.Conn, id string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nid: 1\ndata: a\n\n", id)
	}},
	"inside an event": {"/stream/x", func(_ *backendProcess, conn net.Conn, id string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nid: 1\nda", id)
	}},
	"inside a chunk": {"/resume/x", func(_ *backendProcess, conn net.Conn, id string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n40\r\nid: 1\ndata: a\n\nid", id)
	}},
}

// splitParts returns the IDs of the parts of a request's prompt.
func splitParts(r *http.Request) []string {
	if text := r.Header.Get("X-Parts"); text != "" {
		return strings.Split(text, ",")
	}
	return nil
}

// harmfulPart returns the harmful part of a request and how it crashes its server, nil for none.
func (b *backends) harmfulPart(r *http.Request) (string, partCrash) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range splitParts(r) {
		if crash := b.partCrash[id]; crash != nil {
			return id, crash
		}
	}
	return "", nil
}

func (b *backends) setHarmfulPart(id string, crash partCrash) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.partCrash[id] = crash
}

// recordPartArrival records that a request reached a server, if it has a harmful part.
func (b *backends) recordPartArrival(r *http.Request) {
	if part, crash := b.harmfulPart(r); crash != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.partArrivals[part] = append(b.partArrivals[part], time.Now())
	}
}

func (b *backends) recordPartCrash(part string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.partCrashes[part] = append(b.partCrashes[part], time.Now())
}

// partCrashCount returns how many servers crashed under a part.
func (b *backends) partCrashCount(part string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.partCrashes[part])
}

// latePartArrivals returns how often requests with a part reached servers more than maxHoldBackDelay
// after the fifth crash.
func (b *backends) latePartArrivals(part string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	crashes := slices.SortedFunc(slices.Values(b.partCrashes[part]), time.Time.Compare)
	if len(crashes) < countedPartCrashes {
		return 0
	}
	n := 0
	for _, at := range b.partArrivals[part] {
		if at.Sub(crashes[countedPartCrashes-1]) > maxHoldBackDelay {
			n++
		}
	}
	return n
}

// respondEvents responds to a request for a stream with three events, without those that the caller has.
func (p *backendProcess) respondEvents(conn net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
	for id := 1; id <= 3; id++ {
		if last := r.Header.Get("X-Last-Event"); last != "" && fmt.Sprint(id) <= last {
			continue
		}
		event := fmt.Sprintf("id: %d\ndata: a\n\n", id)
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	_, _ = fmt.Fprint(conn, "0\r\n\r\n")
}

// partLoad is a load of requests that share some parts of their prompts. No two have the same body or
// the same last part.
type partLoad struct {
	path string
	// harmful are the harmful parts: each harmful request has one of them, behind the same first part
	// as the ordinary ones.
	harmful []string
	// interval is the time between the arrivals of two harmful requests, each beside ordinary ones.
	interval time.Duration
	// burst is the number of harmful requests that arrive together, 1 if it is 0.
	burst int
	// ordinaryParts is the number of middle parts of the ordinary requests.
	ordinaryParts int

	wg sync.WaitGroup
	mu sync.Mutex
	// sent counts the harmful requests; ordinary are the responses to the others. Guarded by mu.
	sent     int
	ordinary []callResult
}

// run sends requests to one entry after the other.
func (l *partLoad) run(d *deployment, length time.Duration) {
	var entries []string
	d.entriesMu.RLock()
	for ip := range d.entries {
		entries = append(entries, ip)
	}
	d.entriesMu.RUnlock()
	slices.Sort(entries)
	for i, start := 0, time.Now(); time.Since(start) < length; i++ {
		for range max(l.burst, 1) {
			n := l.next()
			l.wg.Go(func() {
				d.callWithParts(entries[n%len(entries)], l.path, fmt.Sprint("harmful-part ", n), "first", l.harmful[n%len(l.harmful)], fmt.Sprint("last-", n))
			})
		}
		for k := range 2 {
			n := 2*i + k
			l.wg.Go(func() {
				result := d.callWithParts(entries[(n+1)%len(entries)], l.path, fmt.Sprint("ordinary ", n), "first", fmt.Sprint("middle-", n%l.ordinaryParts), fmt.Sprint("ordinary-", n))
				l.mu.Lock()
				defer l.mu.Unlock()
				l.ordinary = append(l.ordinary, result)
			})
		}
		time.Sleep(l.interval)
	}
	l.wg.Wait()
}

func (l *partLoad) next() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	return l.sent
}

// takeServedShare returns the share of ordinary requests that were served since the last call.
func (l *partLoad) takeServedShare() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	served := 0
	for _, r := range l.ordinary {
		if r.status == http.StatusOK {
			served++
		}
	}
	share := float64(served) / float64(len(l.ordinary))
	l.ordinary = nil
	return share
}

// Requests that share nothing but one part of their prompts crash servers at all entries.
func TestPromptPartThatCrashesServersIsHeldBack(t *testing.T) {
	for _, entries := range []int{3, 40} {
		for name, c := range partCrashes {
			t.Run(fmt.Sprint(entries, " entries, crash ", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newSettledDeployment(t, 61, entries)
					defer d.close()
					b := startBackends(d, 12)
					defer b.close()
					b.setHarmfulPart("harmful", c.crash)
					l := &partLoad{path: c.path, harmful: []string{"harmful"}, interval: 200 * time.Millisecond, ordinaryParts: 6}
					l.run(d, 10*time.Second)
					l.takeServedShare()
					l.run(d, 10*time.Second)
					t.Logf("%d servers crashed, %d late arrivals", b.partCrashCount("harmful"), b.latePartArrivals("harmful"))
					require.GreaterOrEqual(t, b.partCrashCount("harmful"), 3)
					require.LessOrEqual(t, b.latePartArrivals("harmful"), maxLateArrivals)
					require.GreaterOrEqual(t, l.takeServedShare(), minSoundShare)
				})
			})
		}
	}
}

// A request that is repeated crashes its servers within responses that do not look broken off.
func TestRequestThatCrashesServersWithinResponsesIsHeldBack(t *testing.T) {
	for name, c := range partCrashes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSettledDeployment(t, 62, 3)
				defer d.close()
				b := startBackends(d, 12)
				defer b.close()
				b.mu.Lock()
				b.bodyCrash = c.crash
				b.mu.Unlock()
				d.repeatHarmful(10*time.Second, c.path)
				results := d.repeatHarmful(3*time.Second, c.path)
				t.Logf("%d servers crashed, %d late arrivals", b.crashCount(), b.lateArrivals(maxHoldBackDelay))
				require.LessOrEqual(t, b.lateArrivals(maxHoldBackDelay), maxLateArrivals)
				require.Equal(t, 503, results.harmful.status)
				for _, r := range results.ordinary {
					require.Equal(t, 200, r.status)
				}
			})
		})
	}
}

// harmfulPartEvents happen while requests with one or two harmful parts arrive.
var harmfulPartEvents = map[string]func(d *deployment, b *backends){
	"servers that crash by themselves": func(_ *deployment, b *backends) {
		for range 6 {
			b.stopSome(1)
			time.Sleep(700 * time.Millisecond)
		}
	},
	"a rack lost": func(_ *deployment, b *backends) {
		time.Sleep(500 * time.Millisecond)
		b.stopSome(4)
	},
	"the leader lost": func(d *deployment, _ *backends) {
		time.Sleep(400 * time.Millisecond)
		d.powerOff(d.leader())
	},
	"entries that restart": func(d *deployment, _ *backends) {
		for _, ip := range []string{"10.0.1.1", "10.0.1.2"} {
			time.Sleep(500 * time.Millisecond)
			d.restartEntry(ip)
		}
	},
	"an entry partitioned from the control hosts": func(d *deployment, _ *backends) {
		time.Sleep(200 * time.Millisecond)
		d.setEntryPartition("10.0.1.3", true)
		time.Sleep(4 * time.Second)
		d.setEntryPartition("10.0.1.3", false)
	},
	"control hosts that restart in turn": func(d *deployment, _ *backends) {
		for _, host := range d.controlIPs() {
			d.restartControlHosts(host)
			time.Sleep(3 * time.Second)
		}
	},
}

// Harmful parts must be found and stay held back while hosts and servers fail for other reasons.
func TestHarmfulPromptPartsUnderFaults(t *testing.T) {
	for name, event := range harmfulPartEvents {
		for _, l := range []*partLoad{
			{path: "/again/x", harmful: []string{"bad"}, interval: 250 * time.Millisecond, ordinaryParts: 6},
			{path: "/once/x", harmful: []string{"bad", "worse"}, interval: 800 * time.Millisecond, burst: 4, ordinaryParts: 6},
		} {
			t.Run(fmt.Sprint(name, ", ", len(l.harmful), " parts"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newSettledDeployment(t, 63, 6)
					defer d.close()
					b := startBackends(d, 14)
					defer b.close()
					for _, part := range l.harmful {
						b.setHarmfulPart(part, partCrashes["in a body that ends with the connection"].crash)
					}
					done := make(chan struct{})
					go func() {
						defer close(done)
						l.run(d, 12*time.Second)
					}()
					event(d, b)
					<-done
					l.takeServedShare()
					d.await(15*time.Second, "the servers", func() bool {
						for _, e := range d.entries {
							if e.ReadyServers() < 10 {
								return false
							}
						}
						return true
					})
					l.run(d, 6*time.Second)
					for _, part := range l.harmful {
						t.Logf("%s: %d servers crashed, %d late arrivals", part, b.partCrashCount(part), b.latePartArrivals(part))
						require.LessOrEqual(t, b.latePartArrivals(part), maxLateArrivals)
					}
					require.GreaterOrEqual(t, l.takeServedShare(), minSoundShare, "suspected: %s", d.control[d.leader()].DescribeSuspects())
				})
			})
		}
	}
}
