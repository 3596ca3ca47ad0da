package role_test

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	harmfulSeeds       = flag.Int("harmful-seeds", 1, "series of disruptions beside a harmful request to play")
	harmfulFirstSeed   = flag.Int64("harmful-first-seed", 1, "seed of the first series")
	harmfulEntries     = flag.Int("harmful-entries", 24, "entries of each series")
	harmfulCallerLimit = flag.Duration("harmful-caller-limit", 3*time.Second, "how long callers of the harmful request wait")
	harmfulOnly        = flag.String("harmful-only", "", "disruptions to play alone, separated by commas; empty: by lot")
)

const (
	// harmfulSeriesServers and harmfulSeriesControlHosts are the numbers of hosts of a series.
	harmfulSeriesServers      = 60
	harmfulSeriesControlHosts = 9
	// disruptionWindow is the time within which the disruptions of a series begin, and
	// harmfulSeriesLength how long the harmful request is repeated.
	disruptionWindow    = 7 * time.Second
	harmfulSeriesLength = 18 * time.Second
	// maxHarmfulCrashes is how many servers a harmful request may crash, whatever else fails.
	maxHarmfulCrashes = 6
)

// keptHarmfulSeeds are seeds of series in which too many servers crashed once.
var keptHarmfulSeeds = []int64{14, 23, 25}

// disruption is something that fails while a harmful request is repeated.
type disruption struct {
	name string
	run  func(d *deployment, b *backends, random *rand.Rand, end time.Time)
}

// disruptions are drawn by lot for each series.
var disruptions = []disruption{
	{"entries-cut-off", func(d *deployment, _ *backends, random *rand.Rand, end time.Time) {
		some := d.someEntries(random, 0.2+0.6*random.Float64())
		for _, ip := range some {
			d.setEntryPartition(ip, true)
		}
		time.Sleep(min(2*time.Second+time.Duration(random.Int63n(int64(4*time.Second))), time.Until(end)))
		for _, ip := range some {
			d.setEntryPartition(ip, false)
		}
	}},
	{"leader-lost", func(d *deployment, _ *backends, _ *rand.Rand, end time.Time) {
		if leader := d.leader(); leader != "" {
			d.restartControlHosts(leader)
		}
		time.Sleep(min(2*time.Second, time.Until(end)))
	}},
	{"leader-silent", func(d *deployment, _ *backends, random *rand.Rand, end time.Time) {
		leader := d.leader()
		cut := func(block bool) {
			for _, ip := range slices.Concat(d.controlIPs(), d.entryIPs()) {
				if ip != leader {
					d.network.Cut(leader, ip, block)
					d.network.Cut(ip, leader, block)
				}
			}
		}
		if leader == "" {
			return
		}
		cut(true)
		time.Sleep(min(time.Second+time.Duration(random.Int63n(int64(3*time.Second))), time.Until(end)))
		cut(false)
	}},
	{"all-control-hosts-restarted", func(d *deployment, _ *backends, _ *rand.Rand, _ time.Time) {
		d.restartControlHosts(d.controlIPs()...)
	}},
	{"entries-restarted", func(d *deployment, _ *backends, random *rand.Rand, _ time.Time) {
		for _, ip := range d.someEntries(random, 0.2) {
			d.restartEntry(ip)
		}
	}},
	{"halves", func(d *deployment, _ *backends, random *rand.Rand, end time.Time) {
		hosts := slices.Concat(d.controlIPs(), d.entryIPs())
		random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		half := hosts[:len(hosts)/2]
		cut := func(block bool) {
			for _, a := range half {
				for _, b := range hosts[len(hosts)/2:] {
					d.network.Cut(a, b, block)
					d.network.Cut(b, a, block)
				}
			}
		}
		cut(true)
		time.Sleep(min(2*time.Second+time.Duration(random.Int63n(int64(3*time.Second))), time.Until(end)))
		cut(false)
	}},
	{"rack-lost", func(_ *deployment, b *backends, _ *rand.Rand, _ time.Time) { b.stopSome(8) }},
	{"rack-dark", func(d *deployment, _ *backends, random *rand.Rand, end time.Time) {
		first := random.Intn(harmfulSeriesServers - 8)
		for i := range 8 {
			d.network.PowerOff(backendIP(first + i))
		}
		time.Sleep(min(4*time.Second, time.Until(end)))
		for i := range 8 {
			d.network.PowerOn(backendIP(first + i))
		}
	}},
}

