package role_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime/pprof"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/loading"
	"fennelyard/internal/metrics"
	"fennelyard/internal/peer"
	"fennelyard/internal/role"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

const (
	// benchHosts is the number of control hosts of a group; entries spread over them.
	benchHosts    = 9
	benchEngines  = 240
	benchModels   = 494
	benchAdapters = 1069
	// benchPopularModels receive most of the requests.
	benchPopularModels     = 30
	benchRequestsPerSecond = 560 // over all entries
	benchLoadedModels      = 3
	benchModelsOnDisk      = 12
	benchLoadTime          = 600 * time.Millisecond
	benchAnnounceInterval  = 1200 * time.Millisecond
	benchDuration          = 20 * time.Second
)

// fakeFleet is a set of engines that execute orders after their load time.
type fakeFleet struct {
	mu       sync.Mutex
	engines  []*fleetEngine
	byID     map[string]*fleetEngine
	replicas map[string]int
}

type fleetEngine struct {
	id          string
	sequence    uint64
	ordersTaken uint64
	loaded      map[string][]string
	onDisk      map[string]bool
	busy        bool
}

func newFakeFleet(random *rand.Rand) *fakeFleet {
	f := &fakeFleet{byID: map[string]*fleetEngine{}, replicas: map[string]int{}}
	for i := range benchEngines {
		e := &fleetEngine{id: fmt.Sprint("i-", i), loaded: map[string][]string{}, onDisk: map[string]bool{}}
		for len(e.onDisk) < benchModelsOnDisk {
			m := fmt.Sprint("m", random.IntN(benchModels))
			e.onDisk[m] = true
			if len(e.loaded) < benchLoadedModels {
				e.loaded[m] = nil
				f.replicas[m]++
			}
		}
		f.engines, f.byID[e.id] = append(f.engines, e), e
	}
	return f
}

func (f *fakeFleet) sendOrder(_ context.Context, _, _ string, o loading.Order) (loading.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byID[o.Server]
	if e.busy || e.ordersTaken != o.OrdersTaken {
		return loading.OutcomeConflict, nil
	}
	e.ordersTaken++
	switch {
	case o.Adapter != "" && o.Load:
		e.loaded[o.Model] = append(e.loaded[o.Model], o.Adapter)
	case o.Adapter != "":
		e.loaded[o.Model] = nil
	case !o.Load:
		delete(e.loaded, o.Model)
		f.replicas[o.Model]--
	default:
		e.busy = true
		time.AfterFunc(benchLoadTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			e.busy, e.loaded[o.Model], e.onDisk[o.Model] = false, nil, true
			f.replicas[o.Model]++
		})
	}
	return loading.OutcomeTaken, nil
}

func (f *fakeFleet) fetchReport(_ context.Context, _, server string) (loading.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byID[server]
	return loading.Report{Loaded: e.loadedModels(), Busy: e.busy, OrdersTaken: e.ordersTaken}, nil
}

func (e *fleetEngine) loadedModels() []*schema.HeldModel {
	var out []*schema.HeldModel
	for m, a := range e.loaded {
		out = append(out, &schema.HeldModel{Name: m, Adapters: append([]string(nil), a...)})
	}
	return out
}

func (f *fakeFleet) announcement(e *fleetEngine) roster.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.sequence++
	a := roster.Announcement{ID: e.id, Pool: "llm", Address: "127.0.0.1:" + e.id, Slots: 12, Sequence: e.sequence, Loaded: e.loadedModels()}
	for m := range e.onDisk {
		a.OnDisk = append(a.OnDisk, m)
	}
	return a
}

func (f *fakeFleet) loaded(model string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicas[model] > 0
}

func benchPool() *schema.Pool {
	spec := &schema.EngineSpec{MemoryMb: 230000, AdapterPlaces: 8, LoadsPerSecond: 24}
	for i := range benchModels {
		m := &schema.ModelSpec{Name: fmt.Sprint("m", i), MemoryMb: 70000, AdapterMb: 100, LoadStoreMs: 13200, LoadDiskMs: 1300, LoadMemoryMs: 600}
		for a := range benchAdapters / benchPopularModels {
			if i < benchPopularModels {
				m.Adapters = append(m.Adapters, fmt.Sprint("a", a))
			}
		}
		spec.Models = append(spec.Models, m)
	}
	return &schema.Pool{Name: "llm", Engine: spec}
}

// loadGenerator simulates one entry, or a control host with all of its entries.
type loadGenerator struct {
	fleet   *fakeFleet
	number  int
	rate    float64
	random  *rand.Rand
	waiting map[string]uint32
	updates atomic.Int64
	bytes   atomic.Int64
}

func newLoadGenerator(fleet *fakeFleet, number int, rate float64) *loadGenerator {
	return &loadGenerator{fleet: fleet, number: number, rate: rate, random: rand.New(rand.NewPCG(uint64(number), 1)), waiting: map[string]uint32{}}
}

