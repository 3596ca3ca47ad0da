package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"fennelyard/internal/engine"
	"fennelyard/internal/routing"
	"fennelyard/internal/schema"
)

// EngineConfig configures an engine. Listener, Name, Entries and
// AcceleratorMiB are required.
type EngineConfig struct {
	Listener   net.Listener
	Name       string
	DataCentre string
	// Incarnation 0 takes the time of the start.
	Incarnation    uint64
	Entries        []string
	AcceleratorMiB []uint64
	// ChecksFencing makes the engine refuse orders with an old number.
	ChecksFencing bool
	// WeightStore is asked for checkpoints that are not cached; empty: they
	// load at DiskMiBPerSecond.
	WeightStore      string
	DiskMiBPerSecond float64
	// CachedCheckpoints maps checkpoints that lie on the engine's disk at the start.
	CachedCheckpoints []string
	// TokenTime is the time for one token; Tokens the length of an answer.
	TokenTime time.Duration
	Tokens    int
	// LoadTime is added to every load.
	LoadTime time.Duration
	// Complete, where set, answers completions in the engine's place; for
	// faults. It is called only for a loaded model.
	Complete func(w http.ResponseWriter, q *http.Request, model string)
	// Load, where set, is called before a load takes effect; its error makes
	// the load fail.
	Load func(o *schema.Order) error
}

type loadedTarget struct {
	order *schema.Order
}

// Engine is a model engine that holds no weights and answers with counted words.
type Engine struct {
	cfg       EngineConfig
	server    *http.Server
	announcer *announcer
	done      chan struct{}

	mu sync.Mutex
	// loaded holds what is in accelerator memory, by target.
	loaded map[string]loadedTarget
	cached map[string]bool
	// highest is the highest fencing number seen for each target.
	highest     map[string]uint64
	outstanding int
	requests    int
	orders      int
	leaving     bool
	// overcommits counts loads that did not fit: there must be none.
	overcommits int
	loads       map[string]int
}

// NewEngine starts an engine and announces it.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixNano())
	}
	if cfg.Tokens == 0 {
		cfg.Tokens = 8
	}
	e := &Engine{
		cfg: cfg, done: make(chan struct{}), loaded: map[string]loadedTarget{},
		cached: map[string]bool{}, highest: map[string]uint64{}, loads: map[string]int{},
	}
	for _, c := range cfg.CachedCheckpoints {
		e.cached[c] = true
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.OrdersPath, e.order)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	e.announcer = newAnnouncer(cfg.Entries, e.announcement)
	go func() {
		defer close(e.done)
		_ = e.server.Serve(cfg.Listener)
	}()
	return e
}

// Address returns the engine's IP:PORT.
func (e *Engine) Address() string { return e.cfg.Listener.Addr().String() }

func (e *Engine) announcement() *schema.AnnounceRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	q := &schema.AnnounceRequest{
		Name: e.cfg.Name, Incarnation: e.cfg.Incarnation, Kind: "engine", Address: e.Address(),
		DataCentre: e.cfg.DataCentre, AcceleratorMib: e.cfg.AcceleratorMiB,
		ChecksFencing: e.cfg.ChecksFencing, Leaving: e.leaving, Outstanding: uint32(e.outstanding),
	}
	for t := range e.loaded {
		q.Loaded = append(q.Loaded, t)
	}
	slices.Sort(q.Loaded)
	for t := range e.cached {
		q.Cached = append(q.Cached, &schema.CachedAnnouncement{Target: t, Tier: "disk"})
	}
	slices.SortFunc(q.GetCached(), func(a, b *schema.CachedAnnouncement) int {
		if a.GetTarget() < b.GetTarget() {
			return -1
		}
		return 1
	})
	return q
}

func (e *Engine) order(w http.ResponseWriter, q *http.Request) {
	data, err := io.ReadAll(q.Body)
	o := &schema.Order{}
	if err != nil || protojson.Unmarshal(data, o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reply := e.execute(o)
	out, err := protojson.Marshal(reply)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(out)
}

func (e *Engine) execute(o *schema.Order) *schema.OrderReply {
	reply := &schema.OrderReply{Fencing: o.GetFencing(), Outcome: engine.OutcomeDone, Incarnation: e.cfg.Incarnation}
	if why := e.admit(o); why != "" {
		reply.Outcome, reply.Reason = engine.OutcomeRefused, why
		return reply
	}
	if o.GetKind() == engine.KindUnload {
		e.mu.Lock()
		delete(e.loaded, o.GetTarget())
		e.mu.Unlock()
		e.announcer.now()
		return reply
	}
	if err := e.load(o); err != nil {
		reply.Outcome, reply.Reason = engine.OutcomeFailed, err.Error()
	}
	e.announcer.now()
	return reply
}

func (e *Engine) admit(o *schema.Order) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	if !e.cfg.ChecksFencing {
		return ""
	}
	if o.GetIncarnation() != e.cfg.Incarnation {
		return "another incarnation"
	}
	if o.GetFencing() < e.highest[o.GetTarget()] {
		return fmt.Sprintf("order %d was seen", e.highest[o.GetTarget()])
	}
	e.highest[o.GetTarget()] = o.GetFencing()
	return ""
}

