package standin

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// WeightStoreConfig configures a weight store.
type WeightStoreConfig struct {
	Listener net.Listener
	// LoadsPerSecond bounds the starts of loads; FullSpeed loads run side by
	// side at MiBPerSecond each, more share it.
	LoadsPerSecond float64
	FullSpeed      int
	MiBPerSecond   float64
}

// WeightStore is a weight store that sends no bytes: it answers when a load of a
// size would have come through.
type WeightStore struct {
	cfg    WeightStoreConfig
	server *http.Server
	done   chan struct{}

	mu      sync.Mutex
	next    time.Time
	running int
	loads   int
	// slowdown divides the rate; 1 is full speed.
	slowdown float64
}

// NewWeightStore starts a weight store.
func NewWeightStore(cfg WeightStoreConfig) *WeightStore {
	w := &WeightStore{cfg: cfg, done: make(chan struct{}), slowdown: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{target}/{version}", w.get)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() {
		defer close(w.done)
		_ = w.server.Serve(cfg.Listener)
	}()
	return w
}

// Address returns the store's IP:PORT.
func (w *WeightStore) Address() string { return w.cfg.Listener.Addr().String() }

// SetSlowdown divides the store's rate.
func (w *WeightStore) SetSlowdown(by float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowdown = by
}

// Loads returns the number of loads that were started.
func (w *WeightStore) Loads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loads
}

func (w *WeightStore) get(rw http.ResponseWriter, q *http.Request) {
	mib, err := strconv.ParseFloat(q.URL.Query().Get("mib"), 64)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	took := w.begin(mib)
	defer w.end()
	select {
	case <-q.Context().Done():
	case <-time.After(took):
		rw.WriteHeader(http.StatusOK)
	}
}

func (w *WeightStore) begin(mib float64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	start := now
	if w.next.After(now) {
		start = w.next
	}
	w.next = start.Add(time.Duration(float64(time.Second) / w.cfg.LoadsPerSecond))
	w.running++
	w.loads++
	rate := w.cfg.MiBPerSecond / w.slowdown
	if w.running > w.cfg.FullSpeed {
		rate = rate * float64(w.cfg.FullSpeed) / float64(w.running)
	}
	return start.Sub(now) + time.Duration(mib/rate*float64(time.Second))
}

func (w *WeightStore) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// Close stops the store.
func (w *WeightStore) Close() {
	_ = w.server.Close()
	<-w.done
}

// fetchWeights reads a checkpoint from a store.
func fetchWeights(client *http.Client, address, target, version string, mib uint64) error {
	resp, err := client.Get("http://" + address + "/weights/" + target + "/" + version + "?mib=" + strconv.FormatUint(mib, 10))
	if err != nil {
		return errors.Newf("read weights: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("weight store: status %d", resp.StatusCode)
	}
	return nil
}
