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
	// benchHosts are the control hosts of a group; entries spread over them.
	benchHosts    = 9
	benchEngines  = 240
	benchModels   = 494
	benchAdapters = 1069
	// benchBusy of the models have most of the requests.
	benchBusy    = 30
	benchRate    = 560 // requests a second, over all entries
	benchHeld    = 3
	benchOnDisk  = 12
	benchLoad    = 600 * time.Millisecond
	benchBeat    = 1200 * time.Millisecond
	benchRunning = 20 * time.Second
)

// farm is a set of engines that carry orders out after their time.
type farm struct {
	mu      sync.Mutex
	engines []*farmEngine
	byID    map[string]*farmEngine
	held    map[string]int
}

type farmEngine struct {
	id     string
	seq    uint64
	taken  uint64
	held   map[string][]string
	onDisk map[string]bool
	busy   bool
}

func newFarm(random *rand.Rand) *farm {
	f := &farm{byID: map[string]*farmEngine{}, held: map[string]int{}}
	for i := range benchEngines {
		e := &farmEngine{id: fmt.Sprint("i-", i), held: map[string][]string{}, onDisk: map[string]bool{}}
		for len(e.onDisk) < benchOnDisk {
			m := fmt.Sprint("m", random.IntN(benchModels))
			e.onDisk[m] = true
			if len(e.held) < benchHeld {
				e.held[m] = nil
				f.held[m]++
			}
		}
		f.engines, f.byID[e.id] = append(f.engines, e), e
	}
	return f
}

func (f *farm) give(_ context.Context, _, _ string, o loading.Order) (loading.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byID[o.Server]
	if e.busy || e.taken != o.OrdersTaken {
		return loading.OutcomeConflict, nil
	}
	e.taken++
	switch {
	case o.Adapter != "" && o.Load:
		e.held[o.Model] = append(e.held[o.Model], o.Adapter)
	case o.Adapter != "":
		e.held[o.Model] = nil
	case !o.Load:
		delete(e.held, o.Model)
		f.held[o.Model]--
	default:
		e.busy = true
		time.AfterFunc(benchLoad, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			e.busy, e.held[o.Model], e.onDisk[o.Model] = false, nil, true
			f.held[o.Model]++
		})
	}
	return loading.OutcomeTaken, nil
}

func (f *farm) ask(_ context.Context, _, server string) (loading.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.byID[server]
	return loading.Report{Loaded: e.views(), Busy: e.busy, OrdersTaken: e.taken}, nil
}

func (e *farmEngine) views() []*schema.HeldModel {
	var out []*schema.HeldModel
	for m, a := range e.held {
		out = append(out, &schema.HeldModel{Name: m, Adapters: append([]string(nil), a...)})
	}
	return out
}

func (f *farm) announcement(e *farmEngine) roster.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.seq++
	a := roster.Announcement{ID: e.id, Pool: "llm", Address: "127.0.0.1:" + e.id, Slots: 12, Sequence: e.seq, Loaded: e.views()}
	for m := range e.onDisk {
		a.OnDisk = append(a.OnDisk, m)
	}
	return a
}

func (f *farm) holds(model string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held[model] > 0
}

func benchPool() *schema.Pool {
	spec := &schema.EngineSpec{MemoryMb: 230000, AdapterPlaces: 8, LoadsPerSecond: 24}
	for i := range benchModels {
		m := &schema.ModelSpec{Name: fmt.Sprint("m", i), MemoryMb: 70000, AdapterMb: 100, LoadStoreMs: 13200, LoadDiskMs: 1300, LoadMemoryMs: 600}
		for a := range benchAdapters / benchBusy {
			if i < benchBusy {
				m.Adapters = append(m.Adapters, fmt.Sprint("a", a))
			}
		}
		spec.Models = append(spec.Models, m)
	}
	return &schema.Pool{Name: "llm", Engine: spec}
}

// speaker plays one entry, or the entries of a whole host together.
type speaker struct {
	f       *farm
	number  int
	rate    float64
	random  *rand.Rand
	waiting map[string]uint32
	words   atomic.Int64
	bytes   atomic.Int64
}

