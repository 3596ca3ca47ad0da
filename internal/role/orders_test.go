package role_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/loading"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

// engines are model engines that carry every order out at once and remember who
// gave them.
type engines struct {
	mu   sync.Mutex
	held map[string][]*schema.HeldModel
	// by holds, for each engine, the host of each order.
	by map[string][]string
}

// reach returns the engines as every host reaches them; none where e is nil.
func (e *engines) reach() loading.Engines {
	if e == nil {
		return loading.Engines{}
	}
	return loading.Engines{
		SendOrder: func(_ context.Context, _, holder string, o loading.Order) (loading.Outcome, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if int(o.OrdersTaken) != len(e.by[o.Server]) {
				return loading.OutcomeConflict, nil
			}
			e.by[o.Server] = append(e.by[o.Server], holder)
			if o.Load {
				e.held[o.Server] = append(e.held[o.Server], &schema.HeldModel{Name: o.Model})
			}
			return loading.OutcomeTaken, nil
		},
		FetchReport: func(_ context.Context, _, server string) (loading.Report, error) {
			return loading.Report{Loaded: e.holds(server), OrdersTaken: uint64(e.orders(server))}, nil
		},
	}
}

func (e *engines) holds(server string) []*schema.HeldModel {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*schema.HeldModel(nil), e.held[server]...)
}

func (e *engines) orders(server string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.by[server])
}

// announce has the engines announce themselves to whichever host leads.
func (c *cluster) announce(sequence uint64, servers ...string) {
	for _, h := range c.hosts {
		for i, id := range servers {
			a := roster.Announcement{ID: id, Pool: "pool-" + id, Address: fmt.Sprint("10.9.9.9:", i+1), Sequence: sequence, Loaded: c.engines.holds(id)}
			for _, m := range a.Loaded {
				a.OnDisk = append(a.OnDisk, m.GetName())
			}
			// A host that does not lead says so.
			_ = h.Announce(context.Background(), a)
		}
	}
}

// leader returns the address of the host that leads.
func (c *cluster) leader() (ip string) {
	require.Eventually(c.t, func() bool {
		for at, h := range c.hosts {
			if _, leads := h.Voters(); leads {
				ip = at
				return true
			}
		}
		return false
	}, 30*time.Second, 20*time.Millisecond)
	return ip
}

// The leader dies while models are loaded for stock. The next leader's orders to
// each engine come from the host that gave them before, so that no engine sees two
// hosts take turns; only the engines of the host that died get another one.
func TestEnginesKeepTheirOrderHolder(t *testing.T) {
	ips := []string{"127.0.9.1", "127.0.9.2", "127.0.9.3"}
	c := newCluster(t, ips...)
	c.engines = &engines{held: map[string][]*schema.HeldModel{}, by: map[string][]string{}}
	for _, ip := range ips {
		c.start(ip, true)
	}
	servers := []string{"e1", "e2", "e3"}
	var pools []*schema.Pool
	for _, id := range servers {
		pool := &schema.Pool{Name: "pool-" + id, Engine: &schema.EngineSpec{MemoryMb: 1e6, AdapterPlaces: 1, LoadsPerSecond: 4}}
		for i := range 400 {
			pool.Engine.Models = append(pool.Engine.Models, &schema.ModelSpec{Name: fmt.Sprint("m", i), MemoryMb: 10, LoadStoreMs: 10})
		}
		pools = append(pools, pool)
	}
	require.Eventually(t, func() bool {
		return c.hosts[c.leader()].PutConfiguration(context.Background(), &schema.PutConfiguration{
			Configuration: &schema.Configuration{Version: 1}, Pools: pools,
		}) == nil
	}, 30*time.Second, 20*time.Millisecond)
	sequence := uint64(0)
	more := func(servers []string, least map[string]int) {
		require.Eventually(t, func() bool {
			sequence++
			c.announce(sequence, "e1", "e2", "e3")
			for _, id := range servers {
				if c.engines.orders(id) <= least[id] {
					return false
				}
			}
			return true
		}, time.Minute, 50*time.Millisecond)
	}
	more(servers, map[string]int{})
	dead := c.leader()
	c.stop(dead)
	before, rest := map[string]int{}, []string(nil)
	for _, id := range servers {
		before[id] = c.engines.orders(id)
		if c.engines.by[id][0] != "h-"+dead {
			rest = append(rest, id)
		}
	}
	require.Len(t, rest, 2)
	more(rest, before)
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	for _, id := range rest {
		for _, holder := range c.engines.by[id] {
			require.Equal(t, c.engines.by[id][0], holder, id)
		}
	}
}