// isolate cuts entries off from all control hosts and from all other entries, each by itself, or heals that.
func (d *deployment) isolate(entries []string, cut bool) {
	for _, ip := range entries {
		for _, other := range slices.Concat(d.controlIPs(), d.entryIPs()) {
			if other != ip {
				d.network.Cut(ip, other, cut)
				d.network.Cut(other, ip, cut)
			}
		}
	}
}

// someEntries returns a share of the entries, drawn by lot.
func (d *deployment) someEntries(random *rand.Rand, share float64) []string {
	all := d.entryIPs()
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:max(int(share*float64(len(all))), 1)]
}

// callFor is call by a caller that leaves after a time.
func (d *deployment) callFor(limit time.Duration, ip, path, body string) int {
	d.entriesMu.RLock()
	entry := d.entries[ip]
	d.entriesMu.RUnlock()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request := httptest.NewRequest(http.MethodPost, "http://h.example"+path, strings.NewReader(body)).WithContext(ctx)
	request.Header.Set("X-Id", strconv.FormatInt(d.lastCallID.Add(1), 10))
	recorder := httptest.NewRecorder()
	// An interrupted response panics, as net/http expects.
	defer func() { _ = recover() }()
	entry.CallerHandler().ServeHTTP(recorder, request)
	return recorder.Code
}

// harmfulSeries plays a series: the harmful request at entries drawn by lot, ordinary ones beside it,
// and two to four disruptions.
type harmfulSeries struct {
	d      *deployment
	b      *backends
	random *rand.Rand
	// callerLimit is how long the callers of the harmful request wait.
	callerLimit time.Duration
	// path is that of the harmful request, and afterCall, if set, is called as it is sent to an entry.
	path      string
	afterCall func(ip string)
	// noDisruptions is set if nothing else fails.
	noDisruptions bool
	began         time.Time
	played        []string

	mu sync.Mutex
	// served and ordinary count the ordinary requests.
	served, ordinary int
}

func (s *harmfulSeries) disrupt(wg *sync.WaitGroup, end time.Time) {
	var some []disruption
	for _, x := range disruptions {
		if slices.Contains(strings.Split(*harmfulOnly, ","), x.name) {
			some = append(some, x)
		}
	}
	if len(some) == 0 {
		for range 2 + s.random.Intn(3) {
			some = append(some, disruptions[s.random.Intn(len(disruptions))])
		}
	}
	// Disruptions that restart hosts run one after the other: deployment belongs to one goroutine.
	var ats []time.Duration
	for range some {
		ats = append(ats, time.Duration(s.random.Int63n(int64(disruptionWindow))))
	}
	slices.Sort(ats)
	start := time.Now()
	for i, x := range some {
		s.played = append(s.played, fmt.Sprint(x.name, "@", ats[i].Truncate(100*time.Millisecond)))
		time.Sleep(time.Until(start.Add(ats[i])))
		if restarts := strings.Contains(x.name, "restart") || x.name == "leader-lost"; restarts {
			x.run(s.d, s.b, s.random, end)
			continue
		}
		random := rand.New(rand.NewSource(s.random.Int63()))
		wg.Go(func() { x.run(s.d, s.b, random, end) })
	}
}

func (s *harmfulSeries) play() {
	s.began = time.Now()
	end := s.began.Add(harmfulSeriesLength)
	entries := s.d.entryIPs()
	var wg sync.WaitGroup
	random := rand.New(rand.NewSource(s.random.Int63()))
	wg.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			ip := entries[random.Intn(len(entries))]
			wg.Go(func() { s.d.callFor(s.callerLimit, ip, cmp.Or(s.path, "/once/x"), harmfulBody) })
			if s.afterCall != nil {
				wg.Go(func() { s.afterCall(ip) })
			}
			for range 3 {
				at, body := entries[random.Intn(len(entries))], fmt.Sprint("ordinary ", random.Int63())
				wg.Go(func() {
					status := s.d.callFor(3*time.Second, at, "/again/x", body)
					s.mu.Lock()
					defer s.mu.Unlock()
					s.ordinary++
					if status == http.StatusOK {
						s.served++
					}
				})
			}
			time.Sleep(50*time.Millisecond + time.Duration(random.Int63n(int64(250*time.Millisecond))))
		}
	})
	if !s.noDisruptions {
		s.disrupt(&wg, end)
	}
	wg.Wait()
}