func newSpeaker(f *farm, number int, rate float64) *speaker {
	return &speaker{f: f, number: number, rate: rate, random: rand.New(rand.NewPCG(uint64(number), 1)), waiting: map[string]uint32{}}
}

// ask is a request; urgent is set where it waits for a model.
func (s *speaker) ask(n int) (demands []*schema.ModelDemand, urgent bool) {
	m := fmt.Sprint("m", s.random.IntN(benchModels))
	if n%5 != 0 {
		m = fmt.Sprint("m", s.random.IntN(benchBusy))
	}
	demands = append(demands, &schema.ModelDemand{Pool: "llm", Model: m, Arrived: 1})
	if !s.f.holds(m) {
		s.waiting[m]++
		urgent = true
	}
	for w := range s.waiting {
		if s.f.holds(w) {
			delete(s.waiting, w)
		}
		demands = append(demands, &schema.ModelDemand{Pool: "llm", Model: w, Waiting: s.waiting[w]})
	}
	return demands, urgent
}

func (s *speaker) loads() []*schema.EngineLoad {
	var out []*schema.EngineLoad
	for i := range 10 {
		out = append(out, &schema.EngineLoad{Server: fmt.Sprint("i-", (s.number+i*11)%benchEngines), Running: 2, Unread: 100, Models: []string{"m1", "m2"}})
	}
	return out
}

// hear takes in words until the stream ends.
func (s *speaker) hear(recv func() (*schema.LeaderNews, error), took func(*schema.LeaderNews)) {
	for {
		news, err := recv()
		if err != nil {
			return
		}
		s.words.Add(1)
		s.bytes.Add(int64(proto.Size(news)))
		took(news)
	}
}

// speakFor plays one entry at a control host: it tells of its requests, of those that wait
// for a model and three times a second of what it has at the engines.
func (s *speaker) speakFor(ctx context.Context, client schema.PeerClient) error {
	stream, err := client.Attend(ctx)
	if err != nil {
		return err
	}
	var taken atomic.Uint64
	go s.hear(stream.Recv, func(n *schema.LeaderNews) { taken.Store(n.GetSequence()) })
	news := &schema.EntryNews{
		Entry: &schema.RosterEntry{Host: fmt.Sprint("entry-", s.number), CallerAddress: fmt.Sprint("127.0.0.1:", s.number+1)}, Stream: 1,
	}
	requests, beat := time.NewTicker(time.Duration(float64(time.Second)/s.rate)), time.NewTicker(300*time.Millisecond)
	defer requests.Stop()
	defer beat.Stop()
	for n := 0; ; n++ {
		urgent := n == 0
		select {
		case <-ctx.Done():
			return nil
		case <-beat.C:
			news.LoadsTold, news.Loads, urgent = true, s.loads(), true
		case <-requests.C:
			var demands []*schema.ModelDemand
			demands, urgent = s.ask(n)
			news.Demands = append(news.Demands, demands...)
		}
		if !urgent {
			continue
		}
		news.Taken = taken.Load()
		if stream.Send(news) != nil {
			return nil
		}
		news = &schema.EntryNews{}
	}
}

