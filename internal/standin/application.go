package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"fennelyard/internal/routing"
	"fennelyard/internal/schema"
)

// ApplicationConfig configures an application server. Listener, Name, Service
// and Entries are required.
type ApplicationConfig struct {
	Listener    net.Listener
	Name        string
	DataCentre  string
	Service     string
	Incarnation uint64
	Entries     []string
	// RequestTime is the processing time of a request.
	RequestTime time.Duration
	// Runs, if set, counts the runs of all servers of a service together.
	Runs *Runs
	// CrashBody, if set, is the body of a request that crashes the server as soon as its
	// processing starts. Crashed, if set, is called then.
	CrashBody string
	Crashed   func()
	// Handle, if set, replaces the booking handler, and Identify the response to requests for the incarnation, to
	// inject faults.
	Handle   http.HandlerFunc
	Identify http.HandlerFunc
}

// Runs counts the runs of each request key. It is safe for concurrent use.
type Runs struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewRuns returns an empty counter.
func NewRuns() *Runs { return &Runs{counts: map[string]int{}} }

// Add counts one run of a key and returns the number of its runs so far.
func (r *Runs) Add(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[key]++
	return r.counts[key]
}

// Count returns the number of runs of a key.
func (r *Runs) Count(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[key]
}

// Max returns the largest number of runs of any key.
func (r *Runs) Max() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	highest := 0
	for _, n := range r.counts {
		highest = max(highest, n)
	}
	return highest
}

// Application simulates an application server whose bookings must not run more than once.
type Application struct {
	cfg       ApplicationConfig
	server    *http.Server
	announcer *announcer
	done      chan struct{}

	mu      sync.Mutex
	leaving bool
}

// NewApplication starts an application server and its announcements.
func NewApplication(cfg ApplicationConfig) *Application {
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixNano())
	}
	if cfg.Runs == nil {
		cfg.Runs = NewRuns()
	}
	a := &Application{cfg: cfg, done: make(chan struct{})}
	handle := cfg.Handle
	if handle == nil {
		handle = a.handleBooking
	}
	a.server = &http.Server{Handler: withIdentity(handle, cfg.Incarnation, cfg.Identify), ReadHeaderTimeout: readHeaderTimeout}
	a.announcer = newAnnouncer(cfg.Entries, a.announcement)
	go func() {
		defer close(a.done)
		_ = a.server.Serve(cfg.Listener)
	}()
	return a
}

// Address returns the server's IP:PORT.
func (a *Application) Address() string { return a.cfg.Listener.Addr().String() }

// Runs returns the counter of runs.
func (a *Application) Runs() *Runs { return a.cfg.Runs }

func (a *Application) announcement() *schema.AnnounceRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &schema.AnnounceRequest{
		Name: a.cfg.Name, Incarnation: a.cfg.Incarnation, Kind: "application", Address: a.Address(),
		DataCentre: a.cfg.DataCentre, Service: a.cfg.Service, Leaving: a.leaving,
	}
}

func (a *Application) handleBooking(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if a.cfg.CrashBody != "" && string(body) == a.cfg.CrashBody {
		a.crash()
		return
	}
	runs := 0
	if r.Method != http.MethodGet {
		runs = a.cfg.Runs.Add(r.Header.Get("Idempotency-Key"))
	}
	time.Sleep(a.cfg.RequestTime)
	w.Header().Set(routing.HeaderRequestID, r.Header.Get(routing.HeaderRequestID))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"path": r.URL.Path, "runs": runs, "bytes": len(body), "booking": fmt.Sprintf("b-%s", r.Header.Get("Idempotency-Key")),
	})
}

// crash stops the server at once, like a process that crashes on a request. Close must still be
// called.
func (a *Application) crash() {
	if a.cfg.Crashed != nil {
		a.cfg.Crashed()
	}
	a.announcer.requestStop()
	_ = a.server.Close()
}

// Leave announces to all known entries that the server is about to stop.
func (a *Application) Leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	for range leaveAnnouncements {
		a.announcer.announce()
	}
}

// Close stops the server at once.
func (a *Application) Close() {
	a.announcer.close()
	_ = a.server.Close()
	<-a.done
}