// Some entries reach the servers and nobody else: each needs three servers of its own to find out what the
// others know.
func TestHarmfulRequestAtIsolatedEntries(t *testing.T) {
	const entries, isolated = 24, 5
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeploymentOf(t, 66, 3, entries)
		defer d.close()
		b := startBackends(d, harmfulSeriesServers)
		defer b.close()
		random := rand.New(rand.NewSource(66))
		some := d.someEntries(random, float64(isolated)/entries)
		d.isolate(some, true)
		time.Sleep(2 * time.Second)
		s := &harmfulSeries{d: d, b: b, random: random, callerLimit: 3 * time.Second, noDisruptions: true}
		s.play()
		t.Logf("%d servers crashed after %v, %d of %d ordinary requests served", b.crashCount(), s.crashTimes(), s.served, s.ordinary)
		require.LessOrEqual(t, b.crashCount(), maxHarmfulCrashes+isolated)
		require.GreaterOrEqual(t, float64(s.served), minSoundShare*float64(s.ordinary))
		// Once they reach the others they know what these know, and ordinary requests are served.
		d.isolate(some, false)
		time.Sleep(5 * time.Second)
		crashes := b.crashCount()
		for _, ip := range some {
			require.Equal(t, 503, d.call(ip, "/once/x", harmfulBody).status)
			require.Equal(t, 200, d.call(ip, "/once/x", "ordinary").status)
		}
		require.Equal(t, crashes, b.crashCount())
	})
}

// abandonments are the ways in which an attempt ends before its server does.
var abandonments = map[string]struct {
	path string
	// callerLimit is how long callers wait, and runTime how long a server runs the request before it crashes.
	callerLimit, runTime time.Duration
	// resets is set if the connections to the servers are reset while they run it.
	resets bool
	// crashes is how many servers may crash.
	crashes int
	// crash is what a server does before it crashes, nil for nothing.
	crash partCrash
}{
	"callers leave":                 {"/once/x", 60 * time.Millisecond, 100 * time.Millisecond, false, maxHarmfulCrashes, nil},
	"callers leave within a stream": {"/resume/x", 60 * time.Millisecond, 100 * time.Millisecond, false, maxHarmfulCrashes, nil},
	"callers leave, slow crash":     {"/once/x", 100 * time.Millisecond, 1200 * time.Millisecond, false, maxSlowCrashes, nil},
	"another attempt begins":        {"/again/x", 3 * time.Second, 700 * time.Millisecond, false, maxSlowCrashes, nil},
	"callers leave after an event": {"/stream/x", 60 * time.Millisecond, 20 * time.Millisecond, false, maxHarmfulCrashes, func(_ *backendProcess, conn net.Conn, id string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n", id)
		time.Sleep(100 * time.Millisecond)
	}},
	"connections are reset": {"/once/x", 3 * time.Second, 800 * time.Millisecond, true, maxSlowCrashes, nil},
}

// maxSlowCrashes is how many servers may crash that take a second or so for it: copies of the request
// that were sent before the first crash meet servers of their own.
const maxSlowCrashes = 12

// Attempts at a harmful request end before their servers do, as callers leave, time runs out or connections
// are reset: nobody looks whether the servers end, and the request goes on to others.
func TestHarmfulRequestWhoseAttemptsAreAbandoned(t *testing.T) {
	for name, tt := range abandonments {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSettledDeploymentOf(t, 64, 3, 12)
				defer d.close()
				b := startBackends(d, harmfulSeriesServers)
				defer b.close()
				b.mu.Lock()
				b.runTime, b.bodyCrash = tt.runTime, tt.crash
				b.mu.Unlock()
				s := &harmfulSeries{d: d, b: b, random: rand.New(rand.NewSource(64)), callerLimit: tt.callerLimit, path: tt.path, noDisruptions: true}
				if tt.resets {
					s.afterCall = func(ip string) {
						time.Sleep(tt.runTime / 2)
						for i := range harmfulSeriesServers {
							d.network.ResetConnections(ip, backendIP(i))
						}
					}
				}
				s.play()
				late := b.lateArrivals(maxHoldBackDelay)
				t.Logf("%d servers crashed, %d late arrivals; crashes after %v", b.crashCount(), late, s.crashTimes())
				require.GreaterOrEqual(t, b.crashCount(), 3)
				require.LessOrEqual(t, b.crashCount(), tt.crashes)
				require.LessOrEqual(t, late, maxLateArrivals)
			})
		})
	}
}

