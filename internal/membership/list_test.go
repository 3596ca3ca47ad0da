package membership_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/membership"
	"fennelyard/internal/schema"
)

const tick = 50 * time.Millisecond

// network runs lists over a simulated network.
type network struct {
	now      time.Time
	names    []string
	lists    map[string]*membership.List
	down     map[string]bool
	cutLinks map[[2]string]bool
	random   *rand.Rand
	lossRate float64
}

func newNetwork(hosts int) *network {
	n := &network{
		now: time.Unix(1_790_000_000, 0), lists: map[string]*membership.List{}, down: map[string]bool{},
		cutLinks: map[[2]string]bool{}, random: rand.New(rand.NewSource(1)),
	}
	for i := range hosts {
		n.names = append(n.names, fmt.Sprintf("h%02d", i))
	}
	for _, name := range n.names {
		n.start(name, 1)
	}
	return n
}

func (n *network) start(name string, incarnation uint64) {
	n.down[name] = false
	n.lists[name] = membership.NewList(membership.Config{
		Self: name, Incarnation: incarnation, Hosts: n.names, Random: n.random.Intn,
	})
}

func (n *network) deliver(from string, datagrams []membership.Datagram) {
	for _, d := range datagrams {
		if n.down[d.To] || n.cutLinks[[2]string{from, d.To}] || n.random.Float64() < n.lossRate {
			continue
		}
		n.deliver(d.To, n.lists[d.To].Receive(n.now, d.Probe))
	}
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(tick) {
		for _, name := range n.names {
			if !n.down[name] {
				n.deliver(name, n.lists[name].Tick(n.now))
			}
		}
	}
}

func (n *network) state(observer, host string) schema.HostState {
	for _, f := range n.lists[observer].Facts() {
		if f.GetHost() == host {
			return f.GetState()
		}
	}
	return -1
}

func (n *network) requireState(t *testing.T, host string, want schema.HostState) {
	t.Helper()
	for _, observer := range n.names {
		if observer != host && !n.down[observer] {
			require.Equal(t, want, n.state(observer, host), "%s about %s", observer, host)
		}
	}
}

const (
	alive = schema.HostState_HOST_STATE_ALIVE
	dead  = schema.HostState_HOST_STATE_DEAD
	left  = schema.HostState_HOST_STATE_LEFT
)

func TestHostsDetectAliveAndDeadHosts(t *testing.T) {
	n := newNetwork(20)
	n.run(5 * time.Second)
	for _, name := range n.names {
		n.requireState(t, name, alive)
	}
	n.down["h03"] = true
	n.run(20 * time.Second)
	n.requireState(t, "h03", dead)
	n.start("h03", 2)
	n.run(10 * time.Second)
	n.requireState(t, "h03", alive)
	for _, name := range n.names {
		require.Equal(t, alive, n.state("h03", name))
	}
}

// h00 can send to h01 but receives no replies from it. Indirect probes must prevent
// the failure of one path from removing a healthy host from the directory.
func TestOneWayPartitionDeclaresNoHostDead(t *testing.T) {
	n := newNetwork(10)
	n.run(5 * time.Second)
	n.cutLinks[[2]string{"h01", "h00"}] = true
	for range 60 {
		n.run(time.Second)
		require.NotEqual(t, dead, n.state("h00", "h01"))
		require.NotEqual(t, dead, n.state("h05", "h01"))
	}
}

// Two halves of the network are partitioned for minutes and consider each other dead.
// They must find each other after the partition without operator action.
func TestPartitionedHostsRejoin(t *testing.T) {
	n := newNetwork(8)
	n.run(5 * time.Second)
	for _, a := range n.names[:4] {
		for _, b := range n.names[4:] {
			n.cutLinks[[2]string{a, b}], n.cutLinks[[2]string{b, a}] = true, true
		}
	}
	n.run(3 * time.Minute)
	require.Equal(t, dead, n.state("h00", "h07"))
	n.cutLinks = map[[2]string]bool{}
	n.run(time.Minute)
	for _, name := range n.names {
		n.requireState(t, name, alive)
	}
}

func TestPacketLossDeclaresNoHostDead(t *testing.T) {
	n := newNetwork(10)
	n.run(5 * time.Second)
	n.lossRate = 0.1
	for range 120 {
		n.run(time.Second)
		for _, name := range n.names {
			n.requireNotState(t, name, dead)
		}
	}
}

func (n *network) requireNotState(t *testing.T, host string, state schema.HostState) {
	t.Helper()
	for _, observer := range n.names {
		require.NotEqual(t, state, n.state(observer, host), "%s about %s", observer, host)
	}
}

func TestStoppingIsAnnouncedImmediately(t *testing.T) {
	n := newNetwork(6)
	n.run(5 * time.Second)
	n.deliver("h02", n.lists["h02"].AnnounceStop(false))
	for _, observer := range n.names {
		for _, f := range n.lists[observer].Facts() {
			if f.GetHost() == "h02" {
				assert.True(t, f.GetStopping(), observer)
			}
		}
	}
	n.deliver("h02", n.lists["h02"].AnnounceStop(true))
	n.requireState(t, "h02", left)
}

// A host refutes a suspicion of a later incarnation while its own fact is on the way to others: they received a fact that
// changed as it was encoded.
func TestFactsThatWereHandedOutDoNotChange(t *testing.T) {
	n := newNetwork(2)
	l := n.lists["h00"]
	handedOut := []*schema.HostFact{l.Facts()[0]}
	for _, d := range l.Tick(n.now) {
		handedOut = append(handedOut, d.Probe.GetFacts()...)
	}
	var before []string
	for _, f := range handedOut {
		before = append(before, f.String())
	}
	l.Receive(n.now, &schema.Probe{Kind: schema.ProbeKind_PROBE_KIND_PING, From: "h01", Facts: []*schema.HostFact{
		{Host: "h00", Incarnation: 7, State: schema.HostState_HOST_STATE_SUSPECT},
	}})
	require.EqualValues(t, 8, l.Facts()[0].GetIncarnation(), "refuted")
	for i, f := range handedOut {
		require.Equal(t, before[i], f.String())
	}
}
