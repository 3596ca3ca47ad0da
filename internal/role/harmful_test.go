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
	// heldBackIn is after how long at the most a request that has ended three servers
	// reaches no server any more from an entry in touch.
	heldBackIn = 3 * time.Second
	// retriesAllowed is how often it may reach one later all the same.
	retriesAllowed = 3
	// repeatEvery is how often its caller repeats it.
	repeatEvery = 200 * time.Millisecond
)

// repeated is how a harmful request and ordinary ones fared.
type repeated struct {
	// harmful and ordinary are the last replies of each.
	harmful  reply
	ordinary []reply
}

// repeat has the harmful request come again and again, at one entry after the other, with
// an ordinary request of another body beside each.
func (s *site) repeat(length time.Duration, path string) repeated {
	entries := make([]string, 0, len(s.entries))
	for ip := range s.entries {
		entries = append(entries, ip)
	}
	slices.Sort(entries)
	var out repeated
	for i, began := 0, time.Now(); time.Since(began) < length; i++ {
		at := entries[i%len(entries)]
		out.harmful = s.call(at, path, harmful)
		out.ordinary = append(out.ordinary, s.call(at, path, fmt.Sprint("ordinary ", i)))
		time.Sleep(repeatEvery)
	}
	return out
}

// A caller repeats a request under which every server ends that begins to run it, at one
// entry after the other. Each repeat is a new request to the entry that it comes to, which
// sends it to a server that is left: the servers end one after the other, and what ran
// beside it breaks off, for as long as the caller goes on. Three servers must be enough to
// know it by, though no entry sees more than one of them end; all else is served.
func TestRequestThatEndsItsServersIsHeldBack(t *testing.T) {
	for _, path := range []string{"/once/x", "/again/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := treeSite(t, 31, 3)
				defer s.close()
				b := startBackends(s, 12)
				defer b.close()
				s.repeat(10*time.Second, path)
				got := s.repeat(5*time.Second, path)
				t.Logf("%d servers ended, %d retries later", b.endedUnder(), b.sentAfter(heldBackIn))
				require.GreaterOrEqual(t, b.endedUnder(), 3)
				require.LessOrEqual(t, b.sentAfter(heldBackIn), retriesAllowed, "%d servers ended", b.endedUnder())
				require.Equal(t, 503, got.harmful.status)
				require.Positive(t, got.harmful.after)
				for _, r := range got.ordinary {
					require.Equal(t, 200, r.status)
				}
			})
		})
	}
}

// Many callers ask the same, an empty lookup of one path, when all three servers end at
// once, as a rack does. The request was at all of them. It had run to its end at every entry
// a moment before, so that it is not what ended them; held back, it would be refused to all
// of its callers for minutes after the servers are back.
func TestPopularRequestIsNotHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := treeSite(t, 34, 3)
		defer s.close()
		b := startBackends(s, 3)
		defer b.close()
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				for range 10 {
					s.call(fmt.Sprintf("10.0.1.%d", 1+i%3), "/once/x", "")
				}
			})
		}
		time.Sleep(5*backendRun + backendRun/2)
		b.endSome(3)
		wg.Wait()
		s.await(3*backendDown, "the servers", func() bool { return s.entries["10.0.1.1"].ReadyServers() >= 3 })
		time.Sleep(heldBackIn)
		for i := range 30 {
			require.Equal(t, 200, s.call(fmt.Sprintf("10.0.1.%d", 1+i%3), "/once/x", "").status)
		}
	})
}

// restartEntry ends an entry's process and starts it again, with nothing of what it knew.
func (s *site) restartEntry(ip string) {
	s.entries[ip].Close()
	s.startEntry(ip)
}

// restartControl takes a control host's power and gives it back, with its disk.
func (s *site) restartControl(ips ...string) {
	var over []<-chan struct{}
	for _, ip := range ips {
		over = append(over, s.powerOff(ip))
	}
	for i, ip := range ips {
		<-over[i]
		s.network.PowerOn(ip)
		s.startControl(ip, s.disks[ip], false)
	}
}

func (s *site) controlIPs() []string {
	var out []string
	for ip := range s.control {
		out = append(out, ip)
	}
	slices.Sort(out)
	return out
}

// cutEntry takes the way between an entry and all control hosts, or gives it back.
func (s *site) cutEntry(ip string, cut bool) {
	for _, host := range s.controlIPs() {
		s.network.Cut(ip, host, cut)
		s.network.Cut(host, ip, cut)
	}
}