// maxVersionCrashes is how many servers of one version a request may crash, and minHarmlessShare the share
// of such requests that must be served by the others from settledAfter on.
const (
	maxVersionCrashes = 6
	minHarmlessShare  = 0.9
	settledAfter      = 5 * time.Second
)

// A request, or a prompt part, crashes the servers of one software version and completes at the others: each
// completion cleared what the crashes had found, or the request was held back from all servers.
func TestRequestThatCrashesOneVersionIsServedByOthers(t *testing.T) {
	for _, entries := range []int{3, 24} {
		for _, vulnerable := range []int{6, 12} {
			for _, path := range []string{"/once/x", "/again/x"} {
				for _, part := range []string{"", "bad"} {
					t.Run(fmt.Sprint(entries, " entries, ", vulnerable, " of 24 servers, ", path, " ", part), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							d := newSettledDeploymentOf(t, 65, 3, entries)
							defer d.close()
							b := startBackendsAs(d, 24, false, func(b *backends) {
								b.harmfulVersion = "v1"
								for i := range 24 {
									b.versions[backendAddress(i)] = "v2"
									if i < vulnerable {
										b.versions[backendAddress(i)] = "v1"
									}
								}
							})
							defer b.close()
							if part != "" {
								b.setHarmfulPart(part, partCrashes["before the response"].crash)
							}
							served, sent := repeatAtVersions(d, path, part)
							crashes := b.crashCount() + b.partCrashCount(part)
							t.Logf("%d servers crashed, %d of %d requests served", crashes, served, sent)
							require.LessOrEqual(t, crashes, maxVersionCrashes)
							require.GreaterOrEqual(t, float64(served), minHarmlessShare*float64(sent))
						})
					})
				}
			}
		}
	}
}

// repeatAtVersions sends a harmful request, or different ones with a harmful part, for 20 s, and returns how
// many were served of those sent from settledAfter on.
func repeatAtVersions(d *deployment, path, part string) (served, sent int) {
	random := rand.New(rand.NewSource(65))
	entries := d.entryIPs()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for start := time.Now(); time.Since(start) < 20*time.Second; {
		ip, settled := entries[random.Intn(len(entries))], time.Since(start) >= settledAfter
		body, parts := harmfulBody, []string(nil)
		if part != "" {
			body, parts = fmt.Sprint("with part ", random.Int63()), []string{"first", part, fmt.Sprint("last ", random.Int63())}
		}
		wg.Go(func() {
			result := d.callWithParts(ip, path, body, parts...)
			mu.Lock()
			defer mu.Unlock()
			if settled {
				sent++
			}
			if settled && result.status == http.StatusOK {
				served++
			}
		})
		time.Sleep(50*time.Millisecond + time.Duration(random.Int63n(int64(250*time.Millisecond))))
	}
	wg.Wait()
	return served, sent
}

// crashTimes returns when servers crashed, since the begin of the series.
func (s *harmfulSeries) crashTimes() (out []time.Duration) {
	s.b.mu.Lock()
	defer s.b.mu.Unlock()
	for _, at := range s.b.crashes {
		out = append(out, at.Sub(s.began).Truncate(time.Millisecond))
	}
	slices.Sort(out)
	return out
}

// Entries, control hosts and servers fail within seconds of each other while a request is repeated that
// crashes its servers: its evidence does not add up, and it crashes many more.
func TestHarmfulRequestUnderOverlappingDisruptions(t *testing.T) {
	seeds := slices.Clone(keptHarmfulSeeds)
	for i := range *harmfulSeeds {
		seeds = append(seeds, *harmfulFirstSeed+int64(i))
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatInt(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSettledDeploymentOf(t, seed, harmfulSeriesControlHosts, *harmfulEntries)
				defer d.close()
				b := startBackends(d, harmfulSeriesServers)
				defer b.close()
				s := &harmfulSeries{d: d, b: b, random: rand.New(rand.NewSource(seed)), callerLimit: *harmfulCallerLimit}
				s.play()
				late := b.lateArrivals(maxHoldBackDelay)
				t.Logf("%v: %d servers crashed, %d late arrivals, %d of %d ordinary requests served; crashes after %v", s.played, b.crashCount(), late, s.served, s.ordinary, s.crashTimes())
				require.LessOrEqual(t, b.crashCount(), maxHarmfulCrashes)
				require.LessOrEqual(t, late, maxLateArrivals)
			})
		})
	}
}
