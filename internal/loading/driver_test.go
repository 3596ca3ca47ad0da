package loading_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/incarnation"
	"fennelyard/internal/loading"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

var (
	schedules = flag.Int("order-schedules", 150, "fault schedules to try")
	firstSeed = flag.Uint64("order-first-seed", 1, "seed of the first schedule")
)

const (
	memoryMB = 83000.0
	places   = 3
	lease    = 3 * time.Second
)

// hosts are three control hosts, of which one leads at a time. Any of them may be
// cut off from the others for a while.
type hosts struct {
	s       *site
	drivers []*loading.Driver
	rosters []*roster.Roster
	hands   []*loading.Sender

	mu     sync.Mutex
	leader int
	term   uint64
	// holders is what the group's log holds.
	holders map[string]loading.Holder
	// cut holds until when a host reaches no other.
	cut [hostCount]time.Time
}

const hostCount = 3

func hostName(i int) string { return fmt.Sprint("host-", i) }

func (h *hosts) leads(i int) loading.Leadership {
	h.mu.Lock()
	defer h.mu.Unlock()
	return loading.Leadership{IsLeader: h.leader == i, Term: h.term}
}

func (h *hosts) elect(i int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leader, h.term = i, h.term+1
}

// sever cuts a host off from the others; one that led is replaced.
func (h *hosts) sever(i int, d time.Duration) {
	h.mu.Lock()
	h.cut[i] = time.Now().Add(d)
	led := h.leader == i
	h.mu.Unlock()
	if led {
		h.elect((i + 1) % hostCount)
	}
}

func (h *hosts) reaches(from, to int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	return from == to || now.After(h.cut[from]) && now.After(h.cut[to])
}

func (h *hosts) of(server string) loading.Holder {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holders[server]
}

// holdersAt is the log as the host at an index reaches it.
func (h *hosts) holdersAt(i int) loading.Holders {
	return loading.Holders{
		Get: h.of,
		Servers: func() []string {
			h.mu.Lock()
			defer h.mu.Unlock()
			return slices.Collect(maps.Keys(h.holders))
		},
		Hosts: func() []string { return []string{hostName(0), hostName(1), hostName(2)} },
		Record: func(_ context.Context, changes map[string]loading.HolderChange, _ []string) error {
			time.Sleep(10 * time.Millisecond)
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.leader != i {
				return errors.New("another leads")
			}
			for server, c := range changes {
				if h.holders[server].Host == c.From {
					h.holders[server] = c.To
				}
			}
			return nil
		},
		SendOrder: func(ctx context.Context, holder string, term uint64, address string, o loading.Order) (loading.Outcome, error) {
			to := slices.IndexFunc([]string{hostName(0), hostName(1), hostName(2)}, func(n string) bool { return n == holder })
			if !h.reaches(i, to) {
				// The partition may hold the call up until it heals.
				h.s.mu.Lock()
				late := time.Duration(h.s.random.IntN(8000)) * time.Millisecond
				h.s.mu.Unlock()
				time.AfterFunc(late, func() { _, _ = h.hands[to].Send(context.Background(), term, address, o) })
				<-ctx.Done()
				return loading.OutcomeUnknown, errors.Newf("cut off: %w", loading.ErrNoHolderReply)
			}
			time.Sleep(2 * time.Millisecond)
			return h.hands[to].Send(ctx, term, address, o)
		},
	}
}

// catch is the group's word to the host at an index.
func (h *hosts) catch(i int) (uint64, error) {
	time.Sleep(3 * time.Millisecond)
	h.mu.Lock()
	leader, term := h.leader, h.term
	h.mu.Unlock()
	if !h.reaches(i, leader) {
		return 0, errors.New("cut off")
	}
	return term, nil
}

