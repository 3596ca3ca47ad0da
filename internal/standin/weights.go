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
	// LoadsPerSecond limits the rate at which loads start. Up to FullSpeedLoads concurrent loads
	// run at MiBPerSecond each; more share the rate of FullSpeedLoads loads.
	LoadsPerSecond float64
	FullSpeedLoads int
	MiBPerSecond   float64
}

// WeightStore simulates a weight store. It sends no weights but delays the response by the time that
// the load would take.
type WeightStore struct {
	cfg    WeightStoreConfig
	server *http.Server
	done   chan struct{}

	mu        sync.Mutex
	nextStart time.Time
	running   int
	loads     int
	// slowdown is the divisor of the transfer rate; 1 is full speed.
	slowdown float64
}

// NewWeightStore starts a weight store.
func NewWeightStore(cfg WeightStoreConfig) *WeightStore {
	w := &WeightStore{cfg: cfg, done: make(chan struct{}), slowdown: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{target}/{version}", w.handleGet)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		defer close(w.done)
		_ = w.server.Serve(cfg.Listener)
	}()
	return w
}

// Address returns the store's IP:PORT.
func (w *WeightStore) Address() string { return w.cfg.Listener.Addr().String() }

// SetSlowdown sets the divisor of the store's transfer rate.
func (w *WeightStore) SetSlowdown(divisor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowdown = divisor
}

// Loads returns the number of loads that were started.
func (w *WeightStore) Loads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loads
}

func (w *WeightStore) handleGet(rw http.ResponseWriter, r *http.Request) {
	mib, err := strconv.ParseFloat(r.URL.Query().Get("mib"), 64)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	duration := w.beginLoad(mib)
	defer w.endLoad()
	select {
	case <-r.Context().Done():
	case <-time.After(duration):
		rw.WriteHeader(http.StatusOK)
	}
}

func (w *WeightStore) beginLoad(mib float64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	start := now
	if w.nextStart.After(now) {
		start = w.nextStart
	}
	w.nextStart = start.Add(time.Duration(float64(time.Second) / w.cfg.LoadsPerSecond))
	w.running++
	w.loads++
	rate := w.cfg.MiBPerSecond / w.slowdown
	if w.running > w.cfg.FullSpeedLoads {
		rate = rate * float64(w.cfg.FullSpeedLoads) / float64(w.running)
	}
	return start.Sub(now) + time.Duration(mib/rate*float64(time.Second))
}

func (w *WeightStore) endLoad() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// Close stops the store.
func (w *WeightStore) Close() {
	_ = w.server.Close()
	<-w.done
}

// fetchWeights fetches a checkpoint of a size in MiB from the weight store at an address.
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
