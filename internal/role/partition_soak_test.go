package role_test

import (
	"flag"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	partitionSeeds   = flag.Int("partition-seeds", 2, "number of random series of partitions")
	partitionFirst   = flag.Int64("partition-first-seed", 1, "seed of the first series")
	partitionEntries = flag.Int("partition-entries", 6, "number of entries in each series")
)

const (
	partitionSoakTime = 40 * time.Second
	// maxFailedShare and failedSlack bound the first attempts that may fail at partitioned entries, of
	// all at these, and minServedRatio is the least ratio of the shares served by them and by the others.
	maxFailedShare = 0.02
	failedSlack    = 10
	minServedRatio = 2.0 / 3
)

// partitionInterval is a time during which an entry had no path to any server.
type partitionInterval struct {
	entry    string
	from, to time.Time
}

// partitionSoak plays random partitions, which overlap each other and failures of hosts and servers.
type partitionSoak struct {
	d      *deployment
	b      *backends
	random *rand.Rand
	// kinds are the partitions in force, by entry, since begins.
	kinds     map[string]partition
	begins    map[string]time.Time
	intervals []partitionInterval
}

// setPartitioned begins or ends the partition of an entry.
func (s *partitionSoak) setPartitioned(ip string, partitioned bool) {
	p, is := s.kinds[ip]
	if is == partitioned {
		return
	}
	if !partitioned {
		s.b.partitionEntries(p, []string{ip}, false)
		s.intervals = append(s.intervals, partitionInterval{ip, s.begins[ip], time.Now()})
		delete(s.kinds, ip)
		return
	}
	names := []string{"hanging", "requests lost", "responses lost", "reset", "new connections refused"}
	p = partitions[names[s.random.Intn(len(names))]]
	s.kinds[ip], s.begins[ip] = p, time.Now()
	s.b.partitionEntries(p, []string{ip}, true)
}

// step injects one fault, or ends some.
func (s *partitionSoak) step() {
	ips := s.d.entryIPs()
	ip := ips[s.random.Intn(len(ips))]
	switch s.random.Intn(10) {
	case 0, 1, 2:
		if len(s.kinds) < len(ips)-1 {
			s.setPartitioned(ip, true)
		}
	case 3:
		// Most entries, or a whole data centre.
		for _, other := range ips[:len(ips)/2] {
			s.setPartitioned(other, true)
		}
	case 4, 5:
		s.setPartitioned(ip, false)
	case 6:
		for _, other := range ips {
			s.setPartitioned(other, false)
		}
	case 7:
		s.d.restartEntry(ip)
		s.b.forgetStatements(ip)
	case 8:
		s.b.stopSome(1)
	case 9:
		if leader := s.d.leader(); leader != "" {
			s.d.restartControlHosts(leader)
		}
	}
}

// requireServed requires that partitioned entries served their callers nearly as often as the others.
func (s *partitionSoak) requireServed(a *attempts) {
	t := s.d.t
	t.Helper()
	served, all, servedByOthers, allOfOthers := 0, 0, 0, 0
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, x := range a.list {
		partitioned := slices.ContainsFunc(s.intervals, func(i partitionInterval) bool {
			return i.entry == x.entry && x.at.Sub(i.from) >= partitionGrace && x.at.Before(i.to)
		})
		free := !slices.ContainsFunc(s.intervals, func(i partitionInterval) bool {
			return i.entry == x.entry && !x.at.Before(i.from) && x.at.Before(i.to.Add(partitionGrace))
		})
		ok := 0
		if x.status == 200 {
			ok = 1
		}
		switch {
		case partitioned:
			served, all = served+ok, all+1
		case free:
			servedByOthers, allOfOthers = servedByOthers+ok, allOfOthers+1
		}
	}
	t.Logf("partitioned entries served %d of %d, the others %d of %d", served, all, servedByOthers, allOfOthers)
	if float64(all-served) <= failedSlack+maxFailedShare*float64(all) {
		return
	}
	require.GreaterOrEqual(t, float64(served)/float64(all), minServedRatio*float64(servedByOthers)/float64(max(allOfOthers, 1)))
}

// Partitions of some, most and all entries of a data centre come in series and overlap restarts of
// entries, servers and leaders, while servers state limits and cooldowns.
func TestRandomPartitions(t *testing.T) {
	for seed := *partitionFirst; seed < *partitionFirst+int64(*partitionSeeds); seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const perSecond = 4
				d := newSettledDeploymentOf(t, seed, 3, *partitionEntries)
				defer d.close()
				half := d.entryIPs()[:len(d.entryIPs())/2]
				d.moveToDataCentre("b", half...)
				b := startBackendsWith(d, 5, seed%2 == 0)
				defer b.close()
				s := &partitionSoak{
					d: d, b: b, random: rand.New(rand.NewSource(seed)), kinds: map[string]partition{}, begins: map[string]time.Time{},
				}
				a := d.startAttempts(5)
				b.setLimit(backendAddress(0), perSecond)
				b.setRejection(backendAddress(1), always(rejectFor(time.Duration(500+s.random.Intn(3000))*time.Millisecond)))
				time.Sleep(limitGrace)
				begin := time.Now()
				for time.Since(begin) < partitionSoakTime {
					s.step()
					time.Sleep(time.Duration(s.random.Intn(3000)) * time.Millisecond)
				}
				for _, ip := range d.entryIPs() {
					s.setPartitioned(ip, false)
				}
				b.setRejection(backendAddress(1), nil)
				time.Sleep(5 * time.Second)
				end := time.Now()
				time.Sleep(2 * time.Second)
				a.end()
				b.requireRunOnce()
				b.requireRefusalsTrue(a)
				b.requireCooldownsKept()
				s.requireServed(a)
				served, all := a.served(d.entryIPs(), end, time.Now())
				require.Equal(t, all, served, "all requests after the last partition")
				for _, e := range d.entries {
					require.Zero(t, e.HeldBack(), "no request ends its server")
				}
			})
		})
	}
}