func newHosts(s *site) *hosts {
	h := &hosts{s: s, term: 2, holders: map[string]loading.Holder{}}
	for i := range hostCount {
		r := roster.New(roster.Config{
			AnnounceEvery: 1200 * time.Millisecond, Departed: func(string) bool { return false }, Now: time.Now, Log: logr.Discard(),
		})
		h.rosters = append(h.rosters, r)
		engines := s.reach()
		h.hands = append(h.hands, loading.NewSender(loading.SenderConfig{
			CatchUp:  func(context.Context) (uint64, error) { return h.catch(i) },
			IsHolder: func(key string) bool { return h.of(incarnation.ServerOf(key)).Host == hostName(i) },
			SendOrder: func(ctx context.Context, address string, o loading.Order) (loading.Outcome, error) {
				return engines.SendOrder(ctx, address, hostName(i), o)
			},
			Now: time.Now, Log: logr.Discard(),
		}))
		h.drivers = append(h.drivers, loading.NewDriver(loading.Config{
			Leadership: func() loading.Leadership { return h.leads(i) }, Holders: h.holdersAt(i), FetchReport: engines.FetchReport,
			Roster: r, Pools: func() []*schema.Pool { return []*schema.Pool{s.pool} },
			KnownServers: func() []*schema.KnownServer { return s.known },
			OrderLease:   lease, LoadWindow: 5 * time.Second, Now: time.Now, Log: logr.Discard(),
		}))
	}
	return h
}

func (h *hosts) announce(s *site, sequence uint64) {
	for i := range h.drivers {
		if !h.leads(i).IsLeader {
			continue
		}
		h.drivers[i].RefreshLeadership()
		for id := range s.engines {
			s.mu.Lock()
			a := roster.Announcement{ID: s.engines[id].key(), Pool: "llm", Address: id, Sequence: sequence, Loaded: s.engines[id].views()}
			for name := range s.engines[id].disk {
				a.OnDisk = append(a.OnDisk, name)
			}
			s.mu.Unlock()
			if h.rosters[i].Announce(a) {
				h.drivers[i].HandleAnnouncement(a)
			}
			if s.restarts {
				require.True(s.t, h.rosters[i].Ready(a.ID), "seed %d: %s has announced itself", s.seed, a.ID)
			}
		}
	}
}

// Leaders change, orders get no answer and are carried out up to 12 s late, and
// demand moves on all the while. No engine may ever be ordered to hold more than
// fits, two hosts' orders are a lease apart, tokens grow, and the loads from the
// weight store keep its pace.
func TestOrdersUnderFaults(t *testing.T) {
	for i := range *schedules {
		seed := *firstSeed + uint64(i)
		synctest.Test(t, func(t *testing.T) { runSchedule(t, newSite(t, seed)) })
	}
}

// Beside all that, engines crash and start again under their ids. An order to the start
// before that had no answer is carried out by the next, whose count of orders has come
// to the same number: an engine that is filled up by then is ordered to hold more than
// fits and ends, with every answer that it is at. Each start is heard from its first
// word, whoever leads.
func TestOrdersWhileEnginesStartAgain(t *testing.T) {
	// Seeds that failed while this was built: a held up order to the start before that
	// followed one to the next; a lease that was forgotten with the start (two); two
	// late orders; one of a leader before, to a start that nobody recorded any more.
	seeds := []uint64{46, 103, 1020, 2838, 7176}
	for i := range *schedules {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	for _, seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, seed)
			s.restarts = true
			runSchedule(t, s)
		})
	}
}

// restartSome has each engine start again now and then, and the log take note of those
// that were heard before it.
func (s *site) restartSome() {
	s.mu.Lock()
	s.known = nil
	var due []string
	for _, id := range slices.Sorted(maps.Keys(s.engines)) {
		s.known = append(s.known, &schema.KnownServer{Id: s.engines[id].key(), Pool: "llm", Address: id})
		if s.random.IntN(10) == 0 {
			due = append(due, id)
		}
	}
	s.mu.Unlock()
	for _, id := range due {
		s.restart(id)
	}
}

