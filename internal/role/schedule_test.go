package role_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/role"
)

var (
	configSchedules = flag.Int("config-schedules", 20, "schedules of changes and faults to try")
	configFirstSeed = flag.Int64("config-first-seed", 1, "seed of the first schedule")
	configEntries   = flag.Int("config-entries", 8, "entries of each schedule")
)

const (
	scheduleControlHosts = 5
	// scheduleLength is how long changes and faults continue, in simulated time, and
	// scheduleSettleLimit how long all entries may then take to receive the newest
	// configuration.
	scheduleLength      = 25 * time.Second
	scheduleSettleLimit = 8 * time.Second
	scheduleStep        = 50 * time.Millisecond
	changeInterval      = 500 * time.Millisecond
	// faultKinds is the number of kinds of fault, and originalFaultKinds the number before
	// stalled disks and added entries were among them: seeds that failed then are run with
	// the same kinds.
	faultKinds, originalFaultKinds = 10, 8
)

// A configuration that was acknowledged to an operator is replaced by an older one, or does
// not reach an entry that is in sync: callers are routed by removed routes and refused on
// existing ones. Two operators change the configuration twice a second, at random hosts,
// while hosts lose power or their disks, one at a time or all at once, and entries and
// control hosts are partitioned.
func TestConfigurationsInForceUnderFaults(t *testing.T) {
	// Seeds that once failed, all for one cause: updates counted as acknowledged when they
	// were written to an entry's stream, the leader lost power with the acknowledgement,
	// and the following election took longer than a change may.
	for _, seed := range []int64{1325, 1570, 1600, 1766} {
		runSeed(t, seed, originalFaultKinds)
	}
	for i := range *configSchedules {
		runSeed(t, *configFirstSeed+int64(i), faultKinds)
	}
}

func runSeed(t *testing.T, seed int64, kinds int) {
	t.Run(strconv.FormatInt(seed, 10), func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { runConfigSchedule(t, seed, kinds) })
	})
}

// schedule is one run. It belongs to one goroutine.
type schedule struct {
	*deployment
	seed int64
	// faultKinds is the number of kinds of fault that may occur.
	faultKinds int
	startedAt  time.Time
	// nextVersion is the version of the next change.
	nextVersion uint64
	// ackedAt is when each version was acknowledged, and newestAcked the highest of them.
	ackedAt     map[uint64]time.Time
	newestAcked uint64
	// highestSeen is the highest version in force at each entry since it started.
	highestSeen map[string]uint64
	// stableSince is when the last fault ended, or the zero time during a fault.
	stableSince time.Time
	// exemptUntil is the time until which an entry is exempt from the propagation limit.
	exemptUntil map[string]time.Time
	// pending are the ends of faults.
	pending   []pendingEvent
	lostHosts map[string]bool
	trace     []string
}

type pendingEvent struct {
	at  time.Time
	run func()
}

func runConfigSchedule(t *testing.T, seed int64, kinds int) {
	s := &schedule{
		deployment: newDeployment(t, seed, scheduleControlHosts, *configEntries, anyLeader), seed: seed,
		faultKinds: kinds, startedAt: time.Now(), nextVersion: 2,
		ackedAt: map[uint64]time.Time{}, highestSeen: map[string]uint64{}, exemptUntil: map[string]time.Time{},
		lostHosts: map[string]bool{},
	}
	defer s.close()
	s.await(20*time.Second, "the voters", func() bool { return s.voters() == scheduleControlHosts })
	s.await(5*time.Second, "the first acknowledgement", func() bool { return s.put(1) != "" })
	s.recordAck(1)
	s.await(propagationLimit, "the first configuration in force", func() bool { return s.oldestVersion() == 1 })
	s.stableSince = time.Now()
	start, lastChange, nextFault := time.Now(), time.Time{}, time.Now().Add(time.Second)
	for time.Since(start) < scheduleLength {
		if time.Since(lastChange) > changeInterval {
			lastChange = time.Now()
			s.change()
		}
		if time.Now().After(nextFault) {
			s.fault()
			nextFault = time.Now().Add(time.Duration(500+s.random.Intn(6000)) * time.Millisecond)
		}
		s.step()
	}
	s.finish()
}

