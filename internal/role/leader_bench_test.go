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
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/loading"
	"fennelyard/internal/metrics"
	"fennelyard/internal/peer"
	"fennelyard/internal/role"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

const (
	benchEntries  = 68
	benchEngines  = 112
	benchModels   = 375
	benchAdapters = 560
	// benchBusy of the models have most of the requests.
	benchBusy    = 22
	benchRate    = 500 // requests a second, over all entries
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
	if e.busy || e.taken != o.Taken {
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
	return loading.Report{Held: e.views(), Busy: e.busy, Taken: e.taken}, nil
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
	a := roster.Announcement{ID: e.id, Pool: "llm", Address: "127.0.0.1:" + e.id, Slots: 12, Sequence: e.seq, Held: e.views()}
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

// speakFor plays one entry: it tells the leader of its requests and of those that
// wait for a model, and takes in what it is told.
func speakFor(ctx context.Context, b *testing.B, f *farm, address string, number int) (words, bytes *int, wait func()) {
	dialer := peer.NewDialer(peer.DialerConfig{})
	client, err := dialer.Client(address)
	require.NoError(b, err)
	stream, err := client.Attend(ctx)
	require.NoError(b, err)
	words, bytes = new(int), new(int)
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		for {
			news, err := stream.Recv()
			if err != nil {
				return
			}
			*words++
			*bytes += len(news.String())
		}
	}()
	go func() {
		defer wg.Done()
		random := rand.New(rand.NewPCG(uint64(number), 1))
		news := &schema.EntryNews{Entry: &schema.RosterEntry{Host: fmt.Sprint("entry-", number), CallerAddress: fmt.Sprint("127.0.0.1:", number+1)}}
		waiting := map[string]uint32{}
		ticker := time.NewTicker(time.Second * benchEntries / benchRate)
		defer ticker.Stop()
		for n := 0; ; n++ {
			urgent := false
			m := fmt.Sprint("m", random.IntN(benchModels))
			if n%5 != 0 {
				m = fmt.Sprint("m", random.IntN(benchBusy))
			}
			d := &schema.ModelDemand{Pool: "llm", Model: m, Arrived: 1}
			if !f.holds(m) {
				waiting[m]++
				urgent = true
			}
			news.Demands = append(news.Demands, d)
			for w := range waiting {
				if f.holds(w) {
					delete(waiting, w)
				}
				news.Demands = append(news.Demands, &schema.ModelDemand{Pool: "llm", Model: w, Waiting: waiting[w]})
			}
			if urgent || n%3 == 0 {
				for i := range 10 {
					news.LoadsTold = n%3 == 0
					news.Loads = append(news.Loads, &schema.EngineLoad{Server: fmt.Sprint("i-", (number+i*11)%benchEngines), Running: 2, Unread: 100, Models: []string{"m1", "m2"}})
				}
				if stream.Send(news) != nil {
					return
				}
				news = &schema.EntryNews{}
			}
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	return words, bytes, func() { wg.Wait(); dialer.Close() }
}

// BenchmarkLeader drives one leader as the largest deployment in use does, for
// twenty seconds: entries that say what is asked for, engines that announce
// themselves and take orders. Its goroutines bear the profile label role=leader,
// so that
//
//	go test ./internal/role -run xxx -bench Leader -benchtime 1x -cpuprofile p
//	go tool pprof -top -tagfocus role=leader p
//
// says what the leader spends, and on what. Words to entries: 2,669 a second while each
// change was told at once, 856 since changes are gathered.
func BenchmarkLeader(b *testing.B) {
	for range b.N {
		f := newFarm(rand.New(rand.NewPCG(1, 1)))
		var c *role.Control
		var address string
		pprof.Do(context.Background(), pprof.Labels("role", "leader"), func(context.Context) { c, address = benchControl(b, f) })
		ctx, cancel := context.WithTimeout(context.Background(), benchRunning)
		defer cancel()
		var waits []func()
		var words, bytes []*int
		for i := range benchEntries {
			w, n, wait := speakFor(ctx, b, f, address, i)
			words, bytes, waits = append(words, w), append(bytes, n), append(waits, wait)
		}
		var wg sync.WaitGroup
		for i, e := range f.engines {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(benchBeat * time.Duration(i) / benchEngines)
				for ctx.Err() == nil {
					pprof.Do(ctx, pprof.Labels("role", "leader"), func(ctx context.Context) { _ = c.Announce(ctx, f.announcement(e)) })
					time.Sleep(benchBeat)
				}
			}()
		}
		wg.Wait()
		for _, wait := range waits {
			wait()
		}
		c.Close()
		sum, size := 0, 0
		for i := range words {
			sum, size = sum+*words[i], size+*bytes[i]
		}
		orders := uint64(0)
		for _, e := range f.engines {
			orders += e.taken
		}
		b.ReportMetric(float64(sum)/benchRunning.Seconds(), "words/s")
		b.ReportMetric(float64(size)/benchRunning.Seconds(), "bytes/s")
		b.ReportMetric(float64(orders)/benchRunning.Seconds(), "orders/s")
	}
}

func benchControl(b *testing.B, f *farm) (*role.Control, string) {
	folder := b.TempDir()
	file := filepath.Join(folder, "settings.yaml")
	ports := make([]int, 2)
	for i := range ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		ports[i] = l.Addr().(*net.TCPAddr).Port
		require.NoError(b, l.Close())
	}
	text := fmt.Sprintf("host: core-1\ndata-centre: a\nip: 127.0.0.1\npeer-port: %d\nseeds: [\"127.0.0.1:%d\"]\n"+
		"founding: true\ndata-folder: %s\noperator-address: 127.0.0.1:%d\nannounce-every: 1200ms\nload-window: 5s\norder-lease: 3s\n",
		ports[0], ports[1], folder, ports[1])
	require.NoError(b, os.WriteFile(file, []byte(text), 0o600))
	s, err := role.LoadSettings(file)
	require.NoError(b, err)
	c, err := role.NewControl(role.ControlConfig{
		Settings: s, Metrics: metrics.New(), Log: logr.Discard(), Engines: loading.Engines{Give: f.give, Ask: f.ask},
		Handler: func(*role.Control) http.Handler { return http.NotFoundHandler() },
	})
	require.NoError(b, err)
	require.Eventually(b, func() bool {
		return c.PutConfiguration(context.Background(), &schema.PutConfiguration{
			Configuration: &schema.Configuration{Version: 1}, Pools: []*schema.Pool{benchPool()},
		}) == nil
	}, 20*time.Second, 20*time.Millisecond)
	return c, fmt.Sprint("127.0.0.1:", ports[0])
}
