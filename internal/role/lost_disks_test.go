package role_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// catchUpLimit is how long a host that starts with an empty disk may take until the
	// group survives the next loss.
	catchUpLimit = 5 * time.Second
	// propagationLimit is how long after its acknowledgement a configuration may take to be
	// in force at every entry.
	propagationLimit = 2 * time.Second
	// stallTime is for how long a disk stalls to cost its host the lead.
	stallTime = 1500 * time.Millisecond
	// awayTime is how long a host is away that others take for lost.
	awayTime = 4 * time.Second
)

// Callers are served by an old configuration, and requests that need a new load are
// refused, permanently: all control hosts respond, and none leads. One host after the other
// has lost its disk right after it acknowledged a change, far enough apart for the group to
// survive each loss. A host that restarts with an empty disk knows only the seeds. While a
// seed leads, it joins again; if it never finds a leader that is no seed, the group stays
// one voter short, and the third loss takes its quorum.
//
// In the logs of this failure, hosts that restarted under a seed logged their role within
// 0.5 s and voted later; those that restarted under another leader logged nothing more, and
// the two remaining voters requested votes in vain.
func TestHostsWithLostDisksRejoinUnderAnyLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The seeds are hosts 0 to 2: after the first leader, which is a seed, two hosts
		// lead that are not.
		leaders := []int{3, 4, anyLeader, anyLeader, anyLeader, anyLeader}
		d := newDeployment(t, 1, 5, 2, leaders[0])
		defer d.close()
		d.await(20*time.Second, "five voters", func() bool { return d.voters() == 5 })
		version := uint64(1)
		for i, next := range leaders[1:] {
			lost := d.leader()
			version++
			d.await(time.Second, "an acknowledgement", func() bool { return d.put(version) != "" })
			d.nextLeader.Store(int64(next))
			d.powerOff(lost)
			d.await(propagationLimit, "the acknowledged configuration in force", func() bool { return d.oldestVersion() == version })
			d.await(propagationLimit, "a leader", func() bool { return d.leader() != "" })
			if want := leaders[i]; want != anyLeader {
				require.Equal(t, controlIP(want), d.leader())
			}
			d.network.PowerOn(lost)
			d.startControl(lost, t.TempDir(), false)
			d.await(catchUpLimit, "the lost host as a voter", func() bool { return d.voters() == 5 && d.control[lost].IsVoter() })
		}
	})
}

// Disks are lost one at a time, each of a leader and far enough apart for the group to survive each
// loss, but leaders change in between, as one whose disk stalls for a second. A lost disk's voter
// stayed, as each leader waited anew until it had been silent for four seconds, and the third loss
// took the quorum for good.
func TestHostsWithLostDisksRejoinWhileLeadersChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 3, 5, 2, anyLeader)
		defer d.close()
		d.await(20*time.Second, "five voters", func() bool { return d.voters() == 5 })
		for version := uint64(2); version < 8; version++ {
			d.await(2*propagationLimit, "an acknowledgement", func() bool { return d.put(version) != "" })
			lost := d.leader()
			d.powerOff(lost)
			time.Sleep(time.Second)
			d.network.PowerOn(lost)
			d.startControl(lost, t.TempDir(), false)
			returned := time.Now()
			for range 2 {
				d.await(propagationLimit, "a leader", func() bool { return d.leader() != "" })
				d.stall(d.leader(), stallTime)
				time.Sleep(stallTime)
			}
			d.await(catchUpLimit-time.Since(returned), "the lost host as a voter", func() bool { return d.voters() == 5 && d.control[lost].IsVoter() })
		}
	})
}

// A new host receives the membership from a seed while it can't reach the leader. Then it
// is partitioned from all seeds, and can reach the leader. It must query the leader, whose
// address it received: if it queried only seeds, it would stay out for as long as the
// partition lasts, and the group would be without the spare voter.
func TestNewHostJoinsWithoutSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 2, 5, 0, 3)
		defer d.close()
		d.await(20*time.Second, "five voters", func() bool { return d.voters() == 5 })
		d.powerOff(d.leader())
		d.await(5*time.Second, "a leader that is no seed", func() bool { return d.leader() == controlIP(3) })
		newHost := controlIP(5)
		d.setPartition(newHost, true, 3, 4)
		d.startControl(newHost, t.TempDir(), false)
		time.Sleep(5 * time.Second)
		d.setPartition(newHost, true, 0, 1, 2, 4)
		d.setPartition(newHost, false, 3)
		d.await(catchUpLimit, "the new host as a voter", func() bool { return d.control[newHost].IsVoter() })
	})
}

// setPartition cuts a host off from control hosts in both directions, or heals the
// partition.
func (d *deployment) setPartition(ip string, cut bool, others ...int) {
	for _, i := range others {
		d.network.Cut(ip, controlIP(i), cut)
		d.network.Cut(controlIP(i), ip, cut)
	}
}

// A control host is away for longer than its vote is kept, with its disk, and nobody has taken its place. It returned as a
// voter of a membership that others had left, did not join again, and the group was one voter short until its next loss.
func TestHostThatWasAwayIsAVoterAgain(t *testing.T) {
	for name, away := range map[string]func(d *deployment, ip string){
		"stopped": func(d *deployment, ip string) {
			closed := d.stopControl(ip)
			time.Sleep(awayTime)
			<-closed
			d.startControl(ip, d.disks[ip], false)
		},
		"without power": func(d *deployment, ip string) {
			closed := d.powerOff(ip)
			time.Sleep(awayTime)
			<-closed
			d.network.PowerOn(ip)
			d.startControl(ip, d.disks[ip], false)
		},
		"partitioned": func(d *deployment, ip string) {
			cut := func(cut bool) {
				for i := range d.control {
					if i != ip {
						d.network.Cut(ip, i, cut)
						d.network.Cut(i, ip, cut)
					}
				}
			}
			cut(true)
			time.Sleep(awayTime)
			cut(false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t, 5, 5, 0, anyLeader)
				defer d.close()
				d.await(20*time.Second, "five voters", func() bool { return d.voters() == 5 })
				for i := range 5 {
					ip := controlIP(i)
					away(d, ip)
					d.await(catchUpLimit, "the host as a voter", func() bool { return d.voters() == 5 && d.control[ip].IsVoter() })
				}
			})
		})
	}
}