func (s *schedule) tracef(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%.3f ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

func (s *schedule) failf(format string, args ...any) {
	s.t.Helper()
	tail := s.trace[max(len(s.trace)-30, 0):]
	require.FailNow(s.t, "broken", "seed %d: %s\n%s", s.seed, fmt.Sprintf(format, args...), fmt.Sprintln(tail))
}

func (s *schedule) recordAck(version uint64) {
	s.ackedAt[version] = time.Now()
	s.newestAcked = max(s.newestAcked, version)
}

// change sends the next version to some control host, or two versions as two operators
// would. A change without a clear response may be in force or not. In one of four cases an
// older change is sent again; it must be acknowledged and change nothing.
func (s *schedule) change() {
	for range 1 + s.random.Intn(2) {
		version := s.nextVersion
		s.nextVersion += 1 + uint64(s.random.Intn(3))
		if host := s.put(version); host != "" {
			s.tracef("version %d acknowledged by %s", version, host)
			s.recordAck(version)
		}
	}
	if s.random.Intn(4) == 0 {
		old := 1 + uint64(s.random.Int63n(int64(s.nextVersion-1)))
		s.tracef("version %d again, to %s", old, s.put(old))
		s.checkReads()
	}
}

// step advances the time and checks the invariants.
func (s *schedule) step() {
	time.Sleep(scheduleStep)
	for len(s.pending) > 0 && time.Now().After(s.pending[0].at) {
		next := s.pending[0]
		s.pending = s.pending[1:]
		next.run()
	}
	s.checkEntries()
	s.checkReads()
}

// checkEntries checks that no entry returns to an older version, and that an entry in sync
// has every version that was acknowledged longer ago than the propagation limit.
func (s *schedule) checkEntries() {
	for _, ip := range slices.Sorted(maps.Keys(s.entries)) {
		version := s.entries[ip].Version()
		if version < s.highestSeen[ip] {
			s.failf("entry %s went from version %d to %d", ip, s.highestSeen[ip], version)
		}
		s.highestSeen[ip] = version
		s.checkKey(ip, version)
		if s.stableSince.IsZero() || time.Now().Before(s.exemptUntil[ip]) {
			continue
		}
		for ackedVersion, ackedAt := range s.ackedAt {
			if ackedVersion > version && time.Since(ackedAt) > propagationLimit && time.Since(s.stableSince) > propagationLimit {
				s.failf("entry %s has version %d, %d was acknowledged %s ago", ip, version, ackedVersion, time.Since(ackedAt))
			}
		}
	}
}

// checkKey checks that no entry, in sync or not, accepts an API key whose revocation was
// acknowledged longer ago than the limit.
func (s *schedule) checkKey(ip string, version uint64) {
	accepted := s.entries[ip].AcceptsKey(versionKey(version))
	for ackedVersion, ackedAt := range s.ackedAt {
		if accepted && ackedVersion > version && time.Since(ackedAt) > revocationLimit {
			s.failf("entry %s accepts the key of version %d, version %d was acknowledged %s ago", ip, version, ackedVersion, time.Since(ackedAt))
		}
	}
}

// checkReads checks that a host that returns the configuration returns the newest one
// acknowledged before the call, or a newer one.
func (s *schedule) checkReads() {
	for ip, c := range s.control {
		if _, leads := c.Voters(); !leads {
			continue
		}
		newest := s.newestAcked
		text, err := c.Configuration(context.Background())
		if err != nil {
			continue
		}
		version, err := strconv.ParseUint(string(text), 10, 64)
		if err != nil || version < newest {
			s.failf("host %s reads version %q, %d was acknowledged", ip, text, newest)
		}
	}
}

// runAfter schedules the end of a fault.
func (s *schedule) runAfter(delay time.Duration, run func()) {
	s.pending = append(s.pending, pendingEvent{time.Now().Add(delay), run})
	slices.SortStableFunc(s.pending, func(a, b pendingEvent) int { return a.at.Compare(b.at) })
}

// fault starts a fault. While a fault that takes control hosts away lasts, no other one of
// these starts: at most one control host is lost at a time, except for a power loss of all
// hosts at once.
func (s *schedule) fault() {
	length := time.Duration(300+s.random.Intn(2500)) * time.Millisecond
	entry := slices.Sorted(maps.Keys(s.entries))[s.random.Intn(len(s.entries))]
	switch kind := s.random.Intn(s.faultKinds); {
	case kind == 8:
		s.stallDisk(s.randomHost(), length)
	case kind == 9:
		s.addEntry()
	case kind == 0:
		s.partitionEntry(entry, length)
	case kind == 1:
		s.killEntry(entry)
	case len(s.lostHosts) > 0:
	case kind <= 3:
		s.powerOffHost(s.randomHost(), s.random.Intn(2) == 0, length)
	case kind == 4:
		s.wipeAfterAck(length)
	case kind == 5:
		s.partitionHost(s.randomHost(), length, s.random.Intn(3))
	case kind == 6:
		s.powerOffAllHosts(length)
	case kind == 7 && s.faultKinds > originalFaultKinds:
		s.stopHost(s.randomHost(), length)
	}
}

// randomHost returns the leader half of the time, and otherwise any control host.
func (s *schedule) randomHost() string {
	if leader := s.leader(); leader != "" && s.random.Intn(2) == 0 {
		return leader
	}
	return controlIP(s.random.Intn(scheduleControlHosts))
}

// scheduleRecovery ends the loss of a host when the host may be lost again.
func (s *schedule) scheduleRecovery(ip string) {
	s.runAfter(catchUpLimit, func() {
		delete(s.lostHosts, ip)
		if len(s.lostHosts) == 0 {
			s.stableSince = time.Now()
		}
	})
}

func (s *schedule) restartHost(ip string, wiped bool) {
	if wiped {
		s.disks[ip] = s.t.TempDir()
	}
	s.network.PowerOn(ip)
	s.startControl(ip, s.disks[ip], false)
	s.tracef("%s is back", ip)
}

// powerOffHost powers a control host off, and on again with an empty disk if wiped.
func (s *schedule) powerOffHost(ip string, wiped bool, length time.Duration) {
	s.tracef("%s loses power, wiped: %v", ip, wiped)
	s.lostHosts[ip] = true
	closed := s.powerOff(ip)
	s.runAfter(length, func() {
		<-closed
		s.restartHost(ip, wiped)
		s.scheduleRecovery(ip)
	})
}

// stopHost stops a control host as an operator does, who starts it again later: it hands over and leaves nothing
// undone.
func (s *schedule) stopHost(ip string, length time.Duration) {
	s.tracef("%s stops", ip)
	s.lostHosts[ip] = true
	closed := s.stopControl(ip)
	s.runAfter(length, func() {
		<-closed
		s.startControl(ip, s.disks[ip], false)
		s.tracef("%s is back", ip)
		s.scheduleRecovery(ip)
	})
}

// wipeAfterAck powers the host off that has just acknowledged a change, and wipes its disk.
func (s *schedule) wipeAfterAck(length time.Duration) {
	version := s.nextVersion
	s.nextVersion++
	host := s.put(version)
	if host == "" {
		return
	}
	s.recordAck(version)
	s.tracef("version %d acknowledged by %s", version, host)
	s.powerOffHost(host, true, length)
}

// powerOffAllHosts powers all control hosts off at once; their disks remain.
func (s *schedule) powerOffAllHosts(length time.Duration) {
	s.tracef("all control hosts lose power")
	s.stableSince = time.Time{}
	for _, ip := range slices.Sorted(maps.Keys(s.control)) {
		s.lostHosts[ip] = true
		closed := s.powerOff(ip)
		s.runAfter(length, func() {
			<-closed
			s.restartHost(ip, false)
			s.scheduleRecovery(ip)
		})
	}
}

// partitionHost partitions a control host from the other control hosts; entries reach it.
// Direction 0 cuts both directions, 1 only messages to the host, 2 only those from it.
func (s *schedule) partitionHost(ip string, length time.Duration, direction int) {
	s.tracef("%s is partitioned, direction %d", ip, direction)
	s.lostHosts[ip] = true
	setCut := func(cut bool) {
		for i := range scheduleControlHosts {
			if other := controlIP(i); other != ip {
				s.network.Cut(ip, other, cut && direction != 1)
				s.network.Cut(other, ip, cut && direction != 2)
			}
		}
	}
	setCut(true)
	s.runAfter(length, func() {
		setCut(false)
		s.tracef("the partition of %s ends", ip)
		s.scheduleRecovery(ip)
	})
}

// stallDisk stalls a control host's disk, which loses no data.
func (s *schedule) stallDisk(ip string, length time.Duration) {
	s.tracef("the disk of %s stalls for %s", ip, length)
	s.stall(ip, length)
}

// addEntry starts another entry, up to twice the configured number.
func (s *schedule) addEntry() {
	if len(s.entries) >= 2**configEntries {
		return
	}
	ip := fmt.Sprintf("10.0.1.%d", len(s.entries)+1)
	s.tracef("entry %s is added", ip)
	s.startEntry(ip)
	s.exemptUntil[ip] = time.Now().Add(catchUpLimit)
}

// partitionEntry partitions an entry from all control hosts.
func (s *schedule) partitionEntry(ip string, length time.Duration) {
	s.tracef("entry %s is partitioned", ip)
	setCut := func(cut bool) {
		for i := range scheduleControlHosts {
			s.network.Cut(ip, controlIP(i), cut)
			s.network.Cut(controlIP(i), ip, cut)
		}
	}
	setCut(true)
	s.exemptUntil[ip] = time.Now().Add(length + catchUpLimit)
	s.runAfter(length, func() { setCut(false) })
}

// killEntry kills an entry, which restarts at once without its state.
func (s *schedule) killEntry(ip string) {
	s.tracef("entry %s restarts", ip)
	s.entries[ip].Close()
	delete(s.highestSeen, ip)
	s.startEntry(ip)
	s.exemptUntil[ip] = time.Now().Add(catchUpLimit)
}

// finish lets all faults end. Then all entries must have the newest acknowledged
// configuration, and all control hosts must be voters.
func (s *schedule) finish() {
	for start := time.Now(); len(s.pending) > 0; {
		s.step()
		require.Less(s.t, time.Since(start), time.Minute, "seed %d", s.seed)
	}
	s.await(scheduleSettleLimit, fmt.Sprintf("seed %d: the newest configuration, %d, at all entries; %v", s.seed, s.newestAcked, s.trace),
		func() bool { return s.oldestVersion() >= s.newestAcked })
	s.await(scheduleSettleLimit, fmt.Sprintf("seed %d: all control hosts are voters; %v", s.seed, s.trace), func() bool {
		return s.voters() == scheduleControlHosts &&
			!slices.ContainsFunc(slices.Collect(maps.Values(s.control)), func(c *role.Control) bool { return !c.IsVoter() })
	})
	s.await(scheduleSettleLimit, fmt.Sprintf("seed %d: keys accepted at all entries; %v", s.seed, s.trace), func() bool {
		return !slices.ContainsFunc(slices.Collect(maps.Values(s.entries)), func(e *role.Entry) bool { return !e.AcceptsKey(versionKey(e.Version())) })
	})
	s.checkReads()
}