// What is known of a harmful request must outlast whoever knew it. The request has ended
// one or more servers when hosts are lost, or all three, and comes again afterwards at
// entries that did not see it: where what the lost ones knew is lost with them, servers end
// again that need not.
func TestWhatIsKnownOfAHarmfulRequestOutlastsHosts(t *testing.T) {
	const path = "/once/x"
	entries := []string{"10.0.1.1", "10.0.1.2", "10.0.1.3"}
	// endOne has the request end a server at an entry.
	endOne := func(s *site, b *backends, at string) {
		before := b.endedUnder()
		require.Equal(s.t, 502, s.call(at, path, harmful).status)
		require.Equal(s.t, before+1, b.endedUnder())
		time.Sleep(time.Second)
	}
	for name, x := range map[string]func(s *site, b *backends){
		"entries of which each saw one end restart": func(s *site, b *backends) {
			for _, at := range entries {
				endOne(s, b, at)
				s.restartEntry(at)
				s.await(5*time.Second, "the servers", func() bool { return s.entries[at].ReadyServers() > 8 })
			}
		},
		"the leader is lost between two servers": func(s *site, b *backends) {
			endOne(s, b, entries[0])
			endOne(s, b, entries[1])
			s.powerOff(s.leader())
			s.await(3*time.Second, "another leader", func() bool { return s.leader() != "" })
			time.Sleep(time.Second)
			endOne(s, b, entries[2])
		},
		"an entry that saw one end is lost, with its host and the leader": func(s *site, b *backends) {
			endOne(s, b, entries[0])
			lost := []string{s.entries[entries[0]].Attends(), s.leader()}
			s.restartEntry(entries[0])
			for _, host := range slices.Compact(lost) {
				s.powerOff(host)
			}
			s.await(3*time.Second, "another leader", func() bool { return s.leader() != "" })
			s.await(5*time.Second, "the servers", func() bool { return s.entries[entries[0]].ReadyServers() > 8 })
			endOne(s, b, entries[1])
			endOne(s, b, entries[2])
		},
		"each control host restarts in turn": func(s *site, b *backends) {
			for _, at := range entries {
				endOne(s, b, at)
			}
			for _, host := range s.controlIPs() {
				s.restartControl(host)
				time.Sleep(4 * time.Second)
			}
		},
		"an entry is cut off while it sees two end": func(s *site, b *backends) {
			s.cutEntry(entries[0], true)
			time.Sleep(2 * time.Second)
			endOne(s, b, entries[0])
			endOne(s, b, entries[0])
			endOne(s, b, entries[1])
			s.cutEntry(entries[0], false)
			time.Sleep(heldBackIn)
		},
		"all entries restart after three": func(s *site, b *backends) {
			for _, at := range entries {
				endOne(s, b, at)
			}
			for _, at := range entries {
				s.restartEntry(at)
			}
			s.await(5*time.Second, "the servers", func() bool { return s.entries[entries[0]].ReadyServers() > 8 })
		},
		"everything loses power after three": func(s *site, b *backends) {
			for _, at := range entries {
				endOne(s, b, at)
			}
			for _, at := range entries {
				s.entries[at].Close()
			}
			s.restartControl(s.controlIPs()...)
			for _, at := range entries {
				s.startEntry(at)
			}
			s.await(10*time.Second, "the servers", func() bool {
				return !slices.ContainsFunc(entries, func(at string) bool { return s.entries[at].ReadyServers() < 8 })
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := treeSite(t, 32, 3)
				defer s.close()
				b := startBackends(s, 12)
				defer b.close()
				x(s, b)
				require.Equal(t, 3, b.endedUnder())
				got := s.repeat(3*time.Second, path)
				require.Equal(t, 3, b.endedUnder(), "servers end again")
				require.Equal(t, 503, got.harmful.status)
				for _, r := range got.ordinary {
					require.Equal(t, 200, r.status)
				}
			})
		})
	}
}

// An entry that is cut off from all control hosts has only its own evidence. It must act on
// that: no more than three servers end under it.
func TestEntryThatIsCutOffActsOnItsOwnEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := treeSite(t, 33, 2)
		defer s.close()
		b := startBackends(s, 12)
		defer b.close()
		at := "10.0.1.1"
		s.cutEntry(at, true)
		time.Sleep(2 * time.Second)
		var last reply
		for range 20 {
			last = s.call(at, "/once/x", harmful)
			time.Sleep(repeatEvery)
		}
		require.Equal(t, 3, b.endedUnder())
		require.Equal(t, 503, last.status)
		require.Equal(t, 200, s.call(at, "/once/x", "ordinary").status)
	})
}
