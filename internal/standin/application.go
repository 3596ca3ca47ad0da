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
	// RequestTime is how long a request takes.
	RequestTime time.Duration
	// Runs, where set, counts the runs of all servers of a service together.
	Runs *Runs
	// CrashBody, where set, is the body of a request under which the server ends as soon
	// as it begins to run it; Ended, where set, is called then.
	CrashBody string
	Crashed   func()
	// Handle, where set, answers in place of the booking; for faults.
	Handle http.HandlerFunc
}

// Runs counts how often each request key ran. It is safe from any goroutine.
type Runs struct {
	mu   sync.Mutex
	byID map[string]int
}

// NewRuns returns an empty count.
func NewRuns() *Runs { return &Runs{byID: map[string]int{}} }

// Add counts one run and returns the number of runs so far.
func (r *Runs) Add(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[key]++
	return r.byID[key]
}

// Count returns how often a key ran.
func (r *Runs) Count(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[key]
}

// Max returns the highest count of any key.
func (r *Runs) Max() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := 0
	for _, n := range r.byID {
		most = max(most, n)
	}
	return most
}

// Application is an application server whose bookings must not run twice.
type Application struct {
	cfg       ApplicationConfig
	server    *http.Server
	announcer *announcer
	done      chan struct{}

	mu      sync.Mutex
	leaving bool
}

// NewApplication starts an application server and announces it.
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
		handle = a.book
	}
	a.server = &http.Server{Handler: handle, ReadHeaderTimeout: headerTimeout}
	a.announcer = newAnnouncer(cfg.Entries, a.announcement)
	go func() {
		defer close(a.done)
		_ = a.server.Serve(cfg.Listener)
	}()
	return a
}

// Address returns the server's IP:PORT.
func (a *Application) Address() string { return a.cfg.Listener.Addr().String() }

// Runs returns the counted runs.
func (a *Application) Runs() *Runs { return a.cfg.Runs }

func (a *Application) announcement() *schema.AnnounceRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &schema.AnnounceRequest{
		Name: a.cfg.Name, Incarnation: a.cfg.Incarnation, Kind: "application", Address: a.Address(),
		DataCentre: a.cfg.DataCentre, Service: a.cfg.Service, Leaving: a.leaving,
	}
}

func (a *Application) book(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if a.cfg.CrashBody != "" && string(body) == a.cfg.CrashBody {
		a.crash()
		return
	}
	n := 0
	if q.Method != http.MethodGet {
		n = a.cfg.Runs.Add(q.Header.Get("Idempotency-Key"))
	}
	time.Sleep(a.cfg.RequestTime)
	w.Header().Set(routing.HeaderRequestID, q.Header.Get(routing.HeaderRequestID))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"path": q.URL.Path, "runs": n, "bytes": len(body), "booking": fmt.Sprintf("b-%s", q.Header.Get("Idempotency-Key")),
	})
}

// crash ends the server at once, as a process does that ends by what it runs. Close is
// still to be called.
func (a *Application) crash() {
	if a.cfg.Crashed != nil {
		a.cfg.Crashed()
	}
	a.announcer.stopSoon()
	_ = a.server.Close()
}

// Leave announces to all entries that the server is about to stop.
func (a *Application) Leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	for range leaveAnnounces {
		a.announcer.announce()
	}
}

// Close stops the server at once.
func (a *Application) Close() {
	a.announcer.close()
	_ = a.server.Close()
	<-a.done
}