// followFor plays a control host with entries of its own.
func (s *speaker) followFor(ctx context.Context, client schema.PeerClient, entries int) error {
	stream, err := client.Follow(ctx)
	if err != nil {
		return err
	}
	var known atomic.Pointer[schema.RosterPosition]
	go s.hear(stream.Recv, func(n *schema.LeaderNews) { known.Store(n.GetKnown()) })
	news := &schema.HostNews{Host: &schema.ControlHost{Address: fmt.Sprint("10.0.0.", s.number, ":1")}, EntriesTold: true}
	for i := range entries {
		news.Entries = append(news.Entries, &schema.AttendingEntry{Stream: 1, Entry: &schema.RosterEntry{Host: fmt.Sprint("entry-", s.number, "-", i)}})
	}
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; {
		for range int(s.rate / 10) {
			n++
			demands, _ := s.ask(n)
			news.Demands = append(news.Demands, demands...)
		}
		news.Known, news.LoadsTold, news.Loads = known.Load(), true, s.loads()
		if stream.Send(news) != nil {
			return nil
		}
		news = &schema.HostNews{}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// BenchmarkLeader drives the leader, and one more of nine control hosts, as the largest
// deployment in use does, for twenty seconds: entries that say what is asked for, spread
// over the hosts, engines that announce themselves and take orders. The goroutines of the
// two bear the profile labels role=leader and role=host, so that
//
//	go test ./internal/role -run xxx -bench Leader/entries-300 -benchtime 1x -cpuprofile p
//	go tool pprof -top -tagfocus role=leader p
//
// says what the leader spends, and on what.
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
	f := newFarm(rand.New(rand.NewPCG(1, 1)))
	g := newBenchGroup(b, f)
	defer g.close()
	ctx, cancel := context.WithTimeout(context.Background(), benchRunning)
	defer cancel()
	var wg sync.WaitGroup
	each, rate := entries/benchHosts, benchRate/float64(entries)
	speakers := map[string][]*speaker{}
	for i := range benchHosts {
		switch i {
		case 0, 1:
			name := []string{"leader", "host"}[i]
			for n := range each {
				s := newSpeaker(f, i*each+n, rate)
				speakers[name] = append(speakers[name], s)
				wg.Go(func() { assert.NoError(b, s.speakFor(ctx, g.clients[i])) })
			}
		default:
			s := newSpeaker(f, i, rate*float64(each))
			wg.Go(func() { assert.NoError(b, s.followFor(ctx, g.clients[0], each)) })
		}
	}
	for i, e := range f.engines {
		wg.Go(func() {
			time.Sleep(benchBeat * time.Duration(i) / benchEngines)
			for ctx.Err() == nil {
				pprof.Do(ctx, pprof.Labels("role", "leader"), func(ctx context.Context) { _ = g.hosts[0].Announce(ctx, f.announcement(e)) })
				time.Sleep(benchBeat)
			}
		})
	}
	wg.Wait()
	orders := uint64(0)
	for _, e := range f.engines {
		orders += e.taken
	}
	b.ReportMetric(float64(orders)/benchRunning.Seconds(), "orders/s")
	for name, list := range speakers {
		words, bytes := int64(0), int64(0)
		for _, s := range list {
			words, bytes = words+s.words.Load(), bytes+s.bytes.Load()
		}
		b.ReportMetric(float64(words)/benchRunning.Seconds(), name+"-words/s")
		b.ReportMetric(float64(bytes)/benchRunning.Seconds()/float64(each), "bytes/s-an-entry-of-"+name)
	}
}

// benchGroup is a group of two control hosts, the first of which leads.
type benchGroup struct {
	hosts   []*role.Control
	clients []schema.PeerClient
	dialer  *peer.Dialer
}

func newBenchGroup(b *testing.B, f *farm) *benchGroup {
	g := &benchGroup{dialer: peer.NewDialer(peer.DialerConfig{})}
	ports := benchPorts(b, 2)
	for i, name := range []string{"leader", "host"} {
		ip := fmt.Sprint("127.0.9.", i+1)
		pprof.Do(context.Background(), pprof.Labels("role", name), func(context.Context) {
			g.hosts = append(g.hosts, benchControl(b, f, ip, ports))
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

func benchControl(b *testing.B, f *farm, ip string, ports []int) *role.Control {
	folder := b.TempDir()
	file := filepath.Join(folder, "settings.yaml")
	text := fmt.Sprintf("host: core-%s\ndata-centre: a\nip: %s\npeer-port: %d\nseeds: [\"127.0.9.1:%d\"]\n"+
		"founding: true\ndata-folder: %s\noperator-address: %s:%d\nannounce-every: 1200ms\nload-window: 5s\norder-lease: 3s\n",
		ip, ip, ports[0], ports[1], folder, ip, ports[1])
	require.NoError(b, os.WriteFile(file, []byte(text), 0o600))
	s, err := role.LoadSettings(file)
	require.NoError(b, err)
	c, err := role.NewControl(role.ControlConfig{
		Settings: s, Metrics: metrics.New(), Log: logr.Discard(), Engines: loading.Engines{SendOrder: f.give, FetchReport: f.ask},
		Handler: func(*role.Control) http.Handler { return http.NotFoundHandler() },
	})
	require.NoError(b, err)
	return c
}