func runSchedule(t *testing.T, s *site) {
	s.lost = s.random.Float64() * 0.5
	h := newHosts(s)
	for beat := range uint64(50) {
		s.mu.Lock()
		change, cut, host := s.random.IntN(12) == 0, s.random.IntN(15) == 0, s.random.IntN(hostCount)
		length := time.Duration(s.random.IntN(9000)) * time.Millisecond
		var demands []*schema.ModelDemand
		for range 3 {
			d := &schema.ModelDemand{Pool: "llm", Model: fmt.Sprint("m", s.random.IntN(8)), Arrived: uint32(s.random.IntN(9)), Waiting: 1}
			if s.random.IntN(2) == 0 {
				d.Adapter = fmt.Sprint("a", 1+s.random.IntN(4))
			}
			demands = append(demands, d)
		}
		s.mu.Unlock()
		if s.restarts {
			s.restartSome()
		}
		if cut {
			h.sever(host, length)
		}
		if change && h.reaches(h.leader, host) {
			h.elect(host)
		}
		h.announce(s, beat+1)
		for j := range h.drivers {
			if h.leads(j).IsLeader {
				h.drivers[j].HandleDemand("entry", demands)
			}
		}
		time.Sleep(1200 * time.Millisecond)
	}
	h.stop()
	time.Sleep(time.Minute)
	checkPace(t, s)
}

// checkPace allows what the platform does: the pace over any window with a tenth
// and three on top. Orders that were carried out late count as well.
func checkPace(t *testing.T, s *site) {
	const window = 5 * time.Second
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := 3*window.Seconds()*1.1 + 3
	for i, from := range s.stores {
		n := 0
		for _, at := range s.stores[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), limit, "seed %d: loads in a window", s.seed)
	}
}

// A model that a caller waits for is loaded, and the callers' entries learn it:
// this is what the schedules above are worth nothing without.
func TestWaitingModelComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		s.engines["e2"].disk["m3"] = true
		h := newHosts(s)
		for beat := range uint64(12) {
			h.announce(s, beat+1)
			h.drivers[0].HandleDemand("entry", []*schema.ModelDemand{{Pool: "llm", Model: "m3", Adapter: "a2", Waiting: 1, Arrived: 1}})
			time.Sleep(1200 * time.Millisecond)
		}
		s.mu.Lock()
		held := s.engines["e2"].held["m3"]["a2"]
		s.mu.Unlock()
		require.True(t, held)
		views, _ := h.rosters[0].ServersSince(0)
		found := false
		for _, v := range views {
			for _, m := range v.GetModels() {
				found = found || v.GetId() == "e2" && m.GetName() == "m3" && slices.Contains(m.GetAdapters(), "a2")
			}
		}
		require.True(t, found)
		h.stop()
	})
}

func forecast(d *loading.Driver, model string) time.Duration {
	list := d.Forecasts([]*schema.ModelDemand{{Pool: "llm", Model: model, Waiting: 1}})
	return time.Duration(list[0].GetReadyInMs()) * time.Millisecond
}

// await waits until something holds, in simulated time, and returns how long.
func await(t *testing.T, holds func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !holds() {
		require.Less(t, time.Since(began), time.Minute)
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

func (s *site) holds(engine, model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[engine].held[model] != nil
}

// ask has callers wait for a model that lies on the disk of e2.
func (h *hosts) ask(sequence uint64) {
	h.announce(h.s, sequence)
	for i := range h.drivers {
		if h.leads(i).IsLeader {
			h.drivers[i].HandleDemand("entry", []*schema.ModelDemand{{Pool: "llm", Model: "m3", Waiting: 1, Arrived: 1}})
		}
	}
}

// The leader is lost while callers wait for a rare model. The next leader goes on
// through the same order holder, and the model is there after a report and a
// load; with orders from the leaders themselves it took the lease and a second.
func TestOrdersGoOnThroughAChangeOfLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		s.engines["e2"].disk["m3"] = true
		h := newHosts(s)
		h.announce(s, 1)
		await(t, func() bool { return h.of("e2").Host != "" })
		h.elect(1)
		h.ask(2)
		took := await(t, func() bool { return s.holds("e2", "m3") })
		require.Less(t, took, 1500*time.Millisecond)
		h.stop()
	})
}

