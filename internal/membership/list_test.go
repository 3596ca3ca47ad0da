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

// net runs lists over a simulated network.
type net struct {
	now     time.Time
	names   []string
	lists   map[string]*membership.List
	down    map[string]bool
	blocked map[[2]string]bool
	random  *rand.Rand
	loss    float64
}

func newNet(hosts int) *net {
	n := &net{
		now: time.Unix(1_790_000_000, 0), lists: map[string]*membership.List{}, down: map[string]bool{},
		blocked: map[[2]string]bool{}, random: rand.New(rand.NewSource(1)),
	}
	for i := range hosts {
		n.names = append(n.names, fmt.Sprintf("h%02d", i))
	}
	for _, name := range n.names {
		n.start(name, 1)
	}
	return n
}

func (n *net) start(name string, incarnation uint64) {
	n.down[name] = false
	n.lists[name] = membership.NewList(membership.Config{
		Self: name, Incarnation: incarnation, Hosts: n.names, Random: n.random.Intn,
	})
}

func (n *net) deliver(from string, sends []membership.Datagram) {
	for _, s := range sends {
		if n.down[s.To] || n.blocked[[2]string{from, s.To}] || n.random.Float64() < n.loss {
			continue
		}
		n.deliver(s.To, n.lists[s.To].Receive(n.now, s.Probe))
	}
}

func (n *net) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(tick) {
		for _, name := range n.names {
			if !n.down[name] {
				n.deliver(name, n.lists[name].Tick(n.now))
			}
		}
	}
}

func (n *net) state(at, of string) schema.HostState {
	for _, f := range n.lists[at].Facts() {
		if f.GetHost() == of {
			return f.GetState()
		}
	}
	return -1
}

func (n *net) allSee(t *testing.T, of string, want schema.HostState) {
	t.Helper()
	for _, at := range n.names {
		if at != of && !n.down[at] {
			require.Equal(t, want, n.state(at, of), "%s about %s", at, of)
		}
	}
}

const (
	alive = schema.HostState_HOST_STATE_ALIVE
	dead  = schema.HostState_HOST_STATE_DEAD
	left  = schema.HostState_HOST_STATE_LEFT
)

func TestHostsFindEachOtherAndNoticeTheDead(t *testing.T) {
	n := newNet(20)
	n.run(5 * time.Second)
	for _, name := range n.names {
		n.allSee(t, name, alive)
	}
	n.down["h03"] = true
	n.run(20 * time.Second)
	n.allSee(t, "h03", dead)
	n.start("h03", 2)
	n.run(10 * time.Second)
	n.allSee(t, "h03", alive)
	for _, name := range n.names {
		require.Equal(t, alive, n.state("h03", name))
	}
}

// TestAsymmetricCutSuspectsNobody: h00 can send to h01 but hears nothing back.
// Others probe h01 in its place, so that one bad path does not take a healthy
// host out of the directory.
func TestAsymmetricCutSuspectsNobody(t *testing.T) {
	n := newNet(10)
	n.run(5 * time.Second)
	n.blocked[[2]string{"h01", "h00"}] = true
	for range 60 {
		n.run(time.Second)
		require.NotEqual(t, dead, n.state("h00", "h01"))
		require.NotEqual(t, dead, n.state("h05", "h01"))
	}
}

// TestPartsOfANetworkMeetAgain: two parts are cut off for minutes, hold each
// other for dead, and find each other without being told.
func TestPartsOfANetworkMeetAgain(t *testing.T) {
	n := newNet(8)
	n.run(5 * time.Second)
	for _, a := range n.names[:4] {
		for _, b := range n.names[4:] {
			n.blocked[[2]string{a, b}], n.blocked[[2]string{b, a}] = true, true
		}
	}
	n.run(3 * time.Minute)
	require.Equal(t, dead, n.state("h00", "h07"))
	n.blocked = map[[2]string]bool{}
	n.run(time.Minute)
	for _, name := range n.names {
		n.allSee(t, name, alive)
	}
}

func TestLossAloneKillsNobody(t *testing.T) {
	n := newNet(10)
	n.run(5 * time.Second)
	n.loss = 0.1
	for range 120 {
		n.run(time.Second)
		for _, name := range n.names {
			n.allSeeNot(t, name, dead)
		}
	}
}

func (n *net) allSeeNot(t *testing.T, of string, state schema.HostState) {
	t.Helper()
	for _, at := range n.names {
		require.NotEqual(t, state, n.state(at, of), "%s about %s", at, of)
	}
}

func TestStoppingIsToldAtOnce(t *testing.T) {
	n := newNet(6)
	n.run(5 * time.Second)
	n.deliver("h02", n.lists["h02"].AnnounceStop(false))
	for _, at := range n.names {
		for _, f := range n.lists[at].Facts() {
			if f.GetHost() == "h02" {
				assert.True(t, f.GetStopping(), at)
			}
		}
	}
	n.deliver("h02", n.lists["h02"].AnnounceStop(true))
	n.allSee(t, "h02", left)
}
