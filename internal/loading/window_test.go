package loading_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/loading"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

// unsent is a fleet whose orders do not leave at first: the holders learn nothing of who
// leads, and each order comes back after a while.
type unsent struct {
	d         *loading.Driver
	r         *roster.Roster
	announced []roster.Announcement
	demands   []*schema.ModelDemand
	sequence  uint64

	mu sync.Mutex
	// given counts the orders and left those that left; leaves is set from when on they do.
	given, left int
	leaves      bool
}

// unsentAfter is after how long an order comes back that does not leave.
const unsentAfter = 400 * time.Millisecond

// newUnsent returns a fleet of as many engines as models, the weights of which lie on the
// engines' disks or have to come from a store that begins so many loads a second.
func newUnsent(engines int, onDisk bool, loadsPerSecond float64) *unsent {
	u := &unsent{}
	pool := &schema.Pool{Name: "llm", Engine: &schema.EngineSpec{MemoryMb: memoryMB, AdapterPlaces: places, LoadsPerSecond: loadsPerSecond}}
	for i := range engines {
		name := fmt.Sprint("m", i)
		pool.Engine.Models = append(pool.Engine.Models, &schema.ModelSpec{
			Name: name, MemoryMb: 34300, LoadStoreMs: 600, LoadDiskMs: 500, LoadMemoryMs: 400,
		})
		u.demands = append(u.demands, &schema.ModelDemand{Pool: "llm", Model: name, Waiting: 1, Arrived: 1})
	}
	for i := range engines {
		a := roster.Announcement{ID: fmt.Sprint("e", i), Pool: "llm", Address: fmt.Sprint("a:", i)}
		for _, m := range pool.GetEngine().GetModels() {
			if onDisk {
				a.OnDisk = append(a.OnDisk, m.GetName())
			}
		}
		u.announced = append(u.announced, a)
	}
	u.r = roster.New(roster.Config{
		AnnounceEvery: time.Second, Departed: func(string) bool { return false }, Now: time.Now, Log: logr.Discard(),
	})
	u.d = loading.NewDriver(loading.Config{
		Leadership: func() loading.Leadership { return loading.Leadership{Leads: true, Term: 1} },
		Holders: loading.Holders{
			Of:       func(string) loading.Holder { return loading.Holder{Host: "host", Settled: true} },
			Recorded: func() []string { return nil }, Hosts: func() []string { return []string{"host"} },
			Record: func(context.Context, map[string]loading.HolderChange, []string) error { return nil },
			Give:   u.give,
		},
		Ask:    func(context.Context, string, string) (loading.Report, error) { return loading.Report{}, nil },
		Roster: u.r, Pools: func() []*schema.Pool { return []*schema.Pool{pool} },
		Known: func() []*schema.KnownServer { return nil }, OrderLease: time.Second, LoadWindow: 5 * time.Second,
		Now: time.Now, Log: logr.Discard(),
	})
	return u
}

func (u *unsent) give(context.Context, string, uint64, string, loading.Order) (loading.Outcome, error) {
	u.mu.Lock()
	u.given++
	leaves := u.leaves
	u.mu.Unlock()
	if !leaves {
		time.Sleep(unsentAfter)
		return loading.OutcomeUnknown, loading.ErrNotSent
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.left++
	return loading.OutcomeTaken, nil
}

// ask has all models waited for; it returns how many orders were given and left by then.
func (u *unsent) ask(lasts time.Duration) (given, left int) {
	for began := time.Now(); time.Since(began) < lasts; time.Sleep(200 * time.Millisecond) {
		u.sequence++
		u.d.Follow()
		for _, a := range u.announced {
			a.Sequence = u.sequence
			if u.r.Announce(a) {
				u.d.Announced(a)
			}
		}
		u.d.Demand("entry", u.demands)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.given, u.left
}

func (u *unsent) open() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaves = true
}

// A leader of a large fleet had no time to tell its holders that it leads, so that its orders
// came back unsent; it decided them anew and gave them again, a hundred a second, which took
// all the time it had, and lost its lead. Where no order leaves only a few are tried at a time;
// as soon as one does, all go out.
func TestOrdersThatDoNotLeaveAreTriedAFewAtATime(t *testing.T) {
	const (
		engines = 60
		fails   = 10 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		u := newUnsent(engines, true, 100)
		defer u.d.Stop()
		given, _ := u.ask(fails)
		t.Logf("%d orders in %v, none of which left", given, fails)
		// Four at a time, and those of the first second while the window closes.
		require.LessOrEqual(t, given, 4*int(fails/unsentAfter)+64)
		u.open()
		_, left := u.ask(2 * time.Second)
		require.GreaterOrEqual(t, left, engines/2)
	})
}

// Loads from the weight store that never left were counted for its pace: when orders left
// again, none of these did for as long as the pace is counted over.
func TestLoadsThatDoNotLeaveTakeNothingOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUnsent(8, false, 1)
		defer u.d.Stop()
		u.ask(4 * time.Second)
		u.open()
		_, left := u.ask(time.Second)
		require.GreaterOrEqual(t, left, 2)
	})
}