func (e *Engine) load(o *schema.Order) error {
	e.mu.Lock()
	_, there := e.loaded[o.GetTarget()]
	onDisk := e.cached[o.GetTarget()]
	e.mu.Unlock()
	if there {
		return nil
	}
	if e.cfg.Load != nil {
		if err := e.cfg.Load(o); err != nil {
			return err
		}
	}
	time.Sleep(e.cfg.LoadTime)
	if onDisk || e.cfg.WeightStore == "" {
		if e.cfg.DiskMiBPerSecond > 0 {
			time.Sleep(time.Duration(float64(o.GetMemoryMib()) / e.cfg.DiskMiBPerSecond * float64(time.Second)))
		}
	} else if err := fetchWeights(http.DefaultClient, e.cfg.WeightStore, o.GetTarget(), o.GetVersion(), o.GetMemoryMib()); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cached[o.GetTarget()] = true
	e.loaded[o.GetTarget()] = loadedTarget{o}
	e.loads[o.GetTarget()]++
	if e.used(o.GetAccelerator()) > e.cfg.AcceleratorMiB[o.GetAccelerator()] {
		e.overcommits++
	}
	return nil
}

func (e *Engine) used(accelerator uint32) uint64 {
	var used uint64
	for _, l := range e.loaded {
		if l.order.GetAccelerator() == accelerator {
			used += l.order.GetMemoryMib()
		}
	}
	return used
}

func (e *Engine) complete(w http.ResponseWriter, q *http.Request) {
	var body struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	if json.NewDecoder(q.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id := q.Header.Get(routing.HeaderRequestID)
	w.Header().Set(routing.HeaderRequestID, id)
	if !e.begin(body.Model) {
		w.Header().Set(routing.HeaderOutcome, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	if e.cfg.Complete != nil {
		e.cfg.Complete(w, q, body.Model)
		return
	}
	w.Header().Set(routing.HeaderOutstanding, fmt.Sprint(e.Outstanding()))
	if body.Stream {
		e.stream(w, q, id, body.Model)
		return
	}
	time.Sleep(time.Duration(e.cfg.Tokens) * e.cfg.TokenTime)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer(id, body.Model, e.cfg.Name, e.cfg.Tokens))
}

func (e *Engine) begin(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.loaded[model]; !ok {
		return false
	}
	e.outstanding++
	e.requests++
	return true
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outstanding--
}

func (e *Engine) stream(w http.ResponseWriter, q *http.Request, id, model string) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	var from int
	_, _ = fmt.Sscan(q.Header.Get("Last-Event-ID"), &from)
	for i := from + 1; i <= e.cfg.Tokens; i++ {
		time.Sleep(e.cfg.TokenTime)
		data, err := json.Marshal(chunk(id, model, i))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
		flusher.Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	flusher.Flush()
}

func answer(id, model, server string, tokens int) map[string]any {
	text := ""
	for i := 1; i <= tokens; i++ {
		text += fmt.Sprintf("w%d ", i)
	}
	return map[string]any{
		"id": id, "object": "chat.completion", "model": model, "server": server,
		"choices": []any{map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]any{"role": "assistant", "content": text}}},
		"usage":   map[string]any{"completion_tokens": tokens},
	}
}

func chunk(id, model string, n int) map[string]any {
	return map[string]any{
		"id": id, "object": "chat.completion.chunk", "model": model,
		"choices": []any{map[string]any{"index": 0, "delta": map[string]any{"content": fmt.Sprintf("w%d ", n)}}},
	}
}

// Outstanding returns the number of requests under way.
func (e *Engine) Outstanding() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.outstanding
}

// Requests returns the number of requests that were run.
func (e *Engine) Requests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests
}

// Loads returns how often a target was loaded.
func (e *Engine) Loads(target string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loads[target]
}

// Loaded lists what is in accelerator memory.
func (e *Engine) Loaded() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for t := range e.loaded {
		out = append(out, t)
	}
	slices.Sort(out)
	return out
}

// Overcommits returns how many loads did not fit.
func (e *Engine) Overcommits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overcommits
}

// Leave announces to all entries that the engine is about to stop.
func (e *Engine) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	for range leaveAnnounces {
		e.announcer.announce()
	}
}

// Close stops the engine at once.
func (e *Engine) Close() {
	e.announcer.close()
	_ = e.server.Close()
	<-e.done
}