// nextRequest returns the demand of the n-th request; urgent is set if the request waits
// for a model.
func (g *loadGenerator) nextRequest(n int) (demands []*schema.ModelDemand, urgent bool) {
	model := fmt.Sprint("m", g.random.IntN(benchModels))
	if n%5 != 0 {
		model = fmt.Sprint("m", g.random.IntN(benchPopularModels))
	}
	demands = append(demands, &schema.ModelDemand{Pool: "llm", Model: model, Arrived: 1})
	if !g.fleet.loaded(model) {
		g.waiting[model]++
		urgent = true
	}
	for target := range g.waiting {
		if g.fleet.loaded(target) {
			delete(g.waiting, target)
		}
		demands = append(demands, &schema.ModelDemand{Pool: "llm", Model: target, Waiting: g.waiting[target]})
	}
	return demands, urgent
}

func (g *loadGenerator) loads() []*schema.EngineLoad {
	var out []*schema.EngineLoad
	for i := range 10 {
		out = append(out, &schema.EngineLoad{Server: fmt.Sprint("i-", (g.number+i*11)%benchEngines), Running: 2, Unread: 100, Models: []string{"m1", "m2"}})
	}
	return out
}

// receiveUpdates receives updates until the stream ends.
func (g *loadGenerator) receiveUpdates(recv func() (*schema.LeaderNews, error), onUpdate func(*schema.LeaderNews)) {
	for {
		update, err := recv()
		if err != nil {
			return
		}
		g.updates.Add(1)
		g.bytes.Add(int64(proto.Size(update)))
		onUpdate(update)
	}
}

// runEntry simulates one entry at a control host. It reports its requests, those that wait
// for a model, and three times a second its loads at the engines.
func (g *loadGenerator) runEntry(ctx context.Context, client schema.PeerClient) error {
	stream, err := client.Attend(ctx)
	if err != nil {
		return err
	}
	var acked atomic.Uint64
	go g.receiveUpdates(stream.Recv, func(n *schema.LeaderNews) { acked.Store(n.GetSequence()) })
	report := &schema.EntryNews{
		Entry: &schema.RosterEntry{Host: fmt.Sprint("entry-", g.number), CallerAddress: fmt.Sprint("127.0.0.1:", g.number+1)}, Stream: 1,
	}
	requests, reports := time.NewTicker(time.Duration(float64(time.Second)/g.rate)), time.NewTicker(300*time.Millisecond)
	defer requests.Stop()
	defer reports.Stop()
	for n := 0; ; n++ {
		urgent := n == 0
		select {
		case <-ctx.Done():
			return nil
		case <-reports.C:
			report.LoadsTold, report.Loads, urgent = true, g.loads(), true
		case <-requests.C:
			var demands []*schema.ModelDemand
			demands, urgent = g.nextRequest(n)
			report.Demands = append(report.Demands, demands...)
		}
		if !urgent {
			continue
		}
		report.Taken = acked.Load()
		if stream.Send(report) != nil {
			return nil
		}
		report = &schema.EntryNews{}
	}
}

