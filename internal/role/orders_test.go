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

// fakeEngines are model engines that execute every order at once and record the host that
// sent it.
type fakeEngines struct {
	mu     sync.Mutex
	loaded map[string][]*schema.HeldModel
	// orderHolders contains, for each engine, the host that sent each order.
	orderHolders map[string][]string
}

// client returns the engines as hosts call them; the zero value if e is nil.
func (e *fakeEngines) client() loading.Engines {
	if e == nil {
		return loading.Engines{}
	}
	return loading.Engines{
		SendOrder: func(_ context.Context, _, holder string, o loading.Order) (loading.Outcome, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if int(o.OrdersTaken) != len(e.orderHolders[o.Server]) {
				return loading.OutcomeConflict, nil
			}
			e.orderHolders[o.Server] = append(e.orderHolders[o.Server], holder)
			if o.Load {
				e.loaded[o.Server] = append(e.loaded[o.Server], &schema.HeldModel{Name: o.Model})
			}
			return loading.OutcomeTaken, nil
		},
		FetchReport: func(_ context.Context, _, server string) (loading.Report, error) {
			return loading.Report{Loaded: e.loadedModels(server), OrdersTaken: uint64(e.orderCount(server))}, nil
		},
	}
}

func (e *fakeEngines) loadedModels(server string) []*schema.HeldModel {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*schema.HeldModel(nil), e.loaded[server]...)
}

func (e *fakeEngines) orderCount(server string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orderHolders[server])
}

// announce announces the engines to all hosts.
func (c *cluster) announce(sequence uint64, servers ...string) {
	for _, h := range c.hosts {
		for i, id := range servers {
			a := roster.Announcement{ID: id, Pool: "pool-" + id, Address: fmt.Sprint("10.9.9.9:", i+1), Sequence: sequence, Loaded: c.engines.loadedModels(id)}
			for _, m := range a.Loaded {
				a.OnDisk = append(a.OnDisk, m.GetName())
			}
			// Hosts that don't lead return an error.
			_ = h.Announce(context.Background(), a)
		}
	}
}

// leader returns the IP address of the leader.
func (c *cluster) leader() (ip string) {
	require.Eventually(c.t, func() bool {
		for address, h := range c.hosts {
			if _, leads := h.Voters(); leads {
				ip = address
				return true
			}
		}
		return false
	}, 30*time.Second, 20*time.Millisecond)
	return ip
}

// The leader is lost while models are preloaded. The next leader must send orders to each
// engine through its previous order holder, so that no engine receives orders from two
// hosts in turn; only the engines of the lost host get a new order holder.
func TestOrderHolderSurvivesALeaderChange(t *testing.T) {
	ips := []string{"127.0.9.1", "127.0.9.2", "127.0.9.3"}
	c := newCluster(t, ips...)
	c.engines = &fakeEngines{loaded: map[string][]*schema.HeldModel{}, orderHolders: map[string][]string{}}
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
	awaitOrders := func(servers []string, baseline map[string]int) {
		require.Eventually(t, func() bool {
			sequence++
			c.announce(sequence, "e1", "e2", "e3")
			for _, id := range servers {
				if c.engines.orderCount(id) <= baseline[id] {
					return false
				}
			}
			return true
		}, time.Minute, 50*time.Millisecond)
	}
	awaitOrders(servers, map[string]int{})
	lostLeader := c.leader()
	c.stop(lostLeader)
	before, others := map[string]int{}, []string(nil)
	for _, id := range servers {
		before[id] = c.engines.orderCount(id)
		if c.engines.orderHolders[id][0] != "h-"+lostLeader {
			others = append(others, id)
		}
	}
	require.Len(t, others, 2)
	awaitOrders(others, before)
	c.engines.mu.Lock()
	defer c.engines.mu.Unlock()
	for _, id := range others {
		for _, holder := range c.engines.orderHolders[id] {
			require.Equal(t, c.engines.orderHolders[id][0], holder, id)
		}
	}
}