// The same, where the engine is full of models that nobody asks for: the next leader
// hears of them for the first time, and makes room as soon as it has heard of demand.
// It kept them for two seconds, as if they had been loaded just then.
func TestRoomIsMadeSoonAfterAChangeOfLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		e := s.engines["e2"]
		e.disk["m3"] = true
		e.held["m1"], e.held["m5"] = map[string]bool{}, map[string]bool{}
		h := newHosts(s)
		h.announce(s, 1)
		await(t, func() bool { return h.of("e2").Host != "" })
		time.Sleep(3 * time.Second)
		h.elect(1)
		h.ask(2)
		took := await(t, func() bool { return s.holds("e2", "m3") })
		require.Less(t, took, 2500*time.Millisecond)
		h.stop()
	})
}

// All hosts have lost power, and the engines, which have not, announce themselves once
// in a second or so. The next leader knows from the log where they are and asks them:
// callers of a rare model are served after a report and a load, also before the first
// announcement.
func TestNextLeaderAsksRecordedEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		s.engines["e2"].disk["m3"] = true
		h := newHosts(s)
		for id := range s.engines {
			h.holders[id] = loading.Holder{Host: hostName(0), Settled: true}
			s.known = append(s.known, &schema.KnownServer{Id: id, Pool: "llm", Address: id})
		}
		s.known = append(s.known, &schema.KnownServer{Id: "app-1", Pool: "app", Address: "a"})
		h.elect(1)
		h.drivers[1].RefreshLeadership()
		h.drivers[1].HandleDemand("entry", []*schema.ModelDemand{{Pool: "llm", Model: "m3", Waiting: 1, Arrived: 1}})
		await(t, func() bool { return h.rosters[1].Ready("app-1") })
		require.Less(t, await(t, func() bool { return s.holds("e2", "m3") }), 1500*time.Millisecond)
		h.stop()
	})
}

func (h *hosts) stop() {
	for _, d := range h.drivers {
		d.Stop()
	}
}

// The host that holds an engine's orders is cut off. Another takes them over after
// a lease, in which callers of a model on the engine's disk are told when it can
// be there, so that those with time are kept; of a model without any copy nothing
// is promised.
func TestOrderHolderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		s.engines["e2"].disk["m3"] = true
		h := newHosts(s)
		for id := range s.engines {
			h.holders[id] = loading.Holder{Host: hostName(0), Settled: true}
		}
		h.sever(0, time.Hour)
		began := time.Now()
		h.ask(1)
		await(t, func() bool { return h.of("e2").Host != hostName(0) })
		time.Sleep(100 * time.Millisecond)
		got := forecast(h.drivers[1], "m3")
		require.Greater(t, got, lease)
		require.Less(t, got, lease+3*time.Second)
		require.Negative(t, forecast(h.drivers[1], "m4"))
		await(t, func() bool { return s.holds("e2", "m3") })
		require.Less(t, time.Since(began), lease+4*time.Second)
		h.stop()
	})
}

// The weight store is slower than the configuration says. A caller that comes
// after the time at which the load should have ended must not be told that it is
// nearly there: it would wait until its time is over.
func TestForecastOfAnOverdueLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		s.storeTime = time.Minute
		h := newHosts(s)
		waiting := []*schema.ModelDemand{{Pool: "llm", Model: "m4", Arrived: 1, Waiting: 1}}
		for beat := range uint64(20) {
			h.announce(s, beat+1)
			h.drivers[0].HandleDemand("entry", waiting)
			time.Sleep(1200 * time.Millisecond)
		}
		require.Greater(t, forecast(h.drivers[0], "m4"), 5*time.Second)
		h.stop()
		time.Sleep(2 * time.Minute)
	})
}

// Engines by the dozen are cut off, and no order to them has an answer. Each is given again
// soon at first, as an answer is lost now and then, and then more and more seldom: the same
// calls again and again keep a leader from leading.
func TestOrdersWithoutAnswersAreGivenMoreAndMoreSeldom(t *testing.T) {
	for tries, want := range []time.Duration{300, 300, 300, 300, 600, 600, 1200, 1200, 1200} {
		require.Equal(t, want*time.Millisecond, loading.AgainAfter(tries), tries)
	}
	require.Equal(t, 1200*time.Millisecond, loading.AgainAfter(1000))
}