// runHost simulates a control host with its own entries.
func (g *loadGenerator) runHost(ctx context.Context, client schema.PeerClient, entries int) error {
	stream, err := client.Follow(ctx)
	if err != nil {
		return err
	}
	var known atomic.Pointer[schema.RosterPosition]
	go g.receiveUpdates(stream.Recv, func(n *schema.LeaderNews) { known.Store(n.GetKnown()) })
	report := &schema.HostNews{Host: &schema.ControlHost{Address: fmt.Sprint("10.0.0.", g.number, ":1")}, EntriesTold: true}
	for i := range entries {
		report.Entries = append(report.Entries, &schema.AttendingEntry{Stream: 1, Entry: &schema.RosterEntry{Host: fmt.Sprint("entry-", g.number, "-", i)}})
	}
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; {
		for range int(g.rate / 10) {
			n++
			demands, _ := g.nextRequest(n)
			report.Demands = append(report.Demands, demands...)
		}
		report.Known, report.LoadsTold, report.Loads = known.Load(), true, g.loads()
		if stream.Send(report) != nil {
			return nil
		}
		report = &schema.HostNews{}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// BenchmarkLeader loads the leader, and one more of nine control hosts, like the largest
// deployment in use, for twenty seconds: entries spread over the hosts report their demand,
// and engines announce themselves and receive orders. The goroutines of the two hosts have
// the profile labels role=leader and role=host, so that
//
//	go test ./internal/role -run xxx -bench Leader/entries-300 -benchtime 1x -cpuprofile p
//	go tool pprof -top -tagfocus role=leader p
//
// shows where the leader spends CPU time.
func BenchmarkLeader(b *testing.B) {
	for _, entries := range []int{30, 100, 300, 640} {
		b.Run(fmt.Sprint("entries-", entries), func(b *testing.B) {
			for range b.N {
				benchLeader(b, entries)
			}
		})
	}
}

func benchLeader(b *testing.B, entries int) {
	fleet := newFakeFleet(rand.New(rand.NewPCG(1, 1)))
	group := newBenchGroup(b, fleet)
	defer group.close()
	ctx, cancel := context.WithTimeout(context.Background(), benchDuration)
	defer cancel()
	var wg sync.WaitGroup
	entriesPerHost, rate := entries/benchHosts, benchRequestsPerSecond/float64(entries)
	generators := map[string][]*loadGenerator{}
	for i := range benchHosts {
		switch i {
		case 0, 1:
			name := []string{"leader", "host"}[i]
			for n := range entriesPerHost {
				g := newLoadGenerator(fleet, i*entriesPerHost+n, rate)
				generators[name] = append(generators[name], g)
				wg.Go(func() { assert.NoError(b, g.runEntry(ctx, group.clients[i])) })
			}
		default:
			g := newLoadGenerator(fleet, i, rate*float64(entriesPerHost))
			wg.Go(func() { assert.NoError(b, g.runHost(ctx, group.clients[0], entriesPerHost)) })
		}
	}
	for i, e := range fleet.engines {
		wg.Go(func() {
			time.Sleep(benchAnnounceInterval * time.Duration(i) / benchEngines)
			for ctx.Err() == nil {
				pprof.Do(ctx, pprof.Labels("role", "leader"), func(ctx context.Context) { _ = group.hosts[0].Announce(ctx, fleet.announcement(e)) })
				time.Sleep(benchAnnounceInterval)
			}
		})
	}
	wg.Wait()
	orders := uint64(0)
	for _, e := range fleet.engines {
		orders += e.ordersTaken
	}
	b.ReportMetric(float64(orders)/benchDuration.Seconds(), "orders/s")
	for name, list := range generators {
		updates, bytes := int64(0), int64(0)
		for _, g := range list {
			updates, bytes = updates+g.updates.Load(), bytes+g.bytes.Load()
		}
		b.ReportMetric(float64(updates)/benchDuration.Seconds(), name+"-words/s")
		b.ReportMetric(float64(bytes)/benchDuration.Seconds()/float64(entriesPerHost), "bytes/s-an-entry-of-"+name)
	}
}

// benchGroup is a group of two control hosts, the first of which leads.
type benchGroup struct {
	hosts   []*role.Control
	clients []schema.PeerClient
	dialer  *peer.Dialer
}

func newBenchGroup(b *testing.B, fleet *fakeFleet) *benchGroup {
	g := &benchGroup{dialer: peer.NewDialer(peer.DialerConfig{})}
	ports := benchPorts(b, 2)
	for i, name := range []string{"leader", "host"} {
		ip := fmt.Sprint("127.0.9.", i+1)
		pprof.Do(context.Background(), pprof.Labels("role", name), func(context.Context) {
			g.hosts = append(g.hosts, benchControl(b, fleet, ip, ports))
		})
		client, err := g.dialer.Client(fmt.Sprint(ip, ":", ports[0]))
		require.NoError(b, err)
		g.clients = append(g.clients, client)
	}
	require.Eventually(b, func() bool {
		n, leads := g.hosts[0].Voters()
		return leads && n == 2 && g.hosts[0].PutConfiguration(context.Background(), &schema.PutConfiguration{
			Configuration: &schema.Configuration{Version: 1}, Pools: []*schema.Pool{benchPool()},
		}) == nil
	}, 20*time.Second, 20*time.Millisecond)
	return g
}

func (g *benchGroup) close() {
	g.dialer.Close()
	for _, h := range g.hosts {
		h.Close()
	}
}

func benchPorts(b *testing.B, n int) []int {
	ports := make([]int, n)
	for i := range ports {
		l, err := net.Listen("tcp", "127.0.9.1:0")
		require.NoError(b, err)
		ports[i] = l.Addr().(*net.TCPAddr).Port
		require.NoError(b, l.Close())
	}
	return ports
}

func benchControl(b *testing.B, fleet *fakeFleet, ip string, ports []int) *role.Control {
	folder := b.TempDir()
	file := filepath.Join(folder, "settings.yaml")
	text := fmt.Sprintf("host: core-%s\ndata-centre: a\nip: %s\npeer-port: %d\nseeds: [\"127.0.9.1:%d\"]\n"+
		"founding: true\ndata-folder: %s\noperator-address: %s:%d\nannounce-every: 1200ms\nload-window: 5s\norder-lease: 3s\n",
		ip, ip, ports[0], ports[1], folder, ip, ports[1])
	require.NoError(b, os.WriteFile(file, []byte(text), 0o600))
	s, err := role.LoadSettings(file)
	require.NoError(b, err)
	c, err := role.NewControl(role.ControlConfig{
		Settings: s, Metrics: metrics.New(), Log: logr.Discard(), Engines: loading.Engines{SendOrder: fleet.sendOrder, FetchReport: fleet.fetchReport},
		Handler: func(*role.Control) http.Handler { return http.NotFoundHandler() },
	})
	require.NoError(b, err)
	return c
}
